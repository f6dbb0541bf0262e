"""Checks the keys of callers' requests, and tells operators why requests were refused."""

from collections import Counter
from datetime import timedelta

import logbook
from aiohttp import web
from result import Ok, Result

from hornbeamramp import instruments
from hornbeamramp.accounts import Access, AccessProblem, decide_access
from hornbeamramp.vm import Node
from hornbeamramp.workload import ClusterConfig, Queue

__all__ = ["KeyChecks"]

KEY_HEADER = "Api-Key"
# Period of the log lines about refused requests, for each reason.
LOG_PERIOD = timedelta(seconds=1)

_log = logbook.Logger("callers")


class KeyChecks:
    """Decides on the keys of requests to one VM. Keys are secrets and are never logged."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._clock = node.clock
        # Requests refused since the last line, and the boot time of that line.
        self._count_by_problem: Counter[AccessProblem] = Counter()
        self._logged_at_by_problem: dict[AccessProblem, timedelta] = {}

    def decide(
        self, config: ClusterConfig, queue: Queue, request: web.BaseRequest
    ) -> Result[Access | None, AccessProblem]:
        """Returns what a request may access, ``None`` in cells without client accounts, or why it
        is refused."""
        if not config.account_by_id:
            return Ok(None)
        freshness, now = self._node.config_freshness, self._clock.boot_time()
        if freshness.needs_renewal(now) and not queue.is_public:
            self._node.config_renewal.start()
        return decide_access(config, queue, request.headers.getall(KEY_HEADER, []), freshness, now)

    async def renew_proof(self, timeout: timedelta) -> None:
        """Waits a short time for a new proof of the configuration, which may be newer then."""
        await self._node.config_renewal.wait(timeout)

    def record_refusal(self, config: ClusterConfig, queue: Queue, problem: AccessProblem) -> None:
        """Counts a refused request, and logs the number of those since the last line at times."""
        reason = problem.name.lower()
        instruments.refused_access.add(1, {"reason": reason})
        self._count_by_problem[problem] += 1
        now = self._clock.boot_time()
        logged_at = self._logged_at_by_problem.get(problem)
        if logged_at is not None and now - logged_at < LOG_PERIOD:
            return
        self._logged_at_by_problem[problem] = now
        _log.info(
            "{} requests refused, the last to queue {}: {}; configuration version {}, proof {} old",
            self._count_by_problem.pop(problem),
            queue.name,
            problem.value,
            config.version,
            self._node.config_freshness.age(now),
            extra={"event": "access_refused", "reason": reason},
        )
