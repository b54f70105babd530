"""The clock with which daemons measure ages and leases."""

import time


def now() -> float:
    """Return seconds since the instance booted, including suspended time.

    Leases and observations of peers age while an instance is suspended, which the
    monotonic clock doesn't count, and the time of day may jump.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
