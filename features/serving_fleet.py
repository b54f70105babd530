"""A fleet of engines with many adapters, for the steps on owners of endpoints."""

from __future__ import annotations

import itertools
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import replace
from typing import Any

from behave.runner import Context
from callers import Caller, wait_for
from callers import runs as all_runs

from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._rendezvous import rank_names
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
    StoreBudget,
    Workspace,
)
from pimentohoist.keys import create_key
from pimentohoist_standins.fleet import Fleet

PROMPT = 'Which lots wait for release?'
_LOADS_PER_S = 20
KNEE_REQUESTS = 8
_TIMEOUT_S = 10
_CALLERS = 8
_WARM_UP_MODEL = 'warm@1'


def start_serving_fleet(
    context: Context, daemons: int, engines: int, slots: int, adapters: int
) -> None:
    fleet = context.stack.enter_context(Fleet())
    context.fleet = fleet
    context.daemons = [f'entry-{index + 1}' for index in range(daemons)]
    context.engines = [f'engine-{index + 1}' for index in range(engines)]
    context.models = [f'dossier-{index}@1' for index in range(adapters)]
    context.replies, context.streams = [], []
    fleet.control('weights', loads_per_s=_LOADS_PER_S)
    for engine in context.engines:
        fleet.start_standin(
            engine,
            'engine',
            slots=slots,
            token_s=0.02,
            checks_fencing=engine == 'engine-1',
            store_address=fleet.addresses['weights'],
        )
    for daemon in context.daemons:
        fleet.start_daemon(daemon, {'callers': {'timeout_s': _TIMEOUT_S}})
    section, key = create_key('line-1', 'lipstick-house')
    report = fleet.publish(Configuration.of(*build_sections(context, slots), section))
    assert report.is_in_force, report.text()
    context.caller = Caller(fleet, key)
    context.pool = context.stack.enter_context(ThreadPoolExecutor(24))
    wait_for(lambda: is_ready(context), 'limits and owners are ready')


def is_ready(context: Context) -> bool:
    replies = [complete(context, name, _WARM_UP_MODEL, 1) for name in context.daemons]
    return all(reply.status == 200 for reply in replies)


def runs(context: Context, engine: str) -> list[dict[str, Any]]:
    """Return the requests sent to an engine, without those of the warm-up."""
    entries = all_runs(context.fleet, engine)
    return [entry for entry in entries if f'{entry["adapter"]}@1' != _WARM_UP_MODEL]


def build_sections(context: Context, slots: int) -> list[Any]:
    endpoints = tuple(
        Endpoint(name, context.fleet.addresses[name], 'a', name == 'engine-1')
        for name in context.engines
    )
    group = EndpointGroup(
        'review', GroupKind.ENGINE, endpoints, 'review-7b', slots, KNEE_REQUESTS
    )
    adapters = (
        Adapter(model.partition('@')[0], 'review', (1,), 1, ('lipstick-house',))
        for model in (*context.models, _WARM_UP_MODEL)
    )
    workspace = Workspace('lipstick-house', rate_tokens_per_s=1e6, burst_tokens=10**7)
    store = StoreBudget('weights', loads_per_s=_LOADS_PER_S, loads_at_once=2)
    return [workspace, group, store, *adapters]


def complete(
    context: Context, daemon: str, model: str, tokens: int, **headers: str
) -> HttpResponse:
    document = {'model': model, 'prompt': PROMPT, 'max_tokens': tokens, 'stream': True}
    request = HttpRequest.from_json('POST', '/v1/completions', document)
    request = replace(
        request, headers={**context.caller.headers(), **headers}, is_repeatable=False
    )
    return context.fleet.request(daemon, request, timeout_s=2 * _TIMEOUT_S)


def first_engine(context: Context, model: str) -> str:
    """Return the engine on which an adapter's first copy is loaded."""
    return rank_names(model, context.engines)[0]


def owner_of(context: Context, engine: str) -> str:
    owners = [
        daemon
        for daemon in context.daemons
        if context.fleet.processes[daemon].is_running()
        and f'review/{engine}' in context.fleet.state(daemon)['endpoints']['homes']
    ]
    assert len(owners) == 1, owners
    return owners[0]


def other_daemons(context: Context, daemon: str) -> list[str]:
    return [name for name in context.daemons if name != daemon]


def submit(
    context: Context, daemon: str, model: str, tokens: int
) -> Future[HttpResponse]:
    return context.pool.submit(complete, context, daemon, model, tokens)


def pick_model(models: list[str], index: int) -> str:
    """Return one of two models for every third request, else one of all in turn."""
    if index % 3 == 0:
        return models[index // 3 % 2]
    return models[7 * index % len(models)]


def send_many(
    context: Context, count: int, tokens: int, models: list[str], entry_daemons: Any
) -> None:
    daemons = itertools.cycle(entry_daemons)
    order = [pick_model(models, index) for index in range(count)]
    with ThreadPoolExecutor(_CALLERS) as pool:
        calls = [
            pool.submit(complete, context, next(daemons), model, tokens)
            for model in order
        ]
    context.replies += [
        (model, tokens, call.result()) for model, call in zip(order, calls, strict=True)
    ]
