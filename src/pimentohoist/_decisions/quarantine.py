"""Requests that crash endpoints: suspects and quarantined ones."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from pimentohoist._rendezvous import rank_names

CRASH_LIFETIME_S = 600.0
CRASHES_TO_QUARANTINE = 2
MAX_FINGERPRINTS = 10_000
CRASH_REPORT_TIMEOUT_S = 0.5

_SAME_CRASH_WINDOW_S = 1.0


class QuarantineStatus(StrEnum):
    """Quarantine status of a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """Crashes of endpoints on which a request was in flight.

    Attributes
    ----------
    crashes : int
        Distinct crashes.
    endpoint : str
        Endpoint of the last crash.
    last_at : float
        Monotonic time in seconds of the last crash.
    """

    crashes: int
    endpoint: str
    last_at: float


def suspect_order(
    fingerprint: str, endpoints: Iterable[str], blamed: Collection[str]
) -> list[str]:
    """Return the endpoints in the order in which a suspect is tried there.

    The order is the same on all daemons, except that `blamed`, the endpoints that
    failed this copy of the request, come last. Different suspects begin at different
    endpoints.
    """
    ranked = rank_names(fingerprint, endpoints)
    return sorted(ranked, key=lambda name: name in blamed)


class CrashRegister:
    """Crashes by request fingerprint, for a limited time and in limited memory."""

    def __init__(self) -> None:
        self._histories: OrderedDict[str, CrashHistory] = OrderedDict()

    def record_crash(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Count a crash, unless it is the last one reported by another daemon."""
        recorded = self._unexpired(fingerprint, now)
        if recorded is None:
            recorded = CrashHistory(0, '', float('-inf'))
        is_same = (
            recorded.endpoint == endpoint
            and now - recorded.last_at < _SAME_CRASH_WINDOW_S
        )
        crashes = recorded.crashes if is_same else recorded.crashes + 1
        last_at = recorded.last_at if is_same else now
        self._histories[fingerprint] = CrashHistory(crashes, endpoint, last_at)
        self._histories.move_to_end(fingerprint)
        if len(self._histories) > MAX_FINGERPRINTS:
            self._histories.popitem(last=False)

    def clear(self, fingerprint: str, now: float) -> None:
        """Remove a suspect that has run to its end; a quarantined request stays."""
        if self.quarantine_status(fingerprint, now) is QuarantineStatus.SUSPECT:
            self._histories.pop(fingerprint)

    def quarantine_status(self, fingerprint: str, now: float) -> QuarantineStatus:
        """Return the quarantine status of a request."""
        recorded = self._unexpired(fingerprint, now)
        if recorded is None:
            return QuarantineStatus.CLEAR
        if recorded.crashes < CRASHES_TO_QUARANTINE:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.QUARANTINED

    def merge(self, fingerprint: str, history: CrashHistory) -> None:
        """Take over another daemon's history if it counts more crashes."""
        recorded = self._histories.get(fingerprint)
        if recorded is None or recorded.crashes < history.crashes:
            self._histories[fingerprint] = history

    def histories(self, now: float) -> Iterator[tuple[str, CrashHistory]]:
        """Yield the histories that have not expired, by fingerprint."""
        for fingerprint in tuple(self._histories):
            recorded = self._unexpired(fingerprint, now)
            if recorded is not None:
                yield fingerprint, recorded

    def _unexpired(self, fingerprint: str, now: float) -> CrashHistory | None:
        recorded = self._histories.get(fingerprint)
        if recorded is not None and now - recorded.last_at >= CRASH_LIFETIME_S:
            self._histories.pop(fingerprint)
            return None
        return recorded
