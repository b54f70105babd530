"""The faults that an experiment can cause, each with its end."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from pimentohoist_standins.fleet import Fleet

_VICTIM_DAEMON = 'entry-2'
_VICTIM_ENGINE = 'engine-1'
_LOST_ANSWERS = 3


@dataclass(frozen=True)
class Fault:
    """How a fault begins and ends."""

    cause: Callable[[Fleet], None]
    heal: Callable[[Fleet], None]


def _kill_daemon(fleet: Fleet) -> None:
    fleet.processes[_VICTIM_DAEMON].kill()


def _restart_daemon(fleet: Fleet) -> None:
    fleet.start_daemon(_VICTIM_DAEMON)


def _freeze_daemon(fleet: Fleet) -> None:
    fleet.processes[_VICTIM_DAEMON].signal(signal.SIGSTOP)


def _thaw_daemon(fleet: Fleet) -> None:
    fleet.processes[_VICTIM_DAEMON].signal(signal.SIGCONT)


def _kill_engine(fleet: Fleet) -> None:
    fleet.processes[_VICTIM_ENGINE].kill()


def _restart_engine(fleet: Fleet) -> None:
    fleet.start_standin(
        _VICTIM_ENGINE, 'engine', store_address=fleet.addresses['weights']
    )


def _cold_engine(fleet: Fleet) -> None:
    fleet.control(_VICTIM_ENGINE, restart_cold=True)


def _log_down(fleet: Fleet) -> None:
    fleet.control('log', is_down=True)


def _log_up(fleet: Fleet) -> None:
    fleet.control('log', is_down=False)


def _lose_log_answers(fleet: Fleet) -> None:
    fleet.control('log', lose_answers=_LOST_ANSWERS)


def _silence_engine(fleet: Fleet) -> None:
    fleet.control(_VICTIM_ENGINE, silence=True)


def _stop_daemon(fleet: Fleet) -> None:
    fleet.processes[_VICTIM_DAEMON].signal(signal.SIGTERM)


def _restart_stopped_daemon(fleet: Fleet) -> None:
    fleet.processes[_VICTIM_DAEMON].stop()
    fleet.start_daemon(_VICTIM_DAEMON)


def _nothing(fleet: Fleet) -> None:
    """Leave the fleet as it is: the fault has no end of its own."""


FAULTS: Mapping[str, Fault] = MappingProxyType(
    {
        'kill-daemon': Fault(_kill_daemon, _restart_daemon),
        'freeze-daemon': Fault(_freeze_daemon, _thaw_daemon),
        'stop-daemon': Fault(_stop_daemon, _restart_stopped_daemon),
        'kill-engine': Fault(_kill_engine, _restart_engine),
        'cold-engine': Fault(_cold_engine, _nothing),
        'silent-engine': Fault(_silence_engine, _nothing),
        'log-down': Fault(_log_down, _log_up),
        'log-loses-answers': Fault(_lose_log_answers, _nothing),
    }
)


def cause(fault: str, fleet: Fleet) -> None:
    """Begin a fault; raises KeyError for an unknown name."""
    FAULTS[fault].cause(fleet)


def heal(fault: str, fleet: Fleet) -> None:
    """End a fault."""
    FAULTS[fault].heal(fleet)
