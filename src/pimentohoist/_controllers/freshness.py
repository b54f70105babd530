"""Keeps this daemon fresh without the log, and finds members that are gone."""

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
from pimentohoist._decisions.ownership_terms import FRESH_S
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
_TICK_S = 0.4
_THREADS = 12
_logger = logging.getLogger(__name__)


class FreshnessController:
    """Asks witnesses and neighbours at short intervals.

    Attributes
    ----------
    fences : FencedViews
        Which views can no longer be acted upon.
    fenced_at : dict of int to float
        By epoch: monotonic time at which all older views were known to be fenced.
    proofs : ExitProber
        Which members' processes have ended.
    witnessed : int
        Times at which the witnesses confirmed that this daemon is up to date.
    """

    def __init__(
        self, view: ViewController, peers: Peers, clock: Clock = time.monotonic
    ) -> None:
        self.view = view
        self.clock = clock
        self.fences = FencedViews()
        self.fenced_at: dict[int, float] = {}
        self.witnessed = 0
        self.asker = MemberProber(peers, clock, self._record_gone)
        self._lock = threading.RLock()
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix=_STEP)
        self.proofs = ExitProber(self.asker, self.fenced_at, self._pool, clock)
        self.neighbours = HeartbeatMonitor(view, self.asker, self._pool)
        self._closed = threading.Event()
        self._thread = threading.Thread(target=self._run, name=_STEP, daemon=True)

    def __enter__(self) -> Self:
        """Start asking."""
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop asking."""
        self._closed.set()
        self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the functions that answer other daemons."""
        return {
            'Heartbeat': self.neighbours.answer,
            'Witness': self._answer_witness,
        }

    def dump(self) -> Mapping[str, Any]:
        """Return what is known of fences and neighbours."""
        with self._lock:
            return {
                'fenced_epoch': self.fences.epoch,
                'confirmed_by_witnesses': self.witnessed,
                'misses': dict(self.neighbours.misses),
            }

    def tick(self) -> None:
        """Ask whom it takes, once."""
        self._read_views()
        view = self._present()
        if view is None:
            return
        with self._lock:
            asked = {
                member.incarnation: member
                for member in self.fences.unfenced_witnesses()
            }
        if self.clock() - self.view.heads_read_at() > FRESH_S / 2:
            asked.update(
                (member.incarnation, member) for member in choose_witnesses(view)
            )
        heartbeats = self.neighbours.heartbeat(view)
        self.proofs.tick(peer_pb2.HeartbeatRequest(sender=self._sender()))
        self._ask_witnesses(view, asked.values())
        self.neighbours.record(heartbeats)
        with self._lock:
            self.fences.end_old(self.clock())
            self._record_fenced()

    def _run(self) -> None:
        while not self._closed.wait(_TICK_S):
            try:
                self.tick()
            except Exception:
                _logger.exception('freshness not kept', extra={'step': _STEP})

    def _read_views(self) -> None:
        views, _ = self.view.recent_views()
        with self._lock:
            last = self.fences.views[-1].epoch if self.fences.views else -1
            if views and views[0].epoch > last:
                # The first views, or more have passed than are kept: start anew.
                self.fences.restart()
            for view in views:
                if view.epoch > last:
                    self.fences.add(view, self.clock())
            self.fences.record_offset(
                self.view.incarnation, self._positions()[VIEW_STREAM]
            )
            self._record_fenced()

    def _present(self) -> View | None:
        with self._lock:
            return self.fences.views[-1] if self.fences.views else None

    def _record_fenced(self) -> None:
        """Note the time for every view whose predecessors are fenced."""
        for view in self.fences.views:
            if view.epoch <= self.fences.epoch:
                self.fenced_at.setdefault(view.epoch, self.clock())

    def _ask_witnesses(self, view: View, members: Iterable[Member]) -> None:
        asked_at = self.clock()
        request = peer_pb2.WitnessRequest(
            sender=self._sender(), positions=_write(self._positions())
        )
        others = [
            member for member in members if member.incarnation != self.view.incarnation
        ]
        answers = self._pool.map(
            lambda member: self.asker.ask(member, 'Witness', request), others
        )
        replies: dict[str, dict[str, int]] = {}
        for member, reply in zip(others, answers, strict=True):
            if reply is not None:
                replies[member.incarnation] = self._record_reply(member, reply)
        is_log_recent = can_witnesses_replace_log(self.view.heads_read_at(), asked_at)
        if is_log_recent and is_confirmed(
            view, self.view.incarnation, self._positions(), replies
        ):
            self.witnessed += 1
            self.view.confirm_fresh(asked_at)

    def _record_reply(
        self, member: Member, reply: peer_pb2.WitnessReply
    ) -> dict[str, int]:
        positions = {entry.stream: entry.next_offset for entry in reply.positions}
        with self._lock:
            self.fences.record_offset(member.incarnation, positions.get(VIEW_STREAM, 0))
            self.fences.learn(reply.fenced_epoch)
        return positions

    def _record_gone(self, member: Member) -> None:
        """Note that another incarnation, or none, has the member's address now."""
        with self._lock:
            self.fences.record_exited(member.incarnation)

    def _answer_witness(
        self, request: peer_pb2.WitnessRequest
    ) -> peer_pb2.WitnessReply:
        with self._lock:
            return peer_pb2.WitnessReply(
                sender=self._sender(),
                positions=_write(self._positions()),
                fenced_epoch=self.fences.epoch,
            )

    def _positions(self) -> dict[str, int]:
        return {
            follower.stream: follower.fold.next_offset
            for follower in self.view.followers
        }

    def _sender(self) -> peer_pb2.Sender:
        return peer_pb2.Sender(incarnation=self.view.incarnation, epoch=self.view.epoch)


def _write(positions: Mapping[str, int]) -> tuple[peer_pb2.StreamPosition, ...]:
    return tuple(
        peer_pb2.StreamPosition(stream=stream, next_offset=offset)
        for stream, offset in positions.items()
    )
