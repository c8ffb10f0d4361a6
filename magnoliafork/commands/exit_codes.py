"""Exit codes of the magnolia command."""

import enum


class ExitCode(enum.IntEnum):
    """Why a command ended; scripts may rely on the numbers.

    Attributes:
        OK: Success.
        PROBLEM: Errors or differences were found, or a node is not ready.
        USAGE: The arguments are wrong, or a file cannot be read.
        UNREACHABLE: No node answers.
        REFUSED: The node refuses the change.
    """

    OK = 0
    PROBLEM = 1
    USAGE = 2
    UNREACHABLE = 3
    REFUSED = 4
