"""Steps on the register of prompts' parts that crash engines, without a network."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as over
from hypothesis import settings
from hypothesis import strategies as st

from pimentohoist._decisions.prompt_parts import (
    QUARANTINE_LIFETIME_S,
    SUSPECT_LIFETIME_S,
    PartEvidence,
    PartRegister,
)

_GENERATED = settings(max_examples=300, deadline=None)
_START_S = 100
_MERGED_S = 6
_PARTS = ('shared', 'crashing', 'a', 'b', 'c', 'd')
_EVENTS = st.lists(
    st.tuples(
        st.lists(st.sampled_from(_PARTS), unique=True, max_size=4),
        st.sampled_from(('begun', 'crash', 'ordinary crash')),
        st.floats(0, 2),
    ),
    max_size=40,
)


@given('a register of parts')
def make_register(context: Context) -> None:
    context.register = PartRegister()
    context.now = 100.0
    context.crashes = 0


@given('an answer has begun on "{parts}"')
@when('an answer begins on "{parts}"')
def begin(context: Context, parts: str) -> None:
    context.register.record_begun(parts.split(), context.now)


@when('an engine crashes on "{parts}"')
def crash(context: Context, parts: str) -> None:
    context.crashes += 1
    context.now += 0.1
    _record_crash(context, parts, is_answered=True)


@when('an engine crashes on "{parts}" before any status line')
def crash_early(context: Context, parts: str) -> None:
    context.crashes += 1
    context.now += 0.1
    _record_crash(context, parts, is_answered=False)


@when('an engine crashes with "{parts}" and "{others}" in flight')
def crash_with_two(context: Context, parts: str, others: str) -> None:
    crash(context, parts)
    _record_crash(context, others, is_answered=False)


def _record_crash(context: Context, parts: str, *, is_answered: bool) -> None:
    context.register.record_crash(
        parts.split(), f'crash-{context.crashes}', context.now, is_answered=is_answered
    )


@when('{duration_s:g} s pass')
def wait(context: Context, duration_s: float) -> None:
    context.now += duration_s


@then('a request with "{parts}" is refused for "{quarantined}"')
def check_refused(context: Context, parts: str, quarantined: str) -> None:
    verdict = context.register.check(parts.split(), context.now)
    assert verdict.quarantined == tuple(quarantined.split()), verdict
    assert context.now < verdict.probe_at, verdict


@then('a request with "{parts}" is served')
def check_served(context: Context, parts: str) -> None:
    assert not context.register.check(parts.split(), context.now).quarantined


@then('one request with "{parts}" is tried and the next is refused')
def check_probe(context: Context, parts: str) -> None:
    verdict = context.register.check(parts.split(), context.now)
    assert verdict.quarantined, verdict
    assert context.now >= verdict.probe_at, verdict
    context.register.begin_probe(verdict.quarantined, context.now)
    verdict = context.register.check(parts.split(), context.now)
    assert context.now < verdict.probe_at, verdict


@then('nothing is quarantined {duration_s:g} s later')
def check_forgotten(context: Context, duration_s: float) -> None:
    context.now += duration_s
    assert not context.register.quarantined(context.now)


class _NaiveRegister:
    """Counts the crashes of each part since the last answer on it."""

    def __init__(self) -> None:
        self.crashes: dict[str, int] = {}

    def record(self, parts: list[str], kind: str) -> None:
        for part in parts:
            if kind == 'begun':
                self.crashes.pop(part, None)
            else:
                self.crashes[part] = self.crashes.get(part, 0) + 1

    def suspects(self) -> set[str]:
        return {part for part, count in self.crashes.items() if count > 1}


@then(
    'in generated histories a part with an answer since its crashes is never quarantined'
)
def check_begun(context: Context) -> None:
    @_GENERATED
    @over(_EVENTS)
    def check(events: list[tuple[list[str], str, float]]) -> None:
        register, naive = PartRegister(), _NaiveRegister()
        now = _START_S
        for number, (parts, kind, pause_s) in enumerate(events):
            now += pause_s
            naive.record(parts, kind)
            if kind == 'begun':
                register.record_begun(parts, now)
            else:
                register.record_crash(parts, f'{number}', now, is_answered=True)
            assert naive.suspects().issuperset(register.quarantined(now))

    check()


@then('in generated histories the crashing part is refused after its second crash')
def check_crashing(context: Context) -> None:
    companions = st.tuples(st.sampled_from(_PARTS[2:]), st.booleans())

    @_GENERATED
    @over(st.lists(companions, min_size=2, max_size=8))
    def check(requests: list[tuple[str, bool]]) -> None:
        register = PartRegister()
        register.record_begun(['shared'], 0)
        for number, (companion, has_begun) in enumerate(requests):
            if has_begun:
                register.record_begun([companion], number)
            parts = ['shared', companion, 'crashing']
            register.record_crash(parts, f'{number}', number, is_answered=True)
            assert not number or register.check(parts, number).quarantined, requests
            assert not register.check(['shared'], number).quarantined

    check()


@then('daemons that merge generated reports in any order quarantine the same parts')
def check_merge(context: Context) -> None:
    evidence = st.builds(
        PartEvidence,
        st.frozensets(st.sampled_from('123'), min_size=1),
        st.frozensets(st.sampled_from('123')),
        st.frozensets(st.sampled_from(_PARTS), max_size=3),
        st.floats(0, 5),
    )

    @_GENERATED
    @over(
        st.lists(st.tuples(st.sampled_from(_PARTS), evidence), max_size=10),
        st.randoms(),
    )
    def check(known: list[tuple[str, PartEvidence]], order: Random) -> None:
        shuffled = [*known, *known]
        order.shuffle(shuffled)
        assert _merged(known) == _merged(shuffled)

    check()


def _merged(reports: list[tuple[str, PartEvidence]]) -> object:
    register = PartRegister()
    for name, found in reports:
        register.merge(name, found, _MERGED_S)
    known = {
        part: (evidence.crashes, evidence.companions)
        for part, evidence in register.evidence.items()
    }
    return known, set(register.quarantined(_MERGED_S))


@then('its memory stays bounded over 20000 parts')
def check_memory(context: Context) -> None:
    register = PartRegister()
    for number in range(20_000):
        register.record_crash([f'part-{number}'], 'crash', 0, is_answered=True)
        register.record_begun([f'cleared-{number}'], 0)
    assert len(list(register.reports(0))) <= 24
    assert len(register.evidence) <= 4096
    assert len(register.cleared) <= 4096


@then('probes of {count:d} parts, one each {interval_s:d} s, leave one entry')
def check_probes(context: Context, count: int, interval_s: int) -> None:
    register = PartRegister()
    for number in range(count):
        register.begin_probe([f'part-{number}'], number * interval_s)
    assert len(register.probes) == 1, len(register.probes)


@then('the lifetimes of evidence are limited')
def check_lifetimes(context: Context) -> None:
    assert SUSPECT_LIFETIME_S < QUARANTINE_LIFETIME_S < 3600
