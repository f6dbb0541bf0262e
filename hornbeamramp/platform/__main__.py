"""Entry point of an entry VM's process on the platform."""

import sys

import uvloop

from hornbeamramp.logs import setup_stdout_logs
from hornbeamramp.platform.serve import serve


def main() -> int:
    """Runs one process until SIGTERM."""
    return uvloop.run(serve(setup_stdout_logs()))


if __name__ == "__main__":
    sys.exit(main())
