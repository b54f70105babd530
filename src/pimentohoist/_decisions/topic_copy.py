"""A daemon's copy of a keyed topic, and what has changed in it lately."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

_DIGEST_BYTES = 6
_ANNOUNCED_S = 2.5
"""Five heartbeats of a large fleet, of which some may be lost."""

_MAX_ANNOUNCED_BYTES = 5_000
"""Keeps a bundle of all heartbeats with those of eight readers below the largest datagram
of 65,000 bytes, even if none of it can be compressed."""


@dataclass(frozen=True, slots=True)
class Change:
    """A record of the topic.

    Attributes
    ----------
    offset : int
        Its place in the topic, valid in one era of the store.
    body : bytes or None
        None if the key was deleted.
    """

    offset: int
    key: str
    body: bytes | None


class TopicCopy:
    """The newest record of each key, as the store's log orders them.

    Records may come late or twice: from the store, and from daemons that have read on.

    Parameters
    ----------
    identity : callable
        Returns the part of a record that daemons have to agree on; the rest changes with
        each write.

    Attributes
    ----------
    era, offset : int
        Position up to which the records are known.
    digest : int
        Equal for copies whose records are the same in what daemons have to agree on.
    """

    def __init__(self, identity: Callable[[bytes], bytes]) -> None:
        self.identity = identity
        self.era = 0
        self.offset = 0
        self.digest = 0
        self._whole_offset = 0
        self._newest: dict[str, Change] = {}
        self._digests: dict[str, int] = {}
        self._recent: list[tuple[float, Change]] = []

    def replace(
        self, records: Iterable[tuple[str, bytes]], era: int, end: int
    ) -> list[Change]:
        """Take over the whole content of the topic up to an offset; return what is kept.

        Changes from `end` on that became known meanwhile stay.
        """
        if era != self.era:
            self._newest, self._recent = {}, []
        later = {
            key: change for key, change in self._newest.items() if change.offset >= end
        }
        listed = {key: Change(end - 1, key, body) for key, body in records}
        self._newest = {**listed, **later}
        self._digests = {
            key: self._digest_of(change) for key, change in self._newest.items()
        }
        self.digest = 0
        for digest in self._digests.values():
            self.digest ^= digest
        self.offset = max(self.offset, end) if era == self.era else end
        self.era, self._whole_offset = era, end
        return [change for change in self._newest.values() if change.body is not None]

    def apply(self, changes: Iterable[Change], now: float) -> list[Change]:
        """Apply changes of the copy's era; return those that are newer than what is known."""
        return [change for change in changes if self._apply(change, now)]

    def advance(self, offset: int) -> None:
        """Record that nothing that matters is missing up to an offset."""
        self.offset = max(self.offset, offset)

    def recent(self, now: float) -> list[Change]:
        """Return the newest changes of the last seconds that matter, in a bounded size."""
        self._recent = [
            (at, change) for at, change in self._recent if now - at < _ANNOUNCED_S
        ]
        changes: list[Change] = []
        left_bytes = _MAX_ANNOUNCED_BYTES
        for _, change in reversed(self._recent):
            left_bytes -= len(change.key) + len(change.body or b'')
            if left_bytes < 0:
                break
            changes.append(change)
        return list(reversed(changes))

    def _apply(self, change: Change, now: float) -> bool:
        known = self._newest.get(change.key)
        known_offset = self._whole_offset - 1 if known is None else known.offset
        if change.offset <= known_offset:
            return False
        self._newest[change.key] = change
        before = self._digests.get(change.key, 0)
        digest = self._digest_of(change)
        self._digests[change.key] = digest
        self.digest ^= before ^ digest
        if before != digest:
            self._recent.append((now, change))
        return True

    def _digest_of(self, change: Change) -> int:
        if change.body is None:
            return 0
        text = change.key.encode() + b'\n' + self.identity(change.body)
        return int.from_bytes(hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest())
