"""The clock by which daemons measure ages and leases."""

import time


def now() -> float:
    """Return seconds since the instance's start, suspended time included.

    Leases and beliefs age while an instance is suspended, which the monotonic clock
    doesn't count, and the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
