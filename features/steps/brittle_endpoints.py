"""Steps on engines that fall over when they turn too many requests away."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from limited_fleet import CONTACT_S, LimitedFleet  # noqa: E402

from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

_SETTLE_S = 3.0
_BRITTLE_S = 12.0
_MAX_FALLS = 2
_FALLS_SHARE = 0.1
_MS_PER_S = 1000
_PATHS = MappingProxyType({'streams': '/models/x', 'look-ups': '/look/x'})


class WorkingFleet(LimitedFleet):
    """Callers whose requests take some time at the endpoint."""

    work_ms = 0

    def headers(self) -> dict[str, str]:
        return {'Work_Ms': str(self.work_ms)}


@given(
    'callers of all daemons send {rate:d} {kind} a second that take {work_ms:d} ms each'
)
def start_callers(context: Context, rate: int, kind: str, work_ms: int) -> None:
    world = WorkingFleet(context.fleet, _PATHS[kind], rate)
    world.work_ms = work_ms
    context.work_s = work_ms / _MS_PER_S
    context.world = context.stack.enter_context(world)
    time.sleep(_SETTLE_S)


@when(
    'all engines have room for {room:d}'
    ' and fall over beyond {brittle:d} turned away in a second'
)
def make_brittle(context: Context, room: int, brittle: int) -> None:
    _make_brittle(context, list(context.fleet.engines), room, brittle)


@when(
    'the ledger has room for {room:d}'
    ' and falls over beyond {brittle:d} turned away in a second'
)
def make_ledger_brittle(context: Context, room: int, brittle: int) -> None:
    _make_brittle(context, [context.fleet.ledger], room, brittle)


@when('the engines are sound again')
def end_brittle(context: Context) -> None:
    for engine in context.brittle:
        engine.faults.brittle = None
        engine.faults.room = None
    context.ended_at = time.monotonic()
    time.sleep(CONTACT_S * 2)


@then(
    'from {delay_s:d} s on they fall over no more often than 2 and a tenth of their number'
)
def check_falls(context: Context, delay_s: int) -> None:
    falls = _since(context, 'falls', delay_s)
    allowed = _MAX_FALLS + _FALLS_SHARE * len(context.brittle)
    turned_away = _since(context, 'turned_away', delay_s)
    assert len(falls) <= allowed, (len(falls), allowed, len(turned_away))


@then('from {delay_s:d} s on callers use at least {share:g} of their room')
def check_room_used(context: Context, delay_s: int, share: float) -> None:
    world = context.world
    began_at = context.brittle_at + delay_s
    calls = world.calls_between(began_at, context.ended_at)
    served = sum(call.status == 200 for call in calls)
    duration_s = context.ended_at - began_at
    room = len(context.brittle) * context.room * duration_s / context.work_s
    wanted = share * min(room, world.rate * duration_s)
    assert served >= wanted, (served, wanted, len(calls))


@then(
    "those who can't be served are refused within {limit_s:g} s and told when to return"
)
def check_refusals(context: Context, limit_s: float) -> None:
    world = context.world
    calls = world.calls_between(context.brittle_at + CONTACT_S, context.ended_at)
    refused = [call for call in calls if call.status == 503]
    wrong = [call for call in refused if call.took_s > limit_s or not call.retry_after]
    assert not wrong, (len(wrong), len(refused), wrong[:5])


@then('3 s later at least {share:g} of the callers are served')
def check_served_again(context: Context, share: float) -> None:
    calls = context.world.calls_between(
        context.ended_at + CONTACT_S, time.monotonic() - 1
    )
    served = sum(call.status == 200 for call in calls)
    assert served >= share * len(calls), (served, len(calls))


def _make_brittle(
    context: Context, engines: list[OpaqueEngine], room: int, brittle: int
) -> None:
    context.brittle, context.room = engines, room
    context.brittle_at = time.monotonic()
    for engine in engines:
        engine.faults.brittle = brittle
    # From then on fewer may wait.
    time.sleep(CONTACT_S)
    for engine in engines:
        engine.faults.room = room
    time.sleep(_BRITTLE_S)
    context.ended_at = time.monotonic()


def _since(context: Context, name: str, delay_s: float) -> list[float]:
    """Return the times of events of brittle engines, once daemons had time to react."""
    return [
        at
        for engine in context.brittle
        for at in getattr(engine.state, name)
        if context.brittle_at + delay_s <= at <= context.ended_at
    ]
