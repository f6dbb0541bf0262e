"""Entry point of the process that serves an entry VM on the platform."""

import os
import signal
import sys


def main() -> int:
    """Runs the process until SIGTERM and returns its exit status."""
    # The imports take half a second. During that time SIGTERM exits with status 0, as nothing is
    # served yet, and SIGHUP is ignored, as the settings are read afterwards.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    import uvloop

    from hornbeamramp.logs import setup_stdout_logs
    from hornbeamramp.platform.serve import serve

    return uvloop.run(serve(setup_stdout_logs()))


if __name__ == "__main__":
    sys.exit(main())
