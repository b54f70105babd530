"""Steps on daemons whose calls to the store get no answers."""

from __future__ import annotations

import time

from behave import then, when
from behave.runner import Context
from entry_fleet import EntryFleet, wait_for

_SECOND_VERSION = 5
_THIRD_VERSION = 9
_NEXT_POLL_S = 0.2
"""Time in which daemons that applied a configuration have sent their next poll."""


def _versions(fleet: EntryFleet) -> list[int]:
    return [daemon.state()['declarations']['version'] for daemon in fleet.daemons]


def _declare_everywhere(fleet: EntryFleet) -> None:
    """Declare a configuration, so that all daemons send their polls at the same time."""
    fleet.declare(_SECOND_VERSION)
    wait_for(lambda: min(_versions(fleet)) == _SECOND_VERSION, 5)
    time.sleep(_NEXT_POLL_S)


@when(
    'a configuration is declared and the store is silent for {silence:f} s from then on'
)
def silence_store(context: Context, silence: float) -> None:
    _declare_everywhere(context.fleet)
    context.fleet.store.is_silent = True
    time.sleep(silence)
    context.fleet.store.end_silence()


@when('a configuration is declared and the open connections to the store fall silent')
def silence_connections(context: Context) -> None:
    _declare_everywhere(context.fleet)
    context.fleet.store.silence_connections()


@when('another configuration is declared at the end of the silence')
def declare_next(context: Context) -> None:
    context.fleet.declare(_THIRD_VERSION)
    context.declared_at = time.monotonic()


@when('another configuration is declared {delay:d} s later')
def declare_later(context: Context, delay: int) -> None:
    time.sleep(delay)
    declare_next(context)


@then('all daemons have it in force {limit:d} s later')
def check_in_force(context: Context, limit: int) -> None:
    remaining_s = context.declared_at + limit - time.monotonic()
    time.sleep(max(0, remaining_s))
    versions = _versions(context.fleet)
    assert set(versions) == {_THIRD_VERSION}, versions
