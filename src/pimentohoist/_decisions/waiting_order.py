"""Order of the requests that wait for an engine's adapter slots, and who is refused.

A turn is the start of one load. Requests that can still begin by their latency target go
by that time; if not all of them can, those whose delay costs least are put off. They and
the late ones get the turns that are left, and one in `TURNS_PER_LATE_TURN`. Requests that
even then can't begin by their deadline are refused, those whose refusal costs least first.
"""

from __future__ import annotations

import heapq
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import compress, count
from operator import attrgetter, lt, not_, sub
from statistics import fmean

MIDDLE_PRIORITY = 5
"""Priority of requests that name none, as engines assume too."""

TURNS_PER_LATE_TURN = 16
"""One turn in sixteen goes to a request that is late or was put off, so that none starves.
Each such turn costs, since a late response is worth less: in the simulated overload of two
deployments, one in 12 served up to 1 % less worth, and one in 24 up to 3 % more."""

LATE_WORTH = 0.3
"""Assumed worth of a late response, as a share of one on time: 0.12 to 0.48 in the tables
of deployments."""

_LEVELS_PER_HALF = 2
"""Two levels of priority halve the loss. In the tables of two deployments a delay costs
0.35 and 2 times as much at priority 2 as at priority 0."""

_PROMPT_TOKENS_PER_S = 80_000
_OUTPUT_TOKENS_PER_S = 400
"""Twice the speed of the fastest engines that are known, so that the work of a request
isn't estimated too high."""

_MIN_WORK_S = 0.05
_WORKSPACE_ROUND = 8
"""So many requests of one workspace ahead halve the weight of its next one."""

_TIE_BREAK = 1e-12
"""Tells requests of equal losses apart; far below differences that matter."""

_KEPT_TURNS = 16
_MIN_TURNS = 4


class RefusalReason(StrEnum):
    """Why a waiting request is refused.

    Attributes
    ----------
    DEADLINE
        It would miss its deadline even if it were next.
    QUEUE
        The queue can't serve it before its deadline.
    FULL
        More requests wait than the owner can hold.
    """

    DEADLINE = 'deadline'
    QUEUE = 'queue'
    FULL = 'full'


@dataclass(frozen=True, slots=True)
class ExpectedWork:
    """What a request needs of an engine.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Tokens to read, and the most to generate.
    load_s : float
        Least seconds in which its adapter is loaded; 0 if that is unknown or loaded.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    load_s: float = 0

    @property
    def first_event_s(self) -> float:
        """Return the least seconds until the first event."""
        return self.load_s + self.prompt_tokens / _PROMPT_TOKENS_PER_S

    @property
    def total_s(self) -> float:
        """Return the seconds for which it takes an adapter slot, to compare requests."""
        output_s = self.output_tokens / _OUTPUT_TOKENS_PER_S
        return max(_MIN_WORK_S, self.first_event_s + output_s)


@dataclass(frozen=True, slots=True)
class RequestNeeds:
    """What decides on a request's place among those that wait.

    Attributes
    ----------
    priority : int
        0 is the most urgent; that of the workspace if it has one, else of the route.
    target_at, deadline_at : float
        Monotonic times in seconds by which the first event is wanted, and after which no
        response is.
    workspace : str
        Empty on a public route.
    spent_tokens : int
        Tokens already processed for it, which are lost if it is refused.
    """

    priority: int
    target_at: float
    deadline_at: float
    work: ExpectedWork = ExpectedWork()
    workspace: str = ''
    spent_tokens: int = 0

    @property
    def weight(self) -> float:
        """Return the loss if it is refused that would have been on time; 2 at most."""
        tokens = self.work.prompt_tokens + self.work.output_tokens + self.spent_tokens
        spent_share = self.spent_tokens / max(1, tokens)
        by_priority = 0.5 ** (max(0, self.priority) / _LEVELS_PER_HALF)
        return float(by_priority * (1 + spent_share))

    def loss_at(self, now: float) -> float:
        """Return the expected loss if it is refused now, in on-time responses."""
        if now + self.work.first_event_s <= self.target_at:
            return self.weight
        return self.weight * LATE_WORTH


@dataclass(frozen=True, slots=True, eq=False)
class WaitingRequest:
    """A request in the queue, with what its needs imply.

    Attributes
    ----------
    on_time_until, in_time_until : float
        Latest monotonic times in seconds at which it may begin to be on time, and to begin
        to respond before its deadline.
    loss_density : float
        Loss by a refusal for each second of work.
    """

    needs: RequestNeeds
    workspace: str = field(init=False)
    on_time_until: float = field(init=False)
    in_time_until: float = field(init=False)
    loss_density: float = field(init=False)

    def __post_init__(self) -> None:
        """Compute what each decision compares."""
        needs = self.needs
        first_event_s = needs.work.first_event_s
        derived = {
            'workspace': needs.workspace,
            'on_time_until': needs.target_at - first_event_s,
            'in_time_until': needs.deadline_at - first_event_s,
            'loss_density': needs.weight / needs.work.total_s,
        }
        for name, content in derived.items():
            object.__setattr__(self, name, content)


@dataclass(frozen=True, slots=True)
class WaitingDecision:
    """The order of the waiting requests, and who is refused.

    Attributes
    ----------
    order : sequence of WaitingRequest
        The next one to get a turn first.
    refused : mapping of WaitingRequest to RefusalReason
    late : frozenset of WaitingRequest
        Those in the order that are late, or were put off.
    turn_s : float
        Expected seconds between two turns; 0 if unknown.
    retry_after_s : float
        Expected seconds until a request that comes now would get its turn.
    """

    order: Sequence[WaitingRequest]
    refused: dict[WaitingRequest, RefusalReason]
    late: frozenset[WaitingRequest]
    turn_s: float
    retry_after_s: float

    def wait_s(self, request: WaitingRequest) -> float:
        """Return the expected seconds until a request gets its turn; 0 if unknown."""
        return self.turn_s * (self.order.index(request) + 1)


class TurnPace:
    """Measures the time between turns while requests wait for one."""

    def __init__(self) -> None:
        self._intervals_s: deque[float] = deque(maxlen=_KEPT_TURNS)
        self._since: float | None = None

    @property
    def turn_s(self) -> float:
        """Return the mean seconds between two turns; 0 if too few were measured.

        The longest time is left out: an engine that was silent once isn't slow.
        """
        intervals_s = sorted(tuple(self._intervals_s))
        return fmean(intervals_s[:-1]) if len(intervals_s) >= _MIN_TURNS else 0

    def record_turn(self, now: float) -> None:
        """Record a turn; it counts if a request has waited for it."""
        if self._since is not None:
            self._intervals_s.append(now - self._since)
            self._since = now

    def record_queue(self, now: float, *, is_waiting: bool) -> None:
        """Record whether requests wait for the next turn."""
        if not is_waiting:
            self._since = None
        elif self._since is None:
            self._since = now


class WaitingOrder:
    """Decides on the requests that wait for the adapter slots of one engine.

    Parameters
    ----------
    room : int
        Requests that may wait.
    """

    def __init__(self, room: int) -> None:
        self.room = room
        self.pace = TurnPace()
        self.late_pace = TurnPace()
        self._turns_since_late = 0

    def decide(self, waiting: Iterable[WaitingRequest], now: float) -> WaitingDecision:
        """Return the order of the waiting requests and whom to refuse."""
        timely, late, missed = _classify(waiting, now)
        refused = dict.fromkeys(missed, RefusalReason.DEADLINE)
        # First, so that the rest of the decision costs no more than the room allows.
        excess = self._excess(timely, late)
        if excess:
            refused.update(dict.fromkeys(excess, RefusalReason.FULL))
            timely, late = _without(timely, excess), _without(late, excess)
        limits = [request.on_time_until for request in timely]
        timely, put_off = _fit(timely, limits, self.pace.turn_s, now)
        late += put_off
        limits = [request.in_time_until for request in late]
        late, hopeless = _fit(late, limits, self.late_pace.turn_s, now)
        refused.update(dict.fromkeys(hopeless, RefusalReason.QUEUE))
        return WaitingDecision(
            self._merge(timely, late),
            refused,
            frozenset(late),
            self.pace.turn_s,
            self.pace.turn_s * (len(timely) + 1),
        )

    def record_turns(
        self, decision: WaitingDecision, started: Sequence[WaitingRequest], now: float
    ) -> None:
        """Record which requests of a decision got a turn."""
        for request in started:
            self.pace.record_turn(now)
            self._turns_since_late += 1
            if request in decision.late:
                self.late_pace.record_turn(now)
                self._turns_since_late = 0
        waiting = [entry for entry in decision.order if entry not in started]
        self.record_waiting(decision, waiting, now)

    def record_waiting(
        self, decision: WaitingDecision, waiting: Iterable[WaitingRequest], now: float
    ) -> None:
        """Record which requests still wait after a decision."""
        still = tuple(waiting)
        is_late_waiting = any(request in decision.late for request in still)
        if not is_late_waiting:
            self._turns_since_late = 0
        self.pace.record_queue(now, is_waiting=bool(still))
        self.late_pace.record_queue(now, is_waiting=is_late_waiting)

    def _merge(
        self, timely: list[WaitingRequest], late: list[WaitingRequest]
    ) -> list[WaitingRequest]:
        """Return one order, in which a turn in `TURNS_PER_LATE_TURN` is for a late one."""
        step = TURNS_PER_LATE_TURN - 1
        ahead = max(0, step - self._turns_since_late)
        order = timely[:ahead]
        for begin in range(ahead, len(timely), step):
            turn = len(order) - begin
            order.extend(late[turn : turn + 1])
            order.extend(timely[begin : begin + step])
        order.extend(late[len(order) - len(timely) :])
        return order

    def _excess(
        self, timely: list[WaitingRequest], late: list[WaitingRequest]
    ) -> frozenset[WaitingRequest]:
        """Return the requests for which there is no room, late ones first."""
        excess = max(0, len(timely) + len(late) - self.room)
        if not excess:
            return frozenset()
        density = attrgetter('loss_density')
        of_late = sorted(late, key=density)[:excess]
        of_timely = sorted(timely, key=density)[: excess - len(of_late)]
        return frozenset((*of_late, *of_timely))


def _classify(
    waiting: Iterable[WaitingRequest], now: float
) -> tuple[list[WaitingRequest], list[WaitingRequest], list[WaitingRequest]]:
    """Return the requests that can be on time, that can be late, and that can't be served."""
    timely, late, missed = [], [], []
    for request in waiting:
        if request.on_time_until >= now:
            timely.append(request)
        elif request.in_time_until >= now:
            late.append(request)
        else:
            missed.append(request)
    return timely, late, missed


def _without(
    requests: list[WaitingRequest], removed: frozenset[WaitingRequest]
) -> list[WaitingRequest]:
    return [request for request in requests if request not in removed]


def _fit(
    requests: list[WaitingRequest], limits: list[float], turn_s: float, now: float
) -> tuple[list[WaitingRequest], list[WaitingRequest]]:
    """Return the requests that can all begin in time, in order, and the others.

    Moore and Hodgson's rule: take the requests by the time by which they must begin; if one
    would begin too late, leave out the one of those taken whose loss is least for its work.

    Parameters
    ----------
    limits : list of float
        Latest time in seconds at which each request may begin.
    """
    positions = sorted(range(len(requests)), key=limits.__getitem__)
    ordered = [requests[position] for position in positions]
    limits = sorted(limits)
    if not turn_s or not any(map(lt, limits, count(now, turn_s))):
        return ordered, []
    densities = _densities(ordered)
    positions_by_density = dict(zip(densities, range(len(ordered)), strict=True))
    is_left_out = bytearray(len(ordered))
    for density in _densities_left_out(densities, limits, turn_s, now):
        is_left_out[positions_by_density[density]] = 1
    kept = compress(ordered, map(not_, is_left_out))
    return list(kept), list(compress(ordered, is_left_out))


def _densities_left_out(
    densities: list[float], limits: list[float], turn_s: float, now: float
) -> list[float]:
    taken: list[float] = []
    left_out = []
    begins_at = now
    for limit, density in zip(limits, densities, strict=True):
        if begins_at <= limit:
            heapq.heappush(taken, density)
            begins_at += turn_s
        else:
            left_out.append(heapq.heappushpop(taken, density))
    return left_out


def _densities(ordered: Sequence[WaitingRequest]) -> list[float]:
    """Return the loss by a refusal of each request for each second of its work.

    A request counts less the more requests of its workspace come before. Of equal ones the
    later counts less, so that each number stands for one request.
    """
    ahead: dict[str, Iterator[int]] = defaultdict(lambda: count(_WORKSPACE_ROUND))
    densities = [
        request.loss_density / next(ahead[request.workspace]) for request in ordered
    ]
    return list(map(sub, densities, count(0, _TIE_BREAK)))
