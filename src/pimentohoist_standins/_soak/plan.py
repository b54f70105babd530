"""The plan of a run: which faults, when, on what; a seed fixes it."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from types import MappingProxyType
from typing import Any

from pimentohoist_standins._soak.errors import SoakError
from pimentohoist_standins._soak.records import Bounds

_FIRST_FAULT_S = 2.0
_LAST_FAULT_S = 1.0
"""All faults end this time before the end of a run."""

ROLL_PAUSE_S = 1.0
"""Least time between the stops of two daemons in a rolling restart."""

_RECOVERED_S = 4.0
"""Time in which it is seen whether daemons serve again."""

_STOPS = frozenset(('term', 'new_address'))
_MEAN_PAUSE_S = 0.8
_BURST_SHARE = 0.3
_BURST_PAUSE_S = 0.15
_SAME_TARGET_SHARE = 0.3
_DAEMON = 'daemon'
_ENDPOINT = 'endpoint'
_MOMENT_S = (0, 0)
_SHORT_S = (0.2, 2)
_LONG_S = (0.3, 5)
_CUT_S = (0.3, 8)
_SECONDS_RANGE = (8, 3600)
_SEED_RANGE = (0, 1_000_000_000)
_MAX_COUNT = 100


@dataclass(frozen=True, slots=True)
class FaultKind:
    """What a kind of fault concerns, and how long it lasts besides a grace period."""

    target: str
    least_s: float
    most_s: float


def _kinds() -> Iterator[tuple[str, FaultKind]]:
    """Yield all kinds of faults by their names."""
    for target, range_s, names in (
        (_DAEMON, _MOMENT_S, 'hup'),
        (_DAEMON, _SHORT_S, 'term new_address kill roll'),
        (_DAEMON, (1.4, 2), 'kill_all'),
        (_DAEMON, _LONG_S, 'pause'),
        (_DAEMON, _CUT_S, 'engines_reset engines_hang engines_live'),
        ('link', _MOMENT_S, 'link_reset'),
        ('link', _LONG_S, 'link_delay link_cut_requests link_cut_responses'),
        ('link', _LONG_S, 'link_silent link_slow link_close'),
        ('store', _LONG_S, 'store_down store_slow store_silent store_restored'),
        ('store', _SHORT_S, 'store_lose_calls store_lose_answers'),
        ('store', _MOMENT_S, 'store_odd_entry'),
        (_ENDPOINT, _MOMENT_S, 'engine_fail engine_twice engine_cut engine_cut_head'),
        (_ENDPOINT, _MOMENT_S, 'engine_odd_head'),
        (_ENDPOINT, _SHORT_S, 'engine_crash engine_leaves engine_quiet'),
        (_ENDPOINT, _LONG_S, 'engine_freeze engine_silent'),
        (_ENDPOINT, (4, 7), 'engine_limit'),
        (_ENDPOINT, (0.8, 1.4), 'engine_pause'),
        (_ENDPOINT, (7, 10), 'engine_brittle'),
        ('operator', _MOMENT_S, 'config_storm'),
        ('operator', _LONG_S, 'key_withdrawn config_invalid'),
    ):
        for name in names.split():
            yield name, FaultKind(target, *range_s)


KINDS = MappingProxyType(dict(_kinds()))


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """The size of a run.

    Attributes
    ----------
    kinds : tuple of str
        Kinds of faults.
    is_planted : bool
        Whether a violation is added to what was seen, for tests of the checks.
    """

    seed: int
    seconds: int = 30
    daemons: int = 4
    engines: int = 4
    callers: int = 30
    kinds: tuple[str, ...] = tuple(KINDS)
    is_planted: bool = False


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """One planned fault.

    Attributes
    ----------
    at_s : float
        Seconds after the callers' start.
    target : str
        ``daemon:N``, ``endpoint:N``, ``link:callers:N``, ``link:store:N``,
        ``link:engine:N:M``, ``store`` or ``operator``.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The size of a run and its faults, in the order of time."""

    options: SoakOptions
    faults: tuple[PlannedFault, ...]

    def document(self) -> dict[str, Any]:
        """Return the plan as JSON."""
        return asdict(self)


def check_options(options: SoakOptions) -> None:
    """Raise a SoakError if a run can't have this size."""
    unknown = sorted(set(options.kinds) - KINDS.keys())
    if unknown:
        raise SoakError(f'--kinds: unknown {unknown[0]}; known: {", ".join(KINDS)}')
    limits = dict.fromkeys(('daemons', 'engines', 'callers'), (1, _MAX_COUNT))
    limits.update(seconds=_SECONDS_RANGE, seed=_SEED_RANGE)
    for name, (least, most) in limits.items():
        number = getattr(options, name)
        if not (isinstance(number, int) and least <= number <= most):
            raise SoakError(f'--{name}: expected {least} to {most}, got {number!r}')


def draw_plan(options: SoakOptions) -> SoakPlan:
    """Return the plan that the seed fixes."""
    check_options(options)
    source = random.Random(options.seed)
    return SoakPlan(options, tuple(_draw_faults(options, source)))


def read_plan(document: dict[str, Any]) -> SoakPlan:
    """Return the plan of a report; raise a SoakError if it doesn't fit."""
    try:
        options = SoakOptions(
            **{**document['options'], 'kinds': tuple(document['options']['kinds'])}
        )
        faults = tuple(PlannedFault(**fault) for fault in document['faults'])
    except (KeyError, TypeError) as error:
        raise SoakError(f'--replay: not a plan: {error!r}') from error
    check_options(options)
    for fault in faults:
        _check_fault(fault, options)
    return SoakPlan(options, faults)


def longest_s(kind: str, options: SoakOptions) -> float:
    """Return the longest time that a fault takes, in seconds."""
    most_s = KINDS[kind].most_s
    if kind in _STOPS:
        return most_s + Bounds().grace_s
    if kind == 'kill_all':
        return most_s + Bounds().recover_s + _RECOVERED_S
    if kind == 'roll':
        return options.daemons * (most_s + ROLL_PAUSE_S) + Bounds().grace_s
    return most_s


def endpoint_count(options: SoakOptions) -> int:
    """Return the number of endpoints: engines, and two plain services after them."""
    return options.engines + 2


def _check_fault(fault: PlannedFault, options: SoakOptions) -> None:
    kind = KINDS.get(fault.kind)
    if kind is None:
        raise SoakError(f'--replay: unknown kind {fault.kind}')
    name, *numbers = fault.target.replace('link:', 'link-').split(':')
    limits = [options.daemons, endpoint_count(options)]
    if name == _ENDPOINT:
        limits.reverse()
    fits = all(int(number) < limit for number, limit in zip(numbers, limits))
    if not fits or name.partition('-')[0] != kind.target:
        raise SoakError(f'--replay: {fault.kind} on {fault.target} does not fit')


def _draw_faults(options: SoakOptions, source: random.Random) -> Iterator[PlannedFault]:
    """Yield faults at random times, alone and in bursts, with each kind in turn."""
    before = ''
    for at_s, name in zip(_draw_times(options, source), _draw_names(options, source)):
        if at_s + longest_s(name, options) > options.seconds - _LAST_FAULT_S:
            continue
        kind = KINDS[name]
        is_same = before.startswith(kind.target) and _happens(
            source, _SAME_TARGET_SHARE
        )
        target = before if is_same else _draw_target(kind.target, options, source)
        before = target
        duration_s = round(source.uniform(kind.least_s, kind.most_s), 2)
        yield PlannedFault(round(at_s, 2), name, target, duration_s)


def _draw_times(options: SoakOptions, source: random.Random) -> Iterator[float]:
    at_s = _FIRST_FAULT_S
    while at_s < options.seconds:
        yield at_s
        pause_s = _BURST_PAUSE_S if _happens(source, _BURST_SHARE) else _MEAN_PAUSE_S
        at_s += source.expovariate(1 / pause_s)


def _draw_names(options: SoakOptions, source: random.Random) -> Iterator[str]:
    while options.kinds:
        yield from source.sample(options.kinds, len(options.kinds))


def _happens(source: random.Random, share: float) -> bool:
    return source.random() < share


def _draw_target(name: str, options: SoakOptions, source: random.Random) -> str:
    daemon = source.randrange(options.daemons)
    endpoint = source.randrange(endpoint_count(options))
    links = (
        f'link:callers:{daemon}',
        f'link:store:{daemon}',
        f'link:engine:{daemon}:{endpoint}',
    )
    targets = {
        _DAEMON: f'daemon:{daemon}',
        _ENDPOINT: f'endpoint:{endpoint}',
        'link': source.choice(links),
    }
    return targets.get(name, name)
