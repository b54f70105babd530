"""Ownership terms of resources, and the time at which a new owner may begin."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice, pairwise
from typing import Protocol

from pimentohoist._decisions.share_placement import share_resource_key
from pimentohoist._decisions.shares import (
    CLOCK_RATIO,
    GRANT_LIFETIME_S,
    ShareBucket,
    ShareLimit,
    ShareState,
)
from pimentohoist._rendezvous import rank_names
from pimentohoist._view_fold import View

MAX_FRESH_AGE_S = 2.0
"""Time for which a daemon may act on what it has read."""
TAKEOVER_AFTER_FENCE_S = (MAX_FRESH_AGE_S + GRANT_LIFETIME_S) * CLOCK_RATIO
"""Time after the fence by which the former owner's last grant has expired."""
_MAX_VIEWS = 256
_MAX_FORMER_TERMS = 8
"""Former ownership terms kept in a chain."""
_NEVER = float('inf')


class FormerOwnerProofs(Protocol):
    """Proofs that former owners no longer act.

    Attributes
    ----------
    fenced_at : mapping of int to float
        By epoch: time at which it was proved that no daemon can become fresh in an older
        view.
    inactive_since : mapping of str to float
        By incarnation: time at which it was proved that it no longer acts.
    """

    @property
    def fenced_at(self) -> Mapping[int, float]:
        """Return the times at which views were fenced."""

    @property
    def inactive_since(self) -> Mapping[str, float]:
        """Return the times at which incarnations were proved to be inactive."""


@dataclass(frozen=True, slots=True)
class TakeoverDelays:
    """Time for which a new owner waits after each kind of proof.

    Attributes
    ----------
    after_fence_s : float
        Seconds after the view that ended the former owner's term was fenced.
    after_end_s : float
        Seconds after the former owner was proved to be inactive.
    """

    after_fence_s: float
    after_end_s: float


@dataclass(frozen=True, slots=True)
class OwnershipTerm:
    """Consecutive views in which a resource has the same owner.

    Attributes
    ----------
    owner : str
        Incarnation of the owner; empty if the view was empty or is not known.
    epoch : int
        Epoch of the first of these views.
    former : OwnershipTerm or None
        The term before; None if there was none.
    """

    owner: str
    epoch: int
    former: OwnershipTerm | None = None

    def chain(self) -> Iterator[OwnershipTerm]:
        """Yield this term and the former ones, as far as they are known."""
        term: OwnershipTerm | None = self
        while term is not None:
            yield term
            term = term.former

    def of(self, owner: str) -> OwnershipTerm | None:
        """Return the last term of an owner in the chain; None if it has none."""
        return next((part for part in self.chain() if part.owner == owner), None)


_SHARE_TAKEOVER_DELAYS = TakeoverDelays(
    after_fence_s=TAKEOVER_AFTER_FENCE_S, after_end_s=GRANT_LIFETIME_S * CLOCK_RATIO
)
OwnerFunction = Callable[[str, View], str]
"""Returns the owner of a resource key in a view; empty if the view is empty."""


def rendezvous_owner(resource_key: str, view: View) -> str:
    """Return the member with the highest rendezvous weight."""
    return rank_names(resource_key, view.incarnations)[0] if view.incarnations else ''


class OwnershipHistory:
    """Ownership terms of resources, computed from the views in order.

    Parameters
    ----------
    is_complete : bool
        Whether the first view added is the first one of the stream. If not, an unknown
        daemon may have been an owner before it.
    owner_of : callable
        Returns the owner of a resource key in a view.
    """

    def __init__(
        self, *, is_complete: bool, owner_of: OwnerFunction = rendezvous_owner
    ) -> None:
        self.is_complete = is_complete
        self.owner_of = owner_of
        self.views: deque[View] = deque(maxlen=_MAX_VIEWS)
        self.terms: dict[str, OwnershipTerm] = {}

    def add(self, view: View) -> None:
        """Add the next view."""
        if len(self.views) == _MAX_VIEWS:
            self.is_complete = False
        self.views.append(view)
        for resource_key, term in self.terms.items():
            self.terms[resource_key] = self._extended(resource_key, term, view)

    def term(self, resource_key: str) -> OwnershipTerm | None:
        """Return the term of a resource's present owner; None without a view."""
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
        if len(chain) < _MAX_FORMER_TERMS:
            return OwnershipTerm(owner, view.epoch, term)
        former: OwnershipTerm | None = OwnershipTerm('', 0)
        for part in reversed(chain[:_MAX_FORMER_TERMS]):
            former = replace(part, former=former)
        return OwnershipTerm(owner, view.epoch, former)


def takeover_allowed_at(
    term: OwnershipTerm, proofs: FormerOwnerProofs, wait: TakeoverDelays
) -> float:
    """Return the time from which no former owner acts and all its grants have ended.

    Each former term has ended once the view after it is fenced, or once its owner is
    proved to be inactive, each with its delay in `wait` added.
    """
    allowed_at, fenced_at = -_NEVER, _NEVER
    for successor, former in pairwise(term.chain()):
        # Fencing a view also fences all views before it.
        fenced_at = min(fenced_at, proofs.fenced_at.get(successor.epoch, _NEVER))
        ended_at = min(
            fenced_at + wait.after_fence_s,
            proofs.inactive_since.get(former.owner, _NEVER) + wait.after_end_s,
        )
        allowed_at = max(allowed_at, ended_at)
    return allowed_at


@dataclass(frozen=True, slots=True)
class ShareId:
    """A share of a workspace's limit."""

    workspace: str
    share: int

    @property
    def resource_key(self) -> str:
        """Key from which the owner is computed."""
        return share_resource_key(self.workspace, self.share)


@dataclass(frozen=True, slots=True)
class TakeoverContext:
    """What an owner needs to decide whether its term may begin.

    Attributes
    ----------
    now : float
        Monotonic time of the owner's clock in seconds; all other times are of this clock.
    fresh_since : float
        Start of the present unbroken period of freshness.
    fenced_at : mapping of int to float
        By epoch: time at which it was proved that no daemon can become fresh in an older
        view.
    absent_at : mapping of str to float
        By workspace: last time at which the configuration didn't contain it yet; minus
        infinity if it was there when this daemon started.
    inactive_since : mapping of str to float
        By incarnation: time at which it was proved that it no longer acts.
    """

    now: float
    fresh_since: float
    fenced_at: Mapping[int, float]
    absent_at: Mapping[str, float]
    inactive_since: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PulledState:
    """A former owner's state and the time at which it arrived."""

    state: ShareState
    now: float


@dataclass(frozen=True, slots=True)
class FinalState:
    """State of a share at the end of an ownership term.

    Attributes
    ----------
    state : ShareState or None
        None if the term had no state, or if its state was returned before.
    has_never_begun : bool
        Whether the term never began, so that the state of the term before still applies.
    """

    state: ShareState | None
    has_never_begun: bool = False


@dataclass(slots=True)
class _HeldShare:
    epoch: int
    bucket: ShareBucket | None


class OwnedShareStore:
    """The shares that one daemon owns.

    Attributes
    ----------
    held : dict of ShareId to _HeldShare
        The last term that began or was closed here; its bucket is None once closed.
    unused_before : dict of ShareId to int
        Epochs before which this daemon's last term was closed without having begun. A
        successor may request it again, if an earlier owner didn't answer at first.
    handed_over : dict of (ShareId, str) to ShareState
        By share and former owner: state received before that owner left for good.
    """

    def __init__(self) -> None:
        self.held: dict[ShareId, _HeldShare] = {}
        self.unused_before: dict[ShareId, int] = {}
        self.handed_over: dict[tuple[ShareId, str], ShareState] = {}

    def bucket(
        self,
        name: ShareId,
        term: OwnershipTerm,
        limit: ShareLimit,
        context: TakeoverContext,
    ) -> ShareBucket | None:
        """Return the share in this term; None if the term may not begin or has ended."""
        held = self.held.get(name)
        if held is None or held.epoch < term.epoch:
            state = self._first_state(name, term, limit, context)
            if state is None:
                return None
            held = _HeldShare(term.epoch, ShareBucket(limit, state, context.now))
            self.held[name] = held
        if held.epoch > term.epoch or held.bucket is None:
            return None
        held.bucket.advance(context.now, context.fresh_since)
        if held.bucket.limit != limit:
            held.bucket.resize(limit)
        return held.bucket

    def receive(self, name: ShareId, former_owner: str, state: ShareState) -> None:
        """Keep the state that a former owner handed over before it left for good."""
        self.handed_over[name, former_owner] = state

    def adopt(
        self, name: ShareId, term: OwnershipTerm, limit: ShareLimit, pulled: PulledState
    ) -> None:
        """Begin a term with the state that the former owner released for it."""
        held = self.held.get(name)
        if held is None or held.epoch < term.epoch:
            bucket = ShareBucket(limit, pulled.state, pulled.now)
            self.held[name] = _HeldShare(term.epoch, bucket)

    def close(
        self, name: ShareId, own_epoch: int, before_epoch: int, context: TakeoverContext
    ) -> FinalState:
        """End this daemon's term of `own_epoch`, and all others before `before_epoch`."""
        held = self.held.get(name)
        if held is not None and held.epoch >= before_epoch:
            return FinalState(None)
        is_unused = held is not None and held.epoch < own_epoch
        # From here on no older term can begin either.
        self.held[name] = _HeldShare(before_epoch - 1, None)
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
        handed_over = self.handed_over.pop((name, former.owner), None)
        if handed_over is not None:
            return handed_over
        begins_at = takeover_allowed_at(term, context, _SHARE_TAKEOVER_DELAYS)
        if context.now < begins_at:
            return None
        is_new = context.absent_at.get(name.workspace, -_NEVER) >= begins_at
        return full if is_new else ShareState(0)
