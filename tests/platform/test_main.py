"""Start of a process on the platform."""

import subprocess
import sys

import pytest

# Sends itself the signals when the first third-party library is imported.
PROGRAM = """
import builtins, os, signal

def import_module(name, *args, original=builtins.__import__, **options):
    if name == "uvloop":
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.{last})
    return original(name, *args, **options)

builtins.__import__ = import_module
from hornbeamramp.platform.__main__ import main
raise SystemExit(main())
"""
# Exit status of a process without valid settings.
NO_SETTINGS = 2


@pytest.mark.parametrize(("last", "status"), [("SIGTERM", 0), ("SIGHUP", NO_SETTINGS)])
def test_signals_during_the_imports_do_not_kill_the_process(last, status):
    """Guards against signals that kill the process during its first half second.

    The default actions of SIGHUP and SIGTERM applied until the imports were done, so the process
    ended as if it had crashed (seen in soak seed 6).
    """
    program = PROGRAM.format(last=last)
    done = subprocess.run(
        [sys.executable, "-c", program], env={}, capture_output=True, timeout=60, check=False
    )
    assert done.returncode == status, done.stderr.decode()
