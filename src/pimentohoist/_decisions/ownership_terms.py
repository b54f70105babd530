"""Who is the home of a thing since when, and when a new home may begin."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import islice, pairwise
from typing import Protocol

from pimentohoist._decisions.share_places import share_thing
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


class FormerHomes(Protocol):
    """What is known of the ends of former homes.

    Attributes
    ----------
    fenced_at : mapping of int to float
        By epoch: time at which it was known that nobody gets fresh in an older view.
    gone_at : mapping of str to float
        By incarnation: time at which it was known that it no longer acts.
    """

    @property
    def fenced_at(self) -> Mapping[int, float]:
        """Return the times of fences."""

    @property
    def gone_at(self) -> Mapping[str, float]:
        """Return the times of proved ends."""


@dataclass(frozen=True, slots=True)
class FormerWait:
    """For how long a new home waits after either proof of a former home's end."""

    after_fence_s: float
    after_end_s: float


@dataclass(frozen=True, slots=True)
class Tenure:
    """A stretch of views in which a thing's home stays the same.

    Attributes
    ----------
    home : str
        Incarnation of the home; empty if the view was empty or is not known.
    epoch : int
        First view of the stretch.
    former : Tenure or None
        The stretch before; None if there was none.
    """

    home: str
    epoch: int
    former: Tenure | None = None

    def chain(self) -> Iterator[Tenure]:
        """Yield this and the former tenures, as far as they are known."""
        tenure: Tenure | None = self
        while tenure is not None:
            yield tenure
            tenure = tenure.former

    def of(self, home: str) -> Tenure | None:
        """Return the last tenure of a home in the chain."""
        return next((part for part in self.chain() if part.home == home), None)


_FORMER_SHARE = FormerWait(after_fence_s=TAKEOVER_S, after_end_s=GRANT_S * CLOCK_RATIO)
HomeRule = Callable[[str, View], str]
"""Returns the home of a thing in a view; empty if the view is empty."""


def first_home(thing: str, view: View) -> str:
    """Return the member with the highest rendezvous weight."""
    return rank_names(thing, view.incarnations)[0] if view.incarnations else ''


class TenureBook:
    """Tenures of things, from the views in order.

    Parameters
    ----------
    is_complete : bool
        Whether the first view added is the first that ever was. If not, somebody unknown
        may have been a home before it.
    home_of : callable
        Who is the home of a thing in a view.
    """

    def __init__(self, *, is_complete: bool, home_of: HomeRule = first_home) -> None:
        self.is_complete = is_complete
        self.home_of = home_of
        self.views: deque[View] = deque(maxlen=_VIEWS)
        self.tenures: dict[str, Tenure] = {}

    def add(self, view: View) -> None:
        """Take in the next view."""
        if len(self.views) == _VIEWS:
            self.is_complete = False
        self.views.append(view)
        for thing, tenure in self.tenures.items():
            self.tenures[thing] = self._extended(thing, tenure, view)

    def tenure(self, thing: str) -> Tenure | None:
        """Return the tenure of a thing's present home; None without a view."""
        if thing not in self.tenures and self.views:
            self.tenures[thing] = self._trace(thing)
        return self.tenures.get(thing)

    def _trace(self, thing: str) -> Tenure:
        first = self.views[0]
        unknown = None if self.is_complete else Tenure('', 0)
        tenure = Tenure(self.home_of(thing, first), first.epoch, unknown)
        for view in islice(self.views, 1, None):
            tenure = self._extended(thing, tenure, view)
        return tenure

    def _extended(self, thing: str, tenure: Tenure, view: View) -> Tenure:
        home = self.home_of(thing, view)
        if home == tenure.home:
            return tenure
        chain = list(tenure.chain())
        if len(chain) < _CHAIN:
            return Tenure(home, view.epoch, tenure)
        former: Tenure | None = Tenure('', 0)
        for part in reversed(chain[:_CHAIN]):
            former = replace(part, former=former)
        return Tenure(home, view.epoch, former)


def free_at(tenure: Tenure, proofs: FormerHomes, wait: FormerWait) -> float:
    """Return from when no former home acts or has left anything behind.

    Each former tenure is over once the view after it is fenced, or once its home is known
    to act no longer.
    """
    free_from, fenced_at = -_NEVER, _NEVER
    for successor, former in pairwise(tenure.chain()):
        # The fence of a view is one of all views before it.
        fenced_at = min(fenced_at, proofs.fenced_at.get(successor.epoch, _NEVER))
        over_at = min(
            fenced_at + wait.after_fence_s,
            proofs.gone_at.get(former.home, _NEVER) + wait.after_end_s,
        )
        free_from = max(free_from, over_at)
    return free_from


@dataclass(frozen=True, slots=True)
class ShareName:
    """A share of a workspace's limit."""

    workspace: str
    share: int

    @property
    def thing(self) -> str:
        """Name by which the home is found."""
        return share_thing(self.workspace, self.share)


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a home knows of its place and time.

    Attributes
    ----------
    fenced_at : mapping of int to float
        By epoch: time at which it was known that nobody gets fresh in an older view.
    absent_at : mapping of str to float
        By workspace: last time at which the configuration didn't name it yet; minus
        infinity if it was there when this daemon started.
    gone_at : mapping of str to float
        By incarnation: time at which it was known that it no longer acts.
    """

    now: float
    fresh_since: float
    fenced_at: Mapping[int, float]
    absent_at: Mapping[str, float]
    gone_at: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PulledState:
    """A former home's state and the time at which it arrived."""

    state: ShareState
    now: float


@dataclass(frozen=True, slots=True)
class LastState:
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


class ShareKeeper:
    """The shares of which one daemon is the home.

    Attributes
    ----------
    unused_before : dict of ShareName to int
        Epochs before which this daemon's last tenure was closed without having begun. A
        successor may ask for it again, as a home further back didn't answer at first.
    """

    def __init__(self) -> None:
        self.held: dict[ShareName, _Held] = {}
        self.unused_before: dict[ShareName, int] = {}
        self.handed: dict[tuple[ShareName, str], ShareState] = {}

    def bucket(
        self,
        name: ShareName,
        tenure: Tenure,
        limit: ShareLimit,
        around: Surroundings,
    ) -> ShareBucket | None:
        """Return the share in this tenure; None if it may not begin or has ended."""
        held = self.held.get(name)
        if held is None or held.epoch < tenure.epoch:
            state = self._first_state(name, tenure, limit, around)
            if state is None:
                return None
            held = _Held(tenure.epoch, ShareBucket(limit, state, around.now))
            self.held[name] = held
        if held.epoch > tenure.epoch or held.bucket is None:
            return None
        held.bucket.advance(around.now, around.fresh_since)
        if held.bucket.limit != limit:
            held.bucket.resize(limit)
        return held.bucket

    def receive(self, name: ShareName, former_home: str, state: ShareState) -> None:
        """Keep the state that a former home passed on before it left for good."""
        self.handed[name, former_home] = state

    def adopt(
        self, name: ShareName, tenure: Tenure, limit: ShareLimit, pulled: PulledState
    ) -> None:
        """Begin a tenure with the state that its former home gave up for it."""
        held = self.held.get(name)
        if held is None or held.epoch < tenure.epoch:
            bucket = ShareBucket(limit, pulled.state, pulled.now)
            self.held[name] = _Held(tenure.epoch, bucket)

    def close(
        self, name: ShareName, own_epoch: int, before_epoch: int, around: Surroundings
    ) -> LastState:
        """End this daemon's tenure of `own_epoch`, and all others before an epoch."""
        held = self.held.get(name)
        if held is not None and held.epoch >= before_epoch:
            return LastState(None)
        is_unused = held is not None and held.epoch < own_epoch
        # From here on no older tenure can begin either.
        self.held[name] = _Held(before_epoch - 1, None)
        if held is None or is_unused or own_epoch < self.unused_before.get(name, 0):
            self.unused_before[name] = before_epoch
            return LastState(None, has_never_begun=True)
        if held.bucket is None or held.epoch > own_epoch:
            return LastState(None)
        held.bucket.advance(around.now, around.fresh_since)
        return LastState(held.bucket.state(around.now))

    def _first_state(
        self,
        name: ShareName,
        tenure: Tenure,
        limit: ShareLimit,
        around: Surroundings,
    ) -> ShareState | None:
        former = tenure.former
        full = ShareState(float(limit.burst_tokens))
        if former is None:
            return full
        handed = self.handed.pop((name, former.home), None)
        if handed is not None:
            return handed
        begins_at = free_at(tenure, around, _FORMER_SHARE)
        if around.now < begins_at:
            return None
        is_new = around.absent_at.get(name.workspace, -_NEVER) >= begins_at
        return full if is_new else ShareState(0)
