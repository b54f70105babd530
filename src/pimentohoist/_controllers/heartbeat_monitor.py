"""Heartbeats to a few members of the view, and expiry of those that don't answer."""

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

_PEER_TIMEOUT_S = 0.4
_MAX_NEIGHBOURS = 3
_MAX_MISSES = 4
_MAX_MISSES_WHEN_ALL_SILENT = 12
"""Misses after which a member expires even if no other neighbour answers either."""
_logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PendingHeartbeat:
    """A heartbeat in flight."""

    member: Member
    reply: Future[Any]


class MemberProber:
    """Calls members and detects incarnations that can no longer act.

    Parameters
    ----------
    on_exited : callable
        Called with a member whose incarnation no longer acts.

    Attributes
    ----------
    ended : ExitDetector
        Incarnations that no longer act, as replies or refused connections prove.
    """

    def __init__(
        self, peers: Peers, clock: Clock, on_exited: Callable[[Member], None]
    ) -> None:
        self.peers = peers
        self.clock = clock
        self.on_exited = on_exited
        self.ended = ExitDetector()
        self._lock = threading.Lock()

    def call(self, member: Member, method: str, request: Any) -> Any:
        """Return the reply; None on failure or if another incarnation replied."""
        try:
            reply = self.peers.call(
                member.peer_address, method, request, timeout_s=_PEER_TIMEOUT_S
            )
        except PeerError as error:
            self._record_failure(member, error)
            return None
        with self._lock:
            if reply.sender.incarnation == member.incarnation:
                self.ended.record_response(member.incarnation)
                return reply
            self.ended.record_replaced(member.incarnation, self.clock())
        self.on_exited(member)
        return None

    def _record_failure(self, member: Member, error: PeerError) -> None:
        with self._lock:
            if not _is_connection_refused(error):
                self.ended.record_silence(member.incarnation)
                return
            has_ended = self.ended.record_refused(member.incarnation, self.clock())
        if has_ended:
            self.on_exited(member)


class HeartbeatMonitor:
    """Sends heartbeats to the members that rank highest for this daemon.

    Attributes
    ----------
    misses : Counter of str
        By incarnation: consecutive heartbeats without a reply.
    """

    def __init__(
        self, view: ViewController, prober: MemberProber, pool: ThreadPoolExecutor
    ) -> None:
        self.view = view
        self.prober = prober
        self.misses: Counter[str] = Counter()
        self._pool = pool

    def send_heartbeats(self, view: View) -> list[PendingHeartbeat]:
        """Send a heartbeat to each neighbour."""
        own = self.view.incarnation
        others = [member for member in view.members if member.incarnation != own]
        request = peer_pb2.HeartbeatRequest(sender=self._sender())
        return [
            PendingHeartbeat(
                member,
                self._pool.submit(self.prober.call, member, 'Heartbeat', request),
            )
            for member in rank_members(f'neighbours/{own}', others)[:_MAX_NEIGHBOURS]
        ]

    def record_replies(self, heartbeats: list[PendingHeartbeat]) -> None:
        """Count missing replies, and expire members that ended or missed too many."""
        unresponsive = [
            heartbeat.member
            for heartbeat in heartbeats
            if heartbeat.reply.result() is None
        ]
        for heartbeat in heartbeats:
            if heartbeat.member not in unresponsive:
                self.misses.pop(heartbeat.member.incarnation, None)
        max_misses = (
            _MAX_MISSES
            if len(unresponsive) < len(heartbeats)
            else _MAX_MISSES_WHEN_ALL_SILENT
        )
        for member in unresponsive:
            self.misses[member.incarnation] += 1
            has_ended = member.incarnation in self.prober.ended.inactive_since
            if has_ended or self.misses[member.incarnation] >= max_misses:
                _logger.warning(
                    'expiring member that ended or missed too many heartbeats',
                    extra={'step': 'heartbeat', 'peer': member.peer_address},
                )
                self.view.expire(member)

    def answer_heartbeat(
        self, request: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply:
        """Reply to another member's heartbeat."""
        return peer_pb2.HeartbeatReply(sender=self._sender())

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)


def _is_connection_refused(error: PeerError) -> bool:
    is_connecting = isinstance(error, PeerConnectError)
    return is_connecting and 'connection refused' in error.message.lower()
