"""Entry point of the daemon: `python -m magnoliafork.platform`."""

import signal
import sys


def main() -> int:
    """Loads and runs the daemon; returns its exit code."""
    # The settings are read after the modules are loaded, so that a change
    # announced before that needs no action; the default would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from magnoliafork.platform import daemon

    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
