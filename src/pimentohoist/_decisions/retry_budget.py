"""Budget of retries, delays between attempts, and endpoints that they exclude."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

RETRIES_PER_REQUEST = 0.1
BURST_RETRIES = 64
MAX_ATTEMPTS = 4

_UNITS_PER_RETRY = 10
_UNITS_PER_REQUEST = int(RETRIES_PER_REQUEST * _UNITS_PER_RETRY)
_MAX_UNITS = BURST_RETRIES * _UNITS_PER_RETRY
_BASE_DELAY_S = 0.05
_MAX_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """A daemon's share of the fleet's retries, as a token bucket.

    Each request adds a tenth of a retry, up to a full bucket. All retries of a daemon
    are then at most ``BURST_RETRIES + RETRIES_PER_REQUEST * requests``, and the fleet's
    at most the sum over its daemons, without any message between them.

    Attributes
    ----------
    units : int
        Credit in tenths of a retry; whole numbers keep the sum exact.
    """

    units: int = _MAX_UNITS

    def after_request(self) -> RetryBudget:
        """Return the budget with the credit of one more request."""
        return replace(self, units=min(_MAX_UNITS, self.units + _UNITS_PER_REQUEST))

    def after_retry(self) -> RetryBudget | None:
        """Return the budget less one retry; None if there is no credit for it."""
        if self.units < _UNITS_PER_RETRY:
            return None
        return replace(self, units=self.units - _UNITS_PER_RETRY)


def retry_delay_s(
    attempts: int, jitter: float, now: float, deadline: float
) -> float | None:
    """Return how long to wait before the next attempt; None if none is allowed.

    Parameters
    ----------
    attempts : int
        Attempts made so far.
    jitter : float
        Random number from 0 to 1; the wait is this share of a limit that doubles.
    now, deadline : float
        Monotonic time in seconds; an attempt must start before the deadline.
    """
    if attempts >= MAX_ATTEMPTS:
        return None
    delay_s = jitter * min(_MAX_DELAY_S, _BASE_DELAY_S * 2 ** (attempts - 1))
    return delay_s if now + delay_s < deadline else None


def excluded_endpoints(
    blamed: Iterable[str], leaving: Iterable[str], candidates: Iterable[str]
) -> frozenset[str]:
    """Return the endpoints that the next attempt excludes.

    Leaving ones are always excluded. Blamed ones are excluded as long as that leaves a
    candidate; else they are tried again, since they may have been restarted.
    """
    excluded = frozenset(leaving)
    if frozenset(candidates) - excluded - frozenset(blamed):
        return excluded | frozenset(blamed)
    return excluded
