"""Daemons, clocks and messages around the limit's decisions, for generated histories.

A history is a list of operations. Every message may be lost either way or arrive late;
daemons crash, freeze, thaw and see the log at different times, each by its own clock.
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
_RARE = 30
_LOST_REPLIES = 10
_REPAIRING = 50


class LimitWorld:
    """All daemons of a history and what they admitted."""

    def __init__(self, rate: float, burst: int, daemons: int = 3) -> None:
        self.limits = [LimitInForce(0, rate, burst)]
        self.time: float = 0
        self.is_log_up = True
        self.views: list[View] = []
        self.daemons: list[SimulatedDaemon] = []
        self.admitted: list[tuple[float, int]] = []
        self.late: list[Callable[[], None]] = []
        self.ids = itertools.count()
        self.operations = (
            self.advance,
            self.see,
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
            self.drain,
            self.probe,
        )
        for place in range(daemons):
            self.start(place)
        for place in range(daemons * SHARES_PER_WORKSPACE):
            self.see(place % daemons, 0)
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
        daemon.see(self.views, self.now(daemon), self.now(daemon))
        daemon.limit_number = len(self.limits) - 1

    def change_view(self, change: Callable) -> None:
        names = change(self.views[-1].incarnations if self.views else ())
        members = tuple(Member(name, '', '', '') for name in names)
        self.views.append(View(len(self.views) + 1, members))

    def advance(self, place: int, size: int) -> None:
        """Pass time; mostly everybody reads the log meanwhile."""
        self.time += size / 40
        if size > _REPAIRING:
            self.repair()
        if size % 4:
            self.see_all()

    def see_all(self) -> None:
        for place, _ in enumerate(self.daemons):
            self.see(place, 0)

    def repair(self) -> None:
        """Bring the log back, thaw everybody and expire whoever is gone."""
        self.is_log_up = True
        present = [daemon.name for daemon in self.daemons]
        for place, _ in enumerate(present):
            self.thaw(place, 0)
        if set(present) != set(self.views[-1].incarnations):
            members = tuple(sorted(present))
            self.change_view(lambda _: members)

    def see(self, place: int, size: int) -> None:
        daemon = self.daemons[place]
        if self.is_log_up and not daemon.is_frozen:
            now = self.now(daemon)
            daemon.see(self.views, now, now)
            daemon.limit_number = len(self.limits) - 1

    def change_limit(self, place: int, size: int) -> None:
        """Raise or lower rate and burst; each daemon learns it as it reads the log."""
        if self.is_log_up:
            burst = 3 + size
            limit = LimitInForce(self.time, burst / (1 + place * 3), burst)
            self.limits.append(limit)

    def share_limit(self, daemon: SimulatedDaemon, share: int) -> ShareLimit:
        limit = self.limits[daemon.limit_number]
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
                self.take(daemon, share, GrantOrder(self.grant_id(), need), fault)
        for share in range(SHARES_PER_WORKSPACE):
            missing = cost - daemon.pool.available(self.now(daemon))
            if missing > 0:
                self.take(daemon, share, GrantOrder(self.grant_id(), missing), fault)
        charges = daemon.pool.charge(cost, self.now(daemon))
        if charges is None:
            return False
        self.admitted.append((self.time, used))
        daemon.running.append(Reservation(charges, cost - used))
        return True

    def drain(self, place: int, size: int) -> None:
        """Send requests until one is refused."""
        daemon = self.daemons[place]
        cost = 1 + size % self.burst
        while not daemon.is_frozen and self.admit(daemon, cost, max(1, size % cost)):
            cost = max(1, cost // 2)

    def grant_id(self) -> str:
        return f'g{next(self.ids)}'

    def take(
        self, daemon: SimulatedDaemon, share: int, order: GrantOrder, fault: int
    ) -> None:
        """Ask the home that `daemon` believes in for a grant."""
        term = daemon.book.term(ShareId(_WORKSPACE, share).resource_key)
        owner = ShareOwner(share, term.owner)
        asked_at = self.now(daemon)
        uses = daemon.pool.take_uses(owner)
        target = self.find(term.owner)
        if fault == _REQUEST_LATE:
            self.late.append(lambda: self.answer(target, share, order, uses))
        is_sent = fault not in {_REQUEST_LOST, _REQUEST_LATE}
        grant = self.answer(target, share, order, uses) if is_sent else None
        if grant is None or fault == _REPLY_LOST:
            daemon.pool.add_lost(order.grant_id, owner, asked_at)
            return
        now = self.now(daemon)
        if fault == _REPLY_LATE:
            self.late.append(lambda: daemon.pool.add(grant, owner, asked_at, now))
        else:
            daemon.pool.add(grant, owner, asked_at, now)
            daemon.pool.confirm(uses, now)

    def answer(self, target, share: int, order, uses):
        """Answer as a home, if it believes that it is; None if not."""
        if target is None or target.is_frozen or target.is_gone:
            if target is not None and target.is_frozen:
                self.late.append(lambda: self.answer(target, share, order, uses))
            return None
        bucket = self.bucket(target, share)
        if bucket is None:
            return None
        now = self.now(target)
        bucket.record_uses(uses, now)
        return bucket.grant(order, now) if order else None

    def bucket(self, daemon: SimulatedDaemon, share: int):
        name = ShareId(_WORKSPACE, share)
        term = daemon.book.term(name.resource_key)
        if term.owner != daemon.name or not daemon.is_fresh(self.time):
            return None
        limit = self.share_limit(daemon, share)
        return daemon.keeper.bucket(name, term, limit, self.context(daemon))

    def context(self, daemon: SimulatedDaemon) -> TakeoverContext:
        now = self.now(daemon)
        return TakeoverContext(
            now, daemon.fresh_since, daemon.fenced_at, {}, daemon.inactive_since
        )

    def now(self, daemon: SimulatedDaemon) -> float:
        return daemon.now(self.time)

    def find(self, name: str):
        found = (daemon for daemon in self.daemons if daemon.name == name)
        return next(found, None)

    def settle(self, place: int, size: int) -> None:
        daemon = self.daemons[place]
        if daemon.running and not daemon.is_frozen:
            ended = daemon.running.pop(0)
            daemon.pool.settle(ended.charges, ended.unused)

    def tick(self, place: int, size: int) -> None:
        """Report what was spent, and take tokens in advance."""
        daemon = self.daemons[place]
        if daemon.is_frozen:
            return
        daemon.pool.close_idle(self.now(daemon))
        for owner in sorted(daemon.pool.owners(self.now(daemon)), key=str):
            uses = daemon.pool.take_uses(owner)
            if size % 4:
                self.answer(self.find(owner.incarnation), owner.share, None, uses)
            if size % 4 > 1:
                daemon.pool.confirm(uses, self.now(daemon))
        if size % 2:
            order = GrantOrder(self.grant_id(), 0, size)
            self.take(daemon, size % SHARES_PER_WORKSPACE, order, size % 7)

    def crash(self, place: int, size: int) -> None:
        if self.is_log_up:
            self.daemons[place].is_gone = True
            self.start(place)

    def freeze(self, place: int, size: int) -> None:
        self.daemons[place].is_frozen = size > _RARE

    def thaw(self, place: int, size: int) -> None:
        self.daemons[place].is_frozen = False

    def expire(self, place: int, size: int) -> None:
        """Remove a member that is gone, or this place's daemon though it may live."""
        present = {daemon.name for daemon in self.daemons}
        gone = [name for name in self.views[-1].incarnations if name not in present]
        name = gone[0] if gone else self.daemons[place].name
        if self.is_log_up:
            self.change_view(lambda names: tuple(one for one in names if one != name))

    def leave(self, place: int, size: int) -> None:
        """Stop as planned: pass all shares on, then leave, then start anew."""
        daemon = self.daemons[place]
        if daemon.is_frozen or not self.is_log_up:
            return
        for share in range(SHARES_PER_WORKSPACE):
            name = ShareId(_WORKSPACE, share)
            state = self.close(daemon, name, daemon.book.views[-1].epoch + 1).state
            others = [other for other in self.daemons if other is not daemon]
            if state is not None and size % 3:
                for other in others:
                    other.keeper.receive(name, daemon.name, state)
        self.change_view(
            lambda names: tuple(one for one in names if one != daemon.name)
        )
        daemon.is_gone = True
        self.start(place)

    def toggle_log(self, place: int, size: int) -> None:
        self.is_log_up = size < _RARE

    def deliver_late(self, place: int, size: int) -> None:
        if self.late:
            self.late.pop(size % len(self.late))()

    def probe(self, place: int, size: int) -> None:
        """Find out which members have ended; frozen ones answer nothing."""
        daemon = self.daemons[place]
        present = {other.name for other in self.daemons}
        names = {name for view in self.views for name in view.incarnations}
        if not daemon.is_frozen:
            for name in sorted(names - present):
                daemon.inactive_since.setdefault(name, self.now(daemon))

    def close(self, daemon: SimulatedDaemon, name: ShareId, epoch: int) -> FinalState:
        own = daemon.book.term(name.resource_key).of(daemon.name)
        if own is None:
            return FinalState(None)
        limit = self.share_limit(daemon, name.share)
        daemon.keeper.bucket(name, own, limit, self.context(daemon))
        return daemon.keeper.close(name, own.epoch, epoch, self.context(daemon))

    def pull(self, place: int, size: int) -> None:
        """Take a share over from former homes, which may still act on it."""
        daemon = self.daemons[place]
        name = ShareId(_WORKSPACE, size % SHARES_PER_WORKSPACE)
        term = daemon.book.term(name.resource_key)
        is_owner = term.owner == daemon.name and daemon.is_fresh(self.time)
        if daemon.is_frozen or not is_owner:
            return
        for former in [part.owner for part in term.chain()][1:]:
            holder = self.find(former)
            if holder is None or holder.is_frozen or size % 5 == 4:
                return
            last = self.close(holder, name, term.epoch)
            if not last.has_never_begun:
                self.adopt(daemon, name, term, last)
                return

    def adopt(self, daemon, name: ShareId, term, last: FinalState) -> None:
        is_lost = next(self.ids) % _LOST_REPLIES == 0
        if last.state is not None and not is_lost:
            limit = self.share_limit(daemon, name.share)
            pulled = PulledState(last.state, self.now(daemon))
            daemon.keeper.adopt(name, term, limit, pulled)
