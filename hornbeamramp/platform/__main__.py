"""Entry point of an entry VM's process on the platform."""

import sys

import uvloop

from hornbeamramp.logs import setup_stdout_logs
from hornbeamramp.platform.serve import serve


def main() -> int:
    """Runs one process until SIGTERM."""
    setup_stdout_logs()
    return uvloop.run(serve())


if __name__ == "__main__":
    sys.exit(main())
