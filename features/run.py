"""Runs feature files in parallel and counts passed and failed scenarios.

A scenario listed in ``KNOWN-RED.txt`` may fail; a listed one that passes, or a list entry
that names no scenario, counts as a failure, so that the list is kept up to date.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_MAX_PARALLEL_FEATURES = 4
_FEATURE_TIMEOUT_S = 1500
_RUN_ALONE = frozenset(('callers_outside_limits',))
"""Features that bound a daemon's memory; they run after the others, one at a time."""


@dataclass(frozen=True)
class Outcome:
    """The result of one scenario."""

    name: str
    status: str
    error: str = ''


def run_feature(path: Path) -> list[Outcome]:
    """Run one feature file in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = [sys.executable, '-m', 'behave', '--no-capture', '--no-summary']
        arguments = ['--format', 'json', '--outfile', str(report), str(path)]
        done = subprocess.run(
            [*command, *arguments],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=_FEATURE_TIMEOUT_S,
            check=False,
        )
        try:
            document = json.loads(report.read_text())
        except (OSError, ValueError):
            return [Outcome(path.stem, 'failed', done.stdout + done.stderr)]
    outcomes = [_outcome(path, scenario) for scenario in _scenarios(document)]
    is_report_consistent = done.returncode == 0 or any(
        outcome.status != 'passed' for outcome in outcomes
    )
    if is_report_consistent and outcomes:
        return outcomes
    return [Outcome(path.stem, 'failed', done.stdout + done.stderr)]


def _scenarios(document: list[dict]) -> list[dict]:
    return [
        element
        for feature in document
        for element in feature.get('elements', [])
        if element['type'] != 'background'
    ]


def _outcome(path: Path, scenario: dict) -> Outcome:
    results = (step.get('result', {}) for step in scenario['steps'])
    errors = (result.get('error_message', '') for result in results)
    texts = ('\n'.join(text) if isinstance(text, list) else text for text in errors)
    name = f'{path.stem}: {scenario["name"]}'
    return Outcome(name, scenario['status'], '\n'.join(filter(None, texts)))


def read_known_red() -> dict[str, str]:
    """Return the note of each scenario listed in ``KNOWN-RED.txt``."""
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text().splitlines()
    entries = (line.split(' | ', 1) for line in lines if line and line[0] != '#')
    return {entry[0]: entry[-1] for entry in entries}


def run_all(names: list[str]) -> list[Outcome]:
    """Run the named features, or all features if none is named."""
    folder = _ROOT / 'features'
    named = [folder / f'{name}.feature' for name in names]
    paths = named or sorted(folder.glob('*.feature'))
    together = [path for path in paths if path.stem not in _RUN_ALONE]
    alone = [path for path in paths if path.stem in _RUN_ALONE]
    with ThreadPoolExecutor(_MAX_PARALLEL_FEATURES) as pool:
        runs = [*pool.map(run_feature, together), *map(run_feature, alone)]
    return [outcome for outcomes in runs for outcome in outcomes]


def main(names: list[str]) -> int:
    """Run all features, or those named; return the exit code."""
    outcomes = run_all(names)
    known_red = read_known_red()
    not_passed = [outcome for outcome in outcomes if outcome.status != 'passed']
    failed = [outcome for outcome in not_passed if outcome.name not in known_red]
    stale = _stale_entries(known_red, outcomes, is_full_run=not names)
    _print_lines(f'FAILED {outcome.name}: {outcome.error}' for outcome in failed)
    _print_lines(
        f'FAILED KNOWN-RED entry passes or names no scenario: {name}' for name in stale
    )
    _print_lines(f'KNOWN-RED {name} | {note}' for name, note in known_red.items())
    passes = len(outcomes) - len(not_passed)
    failures = len(failed) + len(stale)
    _print_lines([f'{passes} passed, {failures} failed'])
    return 1 if failures or not passes else 0


def _print_lines(lines: Iterable[str]) -> None:
    for line in lines:
        sys.stdout.write(f'{line}\n')


def _stale_entries(
    known_red: dict[str, str], outcomes: list[Outcome], *, is_full_run: bool
) -> list[str]:
    statuses = {outcome.name: outcome.status for outcome in outcomes}
    return [
        name
        for name in known_red
        if statuses.get(name) == 'passed' or (is_full_run and name not in statuses)
    ]


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
