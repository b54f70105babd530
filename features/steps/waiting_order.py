"""Steps on the order of requests that wait for adapter slots."""

from __future__ import annotations

import random
import sys
from functools import total_ordering
from itertools import chain, repeat
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from waiting_world import DEPLOYMENTS, Arrival, WaitingWorld  # noqa: E402

from pimentohoist._decisions.waiting_order import (  # noqa: E402
    ExpectedWork,
    RefusalReason,
    RequestNeeds,
    WaitingOrder,
    WaitingRequest,
)

_LOADED_S = 30.0
_MEASURED_TURNS = 16
_WORK = ExpectedWork(646, 70, 0.288)


def _measured_order(turn_s: float) -> WaitingOrder:
    """Return an order that has measured the time between turns, which ends at 0 s."""
    order = WaitingOrder(10_000)
    begin = -turn_s * _MEASURED_TURNS
    for pace in (order.pace, order.late_pace):
        pace.record_queue(begin, is_waiting=True)
        for turn in range(1, _MEASURED_TURNS + 1):
            pace.record_turn(begin + turn * turn_s)
    return order


def _late_request(source: random.Random, left: tuple[float, float]) -> WaitingRequest:
    needs = RequestNeeds(source.randrange(3), -1, source.uniform(*left), _WORK)
    return WaitingRequest(needs)


def _urgent_request(now: float) -> WaitingRequest:
    return WaitingRequest(RequestNeeds(0, now + 5, now + 10, _WORK))


def _play(name: str, load: float, *, is_by_chance: bool) -> WaitingWorld:
    world = WaitingWorld(DEPLOYMENTS[name], is_by_chance=is_by_chance)
    kinds = DEPLOYMENTS[name].kinds
    world.run([one for kind in kinds for one in world.arrivals(kind, load, _LOADED_S)])
    return world


@given('the requests of deployment {name} at one engine, {load:f} times as many')
def play_both(context: Context, name: str, load: float) -> None:
    context.world = _play(name, load, is_by_chance=False)
    context.chance = _play(name, load, is_by_chance=True)


@then(
    '{gain:f} times as much worth is served as by chance and until the latency target'
)
def check_gain(context: Context, gain: float) -> None:
    measured = (context.world.worth(), context.chance.worth())
    assert measured[0] > gain * measured[1], measured


@then('no request waits longer than its deadline allows')
def check_ends(context: Context) -> None:
    for arrival, _, known_at in context.world.ends:
        assert known_at <= arrival.at + arrival.kind.deadline_s, arrival


@given('the urgent streams of deployment {name} at one engine')
def urgent_streams(context: Context, name: str) -> None:
    context.world = WaitingWorld(DEPLOYMENTS[name], is_by_chance=False)
    urgent = context.world.deployment.kinds[0]
    context.arrivals = list(context.world.arrivals(urgent, 1, _LOADED_S))


@when('{count:d} requests of its unhurried stream arrive at once')
def add_burst(context: Context, count: int) -> None:
    unhurried = context.world.deployment.kinds[1]
    burst = [Arrival(unhurried, 5.0, f'w{number % 4}') for number in range(count)]
    context.world.run(context.arrivals + burst)


@then('at least {share:f} of the urgent streams are on time')
def check_urgent(context: Context, share: float) -> None:
    on_time = context.world.share_on_time('urgent')
    assert on_time >= share, on_time


@then('all of the unhurried streams end before their deadlines')
def check_unhurried(context: Context) -> None:
    world = context.world
    for arrival, began, _ in world.ends_of('unhurried'):
        assert world.has_ended(arrival, began), arrival


@given(
    'an engine that begins a load each {turn_s:g} s,'
    ' and {count:d} requests with {least_s:g} to {most_s:g} s left'
)
def queue_of(
    context: Context, turn_s: float, count: int, least_s: float, most_s: float
) -> None:
    context.left = (least_s, most_s)
    source = random.Random(3)
    context.order = _measured_order(turn_s)
    context.waiting = [_late_request(source, context.left) for _ in range(count)]
    context.decision = context.order.decide(context.waiting, 0)


@then(
    "those that can't be served are refused at once, the least loss for its work first"
)
def check_refused(context: Context) -> None:
    decision = context.decision
    assert set(decision.refused.values()) == {RefusalReason.QUEUE}
    assert len(decision.order) + len(decision.refused) == 200
    # 6 s have 60 turns.
    assert 50 <= len(decision.order) <= 60, len(decision.order)
    assert all(
        turn / 10 <= one.in_time_until for turn, one in enumerate(decision.order)
    )
    kept = sum(request.needs.weight for request in decision.order)
    others = sum(request.needs.weight for request in decision.refused)
    assert kept / len(decision.order) > 1.3 * others / len(decision.refused)


@then('a new request after the named wait gets its turn about then')
def check_retry_after(context: Context) -> None:
    wait_s = context.decision.retry_after_s
    turns = round(wait_s * 10)
    assert 1 <= turns <= 2, wait_s
    newcomer = _urgent_request(wait_s)
    left = [*context.decision.order[turns:], newcomer]
    decision = context.order.decide(left, wait_s)
    assert newcomer in decision.order[:2]


@then('it is refused at once since it would miss its deadline')
def check_missed(context: Context) -> None:
    assert set(context.decision.refused.values()) == {RefusalReason.DEADLINE}


@when('one of them is late and the others are replaced by new urgent ones')
def replace_waiting(context: Context) -> None:
    late = context.waiting[0]
    context.turns = 0
    for turn in range(1, 50):
        urgent = [_urgent_request(turn * 0.1) for _ in range(5)]
        decision = context.order.decide([late, *urgent], turn * 0.1)
        context.order.record_turns(decision, decision.order[:1], turn * 0.1)
        if decision.order[0] is late:
            context.turns = turn
            return


@then('it gets one of the next {count:d} turns')
def check_turn(context: Context, count: int) -> None:
    assert 0 < context.turns <= count, context.turns


@given(
    '{many:d} equal requests of one workspace and {few:d} of another,'
    ' for {turns:d} turns in time'
)
def two_workspaces(context: Context, many: int, few: int, turns: int) -> None:
    context.order = _measured_order(0.1)
    until = (turns - 1) * 0.1 + _WORK.first_event_s
    names = chain(repeat('many', many), repeat('few', few))
    needs = (RequestNeeds(0, until, 60, _WORK, name) for name in names)
    context.decision = context.order.decide(map(WaitingRequest, needs), 0)
    context.turns = turns


@then("all of the other one's get their turn in time")
def check_workspaces(context: Context) -> None:
    first = context.decision.order[: context.turns + 1]
    counted = [request.workspace for request in first].count('few')
    assert counted == 5, counted


@when('one load began only after {silent_s:g} s')
def record_silence(context: Context, silent_s: float) -> None:
    for pace in (context.order.pace, context.order.late_pace):
        pace.record_turn(silent_s)
        pace.record_queue(silent_s, is_waiting=False)


@then('none of the requests is refused')
def check_none_refused(context: Context) -> None:
    assert not context.order.decide(context.waiting, 0).refused


@when('it begins a load each {turn_s:g} s again')
def recover(context: Context, turn_s: float) -> None:
    context.turn_s = turn_s


@then('after {turns:d} loads it refuses none of {count:d} such requests')
def check_recovered(context: Context, turns: int, count: int) -> None:
    source, now = random.Random(4), float(0)
    for _ in range(turns):
        waiting = [_shifted(_late_request(source, context.left), now) for _ in range(9)]
        decision = context.order.decide(waiting, now)
        assert decision.order, 'no request may wait, so no load is measured'
        context.order.record_turns(decision, (), now)
        now += context.turn_s
        context.order.record_turns(decision, decision.order[:1], now)
    late = [_shifted(_late_request(source, context.left), now) for _ in range(count)]
    assert not context.order.decide(late, now).refused


def _shifted(request: WaitingRequest, now: float) -> WaitingRequest:
    needs = request.needs
    return WaitingRequest(
        RequestNeeds(needs.priority, now - 1, now + needs.deadline_at, needs.work)
    )


@total_ordering
class _Counted:
    """A number that counts its comparisons."""

    compared = 0

    def __init__(self, number: float) -> None:
        self.number = number

    def __hash__(self) -> int:
        return hash(self.number)

    def __eq__(self, other: object) -> bool:
        return float(self) == float(other)  # type: ignore[arg-type]

    def __lt__(self, other: object) -> bool:
        _Counted.compared += 1
        return float(self) < float(other)  # type: ignore[arg-type]

    def __float__(self) -> float:
        return self.number

    def __sub__(self, other: float) -> _Counted:
        return _Counted(self.number - other)

    def __truediv__(self, other: float) -> _Counted:
        return _Counted(self.number / other)


def _comparisons(count: int) -> int:
    """Return the comparisons of times and losses in one decision on an overfull queue."""
    source = random.Random(5)
    order = _measured_order(0.05)
    waiting = []
    for _ in range(count):
        target_at = source.uniform(-2, 10)
        deadline_at = target_at + source.uniform(3, 15)
        needs = RequestNeeds(source.randrange(3), target_at, deadline_at, _WORK)
        request = WaitingRequest(needs)
        for name in ('on_time_until', 'in_time_until', 'loss_density'):
            object.__setattr__(request, name, _Counted(getattr(request, name)))
        waiting.append(request)
    _Counted.compared = 0
    order.decide(waiting, 0)
    return _Counted.compared


@then(
    'a decision on {many:d} requests makes at most {factor:d} times the comparisons'
    ' of one on {few:d}'
)
def check_growth(context: Context, many: int, factor: int, few: int) -> None:
    counts = (_comparisons(many), _comparisons(few))
    # 10,000 log 10,000 is 13.3 times 1,000 log 1,000.
    assert counts[0] <= factor * counts[1], counts
    assert counts[1] <= 60 * few, counts
