"""Steps on owners of engines while daemons join a group."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_group import DaemonGroup  # noqa: E402

_MAX_ASSIGNMENT_S = 5.0


@given('a group of {count:d} daemons to which all engines are assigned')
def start_group(context: Context, count: int) -> None:
    context.group = context.stack.enter_context(DaemonGroup())
    for number in range(count):
        context.group.start(f'entry-{number}')
    assert context.group.time_until_assigned(_MAX_ASSIGNMENT_S) < _MAX_ASSIGNMENT_S


@when('{count:d} daemons more start one after the other')
def start_more(context: Context, count: int) -> None:
    for number in range(count):
        context.group.start(f'later-{number}')
        time.sleep(0.05)


@when('all daemons start within a tenth of a second')
def start_all(context: Context) -> None:
    context.group = context.stack.enter_context(DaemonGroup())
    for number in range(8):
        context.group.start(f'entry-{number}')
        time.sleep(0.0125)


@then('each engine has one owner within {limit_s:f} s')
def check_owners(context: Context, limit_s: float) -> None:
    took_s = context.group.time_until_assigned(_MAX_ASSIGNMENT_S)
    assert took_s < limit_s, (took_s, context.group.owners())


@then('a second without changes takes no more joins than the lease needs')
def check_idle_joins(context: Context) -> None:
    time.sleep(0.2)
    before = context.group.store.joins
    time.sleep(1)
    joins = context.group.store.joins - before
    assert joins <= 2 * len(context.group.controllers), joins


@then('heartbeats of a generation that the store has taken back prompt one join each')
def check_prompted_joins(context: Context) -> None:
    store = context.group.store
    before = store.joins
    for _ in range(20):
        context.group.deliver_generation('later-0', store.generation + 5)
        time.sleep(0.02)
    assert store.joins - before <= 2 * len(context.group.controllers), (
        store.joins - before
    )
