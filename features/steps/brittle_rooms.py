"""Steps on daemons that share the room of an endpoint, without a network."""

from __future__ import annotations

import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from room_world import WORK_S, RoomWorld  # noqa: E402

_BRITTLE = 3


@given(
    '{daemons:d} daemons and a brittle endpoint with room for {room:d} of {slots:d}'
    ' requests'
)
def describe_endpoint(context: Context, daemons: int, room: int, slots: int) -> None:
    context.daemons, context.room, context.slots = daemons, room, slots


@when(
    'callers ask {press:g} times for its room, {spread},'
    ' in {plays:d} plays of {duration_s:d} s'
)
def play(
    context: Context, press: float, spread: str, plays: int, duration_s: int
) -> None:
    context.worlds = []
    for seed in range(plays):
        world = RoomWorld(
            seed,
            context.daemons,
            context.room,
            context.slots,
            _BRITTLE,
            press * context.room / WORK_S,
            is_skewed=spread == 'unevenly',
        )
        world.play(duration_s)
        context.worlds.append(world)
    context.duration_s = duration_s


@then('it falls over at most {count:d} times in all plays')
def check_falls(context: Context, count: int) -> None:
    falls = [len(world.falls) for world in context.worlds]
    assert sum(falls) <= count, falls


@then('callers use at least {share:g} of its room')
def check_use(context: Context, share: float) -> None:
    room = context.room / WORK_S * context.duration_s
    used = [world.served / room for world in context.worlds]
    assert sum(used) / len(used) >= share, used
