"""Freshness from witnesses instead of the log, and detection of failed members."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Self

from pimentohoist._controllers.exit_prober import ExitProber
from pimentohoist._controllers.heartbeat_monitor import MemberProber, HeartbeatMonitor
from pimentohoist._controllers.view import ViewController
from pimentohoist._decisions.ownership_terms import MAX_FRESH_AGE_S
from pimentohoist._decisions.witnesses import (
    FencedViews,
    choose_witnesses,
    is_confirmed,
    can_witnesses_replace_log,
)
from pimentohoist._generated import peer_pb2
from pimentohoist._view_fold import VIEW_STREAM, View
from pimentohoist.models import Member
from pimentohoist.protocols import Clock, Peers

_STEP = 'freshness'
_TICK_PERIOD_S = 0.4
_MAX_POOL_THREADS = 12
_logger = logging.getLogger(__name__)


class FreshnessController:
    """Queries witnesses and sends heartbeats to neighbours at short intervals.

    Attributes
    ----------
    fenced_views : FencedViews
        Tracks the fenced views, in which no daemon can act any more.
    fenced_at : dict of int to float
        By epoch: monotonic time in seconds at which all older views were found fenced.
    exit_prober : ExitProber
        Finds out which departed members' processes have ended.
    witness_confirmations : int
        How often the witnesses confirmed that this daemon is up to date.
    """

    def __init__(
        self, view: ViewController, peers: Peers, clock: Clock = time.monotonic
    ) -> None:
        self.view = view
        self.clock = clock
        self.fenced_views = FencedViews()
        self.fenced_at: dict[int, float] = {}
        self.witness_confirmations = 0
        self.prober = MemberProber(peers, clock, self._record_exited)
        self._lock = threading.RLock()
        self._pool = ThreadPoolExecutor(_MAX_POOL_THREADS, thread_name_prefix=_STEP)
        self.exit_prober = ExitProber(self.prober, self.fenced_at, self._pool, clock)
        self.heartbeat_monitor = HeartbeatMonitor(view, self.prober, self._pool)
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=_STEP, daemon=True)

    def __enter__(self) -> Self:
        """Start the queries."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the queries."""
        self._closed.set()
        self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the handlers of other daemons' calls, by method."""
        return {
            'Heartbeat': self.heartbeat_monitor.answer_heartbeat,
            'Witness': self._answer_witness,
        }

    def dump(self) -> Mapping[str, Any]:
        """Return the fenced epoch, witness confirmations and heartbeat misses."""
        with self._lock:
            return {
                'fenced_epoch': self.fenced_views.epoch,
                'confirmed_by_witnesses': self.witness_confirmations,
                'misses': dict(self.heartbeat_monitor.misses),
            }

    def tick(self) -> None:
        """Run one round of heartbeats, exit probes and witness queries."""
        self._read_views()
        view = self._latest_view()
        if view is None:
            return
        with self._lock:
            witnesses = {
                member.incarnation: member
                for member in self.fenced_views.unfenced_witnesses()
            }
        if self.clock() - self.view.heads_read_at() > MAX_FRESH_AGE_S / 2:
            witnesses.update(
                (member.incarnation, member) for member in choose_witnesses(view)
            )
        heartbeats = self.heartbeat_monitor.send_heartbeats(view)
        self.exit_prober.tick(peer_pb2.HeartbeatRequest(sender=self._sender()))
        self._query_witnesses(view, witnesses.values())
        self.heartbeat_monitor.record_replies(heartbeats)
        with self._lock:
            self.fenced_views.fence_old(self.clock())
            self._record_fenced()

    def _run(self) -> None:
        while not self._closed.wait(_TICK_PERIOD_S):
            try:
                self.tick()
            except Exception:
                _logger.exception('freshness check failed', extra={'step': _STEP})

    def _read_views(self) -> None:
        views, _ = self.view.recent_views()
        with self._lock:
            last = self.fenced_views.views[-1].epoch if self.fenced_views.views else -1
            if views and views[0].epoch > last:
                # First views, or a gap: more views have passed than are kept.
                self.fenced_views.restart()
            for view in views:
                if view.epoch > last:
                    self.fenced_views.add(view, self.clock())
            self.fenced_views.record_offset(
                self.view.incarnation, self._positions()[VIEW_STREAM]
            )
            self._record_fenced()

    def _latest_view(self) -> View | None:
        with self._lock:
            return self.fenced_views.views[-1] if self.fenced_views.views else None

    def _record_fenced(self) -> None:
        """Record the time for each view whose predecessors are fenced."""
        for view in self.fenced_views.views:
            if view.epoch <= self.fenced_views.epoch:
                self.fenced_at.setdefault(view.epoch, self.clock())

    def _query_witnesses(self, view: View, members: Iterable[Member]) -> None:
        asked_at = self.clock()
        request = peer_pb2.WitnessRequest(
            sender=self._sender(), positions=_position_messages(self._positions())
        )
        others = [
            member for member in members if member.incarnation != self.view.incarnation
        ]
        pending_replies = self._pool.map(
            lambda member: self.prober.call(member, 'Witness', request), others
        )
        replies: dict[str, dict[str, int]] = {}
        for member, reply in zip(others, pending_replies, strict=True):
            if reply is not None:
                replies[member.incarnation] = self._record_reply(member, reply)
        is_log_recent = can_witnesses_replace_log(self.view.heads_read_at(), asked_at)
        if is_log_recent and is_confirmed(
            view, self.view.incarnation, self._positions(), replies
        ):
            self.witness_confirmations += 1
            self.view.confirm_fresh(asked_at)

    def _record_reply(
        self, member: Member, reply: peer_pb2.WitnessReply
    ) -> dict[str, int]:
        positions = {entry.stream: entry.next_offset for entry in reply.positions}
        with self._lock:
            self.fenced_views.record_offset(
                member.incarnation, positions.get(VIEW_STREAM, 0)
            )
            self.fenced_views.raise_epoch(reply.fenced_epoch)
        return positions

    def _record_exited(self, member: Member) -> None:
        """Record that another incarnation, or none, now uses the member's address."""
        with self._lock:
            self.fenced_views.record_exited(member.incarnation)

    def _answer_witness(
        self, request: peer_pb2.WitnessRequest
    ) -> peer_pb2.WitnessReply:
        with self._lock:
            return peer_pb2.WitnessReply(
                sender=self._sender(),
                positions=_position_messages(self._positions()),
                fenced_epoch=self.fenced_views.epoch,
            )

    def _positions(self) -> dict[str, int]:
        return {
            follower.stream: follower.fold.next_offset
            for follower in self.view.followers
        }

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)


def _position_messages(
    positions: Mapping[str, int],
) -> tuple[peer_pb2.StreamPosition, ...]:
    return tuple(
        peer_pb2.StreamPosition(stream=stream, next_offset=offset)
        for stream, offset in positions.items()
    )
