"""Steps on the daemons that the directory names."""

from __future__ import annotations

import sys
from pathlib import Path
from unittest import mock

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from relay_world import RelayWorld  # noqa: E402

_SEED = 42
_OBSERVED_S = 6
_STEP_S = 0.25


@given('{daemons:d} daemons in 3 failure domains that hear of each other')
def start_daemons(context: Context, daemons: int) -> None:
    context.world = RelayWorld(daemons, 3, _SEED)
    context.world.run(3)


@when('{killed:d} of them are killed')
def kill(context: Context, killed: int) -> None:
    names = list(context.world.members)
    context.world.dead.update(names[-killed:])


@then('from {delay_s:d} s on the directory of each other daemon names none of these')
def check_named(context: Context, delay_s: int) -> None:
    world = context.world
    world.run(delay_s)
    for _ in range(round(_OBSERVED_S / _STEP_S)):
        for name in world.live_members():
            assert not _named(context, name) & world.dead, (name, world.now)
        world.run(_STEP_S)


@then('after {delay_s:d} s the directory of each other daemon still names {count:d}')
def check_kept(context: Context, delay_s: int, count: int) -> None:
    context.world.run(delay_s)
    for name in context.world.live_members():
        assert len(_named(context, name) | {name}) == count


def _named(context: Context, name: str) -> set[str]:
    world = context.world
    with mock.patch('pimentohoist._clock.now', lambda: world.now):
        return {beat.member for beat in world.members[name].reachable()}
