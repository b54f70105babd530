"""Steps on refusals that endpoints write once more."""

from __future__ import annotations

import sys
import time
from collections import Counter
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import MODEL, EntryFleet, Response  # noqa: E402

from pimentohoist.entry_models import AdapterKey  # noqa: E402
from pimentohoist.platform import EngineOrders, OrderReply  # noqa: E402
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

_TIMES = MappingProxyType({'never': 0, 'once': 1, 'twice': 2})
_NOT_RUN = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.REQUEST_TIMEOUT,
    )
)
_PATHS = ('/pay/1', '/look/1')
_RETRIES = 3


@given('a daemon before one service that repeats refusals {times} that {naming}')
def start_service(context: Context, times: str, naming: str) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    fleet.declare(1)
    fleet.start_ready(1)
    faults = fleet.ledger.faults
    faults.repeated_refusals = _TIMES[times]
    faults.is_refusal_named = naming == 'name their request'
    if '103' in naming:
        faults.interim_status = HTTPStatus.EARLY_HINTS
    context.fleet = fleet
    context.responses = {}


@when('{count:d} requests are sent after refusals with {status:d}')
def send_after_refusals(context: Context, count: int, status: int) -> None:
    for number in range(count):
        # The daemon tries a refused request again; each try is refused.
        refusals = [HTTPStatus(status) for _ in range(_RETRIES)]
        context.fleet.ledger.faults.statuses = refusals
        _send(context, _PATHS[number % 2])
        context.fleet.ledger.faults.statuses = []
        request_id, response = _send(context, _PATHS[number % 2])
        context.responses[request_id] = response


@when(
    '{count:d} requests are refused once'
    ' and their callers send them again under the same id'
)
def refuse_once(context: Context, count: int) -> None:
    for number in range(count):
        context.fleet.ledger.faults.statuses = [HTTPStatus.SERVICE_UNAVAILABLE]
        request_id, response = _send(context, _PATHS[number % 2])
        assert response.status == HTTPStatus.SERVICE_UNAVAILABLE, response
        context.responses[request_id] = context.fleet.send_request(
            path=_PATHS[number % 2], Pimentohoist_Attempt_Id=request_id
        )


@when('an unsafe request is refused on a kept connection')
def refuse_unnamed(context: Context) -> None:
    assert _send(context, _PATHS[0])[1].status == HTTPStatus.OK
    context.fleet.ledger.faults.statuses = [HTTPStatus.SERVICE_UNAVAILABLE]
    began_at = time.monotonic()
    context.response = _send(context, _PATHS[0])[1]
    context.took_s = time.monotonic() - began_at


@given('an engine that refuses one order and repeats the refusal')
def start_engine(context: Context) -> None:
    address = ('127.0.0.1', 0)
    context.engine = context.stack.enter_context(
        OpaqueEngine(address, 'engine-0', MODEL)
    )
    context.engine.faults.repeated_refusals = 1
    context.orders = EngineOrders(context.engine.address, 'engine-0')
    context.stack.callback(context.orders.close)


@when('its adapter is loaded by orders on kept connections')
def load_adapters(context: Context) -> None:
    orders = context.orders
    orders.set_holder('daemon-1', 1)
    key = AdapterKey(MODEL, 'a1')
    context.replies = [orders.load(key, 7, 1)]
    context.report = orders.report()
    context.replies += [
        orders.load(key, 0, 1),
        orders.load(AdapterKey(MODEL, 'a2'), 1, 1),
    ]


@then('no reply but the first is taken for a refusal')
def check_replies(context: Context) -> None:
    assert context.replies == [
        OrderReply.CONFLICT,
        OrderReply.ACCEPTED,
        OrderReply.ACCEPTED,
    ], context.replies
    assert context.report.accepted_orders == 0


@then('no request that ran was answered as not run')
def check_refusals(context: Context) -> None:
    runs = _runs(context)
    wrong = [
        request_id
        for request_id, response in context.responses.items()
        if response.status in _NOT_RUN and runs[request_id]
    ]
    assert not wrong, f'{len(wrong)} of {len(context.responses)}'


@then('no request ran twice')
def check_runs(context: Context) -> None:
    twice = [request_id for request_id, count in _runs(context).items() if count > 1]
    assert not twice, f'{len(twice)} of {len(context.responses)}'


@then('at least {count:d} of them are answered as their own')
def check_answers(context: Context, count: int) -> None:
    own = [
        request_id
        for request_id, response in context.responses.items()
        if response.body.decode() == f'answer to {request_id}'
    ]
    statuses = Counter(response.status for response in context.responses.values())
    assert len(own) >= count, (len(own), statuses)


@then('at most {count:d} connections to the service were opened')
def check_connections(context: Context, count: int) -> None:
    opened = context.fleet.daemons[0].state()['dispatch']['connections_opened']
    assert opened <= count, opened


@then('it is answered within {limit_s:g} s as perhaps run')
def check_unknown(context: Context, limit_s: float) -> None:
    unknown = {HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT}
    assert context.response.status in unknown, context.response
    assert context.took_s < limit_s, context.took_s


def _send(context: Context, path: str) -> tuple[str, Response]:
    response = context.fleet.send_request(path=path)
    return f'request-{context.fleet.requests}', response


def _runs(context: Context) -> Counter[str]:
    executed = context.fleet.ledger.state.executed_requests
    return Counter(run.request_id for run in executed)
