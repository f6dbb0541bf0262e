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


# Gets SIGTERM while the event loop is blocked, or while it waits. Prints how long ago that was when
# the future is done, and how long the future took.
SIGTERM_PROGRAM = """
import asyncio, os, signal, sys, threading, time
import uvloop
from hornbeamramp.clock import SystemClock
from hornbeamramp.platform.serve import note_sigterm

async def main(block):
    clock = SystemClock()
    stopped_at = note_sigterm(clock)
    if block:
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.5)
    else:
        kill = threading.Timer(0.2, os.kill, (os.getpid(), signal.SIGTERM))
        kill.start()
    async with asyncio.timeout(5):
        print((clock.boot_time() - await stopped_at).total_seconds())

uvloop.run(main(sys.argv[1] == "blocked"))
"""


@pytest.mark.parametrize("loop_state", ["blocked", "waiting"])
def test_time_of_sigterm_is_known_although_the_event_loop_is_busy(loop_state):
    """Guards against a shutdown that counts its grace period from a later time than the platform:
    the kill cut off requests that were to be answered before it."""
    command = [sys.executable, "-c", SIGTERM_PROGRAM, loop_state]
    done = subprocess.run(command, capture_output=True, timeout=60, check=True)
    assert (float(done.stdout) >= 0.5) == (loop_state == "blocked")
