"""Steps for membership and freshness of daemon processes."""

from __future__ import annotations

import random
import signal
import sys
import time
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from callers import wait_for  # noqa: E402
from limit_shares import for_all  # noqa: E402

from pimentohoist._view_fold import ExpireRecord, JoinRecord, LeaveRecord, ViewFold  # noqa: E402
from pimentohoist.models import LogRecord  # noqa: E402
from pimentohoist_standins.fleet import Fleet  # noqa: E402

_POLL_S = 0.1
_VIEW_LIMIT_S = 15
_SETTLE_S = 2
_EXPECTED_STATE = 'the expected view or freshness'


def member_names(context: Context, daemon: str) -> list[str]:
    members = context.fleet.state(daemon)['view']['members']
    return sorted(member['incarnation'].rpartition('-')[0] for member in members)


def check_members(
    context: Context, daemon: str, names: list[str], limit_s: float
) -> None:
    wait_for(lambda: member_names(context, daemon) == names, _EXPECTED_STATE, limit_s)


def incarnations(context: Context, daemon: str) -> set[str]:
    members = context.fleet.state(daemon)['view']['members']
    return {member['incarnation'] for member in members}


@given('3 daemons in one view')
def start_view(context: Context) -> None:
    context.fleet = context.stack.enter_context(Fleet())
    names = ['entry-1', 'entry-2', 'entry-3']
    for name in names:
        context.fleet.start_daemon(name)
    for name in names:
        check_members(context, name, names, _VIEW_LIMIT_S)


@when('daemon "{name}" is killed')
def kill_member(context: Context, name: str) -> None:
    context.fleet.processes[name].kill()


@then('within {limit_s:d} s the view of "{daemon}" has 2 members, without "{name}"')
def check_expired(context: Context, limit_s: int, daemon: str, name: str) -> None:
    others = sorted({'entry-1', 'entry-2', 'entry-3'} - {name})
    wait_for(lambda: member_names(context, daemon) == others, _EXPECTED_STATE, limit_s)


@when('daemon "{name}" is stopped by SIGSTOP until it has expired and then continued')
def freeze_member(context: Context, name: str) -> None:
    context.before = incarnations(context, 'entry-2')
    context.fleet.processes[name].signal(signal.SIGSTOP)
    wait_for(
        lambda: member_names(context, 'entry-2') == ['entry-2'],
        _EXPECTED_STATE,
        _VIEW_LIMIT_S,
    )
    context.fleet.processes[name].signal(signal.SIGCONT)


@then('within {limit_s:d} s the view of "{daemon}" has 2 members, with a new "{name}"')
def check_rejoined(context: Context, limit_s: int, daemon: str, name: str) -> None:
    names = sorted((daemon, name))
    wait_for(lambda: member_names(context, daemon) == names, _EXPECTED_STATE, limit_s)
    assert len(incarnations(context, daemon) - context.before) == 1


@when('the log goes down for {time_s:d} s')
def stop_log_for(context: Context, time_s: int) -> None:
    context.fleet.control('log', is_down=True)
    deadline = time.monotonic() + time_s
    context.freshness = []
    while time.monotonic() < deadline:
        for daemon in context.fleet.daemons:
            view = context.fleet.state(daemon)['view']
            context.freshness.append((view['is_fresh'], view['head_read_s_ago']))
        time.sleep(_POLL_S)


@then('all daemons stayed fresh')
def check_fresh(context: Context) -> None:
    assert all(is_fresh for is_fresh, _ in context.freshness), context.freshness
    assert max(age_s for _, age_s in context.freshness) > 4


@when('the log goes down and the daemons "{first}" and "{second}" are killed')
def isolate_daemon(context: Context, first: str, second: str) -> None:
    context.fleet.control('log', is_down=True)
    context.fleet.processes[first].kill()
    context.fleet.processes[second].kill()


@then('"{daemon}" is not fresh within {limit_s:d} s')
def check_not_fresh(context: Context, daemon: str, limit_s: int) -> None:
    wait_for(
        lambda: not context.fleet.state(daemon)['view']['is_fresh'],
        _EXPECTED_STATE,
        limit_s,
    )
    time.sleep(1)
    assert not context.fleet.state(daemon)['view']['is_fresh']


@when('the log drops the next append request and daemon "{name}" starts')
def start_with_dropped_record(context: Context, name: str) -> None:
    context.fleet.control('log', drop_requests=1)
    context.fleet.start_daemon(name)


@then('within {limit_s:d} s the view of "{daemon}" has 4 members, with one "{name}"')
def check_joined(context: Context, limit_s: int, daemon: str, name: str) -> None:
    names = ['entry-1', 'entry-2', 'entry-3', name]
    wait_for(lambda: member_names(context, daemon) == names, _EXPECTED_STATE, limit_s)


@when('the log drops the response to the next append and daemon "{name}" starts')
def start_with_lost_response(context: Context, name: str) -> None:
    context.fleet.control('log', lose_answers=1)
    context.fleet.start_daemon(name)


@then('"{name}" has the incarnation that joined, and no later record changes its epoch')
def check_joined_once(context: Context, name: str) -> None:
    def epochs_at(daemon: str) -> list[tuple[str, int]]:
        members = context.fleet.state(daemon)['view']['members']
        return [
            (member['incarnation'], member['epoch'])
            for member in members
            if member['incarnation'].startswith(f'{name}-')
        ]

    first = epochs_at('entry-1')
    time.sleep(_SETTLE_S)
    own = context.fleet.state(name)['view']['incarnation']
    assert epochs_at('entry-1') == first == epochs_at(name)
    assert [incarnation for incarnation, _ in first] == [own]


def random_record(rng: random.Random) -> JoinRecord | LeaveRecord | ExpireRecord:
    name = f'n{rng.randrange(3)}'
    join = JoinRecord(
        incarnation=name, peer_address='', callers_address='', failure_domain=''
    )
    leave = LeaveRecord(incarnation=name)
    return rng.choice((join, join, leave, ExpireRecord(incarnation=name, reporter='x')))


def check_duplicate_joins(number: int) -> None:
    rng = random.Random(number)
    joined: set[str] = set()
    departed: set[str] = set()
    fold = ViewFold()
    for offset in range(rng.randint(5, 30)):
        record = random_record(rng)
        name, epoch = record.incarnation, fold.epoch
        fold.apply(LogRecord(offset, record.model_dump_json().encode()))
        is_ignored = name in departed or (name in joined) == isinstance(
            record, JoinRecord
        )
        assert (fold.epoch == epoch) == is_ignored, (record, fold.epoch)
        if not is_ignored:
            (joined if isinstance(record, JoinRecord) else departed).add(name)
        assert set(fold.members) == joined - departed


@then(
    'in {count:d} generated histories duplicate joins change neither members nor epoch'
)
def check_generated_histories(context: Context, count: int) -> None:
    for_all(count, check_duplicate_joins, st.integers(0, 2**32))
