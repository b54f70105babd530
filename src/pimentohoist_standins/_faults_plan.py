"""Faults that an experiment can inject, with their end and their checks."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from types import MappingProxyType
from typing import Protocol

from pimentohoist_standins._experiment_load import Result
from pimentohoist_standins._experiment_plan import Experiment
from pimentohoist_standins._operator_faults import RacingOperators, WithdrawnKey
from pimentohoist_standins._poison_fault import PoisonRequest
from pimentohoist_standins._run_context import RunContext

_LOST_ANSWER_COUNT = 3
_FAILED_LOAD_COUNT = 20
_LOG_DELAY_S = 1.0
_FIRST_TARGET_DAEMON = 2
_FIRST_TARGET_ENGINE = 1
_MIN_DAEMONS_FOR_DOMAIN_LOSS = 6
_DOMAIN_FAULT = 'lose-domain'


class Fault(Protocol):
    """A fault that one experiment injects."""

    def cause(self, context: RunContext) -> None:
        """Begin the fault."""
        ...

    def heal(self, context: RunContext) -> None:
        """End the fault."""
        ...

    def broken(self, context: RunContext, results: Sequence[Result]) -> Iterator[str]:
        """Yield a line for each broken invariant that only this fault checks."""
        ...


_FaultStep = Callable[[RunContext], None]


def _do_nothing(context: RunContext) -> None:
    """Change nothing, for a fault that needs no healing."""


@dataclass(frozen=True)
class UncheckedFault:
    """Implements `Fault` without checks beyond the common invariants."""

    cause: _FaultStep
    heal: _FaultStep = _do_nothing

    def broken(self, context: RunContext, results: Sequence[Result]) -> Iterator[str]:
        """Return nothing, since the common invariants suffice."""
        return iter(())


@dataclass(frozen=True)
class FaultTargets:
    """The processes that a fault affects."""

    daemon: str
    engine: str

    @classmethod
    def of(cls, position: int) -> FaultTargets:
        """Return the targets of an experiment's fault by its position, from 0."""
        return cls(
            f'entry-{_FIRST_TARGET_DAEMON + position}',
            f'engine-{_FIRST_TARGET_ENGINE + position}',
        )


def _send_signal(name: str, number: signal.Signals, context: RunContext) -> None:
    context.fleet.processes[name].signal(number)


def _kill_daemon(name: str, context: RunContext) -> None:
    context.fleet.processes[name].kill()


class KillByOwnership:
    """Implements `Fault`: kills the daemon that owns the most or fewest resources."""

    def __init__(self, choose: Callable[..., str]) -> None:
        self.choose = choose
        self.target = ''

    def cause(self, context: RunContext) -> None:
        """Choose a running daemon and kill it."""
        self.target = self.choose(
            context.running_daemons(), key=context.owned_resources
        )
        _kill_daemon(self.target, context)

    def heal(self, context: RunContext) -> None:
        """Restart the daemon."""
        _start_daemon(self.target, context)

    def broken(self, context: RunContext, results: Sequence[Result]) -> Iterator[str]:
        """Return nothing, since the common invariants suffice."""
        return iter(())


def _start_daemon(name: str, context: RunContext) -> None:
    context.fleet.start_daemon(name)


def _restart_stopped_daemon(name: str, context: RunContext) -> None:
    context.fleet.processes[name].stop()
    context.fleet.start_daemon(name)


def _set_controls(
    name: str, controls: Mapping[str, object], context: RunContext
) -> None:
    context.fleet.control(name, **controls)


def _daemons_in_domain(daemon: str, context: RunContext) -> list[str]:
    """Return the daemons in the failure domain of a daemon, in order of start."""
    domains = len(context.fleet.failure_domains)
    domain_index = context.fleet.daemons.index(daemon) % domains
    return context.fleet.daemons[domain_index::domains]


def _kill_domain(daemon: str, context: RunContext) -> None:
    for name in _daemons_in_domain(daemon, context):
        context.fleet.processes[name].kill()


def _restart_domain(daemon: str, context: RunContext) -> None:
    for name in _daemons_in_domain(daemon, context):
        context.fleet.start_daemon(name)


def _halve_store_rate(context: RunContext) -> None:
    context.fleet.control('weights', loads_per_s=context.experiment.loads_per_s / 2)


def _restore_store_rate(context: RunContext) -> None:
    context.fleet.control('weights', loads_per_s=context.experiment.loads_per_s)


@dataclass(frozen=True)
class DaemonFaults:
    """Builds faults of the target daemon."""

    cause: Callable[[str, RunContext], None]
    heal: Callable[[str, RunContext], None]

    def __call__(self, targets: FaultTargets) -> Fault:
        """Return the fault of these targets."""
        return UncheckedFault(
            partial(self.cause, targets.daemon), partial(self.heal, targets.daemon)
        )


@dataclass(frozen=True)
class ControlFaults:
    """Builds faults that set controls of a stand-in, by default the target engine."""

    begin: Mapping[str, object]
    end: Mapping[str, object] = field(default_factory=dict)
    name: str = ''

    def __call__(self, targets: FaultTargets) -> Fault:
        """Return the fault of these targets."""
        standin = self.name or targets.engine
        heal = partial(_set_controls, standin, self.end) if self.end else _do_nothing
        return UncheckedFault(partial(_set_controls, standin, self.begin), heal)


def _freeze(name: str, context: RunContext) -> None:
    _send_signal(name, signal.SIGSTOP, context)


def _unfreeze(name: str, context: RunContext) -> None:
    _send_signal(name, signal.SIGCONT, context)


def _terminate(name: str, context: RunContext) -> None:
    _send_signal(name, signal.SIGTERM, context)


def _kill_engine(targets: FaultTargets) -> Fault:
    return UncheckedFault(
        lambda context: context.kill_engine(targets.engine),
        lambda context: context.start_engine(targets.engine),
    )


FAULTS: Mapping[str, Callable[[FaultTargets], Fault]] = MappingProxyType(
    {
        'kill-daemon': DaemonFaults(_kill_daemon, _start_daemon),
        'freeze-daemon': DaemonFaults(_freeze, _unfreeze),
        'stop-daemon': DaemonFaults(_terminate, _restart_stopped_daemon),
        'kill-engine': _kill_engine,
        'cold-engine': ControlFaults({'restart_cold': True}),
        'silent-engine': ControlFaults({'silence': True}),
        'log-down': ControlFaults({'is_down': True}, {'is_down': False}, 'log'),
        'log-loses-answers': ControlFaults(
            {'lose_answers': _LOST_ANSWER_COUNT}, name='log'
        ),
        'log-slow': ControlFaults({'delay_s': _LOG_DELAY_S}, {'delay_s': 0}, 'log'),
        'store-down': ControlFaults({'is_down': True}, {'is_down': False}, 'weights'),
        'store-half-speed': lambda targets: UncheckedFault(
            _halve_store_rate, _restore_store_rate
        ),
        'loads-fail': ControlFaults(
            {'fail_loads': _FAILED_LOAD_COUNT}, {'fail_loads': 0}
        ),
        'kill-home': lambda targets: KillByOwnership(max),
        'kill-bystander': lambda targets: KillByOwnership(min),
        _DOMAIN_FAULT: DaemonFaults(_kill_domain, _restart_domain),
        'poison': lambda targets: PoisonRequest(),
        'withdraw-key': lambda targets: WithdrawnKey(),
        'racing-operators': lambda targets: RacingOperators(),
    }
)
PAIRED: tuple[str, ...] = tuple(FAULTS)[: tuple(FAULTS).index('log-slow')]
"""Faults that ``pairs`` combines, two at a time."""


def build_faults(experiment: Experiment) -> tuple[Fault, ...]:
    """Return an experiment's faults, each with targets of its own.

    Raises
    ------
    KeyError
        If a fault's name is unknown.
    """
    return tuple(
        FAULTS[name](FaultTargets.of(position))
        for position, name in enumerate(experiment.faults)
    )


def daemons_needed(faults: tuple[str, ...], daemons: int) -> int:
    """Return the number of daemons that the faults need, at least `daemons`."""
    needed = _MIN_DAEMONS_FOR_DOMAIN_LOSS if _DOMAIN_FAULT in faults else 0
    return max(daemons, needed)
