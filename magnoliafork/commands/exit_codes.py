"""Exit codes of the magnolia command."""

import enum


class ExitCode(enum.IntEnum):
    """Why a command ended; scripts may rely on the numbers."""

    OK = 0
    PROBLEM = 1
    USAGE = 2
    UNREACHABLE = 3
    REFUSED = 4
