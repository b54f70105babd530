"""Steps on engines that restart while the store turns a daemon away."""

from __future__ import annotations

import sys
import time
from http import HTTPStatus
from pathlib import Path

from behave import given, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import MODEL, EntryFleet, wait_for  # noqa: E402
from versioned_fleet import StreamCall, VersionedFleet  # noqa: E402

from pimentohoist_standins.endless import ENDLESS_ANSWERS  # noqa: E402
from pimentohoist_standins.keyed_store import StoreGate  # noqa: E402
from pimentohoist_standins.opaque_engine import OpaqueEngine  # noqa: E402

_ADAPTERS = 4
_START_S = 15.0
_READ_S = 2.0
"""A daemon reads the records every 1.5 s at most."""


class _GatedFleet(EntryFleet):
    """The first daemon reaches the store through a gate."""

    def store_address(self, host: str) -> str:
        """Return the gate's address for the first daemon."""
        if self.daemons:
            return self.store.address
        self.gate = self.stack.enter_context(
            StoreGate((f'{self.network}.2', 9001), self.store)
        )
        return self.gate.address


@given(
    '{daemons:d} daemons, of which the store turns the first one away,'
    ' and engines of {versions}'
)
def start_gated(context: Context, daemons: int, versions: str) -> None:
    fleet = context.stack.enter_context(_GatedFleet())
    fleet.declare(3, attempts=3)
    context.world = VersionedFleet(fleet)
    context.world.add_engines(versions.split(', '))
    context.is_first_engine_busy = True
    fleet.start_ready(daemons)
    # Engines need an owner that reaches the store.
    fleet.store.group.assign_all(f'{fleet.daemons[1].host}:8002')
    owned = fleet.daemons[1]
    wait_for(lambda: len(owned.state()['places']) == len(fleet.engines), _START_S)
    fleet.gate.is_closed = True


@when('the first engine restarts as {versions}')
def restart(context: Context, versions: str) -> None:
    fleet = context.world.fleet
    for started_ms, version in enumerate(versions.split(', '), 2):
        former = fleet.engines[0]
        former.crash()
        host, _, port = former.address.partition(':')
        engine = OpaqueEngine((host, int(port)), former.engine_id, MODEL)
        engine.version, engine.started_ms = version, started_ms
        engine.faults.event_s = former.faults.event_s
        fleet.engines[0] = fleet.stack.enter_context(engine)
        fleet.store.put('keyed.servers', engine.engine_id, engine.entry('models'))
        time.sleep(_READ_S)


@when('the first engine sends reports without an end')
def send_endless_reports(context: Context) -> None:
    fleet = context.world.fleet
    for adapter in range(_ADAPTERS):
        assert fleet.send_request(adapter=f'a{adapter}').status == HTTPStatus.OK
    first = fleet.engines[0]
    assert first.state.adapters
    first.faults.endless_reports = ENDLESS_ANSWERS['chunks']


@when(
    '{count:d} streams at the first daemon are broken off by their engines'
    ' after {events:d} events'
)
def break_off(context: Context, count: int, events: int) -> None:
    for call in _new_calls(context, count):
        context.world.break_next_stream(events)
        context.world.send(call)


@when('callers leave {count:d} streams at the first daemon after {events:d} events')
def leave(context: Context, count: int, events: int) -> None:
    for call in _new_calls(context, count):
        context.world.send(call, stop_after=events)
        assert len(call.events) == events, call


def _new_calls(context: Context, count: int) -> list[StreamCall]:
    calls = [StreamCall(f's{each}', f'a{each % _ADAPTERS}', 0) for each in range(count)]
    context.world.calls.extend(calls)
    return calls
