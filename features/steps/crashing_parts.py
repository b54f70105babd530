"""Steps on parts of prompts that crash engines, at daemons as processes."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from crashing_fleet import CONTACT_S, CRASHING_PART, CrashingFleet  # noqa: E402
from entry_fleet import EntryFleet, EntryProcess, wait_for  # noqa: E402

_QUIET_S = 3.0
_COUNTED_CRASHES = 5
_MIN_REQUESTS = 20


@given(
    'a fleet of {daemons:d} daemons with {engines:d} engines that crash on a part of a prompt'
)
def start_fleet(context: Context, daemons: int, engines: int) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    fleet.declare(3, attempts=1)
    world = context.stack.enter_context(CrashingFleet(fleet))
    world.start(engines)
    fleet.start(daemons)
    wait_for(lambda: all(daemon.is_ready() for daemon in fleet.daemons), 15)
    wait_for(lambda: fleet.owned_engine_count() == engines, 15)
    context.world = world


@when('requests with that part come for {duration_s:d} s beside sound ones')
def send_crashing(context: Context, duration_s: int) -> None:
    world = context.world
    world.start_callers()
    time.sleep(_QUIET_S)
    world.crashing.set()
    context.crashing_at = time.monotonic()
    time.sleep(duration_s)
    context.ended_at = time.monotonic()
    world.crashing.clear()
    world.closed.set()


@then(
    'at most {limit:d} of them reach engines later than {delay_s:d} s after the fifth crash'
)
def check_arrivals(context: Context, limit: int, delay_s: int) -> None:
    crashes = context.world.crashes()[:_COUNTED_CRASHES]
    assert crashes, 'no engine crashed'
    late = [
        at for at in context.world.crashing_arrivals() if at > crashes[-1] + delay_s
    ]
    total = len(context.world.crashes())
    assert len(crashes) < _COUNTED_CRASHES or len(late) <= limit, (len(late), total)


@then(
    'from {delay_s:d} s after that crash on sound requests are served as often as before, or half'
)
def check_sound(context: Context, delay_s: int) -> None:
    world = context.world
    counted_from = world.crashes()[:_COUNTED_CRASHES][-1] + delay_s
    assert delay_s == 2 * CONTACT_S
    before = [sent for sent in world.sound if sent.sent_at < context.crashing_at]
    beside = [
        sent for sent in world.sound if counted_from < sent.sent_at < context.ended_at
    ]
    assert len(before) >= _MIN_REQUESTS, len(before)
    assert len(beside) >= _MIN_REQUESTS, len(beside)
    share_before = sum(sent.is_served for sent in before) / len(before)
    share_beside = sum(sent.is_served for sent in beside) / len(beside)
    crashes = len(world.crashes())
    assert share_beside >= share_before / 2, (share_beside, share_before, crashes)


@when('requests with that part come until all daemons quarantine it')
def send_until_quarantined(context: Context) -> None:
    world = context.world
    assert world.send('subject-0')
    world.crashing.set()
    wait_for(lambda: all(map(_quarantines_part, world.fleet.daemons)), 10)
    world.crashing.clear()


@when('another daemon has started and is ready')
def start_another(context: Context) -> None:
    fleet = context.world.fleet
    fleet.start()
    wait_for(fleet.daemons[-1].is_ready, 15)


@then('it refuses {count:d} requests with the part and no engine gets one')
def check_refusals(context: Context, count: int) -> None:
    world = context.world
    arrivals = len(world.crashing_arrivals())
    for _ in range(count):
        response = world.request('subject-0', CRASHING_PART, daemon=-1)
        assert response.status == 503, response
        assert float(response.headers['Retry-After']) > 0, response
    assert len(world.crashing_arrivals()) == arrivals


@then('it serves a request without the part')
def check_sound_request(context: Context) -> None:
    wait_for(lambda: context.world.request('subject-0', daemon=-1).status == 200, 5)


def _quarantines_part(daemon: EntryProcess) -> bool:
    return daemon.state()['parts']['quarantined'] == [CRASHING_PART]
