"""Steps on failure domains that are evacuated."""

from __future__ import annotations

import re
import sys
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet, wait_for  # noqa: E402
from limited_fleet import LimitedFleet  # noqa: E402

from pimentohoist._entry.evacuations import Evacuations  # noqa: E402
from pimentohoist.platform import KeyedRecord  # noqa: E402

_EVACUATION_S = 5.0
"""The stated time after which no request reaches an evacuated domain."""

_OBSERVED_S = 2.0
_STEP = re.compile(
    '(?P<name>[AB]) (?:hears (?P<other>[AB])|(?P<restart>restarts)|reads '
    '(?:all|(?P<change>evacuate|removal of) (?P<domain>[ab])) at (?P<offset>[0-9]+)'
    '(?P<era> of the next era)?)'
)


@given('a fleet of 2 daemons with a ledger in each of the domains a and b')
def start_fleet(context: Context) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    second = fleet.add_endpoint(3, 'ledger-2', '')
    second.zone = 'b'
    fleet.store.put('keyed.servers', second.engine_id, second.entry('ledger'))
    fleet.declare(1)
    context.ledgers = [fleet.ledger, second]
    fleet.start_ready(2)
    context.fleet = fleet


@given('callers send 20 look-ups a second to both daemons')
def start_callers(context: Context) -> None:
    world = LimitedFleet(context.fleet, '/look/x', 20)
    context.world = context.stack.enter_context(world)
    wait_for(lambda: all(ledger.state.arrivals for ledger in context.ledgers), 10)


@when('domain {domain} is evacuated')
@when('domain {domain} is evacuated too')
def evacuate(context: Context, domain: str) -> None:
    context.fleet.store.put('keyed.op', f'evacuate/{domain}', {})
    context.began_at = time.monotonic()
    time.sleep(_EVACUATION_S + _OBSERVED_S)


@then('all callers are served, and from 5 s on no request reaches domain b')
def check_other_domain(context: Context) -> None:
    calls = context.world.calls_between(context.began_at, time.monotonic())
    assert {call.status for call in calls} == {200}
    _check_unreached(context, context.ledgers[1])


@then(
    'from 5 s on no request reaches a ledger,'
    ' and callers are refused within {limit_s:g} s'
)
def check_refused(context: Context, limit_s: float) -> None:
    for ledger in context.ledgers:
        _check_unreached(context, ledger)
    since = context.began_at + _EVACUATION_S
    calls = context.world.calls_between(since, time.monotonic())
    assert {call.status for call in calls} == {503}
    assert max(call.took_s for call in calls) < limit_s
    assert all(float(call.retry_after) > 0 for call in calls)
    metrics = context.fleet.daemons[0].get(7601, '/metrics').body.decode()
    assert 'pimentohoist_failure_domains_evacuated 2' in metrics


@when('both records are removed')
def remove_records(context: Context) -> None:
    for domain in ('a', 'b'):
        context.fleet.store.put('keyed.op', f'evacuate/{domain}', None)
    context.began_at = time.monotonic()


@then('within {limit_s:d} s both ledgers get requests again')
def check_return(context: Context, limit_s: int) -> None:
    ledgers, began_at = context.ledgers, context.began_at
    wait_for(
        lambda: all(ledger.state.arrivals[-1] > began_at for ledger in ledgers), limit_s
    )


def _check_unreached(context: Context, ledger: Any) -> None:
    since = context.began_at + _EVACUATION_S
    late = [at for at in ledger.state.arrivals if at > since]
    assert not late, [at - context.began_at for at in late]


class _Daemon:
    """What a daemon knows of evacuations, fed with reads and heartbeats."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.members: Any = SimpleNamespace(on_heartbeat=[], send_soon=list)
        self.evacuations = Evacuations(self.members)

    def hear(self, other: _Daemon) -> None:
        announced = other.evacuations.announced()
        heartbeat = SimpleNamespace(member=other.name, evacuations=announced)
        self.members.on_heartbeat[0](heartbeat, None)

    def read(self, step: re.Match[str]) -> None:
        change, era = step['change'], 2 if step['era'] else 1
        body = b'{}' if change == 'evacuate' else None
        records = [KeyedRecord(f'evacuate/{step["domain"]}', body)] if change else []
        position = era, int(step['offset'])
        self.evacuations.apply_records(records, position, is_whole=not change)


@when('daemons read the store and hear of each other as follows')
def run_steps(context: Context) -> None:
    daemons = {name: _Daemon(name) for name in 'AB'}
    context.known, context.listed = [], []
    for row in context.table:
        step = _STEP.fullmatch(row['step'])
        assert step is not None, row['step']
        name = step['name']
        if step['restart']:
            daemons[name] = _Daemon(name)
        elif step['other']:
            daemons[name].hear(daemons[step['other']])
        else:
            daemons[name].read(step)
        domains = [sorted(daemons[each].evacuations.domains) for each in 'AB']
        context.known.append([','.join(names) or 'none' for names in domains])
        context.listed.append([row['A'], row['B']])


@then('each time they know the evacuated domains that are listed')
def check_known(context: Context) -> None:
    assert context.known == context.listed, (context.known, context.listed)
