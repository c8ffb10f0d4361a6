"""A clock that also counts the time for which the machine is suspended."""

import time


def elapsed_s() -> float:
    """Returns the seconds since the machine was started.

    The clock of the loop stands still while a machine is suspended, so that
    what expires by it could be used for too long afterwards. The time of day
    may jump.
    """
    # Systems other than Linux have no such clock.
    number = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(number)
