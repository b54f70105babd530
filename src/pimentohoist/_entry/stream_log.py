"""The versions of streams in the store, where they outlast all daemons.

Each daemon appends the streams that it began in batches, off the path of their events, and
with them the versions that it has seen in service. A daemon that knows a stream neither
itself nor from others reads what has been appended; the store keeps it for a limited time.
"""

from __future__ import annotations

import json
import logging
import math
import threading
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.stream_register import StreamRecord, StreamRegister
from pimentohoist._decisions.version_history import (
    VersionAges,
    VersionHistory,
    VersionRecord,
)
from pimentohoist._entry.topic_follower import apply_each
from pimentohoist.exceptions import DocumentError, PimentohoistError
from pimentohoist.platform import (
    STREAM_RECORDS,
    EraChangedError,
    KeyedRecord,
    ReadPosition,
    RecordsExpiredError,
    Store,
)

_STEP = 'stream_log'
_MIN_APPEND_INTERVAL_S = 0.1
_APPEND_INTERVAL_PER_DAEMON_S = 0.004
"""All daemons together append at most 250 batches a second; one takes the store 2 ms."""

_RETRY_INTERVAL_S = 1.0
_MAX_READ_AGE_S = 0.1
"""Take-ups within this time share a read."""

_MAX_PENDING = 10_000
_MAX_READS = 64
_MAX_TEXT_LENGTH = 256
_MAX_REJECTIONS_LOGGED = 8
_NO_STREAM = ''
_NAME_PREFIX = 'name:'
"""Tells the name of a daemon of an earlier build from an incarnation."""

_MALFORMED = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    RecursionError,
    OverflowError,
)

_logger = logging.getLogger(__name__)


@dataclass(slots=True)
class StreamHistory:
    """What the store has on the streams of all daemons.

    Attributes
    ----------
    versions : VersionHistory
        The versions that daemons have seen in service.
    position : ReadPosition or None
        Where the next read goes on; None before the first one.
    """

    register: StreamRegister = field(default_factory=StreamRegister)
    versions: VersionHistory = field(default_factory=VersionHistory)
    position: ReadPosition | None = None


@dataclass(frozen=True, slots=True)
class AppendedVersions:
    """The versions that this daemon has recorded in the store.

    Attributes
    ----------
    at : float
        When the append was sent, on the daemon's clock.
    era : int
        Era of the store that has them.
    versions : frozenset of tuple
        Pairs of group and version.
    """

    at: float = -math.inf
    era: int = -1
    versions: frozenset[tuple[str, str]] = frozenset()


class StreamLog:
    """Appends versions of streams to the store, and reads those of all daemons.

    Parameters
    ----------
    member : str
        This daemon's name in the fleet.
    incarnation : str
        Name of this start of the daemon.
    fleet_size : callable
        Returns the number of daemons.

    Attributes
    ----------
    version_ages : callable
        Returns the versions that this daemon has seen in service.
    appended : AppendedVersions
        The last ones that the store has accepted.
    """

    def __init__(
        self,
        store: Store,
        member: str,
        incarnation: str,
        fleet_size: Callable[[], int],
    ) -> None:
        self.store = store
        self.member = member
        self.incarnation = incarnation
        self.fleet_size = fleet_size
        self.version_ages: Callable[[], VersionAges] = dict
        self.appended = AppendedVersions()
        self._pending: list[StreamRecord] = []
        self._is_append_due = False
        self._is_failing = False
        self._lock = threading.Lock()
        self._read_lock = threading.Lock()
        self._history = StreamHistory()
        self._read_at = float('-inf')
        self._rejections = 0

    def append(self, records: Sequence[StreamRecord]) -> None:
        """Append streams with the next batch."""
        with self._lock:
            self._pending.extend(records)
            self._pending = self._pending[-_MAX_PENDING:]
            if not self._pending:
                return
        self.append_versions()

    def append_versions(self) -> None:
        """Append the versions in service with the next batch, even if it has no streams."""
        with self._lock:
            if self._is_append_due:
                return
            self._is_append_due = True
        interval_s = _APPEND_INTERVAL_PER_DAEMON_S * self.fleet_size()
        least_s = _RETRY_INTERVAL_S if self._is_failing else _MIN_APPEND_INTERVAL_S
        timer = threading.Timer(max(least_s, interval_s), self._append_pending)
        timer.daemon = True
        timer.start()

    def read(self) -> StreamHistory | None:
        """Return what the store has; None if it can't be read completely now."""
        with self._read_lock:
            if _clock.now() < self._read_at + _MAX_READ_AGE_S:
                return self._history
            try:
                self._read_new()
            except PimentohoistError as error:
                extra = {'step': _STEP, 'cause': str(error)}
                _logger.warning('records of streams not read', extra=extra)
                return None
            self._read_at = _clock.now()
            return self._history

    def _append_pending(self) -> None:
        with self._lock:
            self._is_append_due = False
            pending, self._pending = self._pending, []
        sent_at, era = _clock.now(), self.store.era.current
        ages = self.version_ages()
        document = {
            'era': era,
            'groups': _grouped(pending, ages),
            'incarnation': self.incarnation,
            'clock_s': round(sent_at, 3),
            'versions': ages,
        }
        try:
            self.store.put(STREAM_RECORDS, self.member, document)
        except PimentohoistError as error:
            if not self._is_failing:
                extra = {'step': _STEP, 'streams': len(pending), 'cause': str(error)}
                _logger.warning('streams not appended', extra=extra)
            self._is_failing = True
            # A record that is appended twice does no harm.
            self.append(pending)
            return
        pairs = ((group, version) for group in ages for version in ages[group])
        self.appended = AppendedVersions(sent_at, era, frozenset(pairs))
        if self._is_failing:
            extra = {'step': _STEP, 'streams': len(pending)}
            _logger.info('streams are appended again', extra=extra)
        self._is_failing = False

    def _read_new(self) -> None:
        for _ in range(_MAX_READS):
            records = self._read_page()
            apply_each(records, STREAM_RECORDS, self._apply)
            if not records:
                return
        raise PimentohoistError(f'more than {_MAX_READS} pages', step=_STEP)

    def _read_page(self) -> list[KeyedRecord]:
        position = self._history.position
        if position is None:
            position = ReadPosition(0, self.store.era.current)
        try:
            records, position = self._read_from(position)
        except EraChangedError:
            # Offsets are given out again in a new era; what was read remains true.
            self._history.position = None
            raise
        self._history.position = position
        return records

    def _read_from(
        self, position: ReadPosition
    ) -> tuple[list[KeyedRecord], ReadPosition]:
        try:
            return self.store.read_changes(STREAM_RECORDS, position, wait_s=0)
        except RecordsExpiredError as error:
            first = ReadPosition(error.first_offset, self.store.era.current)
        return self.store.read_changes(STREAM_RECORDS, first, wait_s=0)

    def _apply(self, record: KeyedRecord) -> None:
        try:
            versions, found = _decode(record)
        except DocumentError as error:
            self._log_rejected(record.key, error)
            return
        now = _clock.now()
        self._history.versions.apply(versions, now)
        for stream in found:
            self._history.register.record(stream.stream, stream.version, now)

    def _log_rejected(self, key: str, error: DocumentError) -> None:
        self._rejections += 1
        if self._rejections <= _MAX_REJECTIONS_LOGGED:
            extra = {'step': _STEP, 'key': key[:_MAX_TEXT_LENGTH], 'cause': str(error)}
            _logger.warning('record of streams rejected', extra=extra)


def _grouped(
    records: Sequence[StreamRecord], ages: VersionAges
) -> dict[str, dict[str, list[str]]]:
    """Return the streams by group and version.

    Earlier builds learn of a version only by a stream that began at it.
    """
    groups = {
        group: {version: [_NO_STREAM] for version in versions}
        for group, versions in ages.items()
    }
    for record in records:
        versions = groups.setdefault(record.group, {})
        streams = versions.setdefault(record.version, [_NO_STREAM])
        streams.append(record.stream)
    return groups


def _decode(record: KeyedRecord) -> tuple[VersionRecord, list[StreamRecord]]:
    """Return the versions and the streams of a record; raises DocumentError."""
    try:
        document = json.loads(record.body or b'')
        streams = list(_streams(document['groups']))
        versions = _version_record(record.key, document)
    except _MALFORMED as error:
        raise DocumentError(f'record of streams: {error!r:.200}', step=_STEP) from error
    return versions, [found for found in streams if found.stream != _NO_STREAM]


def _version_record(key: str, document: Mapping[str, Any]) -> VersionRecord:
    """Return the versions that a record names; earlier builds name those of streams."""
    era = int(document['era'])
    if 'incarnation' not in document:
        ages = {
            group: dict.fromkeys(versions, float())
            for group, versions in document['groups'].items()
        }
        return VersionRecord(f'{_NAME_PREFIX}{key}', era, None, ages)
    return VersionRecord(
        _checked(document['incarnation']),
        era,
        _seconds(document['clock_s']),
        {
            _checked(group): {
                _checked(version): _seconds(age_s) for version, age_s in ages.items()
            }
            for group, ages in document['versions'].items()
        },
    )


def _streams(
    groups: Mapping[str, Mapping[str, Sequence[str]]],
) -> Iterator[StreamRecord]:
    for group, versions in groups.items():
        for version, streams in versions.items():
            yield from (
                StreamRecord(_checked(stream), version, group, 0) for stream in streams
            )


def _checked(name: object) -> str:
    if not isinstance(name, str) or len(name) > _MAX_TEXT_LENGTH:
        raise ValueError('expected a name')
    return name


def _seconds(number: object) -> float:
    if isinstance(number, bool) or not isinstance(number, int | float):
        raise TypeError('expected a number of seconds')
    if not 0 <= number < math.inf:
        raise ValueError('expected a finite number of seconds')
    return float(number)
