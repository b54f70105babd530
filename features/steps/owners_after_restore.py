"""Steps on the owners of an engine over restores of the store."""

from __future__ import annotations

import sys
from pathlib import Path

from behave import given, then
from behave.runner import Context
from hypothesis import settings
from hypothesis import given as generated
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from owner_world import OwnerFault, OwnerWorld  # noqa: E402

_LAST_START_S = 12.0
_MAX_DURATION_S = 3.0
_RECOVERY_S = 8.0
"""Time from the last fault to the end of a history."""

_END_S = _LAST_START_S + _MAX_DURATION_S + _RECOVERY_S

_faults = st.lists(
    st.builds(
        OwnerFault,
        kind=st.sampled_from(('cut', 'restore', 'rebalance')),
        start_s=st.floats(1, _LAST_START_S),
        duration_s=st.floats(0, _MAX_DURATION_S),
        age_s=st.floats(0.1, 9),
        daemon=st.integers(0, 4),
    ),
    max_size=6,
)


def _restored_world(context: Context, *, has_eras: bool) -> OwnerWorld:
    world = OwnerWorld(context.count, context.faults, has_eras=has_eras)
    world.run(_END_S)
    return world


def _fault_found(world: OwnerWorld) -> str:
    if world.shared_fences():
        return f'fencing numbers of two holders: {world.shared_fences()}'
    if world.quick_returns():
        return f'holders took turns: {world.quick_returns()}'
    if world.orders[-1].at < world.now - 1:
        return f'no owner since {world.orders[-1]}'
    return ''


@then(
    'in {count:d} generated histories'
    ' no two daemons share a fencing number or take turns,'
    ' and the engine has an owner at the end'
)
def check_generated(context: Context, count: int) -> None:
    @settings(max_examples=count, deadline=None, derandomize=True)
    @generated(st.integers(1, 5), _faults, st.booleans())
    def check(daemons: int, faults: list[OwnerFault], are_fences_checked: bool) -> None:
        world = OwnerWorld(daemons, faults, are_fences_checked=are_fences_checked)
        world.run(_END_S)
        fault = _fault_found(world)
        assert not fault, fault

    check()


@given(
    '{count:d} daemons whose group is rebalanced 3 times and then restored to before that'
)
def make_history(context: Context, count: int) -> None:
    rebalances = [OwnerFault('rebalance', at, 0, 0, 0) for at in (7.0, 7.5, 8.0)]
    context.count = count
    context.faults = [*rebalances, OwnerFault('restore', 9.0, 1.0, 3.9, 0)]


@then("with the store's eras the check finds no fault")
def check_with_eras(context: Context) -> None:
    fault = _fault_found(_restored_world(context, has_eras=True))
    assert not fault, fault


@then('without them it finds one')
def check_can_fail(context: Context) -> None:
    assert _fault_found(_restored_world(context, has_eras=False))
