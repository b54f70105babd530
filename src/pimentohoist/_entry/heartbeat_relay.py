"""Heartbeats that a daemon passes on for others, in bundles."""

from __future__ import annotations

import json
import threading
import zlib
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from pimentohoist import _clock
from pimentohoist._decisions.heartbeat_routes import HeartbeatRoutes, Hop
from pimentohoist._entry.heartbeat import Heartbeat

_MAX_ENTRIES_PER_BUNDLE = 100
"""About 30 KB of JSON, 8 KB compressed."""

_MAX_BUNDLE_BYTES = 1_048_576
_COMPRESSION_LEVEL = 1
_SUSPECTED_AFTER_S = 0.6
"""Relays of a large fleet have something to pass on each quarter of a second."""

_SUSPECTED_FOR_S = 5.0
_MAX_MEMBERS = 4096
"""Names that are remembered; several times the largest fleet."""

_Entries = list[list[Any]]
_NextHops = tuple[Hop | None, ...]
"""For each hop, by its number, how far a heartbeat has come at the target; None if it isn't
sent there."""


@dataclass(frozen=True, slots=True)
class RelayedHeartbeat:
    """A heartbeat on its way.

    Attributes
    ----------
    fields : sequence
        The heartbeat as it was decoded from JSON.
    sent_at : float
        Time of `_clock.now` in seconds at which it was sent, by the ages on its way.
    """

    fields: Sequence[Any]
    hop: Hop
    sent_at: float


class RelaySuspicion:
    """Which daemons are silent although they should send regularly."""

    def __init__(self) -> None:
        self.heard_at: dict[str, float] = {}
        self._expected_since: dict[str, float] = {}
        self._suspected_at: dict[str, float] = {}

    def record_heard(self, member: str) -> None:
        """Record that a daemon itself has sent a datagram."""
        if member not in self.heard_at and len(self.heard_at) >= _MAX_MEMBERS:
            return
        self.heard_at[member] = _clock.now()
        self._suspected_at.pop(member, None)

    def suspects(self) -> set[str]:
        """Return the daemons that are silent."""
        since = _clock.now() - _SUSPECTED_FOR_S
        return {
            member for member, at in tuple(self._suspected_at.items()) if at >= since
        }

    def expect(self, members: set[str]) -> None:
        """Suspect those of the expected senders that are silent."""
        now = _clock.now()
        self._expected_since = {
            member: self._expected_since.get(member, now) for member in members
        }
        for member, expected_since in self._expected_since.items():
            heard_at = max(expected_since, self.heard_at.get(member, 0))
            if now - heard_at > _SUSPECTED_AFTER_S:
                self._suspected_at[member] = now


class HeartbeatRelay:
    """Collects heartbeats and bundles them for those who get them next."""

    def __init__(self, member: str) -> None:
        self.member = member
        self._collected: dict[str, RelayedHeartbeat] = {}
        self._last_collected: dict[str, tuple[str, int]] = {}
        self._lock = threading.Lock()

    def collect(self, heartbeat: Heartbeat, relayed: RelayedHeartbeat) -> None:
        """Pass a heartbeat on with the next bundles, instead of an older one.

        One that this daemon already has a newer one of is passed on too: that may have
        been for this daemon only.
        """
        if relayed.hop is Hop.END:
            return
        incarnation, sequence = heartbeat.incarnation, heartbeat.sequence
        with self._lock:
            last = self._last_collected.get(heartbeat.member)
            if last is not None and last[0] == incarnation and 0 < sequence <= last[1]:
                return
            self._last_collected[heartbeat.member] = incarnation, sequence
            self._collected[heartbeat.member] = relayed

    def bundles(self, routes: HeartbeatRoutes) -> Iterator[tuple[str, bytes]]:
        """Yield each target with a datagram for it; drop what was collected.

        Targets that get the same heartbeats get the same bytes, which are encoded once:
        a relay has dozens of targets. They drop their own heartbeat themselves.
        """
        for entries, targets in self._take_entries(routes):
            for start in range(0, len(entries), _MAX_ENTRIES_PER_BUNDLE):
                part = entries[start : start + _MAX_ENTRIES_PER_BUNDLE]
                data = encode_bundle(self.member, part)
                yield from ((target, data) for target in targets)

    def _take_entries(
        self, routes: HeartbeatRoutes
    ) -> Iterator[tuple[_Entries, list[str]]]:
        """Yield lists of heartbeats, and the targets that get them."""
        with self._lock:
            collected, self._collected = self._collected, {}
        for next_hops, targets in _targets_by_hops(routes).items():
            entries = [
                _entry(relayed, next_hops[relayed.hop])
                for relayed in collected.values()
                if next_hops[relayed.hop] is not None
            ]
            yield entries, targets


def _targets_by_hops(routes: HeartbeatRoutes) -> dict[_NextHops, list[str]]:
    """Return the targets that get the same heartbeats, by the next hop for each hop."""
    onward = tuple(routes.onward(hop) for hop in Hop)
    found: defaultdict[_NextHops, list[str]] = defaultdict(list)
    all_targets = set().union(*onward)
    for target in all_targets:
        found[tuple(targets.get(target) for targets in onward)].append(target)
    return found


def _entry(relayed: RelayedHeartbeat, next_hop: Hop | None) -> list[Any]:
    age_s = round(max(0, _clock.now() - relayed.sent_at), 3)
    return [age_s, int(next_hop or Hop.ORIGIN), relayed.fields]


def encode_bundle(member: str, entries: list[list[Any]]) -> bytes:
    """Return a datagram with the heartbeats of several daemons."""
    document = {'from': member, 'bundle': entries}
    text = json.dumps(document, separators=(',', ':'))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decode_datagram(data: bytes) -> Any:
    """Return the JSON of a datagram, which may be compressed.

    Raises
    ------
    ValueError
        It is neither, or is larger than any bundle once decompressed.
    """
    if data[:1] in {b'[', b'{'}:
        return json.loads(data)
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(data, _MAX_BUNDLE_BYTES)
    except zlib.error as error:
        raise ValueError(f'neither JSON nor compressed: {error}') from error
    if not decompressor.eof:
        raise ValueError('bundle cut off or too large')
    return json.loads(text)


def decode_bundle(document: Any) -> Iterator[RelayedHeartbeat]:
    """Yield the heartbeats of a bundle; raises ValueError and TypeError."""
    now = _clock.now()
    for age_s, hop, fields in document['bundle']:
        yield RelayedHeartbeat(fields, Hop(hop), now - max(0, float(age_s)))
