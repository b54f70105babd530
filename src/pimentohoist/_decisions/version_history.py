"""What the store's records tell about the software versions that have served lately.

Each record is dated by the monotonic clock of the daemon that wrote it: the age of a record
is at least the time that any daemon's later records span.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Mapping, Set
from dataclasses import dataclass, field

VERSION_KEPT_S = 30.0
"""Callers take up streams for about this time after an engine has gone."""

_MAX_CLOCKS = 5000

VersionAges = Mapping[str, Mapping[str, float]]
"""Seconds since an engine of a version was last seen, by group and version."""


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """The software versions that one daemon has seen in service.

    Attributes
    ----------
    writer : str
        Incarnation of the daemon; its name from builds that send no incarnation.
    era : int
        Era of the store that the daemon knew.
    clock_s : float or None
        Monotonic time of the daemon in seconds; None from builds that send none.
    ages : mapping
        Seconds since the daemon last saw a version, by group and version.
    """

    writer: str
    era: int
    clock_s: float | None
    ages: VersionAges


@dataclass(slots=True)
class _Moment:
    """When a record was written, in terms of the log, and when it was read here."""

    log_time_s: float
    read_at: float


@dataclass(slots=True)
class _Writer:
    """What is known of a daemon by its records."""

    era: int
    clock_s: float | None
    written: _Moment
    seen: dict[tuple[str, str], tuple[_Moment, float]] = field(default_factory=dict)


class VersionHistory:
    """Versions by the daemon that recorded them, for as long as streams can be taken up.

    One thread at a time applies records; others may ask meanwhile.
    """

    def __init__(self) -> None:
        self._writers: dict[str, _Writer] = {}
        self._clocks_s: dict[str, float] = {}
        self._log_time_s: float = 0

    def apply(self, record: VersionRecord, now: float) -> None:
        """Apply a record, in the order of the log."""
        if self._is_known(record):
            return
        writer = self._writers.get(record.writer)
        self._log_time_s = max(self._log_time_s, _log_time_s(writer, record))
        moment = _Moment(self._log_time_s, now)
        if writer is None:
            writer = _Writer(record.era, record.clock_s, moment)
            self._drop_expired(now)
            self._writers[record.writer] = writer
        writer.era, writer.clock_s, writer.written = record.era, record.clock_s, moment
        for group, ages in record.ages.items():
            for version, age_s in ages.items():
                writer.seen[group, version] = moment, age_s

    def departed(self, live: Set[str], now: float) -> VersionAges:
        """Return the versions that daemons saw which aren't live, with their ages."""
        found: defaultdict[str, dict[str, float]] = defaultdict(dict)
        for name, writer in tuple(self._writers.items()):
            if name in live:
                continue
            for group, version, age_s in self._recent(writer, now):
                least_s = min(found[group].get(version, age_s), age_s)
                found[group][version] = least_s
        return found

    def only_versions(self, group: str, live: Set[str], now: float) -> frozenset[str]:
        """Return the versions that live daemons know as a group's only one.

        Such a daemon hasn't told others of the streams that it began.
        """
        found: set[str] = set()
        for name, writer in tuple(self._writers.items()):
            if name not in live:
                continue
            recent = self._recent(writer, now)
            versions = {version for seen, version, _ in recent if seen == group}
            if len(versions) == 1:
                found |= versions
        return frozenset(found)

    def has_lost_records(self, live: Set[str], era: int, now: float) -> bool:
        """Return whether records may be missing since the store came back from a copy.

        Daemons that run then record all that they know again, in the new era.
        """
        return any(
            writer.era < era and self._age_s(writer.written, now) < VERSION_KEPT_S
            for name, writer in tuple(self._writers.items())
            if name not in live
        )

    def _is_known(self, record: VersionRecord) -> bool:
        """Return whether a record was applied before: a new era's log is read anew."""
        if record.clock_s is None:
            return False
        last_s = self._clocks_s.pop(record.writer, -math.inf)
        self._clocks_s[record.writer] = max(last_s, record.clock_s)
        if len(self._clocks_s) > _MAX_CLOCKS:
            self._clocks_s.pop(next(iter(self._clocks_s)))
        return record.clock_s <= last_s

    def _age_s(self, moment: _Moment, now: float) -> float:
        return max(now - moment.read_at, self._log_time_s - moment.log_time_s)

    def _recent(self, writer: _Writer, now: float) -> Iterator[tuple[str, str, float]]:
        """Yield group, version and age of the versions that served lately."""
        for (group, version), (moment, age_s) in tuple(writer.seen.items()):
            total_s = age_s + self._age_s(moment, now)
            if total_s < VERSION_KEPT_S:
                yield group, version, total_s

    def _drop_expired(self, now: float) -> None:
        self._writers = {
            name: writer
            for name, writer in self._writers.items()
            if self._age_s(writer.written, now) < VERSION_KEPT_S
        }


def _log_time_s(writer: _Writer | None, record: VersionRecord) -> float:
    """Return the least time of a record, by the writer's clock since its last one."""
    if writer is None or writer.clock_s is None or record.clock_s is None:
        return 0
    return writer.written.log_time_s + record.clock_s - writer.clock_s
