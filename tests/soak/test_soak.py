"""A short run of the soak with fixed seeds, and every seed that has ever failed.

``python -m tests.soak`` plays more seeds for longer.
"""

import pytest

from tests.soak.run import play

SEEDS = (1, 2)
SECONDS = 8.0
# Seeds that failed once, with the seconds they were played for and the cause.
FAILED_SEEDS: dict[int, tuple[float, str]] = {
    6: (15.0, "SIGTERM or SIGHUP during the imports killed the process"),
    13: (15.0, "the soak's own: a process paused as it began was taken as started"),
}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_are_kept_under_faults_from_outside(seed, tmp_path):
    outcome = play(seed, SECONDS, tmp_path)
    assert outcome.problems == ()
    assert outcome.accepted > 0
    assert outcome.starts > 0


@pytest.mark.parametrize("seed", FAILED_SEEDS)
def test_seeds_that_failed_once_pass(seed, tmp_path):
    seconds, _ = FAILED_SEEDS[seed]
    assert play(seed, seconds, tmp_path).problems == ()
