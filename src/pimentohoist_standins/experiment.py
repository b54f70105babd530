"""Fault injection experiments: load on a whole fleet, faults and invariant checks.

An experiment starts its own daemons and stand-ins, sends completions and actions at a
steady rate and injects one or two faults meanwhile. It reports the answers, refusals,
latencies and broken invariants. ``pimentohoist-experiment --help`` lists the settings.
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

from pimentohoist.exceptions import PimentohoistError
from pimentohoist_standins._command_line import run_command
from pimentohoist_standins._experiment_load import LoadSender, sleep_until
from pimentohoist_standins._experiment_plan import Experiment, arrivals
from pimentohoist_standins._experiment_report import HEADER, ExperimentOutcome
from pimentohoist_standins._faults_plan import (
    FAULTS,
    PAIRED_FAULTS,
    build_faults,
    daemons_needed,
)
from pimentohoist_standins._invariants import Invariants
from pimentohoist_standins._run_context import RunContext
from pimentohoist_standins.fleet import Fleet

_SENDER_THREADS = 96


class Runner:
    """Runs one experiment against its own fleet."""

    def __init__(self, experiment: Experiment, fleet: Fleet) -> None:
        self.experiment = experiment
        self.context = RunContext(experiment, fleet)
        self.faults = build_faults(experiment)

    def run(self) -> ExperimentOutcome:
        """Start the fleet, send the load, inject the faults, check the invariants."""
        context = self.context
        context.start()
        time.sleep(self.experiment.settle_s)
        context.started_at = time.monotonic()
        sender = LoadSender(self.experiment, context.fleet, context.keys)
        with ThreadPoolExecutor(_SENDER_THREADS) as pool:
            injection = pool.submit(self._inject_faults)
            pending = [
                pool.submit(sender.send_at, context.started_at, arrival)
                for arrival in arrivals(self.experiment)
            ]
            results = [future.result() for future in pending]
        injection.result()
        invariants = Invariants(self.experiment, context, context.elapsed_s())
        broken = list(invariants.broken(results))
        for fault in self.faults:
            broken.extend(fault.broken_invariants(context, results))
        return ExperimentOutcome(self.experiment, results, tuple(broken))

    def _inject_faults(self) -> None:
        third_s = self.experiment.duration_s / 3
        sleep_until(self.context.started_at + third_s)
        for fault in self.faults:
            fault.inject(self.context)
        sleep_until(self.context.started_at + 2 * third_s)
        for active_fault in self.faults:
            active_fault.heal(self.context)


def run_experiment(experiment: Experiment) -> ExperimentOutcome:
    """Start a fleet and run an experiment against it."""
    daemons = daemons_needed(experiment.faults, experiment.daemons)
    with Fleet() as fleet:
        return Runner(replace(experiment, daemons=daemons), fleet).run()


def run(faults: str = '', json: bool = False, **settings: Any) -> None:
    """Run experiments and print a row for each; exit code 1 if an invariant broke.

    Example: pimentohoist-experiment --faults=kill-daemon+log-down

    Parameters
    ----------
    faults : str
        Names joined by ``+``, such as ``kill-daemon+log-down``; ``all`` runs each alone,
        ``pairs`` runs each pair of the first eight.
    json : bool
        Print one JSON object per line instead of a table.
    settings
        Fields of `Experiment`, such as ``--rate_per_s=20``.
    """
    experiment = Experiment(**settings)
    if not json:
        _print_line(HEADER)
    passed = [
        _run_and_report(replace(experiment, faults=fault_names), is_json=json)
        for fault_names in _fault_combinations(faults)
    ]
    sys.exit(0 if all(passed) else 1)


def _run_and_report(experiment: Experiment, *, is_json: bool) -> bool:
    """Run and report one experiment; return whether it ran and no invariant broke."""
    try:
        outcome = run_experiment(experiment)
    except PimentohoistError as error:
        sys.stderr.write(f'{" + ".join(experiment.faults)}: did not run: {error}\n')
        return False
    _print_line(json.dumps(outcome.document()) if is_json else outcome.row())
    return not outcome.broken


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _fault_combinations(faults: str) -> Iterator[tuple[str, ...]]:
    if faults == 'all':
        yield ()
        yield from ((name,) for name in FAULTS)
    elif faults == 'pairs':
        yield from combinations(PAIRED_FAULTS, 2)
    else:
        yield tuple(name for name in faults.split('+') if name)


def main() -> None:
    """Run ``pimentohoist-experiment``."""
    run_command(run, 'pimentohoist-experiment')
