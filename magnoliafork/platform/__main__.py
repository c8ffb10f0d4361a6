"""Entry point of the daemon: `python -m magnoliafork.platform`."""

import signal
import sys


def main() -> int:
    """Loads and runs the daemon; returns its exit code."""
    # SIGHUP announces changed settings. Its default action would end the
    # process; ignoring it is safe here, because the settings are read after the
    # modules are loaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from magnoliafork.platform import daemon

    return daemon.main()


if __name__ == "__main__":
    sys.exit(main())
