"""Steps on the health and the choice of endpoints."""

from __future__ import annotations

import dataclasses
import random
import sys
from collections import Counter
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))

from pimentohoist._decisions.adapter_handover import (  # noqa: E402
    choose_new_holder,
)
from pimentohoist._decisions.endpoint_choice import (  # noqa: E402
    Candidate,
    choose_engines,
    rank_services,
)
from pimentohoist._decisions.endpoint_health import EndpointHealth  # noqa: E402


@given('3 equal endpoints of which one fails half of its responses')
def make_endpoints(context: Context) -> None:
    context.health = {f'e{number}': EndpointHealth() for number in range(3)}
    context.failing = 0.5
    context.now = 0
    context.sent = []


@given("a service that answers in {latency_ms:g} ms and one that hasn't answered yet")
def make_untried_service(context: Context, latency_ms: float) -> None:
    known = Candidate('known', 6, 0, latency_ms / 1000, 1, is_in_own_domain=True)
    untried = Candidate('untried', 6, 0, 0, 1, is_in_own_domain=False)
    context.candidates = [known, untried]


@then('the next request is sent to the latter')
def check_untried_first(context: Context) -> None:
    for jitter in (0, 0.9):
        assert rank_services(context.candidates, jitter)[0] == 'untried'


@when('{count:d} requests are sent')
def send_requests(context: Context, count: int) -> None:
    chooser = random.Random(3)
    for _ in range(count):
        context.now += 0.02
        candidates = [
            Candidate(
                name, 6, 0, health.latency_s, health.cost_factor(context.now), True
            )
            for name, health in context.health.items()
        ]
        name = rank_services(candidates, chooser.random())[0]
        context.sent.append(name)
        if name == 'e0' and chooser.random() < context.failing:
            context.health[name].record_failure(context.now)
        else:
            context.health[name].record_response(
                0.045 + chooser.uniform(-0.01, 0.01), context.now
            )


@when('it no longer fails and {count:d} requests are sent')
def recover(context: Context, count: int) -> None:
    context.failing = 0
    send_requests(context, count)


@then('the failing one gets less than a fifth of its even share')
def check_failing_share(context: Context) -> None:
    assert Counter(context.sent)['e0'] < len(context.sent) / 3 / 5


@then('it gets at least half of its even share of the last {count:d}')
def check_recovered(context: Context, count: int) -> None:
    assert Counter(context.sent[-count:])['e0'] >= count / 3 / 2


def engines(in_flight: int, free: int = 3) -> list[Candidate]:
    return [
        Candidate(
            f'e{number}',
            64,
            in_flight if number == 0 else 5,
            0.1,
            1.0,
            True,
            number == 0,
            free if number else 0,
        )
        for number in range(5)
    ]


@given('5 engines of which one holds an adapter')
def describe_engines(context: Context) -> None:
    """The engines come from `engines`."""


@then('its requests go there while it is not overloaded')
def check_not_overloaded(context: Context) -> None:
    assert choose_engines('m/a', engines(4))[0] == 'e0'


@then('to another engine when it is overloaded')
def check_overloaded(context: Context) -> None:
    assert choose_engines('m/a', engines(40))[0] != 'e0'


@given('5 engines that all hold an adapter')
def make_copies(context: Context) -> None:
    context.copies = [
        [
            Candidate(f'e{number}', 64, in_flight, 0.1, 1, is_in_own_domain, True, 1)
            for number, is_in_own_domain in enumerate((False, True, True, False, True))
        ]
        for in_flight in (0, 10, 30)
    ]


@then('all its requests go to one of them while that is not overloaded')
def check_copies(context: Context) -> None:
    chosen = {choose_engines('m/a', copies)[0] for copies in context.copies}
    assert len(chosen) == 1, chosen


@then('its requests go to another engine while that one fails')
def check_failing(context: Context) -> None:
    candidates = engines(1)
    health = EndpointHealth()
    for _ in range(3):
        health.record_failure(0)
    failing = dataclasses.replace(candidates[0], cost_factor=health.cost_factor(0))
    assert choose_engines('m/a', [failing, *candidates[1:]])[0] != 'e0'


@then('a cold adapter goes to its first engine with a free adapter slot')
def check_cold(context: Context) -> None:
    cold = [
        Candidate(f'e{number}', 64, 5, 0.1, 1.0, True, False, int(number == 3))
        for number in range(5)
    ]
    assert choose_engines('m/cold', cold)[0] == 'e3'


@given('5 engines that have 0 to 9 free adapter slots')
def describe_free_slots(context: Context) -> None:
    context.free = {'e0': 0, 'e1': 2, 'e2': 4, 'e3': 5, 'e4': 9}


@when('an engine with {count:d} popular adapters leaves')
def request_adapters(context: Context, count: int) -> None:
    context.requested = Counter()
    context.held = {f'a{number}' for number in range(0, count, 10)}
    context.moved = set()
    for number in range(count):
        adapter = f'a{number}'
        candidates = [
            Candidate(
                name,
                64,
                0,
                0.1,
                1.0,
                True,
                name == 'e4' and adapter in context.held,
                free,
            )
            for name, free in context.free.items()
        ]
        target = choose_new_holder(adapter, candidates, context.requested)
        if target is not None:
            context.requested[target] += 1
            context.moved.add(adapter)


@then(
    'each engine is asked for {limit:d} loads at most,'
    ' and for no more than it has free slots'
)
def check_requested_loads(context: Context, limit: int) -> None:
    allowed = {name: min(limit, free) for name, free in context.free.items() if free}
    assert context.requested == allowed, context.requested


@then('for no adapter that one of them has')
def check_no_copies(context: Context) -> None:
    assert not context.moved & context.held
