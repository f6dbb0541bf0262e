"""Starts stand-ins as child processes."""

import contextlib
import signal
import subprocess
import sys
from collections.abc import Iterator

__all__ = ["standin_process"]


@contextlib.contextmanager
def standin_process(module: str, *arguments: str) -> Iterator[subprocess.Popen[str]]:
    """Runs ``hornbeamramp.standins.MODULE``; kills it on exit if it is still running."""
    command = [sys.executable, "-m", f"hornbeamramp.standins.{module}", *arguments]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            yield process
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
