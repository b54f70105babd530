"""Steps on the experiment tool."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import replace
from concurrent.futures import Future
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._publisher import PublishResult
from pimentohoist.configuration import Configuration, Workspace
from pimentohoist_standins._experiment_report import (
    ExperimentOutcome,
    refused_within_rate,
)
from pimentohoist_standins._faults_plan import build_faults
from pimentohoist_standins._operator_faults import RacingOperators, WithdrawnKey
from pimentohoist_standins._poison_fault import PoisonRequest
from pimentohoist_standins._invariants import Invariants
from pimentohoist_standins._run_context import RunContext
from pimentohoist_standins._experiment_load import RequestOutcome, Result
from pimentohoist_standins._experiment_plan import Arrival, Experiment, arrivals
from pimentohoist_standins.experiment import run_experiment

_KEY = 'ph_line-1_0123456789abcdef'
_EXPERIMENT = Experiment(max_tokens=8, rate_tokens_per_s=1, burst_tokens=20)
_DURATION_S = 4.0
_CONFIGURATION_TEXTS = 'pimentohoist_standins._operator_faults.configuration_texts'


class RecordedFleet:
    """Double of a fleet after a run, with the requests that its endpoints received."""

    def __init__(self) -> None:
        self.addresses = {'engine-1': '', 'ledger': '', 'log': ''}
        self.runs = [run_entry('Request 0 of workspace-0.', 'adapter-0')]
        self.posts = [post_entry(1)]
        self.violations: list[str] = []

    def received_requests(self, name: str) -> list[dict[str, Any]]:
        return self.runs if name == 'engine-1' else self.posts

    def request(self, name: str, request: HttpRequest) -> HttpResponse:
        assert request.path == '/v1/violations'
        return HttpResponse(
            200, {}, json.dumps({'violations': self.violations}).encode()
        )


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


def add_violation(fleet: RecordedFleet, fault: str) -> None:
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


@given("the requests that an experiment's endpoints received, with {fault}")
def check_recorded(context: Context, fault: str) -> None:
    fleet = RecordedFleet()
    add_violation(fleet, fault)
    completion = Result(
        arrival(0, is_action=False),
        RequestOutcome(),
        is_expected=fault != 'an answer that is not whole',
        latency_s=0.1,
    )
    action = Result(arrival(1, is_action=True), RequestOutcome(), True, 0.1)
    if fault == 'an action run but refused as not run':
        action = replace(action, outcome=RequestOutcome('unavailable', 'not_run'))
    run_context = RunContext(_EXPERIMENT, fleet, {'workspace-0': _KEY})
    invariants = Invariants(_EXPERIMENT, run_context, _DURATION_S)
    context.broken = list(invariants.broken([completion, action]))


@then('the experiment reports "{line}" and nothing else')
def check_report(context: Context, line: str) -> None:
    assert context.broken == [line], context.broken


@then('the experiment reports nothing')
def check_no_report(context: Context) -> None:
    assert not context.broken, context.broken


@when('the arrivals of an experiment are generated twice')
def generate_arrivals(context: Context) -> None:
    experiment = Experiment(rate_per_s=100, duration_s=20, adapters=10)
    context.arrival_lists = [list(arrivals(experiment)) for _ in range(2)]


@then('both are equal and the most popular adapter comes first')
def check_arrivals(context: Context) -> None:
    first, second = context.arrival_lists
    assert first == second
    counts = Counter(drawn.adapter for drawn in first)
    assert counts.most_common(1)[0][0] == 'adapter-0', counts
    assert all(
        earlier.at_s <= later.at_s
        for earlier, later in zip(first, first[1:], strict=False)
    )


def racing_operators(
    accepted: list[Workspace], rejected: list[Workspace]
) -> RacingOperators:
    fault = RacingOperators()
    for sections, is_accepted in ((accepted, True), (rejected, False)):
        for section in sections:
            publish: Future[PublishResult] = Future()
            verdicts = {'entry-1': {'is_accepted': is_accepted}}
            publish.set_result(PublishResult('id', 'digest', 1, verdicts))
            fault.publishes.append((section, publish))
    return fault


def withdrawn_key(answered_after_s: float | None) -> tuple[WithdrawnKey, list[Result]]:
    fault = WithdrawnKey()
    if answered_after_s is not None:
        fault.withdrawn_at_s = 3
    request = Arrival(0, 3 + (answered_after_s or 9), 'workspace-0', 'adapter-0', False)
    return fault, [Result(request, RequestOutcome(), True, 0.1)]


@given('a finished experiment with the fault "{name}", in which {what}')
def finish_with_fault(context: Context, name: str, what: str) -> None:
    held = Workspace('workspace-1', 1, 5)
    changed = replace(held, burst_tokens=4)
    results: list[Result] = []
    match what.split()[:4]:
        case ['a', 'request', 'is', 'answered']:
            fault, results = withdrawn_key(float(what.split()[4]))
        case ['the', 'publish', 'was', 'lost']:
            fault, results = withdrawn_key(None)
        case ['both', *_]:
            fault = racing_operators([held, changed], [])
        case ['an', 'accepted', 'change', 'is']:
            fault = racing_operators([changed], [held])
        case ['one', *_]:
            fault = racing_operators([held], [changed])
        case [count, 'engines', 'crash']:
            fault = PoisonRequest()
            fault.crashes = int(count)
    text = Configuration.of(held).text()
    run_context = RunContext(Experiment(), RecordedFleet())
    with mock.patch(_CONFIGURATION_TEXTS, return_value={text}):
        context.broken = list(fault.broken_invariants(run_context, results))


@then('the fault reports "{line}" and nothing else')
def check_fault_report(context: Context, line: str) -> None:
    assert context.broken == [line], context.broken


@then('the fault reports "" and nothing else')
def check_no_fault_report(context: Context) -> None:
    assert not context.broken, context.broken


@when(
    'the faults "{first}", "{second}" and "{third}", "{fourth}" are built',
)
def build_pairs(context: Context, **names: str) -> None:
    pairs = ((names['first'], names['second']), (names['third'], names['fourth']))
    context.pairs = [build_faults(Experiment(faults=pair)) for pair in pairs]


class FaultRecordingFleet(RecordedFleet):
    """Double of a fleet that records the processes that faults affect."""

    def __init__(self) -> None:
        super().__init__()
        self.targets: list[str] = []
        self.processes = self

    def __getitem__(self, name: str) -> FaultRecordingFleet:
        self.targets.append(name)
        return self

    def kill(self) -> None:
        """Accept a signal to a process without effect."""

    def signal(self, number: int) -> None:
        """Accept a signal to a process without effect."""

    def control(self, name: str, **controls: Any) -> None:
        self.targets.append(name)


@then('each pair affects two processes')
def check_targets(context: Context) -> None:
    for pair in context.pairs:
        fleet = FaultRecordingFleet()
        for fault in pair:
            fault.inject(RunContext(Experiment(), fleet))
        assert len(set(fleet.targets)) == 2, fleet.targets


@given('an experiment of 1 workspace with a burst of {burst:d} tokens and no rate')
def define_experiment(context: Context, burst: int) -> None:
    context.experiment = Experiment(
        workspaces=1, rate_tokens_per_s=0, burst_tokens=burst, max_tokens=8
    )


@when(
    'requests of {cost:d} tokens are answered, refused, refused for their key, '
    'and refused by a silent engine'
)
def record_refusals(context: Context, cost: int) -> None:
    outcomes = (
        RequestOutcome(),
        RequestOutcome('rate_limit_exceeded', 'not_run', 'limits'),
        RequestOutcome('rate_limit_exceeded', 'not_run', 'limits'),
        RequestOutcome('invalid_api_key', 'not_run', 'authenticate'),
        RequestOutcome('peer_timeout', 'unknown', 'retry'),
    )
    context.results = [
        Result(arrival(number, is_action=False), outcome, outcome.is_ok, 0.1)
        for number, outcome in enumerate(outcomes)
    ]
    assert context.results[0].arrival.cost_tokens(8) == cost


@then(
    'the report counts {first:d} "{code}" at "{step}" and '
    '{second:d} "{other}" at "{place}"'
)
def check_counts(context: Context, **cells: Any) -> None:
    outcome = ExperimentOutcome(context.experiment, context.results)
    document = outcome.document()
    counts = {(one['code'], one['step']): one['count'] for one in document['refusals']}
    assert counts[cells['code'], cells['step']] == cells['first']
    assert counts[cells['other'], cells['place']] == cells['second']
    row = outcome.row()
    assert f'{cells["first"]} {cells["code"]} ({cells["step"]}, not_run)' in row
    assert document['requests'] == 5


@then('none of these refusals is within rate')
def check_none_within(context: Context) -> None:
    assert not refused_within_rate(context.experiment, context.results)


@then('with a burst of {burst:d} tokens {count:d} refusals are within rate')
def check_within(context: Context, burst: int, count: int) -> None:
    larger = replace(context.experiment, burst_tokens=burst)
    assert refused_within_rate(larger, context.results) == count


@then('no invariant is broken')
def check_invariants(context: Context) -> None:
    assert not context.outcome.broken, context.outcome.broken


@when('an experiment of {duration_s:d} s runs with the faults "{faults}"')
@when(
    'an experiment of {duration_s:d} s on {daemons:d} daemons runs with the faults '
    '"{faults}"'
)
def run_faults(
    context: Context, duration_s: int, faults: str, daemons: int = 3
) -> None:
    experiment = Experiment(
        daemons=daemons,
        duration_s=duration_s,
        rate_per_s=8,
        faults=tuple(faults.split('+')),
    )
    context.outcome = run_experiment(experiment)


@then('no invariant is broken and most requests are answered')
def check_outcome(context: Context) -> None:
    outcome = context.outcome
    assert not outcome.broken, outcome.broken
    assert outcome.counts()['ok'] > len(outcome.results) / 2, outcome.counts()
