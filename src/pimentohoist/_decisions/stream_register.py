"""The software versions of engines that began streams."""

from __future__ import annotations

import hashlib

_KEPT_S = 60.0
"""Longer than callers wait for a stream."""

_MAX_STREAMS = 30_000
_DIGEST_BYTES = 8


def stream_digest(attempt_id: str) -> str:
    """Return the name of a stream, by the attempt that brought its first event."""
    digest = hashlib.blake2b(attempt_id.encode(), digest_size=_DIGEST_BYTES)
    return digest.hexdigest()


class StreamRegister:
    """Versions by stream, for a limited time and number; the oldest are dropped first."""

    def __init__(self) -> None:
        self._versions: dict[str, tuple[str, float]] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._versions)

    def record(self, stream: str, version: str, now: float) -> None:
        """Record that a stream began or went on at a version."""
        self._versions.pop(stream, None)
        self._versions[stream] = version, now
        while len(self._versions) > _MAX_STREAMS or self._oldest_at() < now - _KEPT_S:
            self._versions.pop(next(iter(self._versions)))

    def version(self, stream: str, now: float) -> str:
        """Return the version of a stream; empty if it isn't known."""
        version, recorded_at = self._versions.get(stream, ('', 0))
        return version if recorded_at >= now - _KEPT_S else ''

    def _oldest_at(self) -> float:
        _, recorded_at = next(iter(self._versions.values()))
        return recorded_at
