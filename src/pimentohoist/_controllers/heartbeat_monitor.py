"""Heartbeats to a few members of the view; those that stay silent expire."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from pimentohoist._controllers.view import ViewController
from pimentohoist._decisions.departures import ExitDetector
from pimentohoist._generated import peer_pb2
from pimentohoist._view_fold import View, rank_members
from pimentohoist.exceptions import PeerConnectError, PeerError
from pimentohoist.models import Member
from pimentohoist.protocols import Clock, Peers

_TIMEOUT_S = 0.4
_NEIGHBOURS = 3
_MISSES = 4
_MISSES_OF_ALL = 12
"""Misses after which a member expires although no other neighbour answers either."""
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PendingHeartbeat:
    """A heartbeat under way."""

    member: Member
    reply: Future[Any]


class MemberProber:
    """Asks members and tells which of them have certainly ended.

    Parameters
    ----------
    record_gone : callable
        Called with a member whose incarnation no longer acts.

    Attributes
    ----------
    ended : ExitDetector
        What the answers prove.
    """

    def __init__(
        self, peers: Peers, clock: Clock, record_gone: Callable[[Member], None]
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.record_gone = record_gone
        self.ended = ExitDetector()
        self._lock = threading.Lock()

    def ask(self, member: Member, method: str, request: Any) -> Any:
        """Return the reply of this very incarnation; None if there is none."""
        try:
            reply = self.peers.call(
                member.peer_address, method, request, timeout_s=_TIMEOUT_S
            )
        except PeerError as error:
            self._record_failure(member, error)
            return None
        with self._lock:
            if reply.sender.incarnation == member.incarnation:
                self.ended.record_answer(member.incarnation)
                return reply
            self.ended.record_replaced(member.incarnation, self.clock())
        self.record_gone(member)
        return None

    def _record_failure(self, member: Member, error: PeerError) -> None:
        with self._lock:
            if not _is_refused(error):
                self.ended.record_silence(member.incarnation)
                return
            has_ended = self.ended.record_refused(member.incarnation, self.clock())
        if has_ended:
            self.record_gone(member)


class HeartbeatMonitor:
    """Beats to the members that rank highest for this one.

    Attributes
    ----------
    misses : Counter of str
        By incarnation: heartbeats in a row without an answer.
    """

    def __init__(
        self, view: ViewController, asker: MemberProber, pool: ThreadPoolExecutor
    ) -> None:
        self.view = view
        self.asker = asker
        self.misses: Counter[str] = Counter()
        self._pool = pool

    def heartbeat(self, view: View) -> list[PendingHeartbeat]:
        """Send a heartbeat to each neighbour."""
        own = self.view.incarnation
        others = [member for member in view.members if member.incarnation != own]
        request = peer_pb2.HeartbeatRequest(sender=self._sender())
        return [
            PendingHeartbeat(
                member, self._pool.submit(self.asker.ask, member, 'Heartbeat', request)
            )
            for member in rank_members(f'neighbours/{own}', others)[:_NEIGHBOURS]
        ]

    def record(self, heartbeats: list[PendingHeartbeat]) -> None:
        """Count who hasn't answered, and expire whoever hasn't several times."""
        silent = [
            heartbeat.member
            for heartbeat in heartbeats
            if heartbeat.reply.result() is None
        ]
        for heartbeat in heartbeats:
            if heartbeat.member not in silent:
                self.misses.pop(heartbeat.member.incarnation, None)
        most = _MISSES if len(silent) < len(heartbeats) else _MISSES_OF_ALL
        for member in silent:
            self.misses[member.incarnation] += 1
            has_ended = member.incarnation in self.asker.ended.inactive_since
            if has_ended or self.misses[member.incarnation] >= most:
                _logger.warning(
                    'member is gone',
                    extra={'step': 'heartbeat', 'peer': member.peer_address},
                )
                self.view.expire(member)

    def answer(self, request: peer_pb2.HeartbeatRequest) -> peer_pb2.HeartbeatReply:
        """Answer another member's heartbeat."""
        return peer_pb2.HeartbeatReply(sender=self._sender())

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)


def _is_refused(error: PeerError) -> bool:
    is_connecting = isinstance(error, PeerConnectError)
    return is_connecting and 'connection refused' in error.message.lower()
