"""Steps on when daemons read the operators' records again, with a virtual clock."""

from __future__ import annotations

import sys
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parent.parent))
from read_world import Disruption, ReadWorld  # noqa: E402

_MAX_DAEMONS = 8
_END_S = 30.0
_LAST_START_S = 20.0
_ALL = frozenset(range(_MAX_DAEMONS))

_times = st.floats(1, _LAST_START_S)
_disruptions = st.builds(
    Disruption,
    start_s=_times,
    duration_s=st.one_of(st.just(0), st.floats(0, 9)),
    daemons=st.one_of(st.just(_ALL), st.frozensets(st.integers(0, _MAX_DAEMONS - 1))),
)


@then('in {count:d} generated histories each daemon has each configuration in time')
def check_generated(context: Context, count: int) -> None:
    @settings(max_examples=count, deadline=None)
    @generated(
        st.integers(1, _MAX_DAEMONS),
        st.lists(_times, max_size=6),
        st.lists(_disruptions, max_size=4),
    )
    def check(
        daemons: int, declared_at: list[float], disruptions: list[Disruption]
    ) -> None:
        late = list(ReadWorld(daemons, declared_at, disruptions).run(_END_S))
        assert not late, late[:3]

    check()


@given("{count:d} daemons that don't read again while a poll is pending")
def start_polling(context: Context, count: int) -> None:
    context.count = count


@when(
    'an outage of {duration:d} s swallows their polls'
    ' and a configuration is declared at its end'
)
def declare_after_outage(context: Context, duration: int) -> None:
    outage = Disruption(1, duration, _ALL)
    context.world = ReadWorld(
        context.count, [1 + duration], [outage], lambda rank: float('inf')
    )
    context.late = list(context.world.run(_END_S))


@then('daemons are found late')
def check_late(context: Context) -> None:
    assert context.late


@given('{count:d} daemons that read for {duration:d} s without a disruption')
def read_calmly(context: Context, count: int, duration: int) -> None:
    context.duration = duration
    context.world = ReadWorld(count, [], [])
    assert not list(context.world.run(duration))


@then('they have sent at most {limit:d} calls a second')
def check_calls(context: Context, limit: int) -> None:
    assert context.world.calls <= limit * context.duration, context.world.calls
