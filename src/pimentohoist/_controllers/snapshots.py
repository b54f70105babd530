"""Snapshots of streams, appended before retention drops records, and served to peers."""

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
_CHECK_PERIOD_S = 0.5
_PEER_TIMEOUT_S = 5.0
_PEER_CHUNK_BYTES = 1_048_576
_MAX_RECORDS_PER_APPEND = 8
_RETRY_AFTER_S = 1.0
_NON_OWNER_INTERVALS = 8
_logger = logging.getLogger(__name__)


class SnapshotsController:
    """Appends snapshots of the streams that this daemon is the owner of.

    The owner of a stream is the owner of the resource key ``snapshots/<stream>``. No
    fencing is needed: if two members both act as the owner, one snapshot is superfluous,
    and a late snapshot is only older than it could be. The other members append snapshots
    too, at longer intervals, because the owner may have just joined without a state and
    be waiting for a snapshot itself.

    Parameters
    ----------
    followers : sequence of StreamFollower
        Followers of the streams to append snapshots of.
    is_owner : callable
        Whether this daemon is the owner of a resource key.
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
        """Start the checks for due snapshots."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop; an append in flight may still run after this call."""
        self._closed.set()

    def dump(self) -> Mapping[str, Any]:
        """Return the offset and age of the last appended snapshot, by stream."""
        now = self.clock()
        appended = {
            stream: {'next_offset': offset, 'appended_s_ago': round(now - at, 3)}
            for stream, (offset, at) in self.appended.copy().items()
        }
        return {'appended': appended, 'errors': self.errors}

    def append_due(self) -> None:
        """Append a snapshot of each stream for which one is due on this daemon."""
        for stream, follower in self.followers.items():
            if self._is_due(follower, is_owner=self.is_owner(f'snapshots/{stream}')):
                self._append(follower.snapshot(), stream)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the handlers of other daemons' calls, by method."""
        return {'FetchSnapshot': self.fetch_snapshot}

    def fetch_snapshot(self, request: Any) -> Iterator[Any]:
        """Return this daemon's state of a stream in chunks."""
        follower = self.followers.get(request.stream)
        if follower is None or not follower.has_state():
            raise UnavailableError(
                f'no state of stream {request.stream!r} on this daemon',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        return _split_chunks(follower.snapshot())

    def _run(self) -> None:
        while not self._closed.wait(_CHECK_PERIOD_S):
            try:
                self.append_due()
            except LogError as error:
                self.errors += 1
                _logger.warning(
                    'failed to append snapshot: %s',
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
        return age_s >= self.settings.every_s * _NON_OWNER_INTERVALS

    def _append(self, snapshot: Snapshot, stream: str) -> None:
        records = chunk_records(snapshot)
        for start in range(0, len(records), _MAX_RECORDS_PER_APPEND):
            part = records[start : start + _MAX_RECORDS_PER_APPEND]
            self.log.append(snapshots_stream(stream), part)
        self.appended[stream] = (snapshot.next_offset, self.clock())


class PeerSnapshots:
    """Fetches a stream's state from other daemons when the log is down at the start."""

    def __init__(self, peers: Peers, addresses: Sequence[str]) -> None:
        self.peers = peers
        self.addresses = addresses

    def fetch(self, stream: str) -> Snapshot | None:
        """Return the snapshot that covers most records among the peers' responses."""
        found = (self._fetch_from(address, stream) for address in self.addresses)
        known = [snapshot for snapshot in found if snapshot is not None]
        return max(known, key=lambda snapshot: snapshot.next_offset, default=None)

    def _fetch_from(self, address: str, stream: str) -> Snapshot | None:
        request = peer_pb2.SnapshotRequest(stream=stream)
        try:
            return _join_chunks(
                self.peers.call(
                    address, 'FetchSnapshot', request, timeout_s=_PEER_TIMEOUT_S
                )
            )
        # The response is streamed; if it breaks off, gRPC raises its own error.
        except (PeerError, grpc.RpcError) as error:
            _logger.warning(
                'failed to fetch snapshot from peer: %s',
                error,
                extra={'step': _STEP, 'peer': address, 'stream': stream},
            )
        return None


def _split_chunks(snapshot: Snapshot) -> Iterator[Any]:
    starts = range(0, len(snapshot.body), _PEER_CHUNK_BYTES)
    for start in starts:
        part = snapshot.body[start : start + _PEER_CHUNK_BYTES]
        yield peer_pb2.SnapshotChunk(next_offset=snapshot.next_offset, body=part)


def _join_chunks(chunks: Iterator[Any]) -> Snapshot | None:
    received = list(chunks)
    if not received:
        return None
    body = b''.join(chunk.body for chunk in received)
    return Snapshot(received[0].next_offset, body)
