"""The faults that an experiment can cause, each with its end and its own checks."""

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
from pimentohoist_standins._poison_fault import Poison
from pimentohoist_standins._scene import Scene

_LOST_ANSWERS = 3
_FAILED_LOADS = 20
_LOG_DELAY_S = 1.0
_FIRST_VICTIM_DAEMON = 2
_FIRST_VICTIM_ENGINE = 1
_DAEMONS_TO_LOSE_A_DOMAIN = 6
_DOMAIN_FAULT = 'lose-domain'


class Fault(Protocol):
    """A fault of one experiment."""

    def cause(self, scene: Scene) -> None:
        """Begin the fault."""
        ...

    def heal(self, scene: Scene) -> None:
        """End the fault."""
        ...

    def broken(self, scene: Scene, results: Sequence[Result]) -> Iterator[str]:
        """Yield a line for each promise of its own that was broken."""
        ...


_Action = Callable[[Scene], None]


def _nothing(scene: Scene) -> None:
    """Leave the fleet as it is: the fault has no end of its own."""


@dataclass(frozen=True)
class PlainFault:
    """Implements `Fault` without checks of its own."""

    cause: _Action
    heal: _Action = _nothing

    def broken(self, scene: Scene, results: Sequence[Result]) -> Iterator[str]:
        """Return nothing: the common promises say all."""
        return iter(())


@dataclass(frozen=True)
class Victims:
    """Which processes a fault strikes."""

    daemon: str
    engine: str

    @classmethod
    def of(cls, position: int) -> Victims:
        """Return the victims of the first, second, ... fault of an experiment."""
        return cls(
            f'entry-{_FIRST_VICTIM_DAEMON + position}',
            f'engine-{_FIRST_VICTIM_ENGINE + position}',
        )


def _signal(name: str, number: signal.Signals, scene: Scene) -> None:
    scene.fleet.processes[name].signal(number)


def _kill_daemon(name: str, scene: Scene) -> None:
    scene.fleet.processes[name].kill()


class KilledByDuties:
    """Implements `Fault`: kills the daemon that is the home of most, or of least."""

    def __init__(self, choose: Callable[..., str]) -> None:
        self.choose = choose
        self.victim = ''

    def cause(self, scene: Scene) -> None:
        """Choose and kill the daemon."""
        self.victim = self.choose(scene.running_daemons(), key=scene.duties)
        _kill_daemon(self.victim, scene)

    def heal(self, scene: Scene) -> None:
        """Start it again."""
        _start_daemon(self.victim, scene)

    def broken(self, scene: Scene, results: Sequence[Result]) -> Iterator[str]:
        """Return nothing: the common promises say all."""
        return iter(())


def _start_daemon(name: str, scene: Scene) -> None:
    scene.fleet.start_daemon(name)


def _restart_stopped_daemon(name: str, scene: Scene) -> None:
    scene.fleet.processes[name].stop()
    scene.fleet.start_daemon(name)


def _control(name: str, controls: Mapping[str, object], scene: Scene) -> None:
    scene.fleet.control(name, **controls)


def _domain_of(daemon: str, scene: Scene) -> list[str]:
    """Return the daemons in the failure domain of one, in order."""
    domains = len(scene.fleet.failure_domains)
    place = scene.fleet.daemons.index(daemon) % domains
    return scene.fleet.daemons[place::domains]


def _kill_domain(daemon: str, scene: Scene) -> None:
    for name in _domain_of(daemon, scene):
        scene.fleet.processes[name].kill()


def _restart_domain(daemon: str, scene: Scene) -> None:
    for name in _domain_of(daemon, scene):
        scene.fleet.start_daemon(name)


def _halve_store(scene: Scene) -> None:
    scene.fleet.control('weights', loads_per_s=scene.experiment.loads_per_s / 2)


def _restore_store(scene: Scene) -> None:
    scene.fleet.control('weights', loads_per_s=scene.experiment.loads_per_s)


@dataclass(frozen=True)
class DaemonFaults:
    """Builds faults of the victim daemon."""

    cause: Callable[[str, Scene], None]
    heal: Callable[[str, Scene], None]

    def __call__(self, victims: Victims) -> Fault:
        """Return the fault of these victims."""
        return PlainFault(
            partial(self.cause, victims.daemon), partial(self.heal, victims.daemon)
        )


@dataclass(frozen=True)
class ControlFaults:
    """Builds faults of a stand-in, by what it is told; of the victim engine if unnamed."""

    begin: Mapping[str, object]
    end: Mapping[str, object] = field(default_factory=dict)
    name: str = ''

    def __call__(self, victims: Victims) -> Fault:
        """Return the fault of these victims."""
        standin = self.name or victims.engine
        heal = partial(_control, standin, self.end) if self.end else _nothing
        return PlainFault(partial(_control, standin, self.begin), heal)


def _freeze(name: str, scene: Scene) -> None:
    _signal(name, signal.SIGSTOP, scene)


def _thaw(name: str, scene: Scene) -> None:
    _signal(name, signal.SIGCONT, scene)


def _terminate(name: str, scene: Scene) -> None:
    _signal(name, signal.SIGTERM, scene)


def _kill_engine(victims: Victims) -> Fault:
    return PlainFault(
        lambda scene: scene.kill_engine(victims.engine),
        lambda scene: scene.start_engine(victims.engine),
    )


FAULTS: Mapping[str, Callable[[Victims], Fault]] = MappingProxyType(
    {
        'kill-daemon': DaemonFaults(_kill_daemon, _start_daemon),
        'freeze-daemon': DaemonFaults(_freeze, _thaw),
        'stop-daemon': DaemonFaults(_terminate, _restart_stopped_daemon),
        'kill-engine': _kill_engine,
        'cold-engine': ControlFaults({'restart_cold': True}),
        'silent-engine': ControlFaults({'silence': True}),
        'log-down': ControlFaults({'is_down': True}, {'is_down': False}, 'log'),
        'log-loses-answers': ControlFaults({'lose_answers': _LOST_ANSWERS}, name='log'),
        'log-slow': ControlFaults({'delay_s': _LOG_DELAY_S}, {'delay_s': 0}, 'log'),
        'store-down': ControlFaults({'is_down': True}, {'is_down': False}, 'weights'),
        'store-half-speed': lambda victims: PlainFault(_halve_store, _restore_store),
        'loads-fail': ControlFaults({'fail_loads': _FAILED_LOADS}, {'fail_loads': 0}),
        'kill-home': lambda victims: KilledByDuties(max),
        'kill-bystander': lambda victims: KilledByDuties(min),
        _DOMAIN_FAULT: DaemonFaults(_kill_domain, _restart_domain),
        'poison': lambda victims: Poison(),
        'withdraw-key': lambda victims: WithdrawnKey(),
        'racing-operators': lambda victims: RacingOperators(),
    }
)
PAIRED: tuple[str, ...] = tuple(FAULTS)[: tuple(FAULTS).index('log-slow')]
"""Faults of which ``pairs`` runs every pair."""


def build_faults(experiment: Experiment) -> tuple[Fault, ...]:
    """Return an experiment's faults, each with victims of its own.

    Raises
    ------
    KeyError
        For an unknown name.
    """
    return tuple(
        FAULTS[name](Victims.of(position))
        for position, name in enumerate(experiment.faults)
    )


def daemons_needed(faults: tuple[str, ...], daemons: int) -> int:
    """Return the number of daemons that the faults need, at least those asked for."""
    needed = _DAEMONS_TO_LOSE_A_DOMAIN if _DOMAIN_FAULT in faults else 0
    return max(daemons, needed)
