"""Steps on the experiment tool."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from pimentohoist._http_client import HttpReply, HttpRequest
from pimentohoist_standins._promises import Promises
from pimentohoist_standins._scene import Scene
from pimentohoist_standins._experiment_load import Ending, Result
from pimentohoist_standins._experiment_plan import Arrival, Experiment, arrivals
from pimentohoist_standins.experiment import run_experiment

_KEY = 'ph_line-1_0123456789abcdef'
_SIZES = Experiment(max_tokens=8, rate_tokens_per_s=1, burst_tokens=20)
_DURATION_S = 4.0


class SeenFleet:
    """Stands in for a fleet after a run: what its endpoints saw."""

    def __init__(self) -> None:
        self.addresses = {'engine-1': '', 'ledger': '', 'log': ''}
        self.runs = [run_entry('Request 0 of workspace-0.', 'adapter-0')]
        self.posts = [post_entry(1)]
        self.violations: list[str] = []

    def seen(self, name: str) -> list[dict[str, Any]]:
        return self.runs if name == 'engine-1' else self.posts

    def ask(self, name: str, request: HttpRequest) -> HttpReply:
        assert request.path == '/v1/violations'
        return HttpReply(200, {}, json.dumps({'violations': self.violations}).encode())


def run_entry(prompt: str, adapter: str) -> dict[str, Any]:
    body = {
        'prompt': prompt,
        'max_tokens': 8,
        'resume_offset': 0,
        'cache_salt': 'salt',
    }
    return {
        'method': 'POST',
        'request_id': 'r',
        'adapter': adapter,
        'headers': {},
        'body': json.dumps(body),
    }


def post_entry(number: int) -> dict[str, Any]:
    return {'method': 'POST', 'headers': {}, 'body': json.dumps({'entry': number})}


def arrival(number: int, *, is_action: bool) -> Arrival:
    return Arrival(number, 0, 'workspace-0', 'adapter-0', is_action)


def spoil_seen(fleet: SeenFleet, fault: str) -> None:
    match fault:
        case 'a key in a header':
            fleet.posts[0]['headers']['X-Copy'] = f'Bearer {_KEY}'
        case 'a run on another adapter':
            fleet.runs[0]['adapter'] = 'adapter-1'
        case 'an eviction in use':
            fleet.violations.append('evicted in use: adapter-0@1')
        case 'an action run twice':
            fleet.posts.append(post_entry(1))
        case 'an action answered but not run':
            fleet.posts.clear()
        case 'more tokens than rate and burst':
            fleet.runs *= 3


@given('what the endpoints of an experiment saw, with {fault}')
def see_fault(context: Context, fault: str) -> None:
    fleet = SeenFleet()
    spoil_seen(fleet, fault)
    completion = Result(
        arrival(0, is_action=False),
        Ending(),
        is_whole=fault != 'an answer that is not whole',
        latency_s=0.1,
    )
    action = Result(arrival(1, is_action=True), Ending(), True, 0.1)
    if fault == 'an action run but refused as not run':
        action = replace(action, ending=Ending('unavailable', 'not_run'))
    scene = Scene(_SIZES, fleet, {'workspace-0': _KEY})
    promises = Promises(_SIZES, scene, _DURATION_S)
    context.broken = list(promises.broken([completion, action]))


@then('the experiment reports "{line}" and nothing else')
def check_report(context: Context, line: str) -> None:
    assert context.broken == [line], context.broken


@then('the experiment reports nothing')
def check_no_report(context: Context) -> None:
    assert not context.broken, context.broken


@when('the arrivals of an experiment are drawn twice')
def draw_arrivals(context: Context) -> None:
    experiment = Experiment(rate_per_s=100, duration_s=20, adapters=10)
    context.draws = [list(arrivals(experiment)) for _ in range(2)]


@then('both are equal and the most popular adapter comes first')
def check_arrivals(context: Context) -> None:
    first, second = context.draws
    assert first == second
    counts = Counter(drawn.adapter for drawn in first)
    assert counts.most_common(1)[0][0] == 'adapter-0', counts
    assert all(
        earlier.at_s <= later.at_s
        for earlier, later in zip(first, first[1:], strict=False)
    )


@when('an experiment of {duration_s:d} s runs with the faults "{faults}"')
def run_faults(context: Context, duration_s: int, faults: str) -> None:
    experiment = Experiment(
        duration_s=duration_s, rate_per_s=8, faults=tuple(faults.split('+'))
    )
    context.outcome = run_experiment(experiment)


@then('no promise is broken and most requests are answered')
def check_outcome(context: Context) -> None:
    outcome = context.outcome
    assert not outcome.broken, outcome.broken
    assert outcome.counts()['ok'] > len(outcome.results) / 2, outcome.counts()
