"""Who is the home of a thing since when, and when a new home may begin."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice, pairwise
from typing import Protocol

from pimentohoist._decisions.share_places import share_resource_key
from pimentohoist._decisions.shares import (
    CLOCK_RATIO,
    GRANT_S,
    ShareBucket,
    ShareLimit,
    ShareState,
)
from pimentohoist._rendezvous import rank_names
from pimentohoist._view_fold import View

FRESH_S = 2.0
"""Time for which a daemon may act on what it has read."""
TAKEOVER_S = (FRESH_S + GRANT_S) * CLOCK_RATIO
"""Time after the fence by which the former home's last grant has expired."""
_VIEWS = 256
_CHAIN = 8
"""Former tenures that are remembered."""
_NEVER = float('inf')


class FormerOwners(Protocol):
    """What is known of the ends of former homes.

    Attributes
    ----------
    fenced_at : mapping of int to float
        By epoch: time at which it was known that nobody gets fresh in an older view.
    inactive_since : mapping of str to float
        By incarnation: time at which it was known that it no longer acts.
    """

    @property
    def fenced_at(self) -> Mapping[int, float]:
        """Return the times of fences."""

    @property
    def inactive_since(self) -> Mapping[str, float]:
        """Return the times of proved ends."""


@dataclass(frozen=True, slots=True)
class TakeoverDelays:
    """For how long a new home waits after either proof of a former home's end."""

    after_fence_s: float
    after_end_s: float


@dataclass(frozen=True, slots=True)
class OwnershipTerm:
    """A stretch of views in which a thing's home stays the same.

    Attributes
    ----------
    owner : str
        Incarnation of the home; empty if the view was empty or is not known.
    epoch : int
        First view of the stretch.
    former : OwnershipTerm or None
        The stretch before; None if there was none.
    """

    owner: str
    epoch: int
    former: OwnershipTerm | None = None

    def chain(self) -> Iterator[OwnershipTerm]:
        """Yield this and the former tenures, as far as they are known."""
        term: OwnershipTerm | None = self
        while term is not None:
            yield term
            term = term.former

    def of(self, owner: str) -> OwnershipTerm | None:
        """Return the last tenure of a home in the chain."""
        return next((part for part in self.chain() if part.owner == owner), None)


_FORMER_SHARE = TakeoverDelays(
    after_fence_s=TAKEOVER_S, after_end_s=GRANT_S * CLOCK_RATIO
)
OwnerFunction = Callable[[str, View], str]
"""Returns the home of a thing in a view; empty if the view is empty."""


def first_owner(resource_key: str, view: View) -> str:
    """Return the member with the highest rendezvous weight."""
    return rank_names(resource_key, view.incarnations)[0] if view.incarnations else ''


class OwnershipHistory:
    """Tenures of things, from the views in order.

    Parameters
    ----------
    is_complete : bool
        Whether the first view added is the first that ever was. If not, somebody unknown
        may have been a home before it.
    owner_of : callable
        Who is the home of a thing in a view.
    """

    def __init__(
        self, *, is_complete: bool, owner_of: OwnerFunction = first_owner
    ) -> None:
        self.is_complete = is_complete
        self.owner_of = owner_of
        self.views: deque[View] = deque(maxlen=_VIEWS)
        self.terms: dict[str, OwnershipTerm] = {}

    def add(self, view: View) -> None:
        """Take in the next view."""
        if len(self.views) == _VIEWS:
            self.is_complete = False
        self.views.append(view)
        for resource_key, term in self.terms.items():
            self.terms[resource_key] = self._extended(resource_key, term, view)

    def term(self, resource_key: str) -> OwnershipTerm | None:
        """Return the tenure of a thing's present home; None without a view."""
        if resource_key not in self.terms and self.views:
            self.terms[resource_key] = self._trace(resource_key)
        return self.terms.get(resource_key)

    def _trace(self, resource_key: str) -> OwnershipTerm:
        first = self.views[0]
        unknown = None if self.is_complete else OwnershipTerm('', 0)
        term = OwnershipTerm(self.owner_of(resource_key, first), first.epoch, unknown)
        for view in islice(self.views, 1, None):
            term = self._extended(resource_key, term, view)
        return term

    def _extended(
        self, resource_key: str, term: OwnershipTerm, view: View
    ) -> OwnershipTerm:
        owner = self.owner_of(resource_key, view)
        if owner == term.owner:
            return term
        chain = list(term.chain())
        if len(chain) < _CHAIN:
            return OwnershipTerm(owner, view.epoch, term)
        former: OwnershipTerm | None = OwnershipTerm('', 0)
        for part in reversed(chain[:_CHAIN]):
            former = replace(part, former=former)
        return OwnershipTerm(owner, view.epoch, former)


def takeover_allowed_at(
    term: OwnershipTerm, proofs: FormerOwners, wait: TakeoverDelays
) -> float:
    """Return from when no former home acts or has left anything behind.

    Each former tenure is over once the view after it is fenced, or once its home is known
    to act no longer.
    """
    free_from, fenced_at = -_NEVER, _NEVER
    for successor, former in pairwise(term.chain()):
        # The fence of a view is one of all views before it.
        fenced_at = min(fenced_at, proofs.fenced_at.get(successor.epoch, _NEVER))
        over_at = min(
            fenced_at + wait.after_fence_s,
            proofs.inactive_since.get(former.owner, _NEVER) + wait.after_end_s,
        )
        free_from = max(free_from, over_at)
    return free_from


@dataclass(frozen=True, slots=True)
class ShareId:
    """A share of a workspace's limit."""

    workspace: str
    share: int

    @property
    def resource_key(self) -> str:
        """Name by which the home is found."""
        return share_resource_key(self.workspace, self.share)


@dataclass(frozen=True, slots=True)
class TakeoverContext:
    """What a home knows of its place and time.

    Attributes
    ----------
    fenced_at : mapping of int to float
        By epoch: time at which it was known that nobody gets fresh in an older view.
    absent_at : mapping of str to float
        By workspace: last time at which the configuration didn't name it yet; minus
        infinity if it was there when this daemon started.
    inactive_since : mapping of str to float
        By incarnation: time at which it was known that it no longer acts.
    """

    now: float
    fresh_since: float
    fenced_at: Mapping[int, float]
    absent_at: Mapping[str, float]
    inactive_since: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PulledState:
    """A former home's state and the time at which it arrived."""

    state: ShareState
    now: float


@dataclass(frozen=True, slots=True)
class FinalState:
    """What a tenure leaves behind when it is closed.

    Attributes
    ----------
    state : ShareState or None
        None if the tenure had no state, or has given it away before.
    has_never_begun : bool
        Whether it never began, so that the state of the tenure before still counts.
    """

    state: ShareState | None
    has_never_begun: bool = False


@dataclass(slots=True)
class _Held:
    epoch: int
    bucket: ShareBucket | None


class OwnedShareStore:
    """The shares of which one daemon is the home.

    Attributes
    ----------
    unused_before : dict of ShareId to int
        Epochs before which this daemon's last tenure was closed without having begun. A
        successor may ask for it again, as a home further back didn't answer at first.
    """

    def __init__(self) -> None:
        self.held: dict[ShareId, _Held] = {}
        self.unused_before: dict[ShareId, int] = {}
        self.handed: dict[tuple[ShareId, str], ShareState] = {}

    def bucket(
        self,
        name: ShareId,
        term: OwnershipTerm,
        limit: ShareLimit,
        context: TakeoverContext,
    ) -> ShareBucket | None:
        """Return the share in this tenure; None if it may not begin or has ended."""
        held = self.held.get(name)
        if held is None or held.epoch < term.epoch:
            state = self._first_state(name, term, limit, context)
            if state is None:
                return None
            held = _Held(term.epoch, ShareBucket(limit, state, context.now))
            self.held[name] = held
        if held.epoch > term.epoch or held.bucket is None:
            return None
        held.bucket.advance(context.now, context.fresh_since)
        if held.bucket.limit != limit:
            held.bucket.resize(limit)
        return held.bucket

    def receive(self, name: ShareId, former_owner: str, state: ShareState) -> None:
        """Keep the state that a former home passed on before it left for good."""
        self.handed[name, former_owner] = state

    def adopt(
        self, name: ShareId, term: OwnershipTerm, limit: ShareLimit, pulled: PulledState
    ) -> None:
        """Begin a tenure with the state that its former home gave up for it."""
        held = self.held.get(name)
        if held is None or held.epoch < term.epoch:
            bucket = ShareBucket(limit, pulled.state, pulled.now)
            self.held[name] = _Held(term.epoch, bucket)

    def close(
        self, name: ShareId, own_epoch: int, before_epoch: int, context: TakeoverContext
    ) -> FinalState:
        """End this daemon's tenure of `own_epoch`, and all others before an epoch."""
        held = self.held.get(name)
        if held is not None and held.epoch >= before_epoch:
            return FinalState(None)
        is_unused = held is not None and held.epoch < own_epoch
        # From here on no older tenure can begin either.
        self.held[name] = _Held(before_epoch - 1, None)
        if held is None or is_unused or own_epoch < self.unused_before.get(name, 0):
            self.unused_before[name] = before_epoch
            return FinalState(None, has_never_begun=True)
        if held.bucket is None or held.epoch > own_epoch:
            return FinalState(None)
        held.bucket.advance(context.now, context.fresh_since)
        return FinalState(held.bucket.state(context.now))

    def _first_state(
        self,
        name: ShareId,
        term: OwnershipTerm,
        limit: ShareLimit,
        context: TakeoverContext,
    ) -> ShareState | None:
        former = term.former
        full = ShareState(float(limit.burst_tokens))
        if former is None:
            return full
        handed = self.handed.pop((name, former.owner), None)
        if handed is not None:
            return handed
        begins_at = takeover_allowed_at(term, context, _FORMER_SHARE)
        if context.now < begins_at:
            return None
        is_new = context.absent_at.get(name.workspace, -_NEVER) >= begins_at
        return full if is_new else ShareState(0)
