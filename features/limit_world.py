"""Daemons, clocks and messages around the limit's decisions, for generated histories.

A history is a list of operations. Every request and reply may be lost or arrive late;
daemons crash, freeze, thaw and read the log at different times, each with its own clock.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable

from limit_daemons import LimitInForce, Reservation, SimulatedDaemon

from pimentohoist._decisions.grants import ShareOwner, split_need
from pimentohoist._decisions.shares import (
    DRIFT,
    SHARES_PER_WORKSPACE,
    GrantOrder,
    ShareLimit,
)
from pimentohoist._decisions.ownership_terms import (
    FinalState,
    PulledState,
    ShareId,
    TakeoverContext,
)
from pimentohoist._view_fold import View
from pimentohoist.models import Member

_WORKSPACE = 'house'
_CLOCKS = ((1 + DRIFT, 1000.0), (1 - DRIFT, 5.0), (1.0, 77.0))
_OK, _REQUEST_LOST, _REPLY_LOST, _REPLY_LATE, _REQUEST_LATE = range(5)
_FAULT_THRESHOLD = 30
_LOST_REPLY_INTERVAL = 10
_REPAIR_THRESHOLD = 50


class LimitWorld:
    """All daemons of a history and what they admitted."""

    def __init__(self, rate: float, burst: int, daemons: int = 3) -> None:
        self.limits = [LimitInForce(0, rate, burst)]
        self.time: float = 0
        self.is_log_up = True
        self.views: list[View] = []
        self.daemons: list[SimulatedDaemon] = []
        self.admitted: list[tuple[float, int]] = []
        self.late_messages: list[Callable[[], None]] = []
        self.ids = itertools.count()
        self.operations = (
            self.advance,
            self.read_log,
            self.request,
            self.settle,
            self.tick,
            self.crash,
            self.freeze,
            self.thaw,
            self.expire,
            self.leave,
            self.toggle_log,
            self.deliver_late,
            self.pull,
            self.exhaust,
            self.probe,
        )
        for place in range(daemons):
            self.start(place)
        for place in range(daemons * SHARES_PER_WORKSPACE):
            self.read_log(place % daemons, 0)
            self.pull(place % daemons, place // daemons)

    @property
    def rate(self) -> float:
        return self.limits[-1].rate

    @property
    def burst(self) -> int:
        return self.limits[-1].burst

    def run(self, history: Iterable[tuple[int, int, int]]) -> None:
        for operation, place, size in history:
            self.operations[operation](place, size)

    def start(self, place: int) -> None:
        speed, offset = _CLOCKS[place % len(_CLOCKS)]
        daemon = SimulatedDaemon(f'{place}-{next(self.ids)}', speed, offset)
        others = self.daemons
        self.daemons = [*others[:place], daemon, *others[place + 1 :]]
        self.change_view(lambda names: (*names, daemon.name))
        daemon.read_log(self.views, self.now(daemon), self.now(daemon))
        daemon.limit_index = len(self.limits) - 1

    def change_view(self, change: Callable) -> None:
        names = change(self.views[-1].incarnations if self.views else ())
        members = tuple(Member(name, '', '', '') for name in names)
        self.views.append(View(len(self.views) + 1, members))

    def advance(self, place: int, size: int) -> None:
        """Advance the time; after most steps all daemons read the log."""
        self.time += size / 40
        if size > _REPAIR_THRESHOLD:
            self.repair()
        if size % 4:
            self.all_read_log()

    def all_read_log(self) -> None:
        for place, _ in enumerate(self.daemons):
            self.read_log(place, 0)

    def repair(self) -> None:
        """Bring the log back, thaw all daemons and expire those that are gone."""
        self.is_log_up = True
        present = [daemon.name for daemon in self.daemons]
        for place, _ in enumerate(present):
            self.thaw(place, 0)
        if set(present) != set(self.views[-1].incarnations):
            members = tuple(sorted(present))
            self.change_view(lambda _: members)

    def read_log(self, place: int, size: int) -> None:
        daemon = self.daemons[place]
        if self.is_log_up and not daemon.is_frozen:
            now = self.now(daemon)
            daemon.read_log(self.views, now, now)
            daemon.limit_index = len(self.limits) - 1

    def change_limit(self, place: int, size: int) -> None:
        """Raise or lower rate and burst; each daemon applies it when it reads the log."""
        if self.is_log_up:
            burst = 3 + size
            limit = LimitInForce(self.time, burst / (1 + place * 3), burst)
            self.limits.append(limit)

    def share_limit(self, daemon: SimulatedDaemon, share: int) -> ShareLimit:
        limit = self.limits[daemon.limit_index]
        return ShareLimit.of(limit.rate, limit.burst, share)

    def request(self, place: int, size: int) -> None:
        daemon = self.daemons[place]
        if daemon.is_frozen:
            return
        largest = self.burst // (1 + size % 3)
        cost = 1 + size % largest
        fault = max(_OK, size % 13 - 8)
        self.admit(daemon, cost, cost * (size % 4) // 3, fault)

    def admit(
        self, daemon: SimulatedDaemon, cost: int, used: int, fault: int = _OK
    ) -> bool:
        missing = cost - daemon.pool.available(self.now(daemon))
        needs = split_need(max(0, missing), next(self.ids))
        for share, need in enumerate(needs):
            if need:
                self.take_grant(daemon, share, GrantOrder(self.grant_id(), need), fault)
        for share in range(SHARES_PER_WORKSPACE):
            missing = cost - daemon.pool.available(self.now(daemon))
            if missing > 0:
                self.take_grant(
                    daemon, share, GrantOrder(self.grant_id(), missing), fault
                )
        charges = daemon.pool.charge(cost, self.now(daemon))
        if charges is None:
            return False
        self.admitted.append((self.time, used))
        daemon.running.append(Reservation(charges, cost - used))
        return True

    def exhaust(self, place: int, size: int) -> None:
        """Send requests until one is refused."""
        daemon = self.daemons[place]
        cost = 1 + size % self.burst
        while not daemon.is_frozen and self.admit(daemon, cost, max(1, size % cost)):
            cost = max(1, cost // 2)

    def grant_id(self) -> str:
        return f'g{next(self.ids)}'

    def take_grant(
        self, daemon: SimulatedDaemon, share: int, order: GrantOrder, fault: int
    ) -> None:
        """Request a grant from the owner according to `daemon`'s view."""
        term = daemon.history.term(ShareId(_WORKSPACE, share).resource_key)
        owner = ShareOwner(share, term.owner)
        asked_at = self.now(daemon)
        uses = daemon.pool.take_uses(owner)
        target = self.find_daemon(term.owner)
        if fault == _REQUEST_LATE:
            self.late_messages.append(
                lambda: self.answer_request(target, share, order, uses)
            )
        is_sent = fault not in {_REQUEST_LOST, _REQUEST_LATE}
        grant = self.answer_request(target, share, order, uses) if is_sent else None
        if grant is None or fault == _REPLY_LOST:
            daemon.pool.add_unconfirmed(order.grant_id, owner, asked_at)
            return
        now = self.now(daemon)
        if fault == _REPLY_LATE:
            self.late_messages.append(
                lambda: daemon.pool.add(grant, owner, asked_at, now)
            )
        else:
            daemon.pool.add(grant, owner, asked_at, now)
            daemon.pool.confirm(uses, now)

    def answer_request(self, target, share: int, order, uses):
        """Answer if `target` is the owner according to its own view; None if not."""
        if target is None or target.is_frozen or target.has_exited:
            if target is not None and target.is_frozen:
                self.late_messages.append(
                    lambda: self.answer_request(target, share, order, uses)
                )
            return None
        bucket = self.bucket(target, share)
        if bucket is None:
            return None
        now = self.now(target)
        bucket.record_uses(uses, now)
        return bucket.grant(order, now) if order else None

    def bucket(self, daemon: SimulatedDaemon, share: int):
        name = ShareId(_WORKSPACE, share)
        term = daemon.history.term(name.resource_key)
        if term.owner != daemon.name or not daemon.is_fresh(self.time):
            return None
        limit = self.share_limit(daemon, share)
        return daemon.store.bucket(name, term, limit, self.context(daemon))

    def context(self, daemon: SimulatedDaemon) -> TakeoverContext:
        now = self.now(daemon)
        return TakeoverContext(
            now, daemon.fresh_since, daemon.fenced_at, {}, daemon.inactive_since
        )

    def now(self, daemon: SimulatedDaemon) -> float:
        return daemon.now(self.time)

    def find_daemon(self, name: str):
        found = (daemon for daemon in self.daemons if daemon.name == name)
        return next(found, None)

    def settle(self, place: int, size: int) -> None:
        daemon = self.daemons[place]
        if daemon.running and not daemon.is_frozen:
            ended = daemon.running.pop(0)
            daemon.pool.settle(ended.charges, ended.unused)

    def tick(self, place: int, size: int) -> None:
        """Report spent tokens, and take tokens in advance."""
        daemon = self.daemons[place]
        if daemon.is_frozen:
            return
        daemon.pool.close_idle(self.now(daemon))
        for owner in sorted(daemon.pool.owners(self.now(daemon)), key=str):
            uses = daemon.pool.take_uses(owner)
            if size % 4:
                self.answer_request(
                    self.find_daemon(owner.incarnation), owner.share, None, uses
                )
            if size % 4 > 1:
                daemon.pool.confirm(uses, self.now(daemon))
        if size % 2:
            order = GrantOrder(self.grant_id(), 0, size)
            self.take_grant(daemon, size % SHARES_PER_WORKSPACE, order, size % 7)

    def crash(self, place: int, size: int) -> None:
        if self.is_log_up:
            self.daemons[place].has_exited = True
            self.start(place)

    def freeze(self, place: int, size: int) -> None:
        self.daemons[place].is_frozen = size > _FAULT_THRESHOLD

    def thaw(self, place: int, size: int) -> None:
        self.daemons[place].is_frozen = False

    def expire(self, place: int, size: int) -> None:
        """Remove a member that is gone; without one, this daemon, though it may live."""
        present = {daemon.name for daemon in self.daemons}
        gone = [name for name in self.views[-1].incarnations if name not in present]
        name = gone[0] if gone else self.daemons[place].name
        if self.is_log_up:
            self.change_view(lambda names: tuple(one for one in names if one != name))

    def leave(self, place: int, size: int) -> None:
        """Stop as planned: hand over all shares, leave the view, start a new daemon."""
        daemon = self.daemons[place]
        if daemon.is_frozen or not self.is_log_up:
            return
        for share in range(SHARES_PER_WORKSPACE):
            name = ShareId(_WORKSPACE, share)
            state = self.close(daemon, name, daemon.history.views[-1].epoch + 1).state
            others = [other for other in self.daemons if other is not daemon]
            if state is not None and size % 3:
                for other in others:
                    other.store.receive(name, daemon.name, state)
        self.change_view(
            lambda names: tuple(one for one in names if one != daemon.name)
        )
        daemon.has_exited = True
        self.start(place)

    def toggle_log(self, place: int, size: int) -> None:
        self.is_log_up = size < _FAULT_THRESHOLD

    def deliver_late(self, place: int, size: int) -> None:
        if self.late_messages:
            self.late_messages.pop(size % len(self.late_messages))()

    def probe(self, place: int, size: int) -> None:
        """Find the members that have ended; frozen ones don't answer a probe."""
        daemon = self.daemons[place]
        present = {other.name for other in self.daemons}
        names = {name for view in self.views for name in view.incarnations}
        if not daemon.is_frozen:
            for name in sorted(names - present):
                daemon.inactive_since.setdefault(name, self.now(daemon))

    def close(self, daemon: SimulatedDaemon, name: ShareId, epoch: int) -> FinalState:
        own = daemon.history.term(name.resource_key).of(daemon.name)
        if own is None:
            return FinalState(None)
        limit = self.share_limit(daemon, name.share)
        daemon.store.bucket(name, own, limit, self.context(daemon))
        return daemon.store.close(name, own.epoch, epoch, self.context(daemon))

    def pull(self, place: int, size: int) -> None:
        """Take a share over from former owners, which may still act on it."""
        daemon = self.daemons[place]
        name = ShareId(_WORKSPACE, size % SHARES_PER_WORKSPACE)
        term = daemon.history.term(name.resource_key)
        is_owner = term.owner == daemon.name and daemon.is_fresh(self.time)
        if daemon.is_frozen or not is_owner:
            return
        for former in [part.owner for part in term.chain()][1:]:
            former_daemon = self.find_daemon(former)
            if former_daemon is None or former_daemon.is_frozen or size % 5 == 4:
                return
            final = self.close(former_daemon, name, term.epoch)
            if not final.has_never_begun:
                self.adopt(daemon, name, term, final)
                return

    def adopt(self, daemon, name: ShareId, term, final: FinalState) -> None:
        is_lost = next(self.ids) % _LOST_REPLY_INTERVAL == 0
        if final.state is not None and not is_lost:
            limit = self.share_limit(daemon, name.share)
            pulled = PulledState(final.state, self.now(daemon))
            daemon.store.adopt(name, term, limit, pulled)
