"""Start of a process on the platform."""

import subprocess
import sys

import pytest

# Sends the signals when the first library is imported.
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
# Status of a process that finds no usable settings.
NO_SETTINGS = 2


@pytest.mark.parametrize(("last", "status"), [("SIGTERM", 0), ("SIGHUP", NO_SETTINGS)])
def test_signals_during_the_imports_do_not_kill_the_process(last, status):
    """SIGHUP or SIGTERM in the first half second ended it as if it had crashed (soak seed 6)."""
    program = PROGRAM.format(last=last)
    done = subprocess.run(
        [sys.executable, "-c", program], env={}, capture_output=True, timeout=60, check=False
    )
    assert done.returncode == status, done.stderr.decode()
