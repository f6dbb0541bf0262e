"""Runs the command line as ``python -m hornbeamramp``."""

from hornbeamramp.cli import main

if __name__ == "__main__":
    main()
