"""Steps on the engine at which a request waits for its adapter."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from pimentohoist._decisions.homes import Regions
from pimentohoist._entry.endpoint_chooser import EndpointChooser
from pimentohoist._entry.request_context import RequestContext
from pimentohoist._entry.request_monitor import Cancellation, MonitoredRequest
from pimentohoist.entry_models import (
    AdapterKey,
    Endpoint,
    EndpointGroup,
    EngineLimits,
    EntryRequest,
    ExecutionPolicy,
    Route,
)
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerTimeoutError,
    PimentohoistError,
    UnavailableError,
    WaitRefusedError,
)

_CALL_S = 0.005
_TIMEOUT_S = 0.25
_ADAPTER = AdapterKey('m', 'a')
_STEP = 'hold_adapter'
_NEVER_S = float('inf')


class _FakeOwners:
    """Test double of the owners of engines, with a virtual clock that begins at 0 s."""

    def __init__(self, ids: list[str]) -> None:
        self.now = float(0)
        self.calls = 0
        self.loaded_at = dict.fromkeys(ids, _NEVER_S)
        self.lost_at = dict.fromkeys(ids, _NEVER_S)
        self.waits_s: dict[str, float | None] = dict.fromkeys(ids)
        self.useless: set[str] = set()
        self.frozen: set[str] = set()
        self.declarations = SimpleNamespace(version_of=lambda adapter: 0)
        self.monitored: MonitoredRequest | None = None
        self.caller_leaves_at = _NEVER_S

    def statuses(self) -> dict[str, tuple[int, list[str]]]:
        return {}

    def load_and_pin(
        self, endpoint_id: str, adapter: AdapterKey, wait_s: float, **options: Any
    ) -> int:
        self.calls += 1
        assert wait_s > 0
        self._pass(_CALL_S)
        is_frozen = endpoint_id in self.frozen
        if is_frozen:
            self._pass(wait_s + _TIMEOUT_S)
        elif not (options['fail_fast'] or endpoint_id in self.useless):
            changes_at = min(self.loaded_at[endpoint_id], self.lost_at[endpoint_id])
            self._pass(max(0, min(wait_s, changes_at - self.now)))
        if self.now >= self.loaded_at[endpoint_id] and not is_frozen:
            return 1
        raise self._refusal(endpoint_id)

    def _refusal(self, endpoint_id: str) -> PimentohoistError:
        if endpoint_id in self.frozen:
            return PeerTimeoutError('no answer', step=_STEP)
        if self.now >= self.lost_at[endpoint_id]:
            return PeerConnectError('connection lost', step=_STEP)
        wait_s = self.waits_s[endpoint_id]
        if endpoint_id in self.useless:
            return WaitRefusedError(
                'not loaded', step=_STEP, retry_after_s=wait_s, reason='queue'
            )
        return UnavailableError('not loaded', step=_STEP, retry_after_s=wait_s)

    def _pass(self, duration_s: float) -> None:
        self.now += duration_s
        if self.now >= self.caller_leaves_at and self.monitored is not None:
            self.monitored.cancel(Cancellation.DISCONNECTED)


def _endpoint(name: str) -> Endpoint:
    return Endpoint(
        name,
        'g',
        '127.0.0.1:1',
        'z',
        slots=8,
        is_draining=False,
        started_ms=0,
        accepted_orders=0,
        models=('m',),
    )


def _accept(endpoint: Endpoint) -> bool:
    return True


@given("{count:d} engines whose owners can't load the adapter now")
def full_engines(context: Context, count: int) -> None:
    ids = [f'e{number}' for number in range(count)]
    context.owners = _FakeOwners(ids)
    health = SimpleNamespace(latency_s=0.1, cost_factor=lambda now: 1)
    endpoints: Any = SimpleNamespace(
        usable=lambda group: [_endpoint(name) for name in ids],
        alive=list,
        may_get_work=_accept,
        health_of=lambda endpoint_id: health,
        limits=SimpleNamespace(limit_per_s=lambda incarnation: None),
        quiet_s=lambda group: 0,
    )
    members: Any = SimpleNamespace(
        live=list, settings=SimpleNamespace(failure_domain='z', regions=Regions())
    )
    permits: Any = SimpleNamespace(
        blocked_s=lambda endpoint: 0,
        may_prepare=_accept,
        may_send=_accept,
        is_cold=lambda endpoint: False,
        give_back=lambda endpoint: None,
    )
    forwarding: Any = SimpleNamespace(
        is_wanted=lambda request: False,
        links=SimpleNamespace(is_cut_off=lambda group: False),
    )
    rooms: Any = SimpleNamespace(
        has_room=_accept,
        take=_accept,
        is_bounded=lambda endpoint: False,
    )
    context.chooser = EndpointChooser(
        endpoints,
        members,
        context.owners,
        SimpleNamespace(count_on=lambda endpoint_id: 0),  # type: ignore[arg-type]
        permits,
        forwarding,
        rooms,
    )


@given(
    'a request with a latency target of {target_s:f} s and a deadline of {deadline_s:d} s'
)
def new_request(context: Context, target_s: float, deadline_s: int) -> None:
    request = EntryRequest(
        'r1', 'POST', 'h', '/', (), b'', '', deadline_s, _ADAPTER, 716, 0
    )
    monitored = MonitoredRequest('r1', 0, deadline_s, lambda: False)
    route = Route(
        'r',
        'h',
        '/',
        ExecutionPolicy.STREAM,
        deadline_s,
        target_s,
        0,
        (),
        max_executions=2,
        is_public=False,
        can_resume=True,
    )
    group = EndpointGroup('g', 100, EngineLimits(8, 100, 1, ()))
    declaration: Any = None
    context.request = RequestContext(request, monitored, declaration, route, group)
    context.owners.monitored = monitored


@given('the owner of engine {name} loads the adapter after {after_s:g} s')
def set_loaded(context: Context, name: str, after_s: float) -> None:
    context.owners.loaded_at[name] = after_s


@given(
    'the owners of e0, e1 and e2 expect waits of {first:g} s, {second:g} s and {third:g} s'
)
def set_waits(context: Context, first: float, second: float, third: float) -> None:
    context.owners.waits_s = {'e0': first, 'e1': second, 'e2': third}


@given(
    'the owners of e0, e1 and e2 find the wait useless,'
    ' with {first:g} s, {second:g} s and {third:g} s to go'
)
def set_useless(context: Context, first: float, second: float, third: float) -> None:
    set_waits(context, first, second, third)
    context.owners.useless = {'e0', 'e1', 'e2'}


@given('the request has a prompt of {tokens:d} tokens')
def set_prompt(context: Context, tokens: int) -> None:
    context.request.request = replace(context.request.request, tokens=tokens)


@given('the request is a stream that has begun')
def set_begun(context: Context) -> None:
    context.request.stream_version = ''


@given("the owner of engine {name} can't be reached from {at_s:f} s on")
def lose_owner(context: Context, name: str, at_s: float) -> None:
    context.owners.lost_at[name] = at_s


@given("the owners of all engines can't be reached from {at_s:f} s on")
def lose_owners(context: Context, at_s: float) -> None:
    context.owners.lost_at = dict.fromkeys(context.owners.lost_at, at_s)


@given('the owner of engine {name} answers no calls')
def freeze_owner(context: Context, name: str) -> None:
    context.owners.frozen.add(name)


@given('the caller leaves after {at_s:f} s')
def set_leaving(context: Context, at_s: float) -> None:
    context.owners.caller_leaves_at = at_s


@when('an engine is chosen')
def choose(context: Context) -> None:
    context.chosen = None
    context.error = None
    with mock.patch('pimentohoist._clock.now', lambda: context.owners.now):
        try:
            context.chosen = context.chooser.choose(context.request)
        except PimentohoistError as error:
            context.error = error


@then('it is {name} after {least_s:g} to {most_s:g} s')
def check_chosen(context: Context, name: str, least_s: float, most_s: float) -> None:
    assert context.error is None, context.error
    assert context.chosen.endpoint.endpoint_id == name
    assert least_s <= context.owners.now <= most_s, context.owners.now


@then(
    'it is refused as not run after {least_s:g} to {most_s:g} s'
    ' with a Retry-After of {least_retry_s:g} to {most_retry_s:g} s'
)
def check_refused(
    context: Context,
    least_s: float,
    most_s: float,
    least_retry_s: float,
    most_retry_s: float,
) -> None:
    error = context.error
    assert isinstance(error, UnavailableError), error
    assert error.run_state == 'not_run'
    assert least_s <= context.owners.now <= most_s, context.owners.now
    assert least_retry_s <= error.retry_after_s <= most_retry_s, error.retry_after_s


@then('at most {count:d} calls were made')
def check_calls(context: Context, count: int) -> None:
    assert context.owners.calls <= count, context.owners.calls


@then(
    'the metrics count a refusal by reason {reason} and a wait of priority {priority:d}'
)
def check_metrics(context: Context, reason: str, priority: int) -> None:
    lines = list(context.chooser.waiting.lines())
    labels = f'priority="{priority}",reason="{reason}"'
    assert f'pimentohoist_adapter_refusals_total{{{labels}}} 1' in lines, lines
    name = f'pimentohoist_adapter_wait_ms{{priority="{priority}"'
    waits_ms = [float(line.split()[-1]) for line in lines if line.startswith(name)]
    waited_ms = context.owners.now * 1000
    assert waits_ms, lines
    assert all(abs(wait_ms - waited_ms) < 99 for wait_ms in waits_ms), lines
