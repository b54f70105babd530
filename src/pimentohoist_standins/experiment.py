"""Runs load against a whole fleet while faults strike, and checks the promises.

An experiment starts its own daemons and stand-ins, sends completions and actions at a
steady rate, causes one or two faults on the way, and ends with what was answered, how
fast, and whether any promise was broken. ``pimentohoist-experiment --help`` lists the
settings.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from itertools import combinations
from typing import Any

import fire

from pimentohoist.exceptions import PimentohoistError
from pimentohoist_standins._experiment_load import LoadSender, sleep_until
from pimentohoist_standins._experiment_plan import Experiment, arrivals
from pimentohoist_standins._experiment_report import HEADER, Outcome
from pimentohoist_standins._faults_plan import (
    FAULTS,
    PAIRED,
    build_faults,
    daemons_needed,
)
from pimentohoist_standins._promises import Promises
from pimentohoist_standins._scene import Scene
from pimentohoist_standins.fleet import Fleet

_THREADS = 96


class Runner:
    """One run of an experiment against its own fleet."""

    def __init__(self, experiment: Experiment, fleet: Fleet) -> None:
        self.experiment = experiment
        self.scene = Scene(experiment, fleet)
        self.faults = build_faults(experiment)

    def run(self) -> Outcome:
        """Start everything, send the load, cause the faults, check the promises."""
        scene = self.scene
        scene.start()
        time.sleep(self.experiment.settle_s)
        scene.started_at = time.monotonic()
        sender = LoadSender(self.experiment, scene.fleet, scene.keys)
        with ThreadPoolExecutor(_THREADS) as pool:
            striking = pool.submit(self._strike)
            pending = [
                pool.submit(sender.send_at, scene.started_at, arrival)
                for arrival in arrivals(self.experiment)
            ]
            results = [future.result() for future in pending]
        striking.result()
        promises = Promises(self.experiment, scene, scene.elapsed_s())
        broken = list(promises.broken(results))
        for fault in self.faults:
            broken.extend(fault.broken(scene, results))
        return Outcome(self.experiment, results, tuple(broken))

    def _strike(self) -> None:
        third_s = self.experiment.duration_s / 3
        sleep_until(self.scene.started_at + third_s)
        for fault in self.faults:
            fault.cause(self.scene)
        sleep_until(self.scene.started_at + 2 * third_s)
        for healed in self.faults:
            healed.heal(self.scene)


def run_experiment(experiment: Experiment) -> Outcome:
    """Run an experiment with a fleet of its own."""
    daemons = daemons_needed(experiment.faults, experiment.daemons)
    with Fleet() as fleet:
        return Runner(replace(experiment, daemons=daemons), fleet).run()


def run(faults: str = '', json: bool = False, **settings: Any) -> None:
    """Run one experiment and print its row; exit code 1 if a promise was broken.

    Example: pimentohoist-experiment --faults=kill-daemon+log-down

    Parameters
    ----------
    faults : str
        Names joined by ``+``, such as ``kill-daemon+log-down``; ``all`` runs each alone,
        ``pairs`` each pair of the first eight.
    json : bool
        Print one JSON object a line in place of a table.
    settings
        Fields of `Experiment`, such as ``--rate_per_s=20``.
    """
    experiment = Experiment(**settings)
    if not json:
        _say(HEADER)
    endings = [
        _run_plan(replace(experiment, faults=plan), is_json=json)
        for plan in _plans(faults)
    ]
    sys.exit(0 if all(endings) else 1)


def _run_plan(experiment: Experiment, *, is_json: bool) -> bool:
    """Run and report one experiment; return whether it ran and broke no promise."""
    try:
        outcome = run_experiment(experiment)
    except PimentohoistError as error:
        sys.stderr.write(f'{" + ".join(experiment.faults)}: did not run: {error}\n')
        return False
    _say(json.dumps(outcome.document()) if is_json else outcome.row())
    return not outcome.broken


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _plans(faults: str) -> Iterator[tuple[str, ...]]:
    if faults == 'all':
        yield ()
        yield from ((name,) for name in FAULTS)
    elif faults == 'pairs':
        yield from combinations(PAIRED, 2)
    else:
        yield tuple(name for name in faults.split('+') if name)


def main() -> None:
    """Run ``pimentohoist-experiment``."""
    fire.Fire(run, name='pimentohoist-experiment')
