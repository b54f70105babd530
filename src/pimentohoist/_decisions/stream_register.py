"""The software versions of engines that began streams."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

_KEPT_S = 60.0
"""Longer than callers wait for a stream."""

_MAX_STREAMS = 30_000
_DIGEST_BYTES = 8


def stream_digest(attempt_id: str) -> str:
    """Return the name of a stream, by the attempt that brought its first event."""
    digest = hashlib.blake2b(attempt_id.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """Which software version began a stream.

    Attributes
    ----------
    group : str
        Group of the engine; empty if another daemon reported the stream.
    recorded_at : float
        Monotonic time in seconds.
    """

    stream: str
    version: str
    group: str
    recorded_at: float


class StreamRegister:
    """Streams with their versions, for a limited time and number; the oldest go first."""

    def __init__(self) -> None:
        self._records: dict[str, StreamRecord] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._records)

    def record(self, stream: str, version: str, now: float, group: str = '') -> None:
        """Record that a stream began or went on at a version."""
        self._records.pop(stream, None)
        self._records[stream] = StreamRecord(stream, version, group, now)
        while len(self._records) > _MAX_STREAMS or self._oldest_at() < now - _KEPT_S:
            self._records.pop(next(iter(self._records)))

    def version(self, stream: str, now: float) -> str | None:
        """Return the version of a stream; None if it isn't known."""
        record = self._records.get(stream)
        if record is None or record.recorded_at < now - _KEPT_S:
            return None
        return record.version

    def recent(self, group: str, since: float) -> list[StreamRecord]:
        """Return the streams of a group that were recorded since a time."""
        return [
            record
            for record in self._records.values()
            if record.group == group and record.recorded_at >= since
        ]

    def _oldest_at(self) -> float:
        return next(iter(self._records.values())).recorded_at
