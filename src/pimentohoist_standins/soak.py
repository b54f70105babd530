"""A fault soak: real daemons as processes, faults from outside, checks of what was seen.

A seed fixes the callers' requests and the faults. ``pimentohoist-soak --help`` lists the
settings. The exit status is 1 if a promise was broken and 2 for bad input.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

from fire.decorators import SetParseFns

from pimentohoist_standins._command_line import run_command
from pimentohoist_standins._soak.addresses import Network
from pimentohoist_standins._soak.checks import run_checks
from pimentohoist_standins._soak.errors import NoReplyError, SoakError
from pimentohoist_standins._soak.plan import (
    KINDS,
    SoakOptions,
    SoakPlan,
    draw_plan,
    read_plan,
)
from pimentohoist_standins._soak.report import report_document, summary_lines
from pimentohoist_standins._soak.run import SoakRun

_FIRST_NETWORK = 100
_NETWORKS = 100
"""Other fleets of the tests have networks before and behind these."""

_BROKEN_STATUS = 1
_BAD_INPUT_STATUS = 2
_INTERRUPTED_STATUS = 130


def run(
    seed: int = 1,
    seeds: str = '',
    kinds: str = '',
    report: str = '',
    replay: str = '',
    network: str = '',
    **sizes: Any,
) -> None:
    """Play one seed or several.

    Parameters
    ----------
    seed : int
        The seed of the plan.
    seeds : str
        ``FROM:TO``, both included; goes before `seed`.
    kinds : str
        Kinds of faults joined by commas; all if empty, no faults for ``none``.
    report : str
        File for the report as JSON, one line a seed.
    replay : str
        A report whose first plan is played again.
    network : str
        ``127.N``, whose addresses the run uses; chosen by the process id if empty.
    sizes
        ``--seconds``, ``--daemons``, ``--engines`` and ``--callers``; ``--is_planted``
        adds a violation to what was seen, to test the checks.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        _check_report(report)
        plans = _plans(seed, seeds, kinds, replay, sizes)
        broken = [_play(plan, network, report) for plan in plans]
    except SoakError as error:
        sys.stderr.write(f'pimentohoist-soak: {error}\n')
        sys.exit(_BAD_INPUT_STATUS)
    except KeyboardInterrupt:
        sys.exit(_INTERRUPTED_STATUS)
    sys.exit(_BROKEN_STATUS if any(broken) else 0)


def _play(plan: SoakPlan, network: str, report: str) -> bool:
    """Play a plan and report it; return whether a promise was broken."""
    prefix = network or f'127.{_FIRST_NETWORK + os.getpid() % _NETWORKS}'
    soak = SoakRun(plan, Network(prefix))
    is_kept = False
    try:
        document = _play_and_check(soak)
        is_kept = bool(document['violations'])
    except NoReplyError:
        is_kept = True
        raise
    finally:
        if not is_kept:
            shutil.rmtree(soak.folder)
    for line in summary_lines(document):
        sys.stdout.write(f'{line}\n')
    if is_kept:
        sys.stdout.write(f'  logs and records: {soak.folder}\n')
    sys.stdout.flush()
    if report:
        with Path(report).open('a') as output:
            output.write(f'{json.dumps(document)}\n')
    return is_kept


def _play_and_check(soak: SoakRun) -> dict[str, Any]:
    with soak:
        outcome = soak.play()
    return report_document(outcome, run_checks(outcome.observations))


def _plans(
    seed: int, seeds: str, kinds: Any, replay: str, sizes: dict[str, Any]
) -> list[SoakPlan]:
    if replay:
        return [_replayed_plan(replay)]
    names = kinds.split(',') if isinstance(kinds, str) else list(kinds)
    drawn = tuple(name for name in names if name) or tuple(KINDS)
    chosen = () if drawn == ('none',) else drawn
    try:
        options = [
            SoakOptions(number, kinds=chosen, **sizes)
            for number in _seed_numbers(seed, seeds)
        ]
    except TypeError as error:
        raise SoakError(f'unknown setting: {error}') from error
    return [draw_plan(option) for option in options]


def _seed_numbers(seed: int, seeds: str) -> list[int]:
    if not seeds:
        return [seed]
    first, _, last = seeds.partition(':')
    try:
        return list(range(int(first), int(last) + 1))
    except ValueError as error:
        raise SoakError(f'--seeds: expected FROM:TO, got {seeds!r}') from error


def _replayed_plan(path: str) -> SoakPlan:
    try:
        line = Path(path).read_text().partition('\n')[0]
        return read_plan(json.loads(line)['plan'])
    except (OSError, ValueError, KeyError) as error:
        raise SoakError(f'--replay: {path}: {error!r}') from error


def _check_report(path: str) -> None:
    if path and not Path(path).parent.is_dir():
        raise SoakError(f'--report: {path}: its folder does not exist')


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def main() -> None:
    """Run ``pimentohoist-soak``."""
    # Fire would read the network's name as a number.
    run_command(SetParseFns(network=str)(run), 'pimentohoist-soak')
