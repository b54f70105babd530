"""Parts of prompts that crash engines, found by what crashed requests have in common.

A request on which an answer has begun clears its parts. One that was in flight at
a crash and had not begun makes those of its parts suspect that nothing has cleared. A part
that is suspect at more than one crash is quarantined, and requests with it are refused, except
for probes that become rarer with each crash.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

MIN_CRASHES = 2
_MIN_WEIGHT = 4
"""A crash counts twice if the engine had sent the status line of a request with the part: it
crashes when it begins to answer, and most requests beside the cause have nothing yet."""

MAX_REPORTS = 24
CLEARED_LIFETIME_S = 60.0
SUSPECT_LIFETIME_S = 60.0
QUARANTINE_LIFETIME_S = 600.0
"""Times after which evidence is forgotten: requests may change, and so may engines."""

_MAX_PARTS = 4096
_MAX_NAMES = 16
_FIRST_PROBE_S = 10.0
_AMBIGUOUS_PROBE_S = 1.0
"""Time until the first probe of a part that was always suspect beside the same others."""

_PROBE_TIMEOUT_S = 3.0
_SUSPECT_REPORT_S = 10.0


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """Crashes at which a part was suspect.

    Attributes
    ----------
    crashes : frozenset of str
        Incarnations of the engines that crashed.
    answered : frozenset of str
        Those of them that had sent the status line of a request with the part.
    companions : frozenset of str
        Other parts that were suspect with it in each request, at each crash.
    last_at : float
        Monotonic time in seconds of the last crash.
    """

    crashes: frozenset[str]
    answered: frozenset[str]
    companions: frozenset[str]
    last_at: float

    @property
    def is_enough(self) -> bool:
        """Return whether the part may be quarantined."""
        weight = len(self.crashes) + len(self.answered)
        return len(self.crashes) >= MIN_CRASHES and weight >= _MIN_WEIGHT

    def merged(self, other: PartEvidence) -> PartEvidence:
        """Return the evidence of both."""
        return PartEvidence(
            _bounded(self.crashes | other.crashes),
            _bounded(self.answered | other.answered),
            self.companions & other.companions,
            max(self.last_at, other.last_at),
        )

    def includes(self, other: PartEvidence) -> bool:
        """Return whether other evidence adds nothing."""
        has_crashes = other.crashes <= self.crashes and other.answered <= self.answered
        return has_crashes and self.companions <= other.companions

    def is_expired(self, now: float) -> bool:
        """Return whether the evidence is too old to count."""
        lifetime_s = QUARANTINE_LIFETIME_S if self.is_enough else SUSPECT_LIFETIME_S
        return now - self.last_at >= lifetime_s

    def probe_at(self) -> float:
        """Return when one request with the part may run again."""
        doublings = len(self.crashes) - MIN_CRASHES
        wait_s = math.ldexp(_FIRST_PROBE_S, doublings)
        return self.last_at + min(QUARANTINE_LIFETIME_S, wait_s)


@dataclass(frozen=True, slots=True)
class PartsVerdict:
    """Whether a request may run, judged by the parts of its prompt.

    Attributes
    ----------
    quarantined : tuple of str
        Parts for which it is refused, unless it is a probe.
    probe_at : float
        Monotonic time in seconds from which on it may run as a probe.
    """

    quarantined: tuple[str, ...] = ()
    probe_at: float = 0


class PartRegister:
    """Evidence by part, for a limited time and in limited memory."""

    def __init__(self) -> None:
        self.evidence: OrderedDict[str, PartEvidence] = OrderedDict()
        self.cleared: OrderedDict[str, float] = OrderedDict()
        self.probes: dict[str, float] = {}

    def record_begun(self, parts: Iterable[str], now: float) -> list[str]:
        """Record that an answer has begun; return the parts that this clears."""
        cleared = []
        for part in parts:
            self.cleared[part] = now
            self.cleared.move_to_end(part)
            if self.evidence.pop(part, None) is not None:
                cleared.append(part)
            self.probes.pop(part, None)
        _trim(self.cleared)
        return cleared

    def record_crash(
        self, parts: Collection[str], crash: str, now: float, *, is_answered: bool
    ) -> tuple[str, ...]:
        """Record a crash during a request that had not begun; return its suspect parts.

        Parameters
        ----------
        is_answered : bool
            Whether the engine had sent the status line.
        """
        crashes = frozenset((crash,))
        suspects = tuple(part for part in parts if not self.is_cleared(part, now))
        for part in suspects:
            others = [other for other in suspects if other != part][:_MAX_NAMES]
            answered = crashes if is_answered else frozenset()
            evidence = PartEvidence(crashes, answered, frozenset(others), now)
            self._add(part, evidence, now)
        return suspects

    def merge(self, part: str, evidence: PartEvidence, now: float) -> bool:
        """Add evidence of another daemon; return False if the part is cleared."""
        if self.is_cleared(part, now):
            return False
        known = self._current(part, now)
        if known is None or not known.includes(evidence):
            self._add(part, evidence, now)
        return True

    def is_cleared(self, part: str, now: float) -> bool:
        """Return whether an answer on the part has begun lately."""
        begun_at = self.cleared.get(part)
        return begun_at is not None and now - begun_at < CLEARED_LIFETIME_S

    def check(self, parts: Collection[str], now: float) -> PartsVerdict:
        """Return the verdict on a request with these parts."""
        quarantined = tuple(part for part in parts if self._is_quarantined(part, now))
        if not quarantined:
            return PartsVerdict()
        probe_times = (self._probe_at(part, parts, now) for part in quarantined)
        return PartsVerdict(quarantined, max(probe_times))

    def begin_probe(self, parts: Iterable[str], now: float) -> None:
        """Record a probe; until it times out there is no other of the same parts."""
        self.probes = {
            part: begun_at
            for part, begun_at in self.probes.items()
            if now - begun_at < _PROBE_TIMEOUT_S
        }
        self.probes.update(dict.fromkeys(parts, now))

    def reports(self, now: float) -> Iterator[tuple[str, PartEvidence]]:
        """Yield the evidence to share: quarantined parts first, then the newest suspects."""
        current = [(part, self._current(part, now)) for part in tuple(self.evidence)]
        known = [(part, found) for part, found in current if found is not None]
        ranked = sorted(
            known,
            key=lambda entry: (entry[1].is_enough, entry[1].last_at),
            reverse=True,
        )
        for part, evidence in ranked[:MAX_REPORTS]:
            if evidence.is_enough or now - evidence.last_at < _SUSPECT_REPORT_S:
                yield part, evidence

    def quarantined(self, now: float) -> list[str]:
        """Return the parts that are quarantined."""
        return [
            part for part in tuple(self.evidence) if self._is_quarantined(part, now)
        ]

    def _add(self, part: str, evidence: PartEvidence, now: float) -> None:
        known = self._current(part, now)
        self.evidence[part] = evidence if known is None else known.merged(evidence)
        self.evidence.move_to_end(part)
        _trim(self.evidence)

    def _current(self, part: str, now: float) -> PartEvidence | None:
        evidence = self.evidence.get(part)
        if evidence is not None and evidence.is_expired(now):
            self.evidence.pop(part)
            return None
        return evidence

    def _is_quarantined(self, part: str, now: float) -> bool:
        evidence = self._current(part, now)
        if evidence is None or not evidence.is_enough:
            return False
        # Another part, quarantined for itself, explains all crashes of this one.
        return not any(
            self._explains(other, evidence, now) for other in evidence.companions
        )

    def _explains(self, part: str, explained: PartEvidence, now: float) -> bool:
        evidence = self._current(part, now)
        if evidence is None or not evidence.is_enough:
            return False
        is_alone = not self._open_companions(evidence, now)
        return is_alone and explained.crashes <= evidence.crashes

    def _open_companions(self, evidence: PartEvidence, now: float) -> set[str]:
        return {
            other for other in evidence.companions if not self.is_cleared(other, now)
        }

    def _probe_at(self, part: str, parts: Collection[str], now: float) -> float:
        evidence = self.evidence[part]
        probe_at = evidence.probe_at()
        if self._open_companions(evidence, now).difference(parts):
            # A request without the other suspects tells the guilty one.
            probe_at = min(probe_at, evidence.last_at + _AMBIGUOUS_PROBE_S)
        begun_at = self.probes.get(part)
        if begun_at is None:
            return probe_at
        return max(probe_at, begun_at + _PROBE_TIMEOUT_S)


def _bounded(names: frozenset[str]) -> frozenset[str]:
    return frozenset(sorted(names)[:_MAX_NAMES])


def _trim(entries: OrderedDict[str, Any]) -> None:
    while len(entries) > _MAX_PARTS:
        entries.popitem(last=False)
