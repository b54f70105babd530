"""Steps on when daemons join their group, in virtual time."""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass, field
from pathlib import Path
from unittest import mock

from behave import given, then
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_group import PARTITIONS, PartitionGroup  # noqa: E402

from pimentohoist._decisions.join_times import JoinTimes  # noqa: E402
from pimentohoist._entry.member_list import MemberList  # noqa: E402
from pimentohoist.platform import Store  # noqa: E402

_TICK_S = 0.005
_HEARTBEAT_S = 0.01
_SEED = 11


@dataclass
class _Joiner:
    name: str
    next_at: float
    generation: int = 0
    held: frozenset[int] = frozenset()
    joins: int = 0
    times: JoinTimes = field(default_factory=JoinTimes)


class JoinWorld:
    """Daemons of one group that hear of each generation after a heartbeat's delay."""

    def __init__(self, count: int, within_s: float) -> None:
        chance = random.Random(_SEED)
        self.group = PartitionGroup()
        self.now = float()
        self._heard: list[tuple[float, int]] = []
        self.joiners = [
            _Joiner(f'daemon-{number:02}', chance.uniform(0, within_s))
            for number in range(count)
        ]
        self.started_at = max(joiner.next_at for joiner in self.joiners)

    def run_until(self, end_s: float) -> None:
        while self.now < end_s:
            self.now += _TICK_S
            due = [generation for at, generation in self._heard if at <= self.now]
            self._heard = [heard for heard in self._heard if heard[0] > self.now]
            for joiner in self.joiners:
                if joiner.joins and joiner.generation < max(due, default=0):
                    prompted_at = joiner.times.prompted_join_at()
                    joiner.next_at = min(joiner.next_at, max(self.now, prompted_at))
                if self.now >= joiner.next_at:
                    self._join(joiner)

    def owners(self) -> list[int]:
        return sorted(part for joiner in self.joiners for part in joiner.held)

    def _join(self, joiner: _Joiner) -> None:
        membership = self.group.join('group', joiner.name, joiner.generation, 1)
        joiner.held, joiner.joins = membership.partitions, joiner.joins + 1
        is_changed = membership.generation != joiner.generation
        if is_changed:
            self._heard.append((self.now + _HEARTBEAT_S, membership.generation))
        joiner.generation = membership.generation
        joiner.times.record_join(self.now, is_changed=is_changed)
        has_unclaimed = len(self.owners()) < PARTITIONS
        joiner.next_at = joiner.times.next_join_at(has_unclaimed=has_unclaimed)


@then('the list of {count:d} daemons is read every {interval:d} s by each')
def check_list_interval(context: Context, count: int, interval: int) -> None:
    store = Store('127.0.0.1:1')
    members = MemberList(store, 'own', '127.0.0.1:1', 'zone', lambda: False)
    members.confirmed_at = {f'127.0.0.1:{number}': 0 for number in range(count)}
    assert members.read_interval_s() == interval, members.read_interval_s()


@given('daemons that join at each change')
def join_at_each_change(context: Context) -> None:
    delay = 'pimentohoist._decisions.join_times._MAX_CONFIRM_DELAY_S'
    context.stack.enter_context(mock.patch(delay, 0))


@given('{count:d} daemons that join a group of 12 partitions within {seconds:g} s')
def start_joining(context: Context, count: int, seconds: float) -> None:
    context.joining = JoinWorld(count, seconds)


@then('{seconds:g} s after the last one started each partition has one owner')
def check_owners(context: Context, seconds: float) -> None:
    world = context.joining
    world.run_until(world.started_at + seconds)
    assert world.owners() == list(range(PARTITIONS)), world.owners()


@then(
    'each daemon has joined at most {limit:d} times'
    ' in the {seconds:g} s from the first start on'
)
def check_joins(context: Context, limit: int, seconds: float) -> None:
    assert _max_joins(context, seconds) <= limit, _max_joins(context, seconds)


@then(
    'some daemons have joined more than {limit:d} times'
    ' in the {seconds:g} s from the first start on'
)
def check_more_joins(context: Context, limit: int, seconds: float) -> None:
    assert _max_joins(context, seconds) > limit, _max_joins(context, seconds)


def _max_joins(context: Context, seconds: float) -> int:
    context.joining.run_until(seconds)
    return max(joiner.joins for joiner in context.joining.joiners)
