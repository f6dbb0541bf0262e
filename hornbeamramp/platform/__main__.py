"""Entry point of an entry VM's process on the platform."""

import os
import signal
import sys


def main() -> int:
    """Runs one process until SIGTERM."""
    # The imports take half a second. Nothing is served before their end, and the settings are read
    # after it.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    import uvloop

    from hornbeamramp.logs import setup_stdout_logs
    from hornbeamramp.platform.serve import serve

    return uvloop.run(serve(setup_stdout_logs()))


if __name__ == "__main__":
    sys.exit(main())
