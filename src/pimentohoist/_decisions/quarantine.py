"""Which requests crash endpoints: suspects and quarantined ones."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from pimentohoist._rendezvous import rank_names

KEPT_S = 600.0
CRASHES_TO_QUARANTINE = 2
MAX_FINGERPRINTS = 10_000
CRASH_REPORT_TIMEOUT_S = 0.5

_SAME_CRASH_S = 1.0


class QuarantineStatus(StrEnum):
    """What is known of a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class CrashHistory:
    """Crashes at which a request was seen.

    Attributes
    ----------
    crashes : int
        Distinct crashes.
    endpoint : str
        Endpoint of the last one.
    last_at : float
        Monotonic time in seconds of the last one.
    """

    crashes: int
    endpoint: str
    last_at: float


def suspect_order(
    fingerprint: str, endpoints: Iterable[str], blamed: Collection[str]
) -> list[str]:
    """Return the endpoints in the order in which a suspect is tried there.

    It depends on nothing that one daemon knows better than another, but for endpoints
    that failed this copy, which come last. Different suspects begin at different ones.
    """
    ranked = rank_names(fingerprint, endpoints)
    return sorted(ranked, key=lambda name: name in blamed)


class CrashRegister:
    """Crashes by request fingerprint, for a limited time and in limited memory."""

    def __init__(self) -> None:
        self._histories: OrderedDict[str, CrashHistory] = OrderedDict()

    def record_crash(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Count a crash, unless it is one already counted that another daemon saw."""
        known = self._known(fingerprint, now)
        if known is None:
            known = CrashHistory(0, '', float('-inf'))
        is_same = known.endpoint == endpoint and now - known.last_at < _SAME_CRASH_S
        crashes = known.crashes if is_same else known.crashes + 1
        last_at = known.last_at if is_same else now
        self._histories[fingerprint] = CrashHistory(crashes, endpoint, last_at)
        self._histories.move_to_end(fingerprint)
        if len(self._histories) > MAX_FINGERPRINTS:
            self._histories.popitem(last=False)

    def clear(self, fingerprint: str, now: float) -> None:
        """Forget a suspect that has run to its end; a quarantined one stays."""
        if self.quarantine_status(fingerprint, now) is QuarantineStatus.SUSPECT:
            self._histories.pop(fingerprint)

    def quarantine_status(self, fingerprint: str, now: float) -> QuarantineStatus:
        """Return what is known of a request."""
        known = self._known(fingerprint, now)
        if known is None:
            return QuarantineStatus.CLEAR
        if known.crashes < CRASHES_TO_QUARANTINE:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.QUARANTINED

    def merge(self, fingerprint: str, history: CrashHistory) -> None:
        """Take over what another daemon knows, if it counts more crashes."""
        known = self._histories.get(fingerprint)
        if known is None or known.crashes < history.crashes:
            self._histories[fingerprint] = history

    def histories(self, now: float) -> Iterator[tuple[str, CrashHistory]]:
        """Yield what is still kept."""
        for fingerprint in tuple(self._histories):
            known = self._known(fingerprint, now)
            if known is not None:
                yield fingerprint, known

    def _known(self, fingerprint: str, now: float) -> CrashHistory | None:
        known = self._histories.get(fingerprint)
        if known is not None and now - known.last_at >= KEPT_S:
            self._histories.pop(fingerprint)
            return None
        return known
