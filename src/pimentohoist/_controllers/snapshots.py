"""Appends snapshots before retention drops what they cover, and gives them to peers."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Self

import grpc

from pimentohoist._controllers.follower import StreamFollower
from pimentohoist._generated import peer_pb2
from pimentohoist._snapshots import (
    Snapshot,
    chunk_records,
    snapshots_stream,
)
from pimentohoist.exceptions import LogError, PeerError, UnavailableError
from pimentohoist.protocols import Clock, Log, Peers
from pimentohoist.settings import SnapshotSettings

_STEP = 'snapshots'
_CHECK_S = 0.5
_PEER_TIMEOUT_S = 5.0
_PEER_CHUNK_BYTES = 1_048_576
_RECORDS_AN_APPEND = 8
_RETRY_AFTER_S = 1.0
_OTHERS_INTERVALS = 8
_logger = logging.getLogger(__name__)


class SnapshotsController:
    """Appends snapshots of the streams that this daemon is the home of.

    A stream's home is the member chosen for ``snapshots/<stream>`` in the view. Two
    members that both hold themselves to be the home only append a snapshot too many, and
    one that comes late is merely old, so that no fencing is needed. The other members
    append one too, but seldom: the home may be a newcomer that has no state yet and waits
    for a snapshot itself.

    Parameters
    ----------
    followers : sequence of StreamFollower
        Streams to keep.
    is_owner : callable
        Whether this daemon is the home of a thing.
    """

    def __init__(
        self,
        log: Log,
        followers: Sequence[StreamFollower[Any]],
        is_owner: Callable[[str], bool],
        settings: SnapshotSettings,
        clock: Clock = time.monotonic,
    ) -> None:
        self.log = log
        self.followers = {follower.stream: follower for follower in followers}
        self.is_owner = is_owner
        self.settings = settings
        self.clock = clock
        self.appended: dict[str, tuple[int, float]] = {}
        self.errors = 0
        self.started_at = clock()
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=_STEP, daemon=True)

    def __enter__(self) -> Self:
        """Start."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; an append under way may outlive this call."""
        self._closed.set()

    def dump(self) -> Mapping[str, Any]:
        """Return what was appended last, by stream."""
        now = self.clock()
        appended = {
            stream: {'next_offset': offset, 'appended_s_ago': round(now - at, 3)}
            for stream, (offset, at) in self.appended.copy().items()
        }
        return {'appended': appended, 'errors': self.errors}

    def append_due(self) -> None:
        """Append a snapshot of each stream of which one is due here."""
        for stream, follower in self.followers.items():
            if self._is_due(follower, is_owner=self.is_owner(f'snapshots/{stream}')):
                self._append(follower.snapshot(), stream)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the functions that answer other daemons."""
        return {'FetchSnapshot': self.fetch_snapshot}

    def fetch_snapshot(self, request: Any) -> Iterator[Any]:
        """Return this daemon's own state of a stream in chunks."""
        follower = self.followers.get(request.stream)
        if follower is None or not follower.is_known():
            raise UnavailableError(
                f'no state of stream {request.stream!r}',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        return _chunks(follower.snapshot())

    def _run(self) -> None:
        while not self._closed.wait(_CHECK_S):
            try:
                self.append_due()
            except LogError as error:
                self.errors += 1
                _logger.warning(
                    'snapshot not appended: %s',
                    error.message,
                    extra={'step': _STEP, 'peer': error.peer},
                )

    def _is_due(self, follower: StreamFollower[Any], *, is_owner: bool) -> bool:
        if not follower.has_read_head():
            return False
        never = (0, float('-inf') if is_owner else self.started_at)
        offset, at = self.appended.get(follower.stream, never)
        age_s = self.clock() - at
        if is_owner:
            count = follower.next_offset - offset
            is_behind = count >= self.settings.every_records
            return is_behind or age_s >= self.settings.every_s
        return age_s >= self.settings.every_s * _OTHERS_INTERVALS

    def _append(self, snapshot: Snapshot, stream: str) -> None:
        records = chunk_records(snapshot)
        for start in range(0, len(records), _RECORDS_AN_APPEND):
            part = records[start : start + _RECORDS_AN_APPEND]
            self.log.append(snapshots_stream(stream), part)
        self.appended[stream] = (snapshot.next_offset, self.clock())


class PeerSnapshots:
    """Fetches a stream's state from other daemons, for a start without the log."""

    def __init__(self, peers: Peers, addresses: Sequence[str]) -> None:
        self.peers = peers
        self.addresses = addresses

    def fetch(self, stream: str) -> Snapshot | None:
        """Return the snapshot that covers most among those of the peers that answer."""
        found = (self._fetch_from(address, stream) for address in self.addresses)
        known = [snapshot for snapshot in found if snapshot is not None]
        return max(known, key=lambda snapshot: snapshot.next_offset, default=None)

    def _fetch_from(self, address: str, stream: str) -> Snapshot | None:
        request = peer_pb2.SnapshotRequest(stream=stream)
        try:
            return _join(
                self.peers.call(
                    address, 'FetchSnapshot', request, timeout_s=_PEER_TIMEOUT_S
                )
            )
        # The answer is streamed: what ends it early comes as gRPC's own error.
        except (PeerError, grpc.RpcError) as error:
            _logger.warning(
                'no snapshot from a peer: %s',
                error,
                extra={'step': _STEP, 'peer': address, 'stream': stream},
            )
        return None


def _chunks(snapshot: Snapshot) -> Iterator[Any]:
    starts = range(0, len(snapshot.body), _PEER_CHUNK_BYTES)
    for start in starts:
        part = snapshot.body[start : start + _PEER_CHUNK_BYTES]
        yield peer_pb2.SnapshotChunk(next_offset=snapshot.next_offset, body=part)


def _join(chunks: Iterator[Any]) -> Snapshot | None:
    received = list(chunks)
    if not received:
        return None
    body = b''.join(chunk.body for chunk in received)
    return Snapshot(received[0].next_offset, body)
