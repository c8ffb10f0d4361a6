"""Entry point of the daemon: `python -m magnoliafork.platform`."""

import os
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


def end_process(code: int) -> None:
    """Ends the process without releasing its memory piece by piece.

    The interpreter would spend 0.15 s of processor time on that, which a busy
    machine stretches beyond the grace period.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    end_process(main())
