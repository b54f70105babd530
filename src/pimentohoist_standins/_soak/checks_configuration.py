"""Checks of which configuration requests are handled by."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator

from pimentohoist_standins._soak.history import History, Verdict, is_run
from pimentohoist_standins._soak.records import CallerRecord, ProcessRecord, RunRecord
from pimentohoist_standins._soak.versions import (
    Handling,
    Versions,
    handling_of_run,
    handlings,
)

_DISTURBED_SLACK_FACTOR = 8
_NO_PROCESS = -1


def configuration_in_force(history: History) -> Iterator[Verdict]:
    """A configuration is in force within its bound after its acknowledgement."""
    versions = Versions(history.observations)
    for caller in history.calm_callers():
        allowing = versions.in_force(caller.sent_at, caller.ended_at)
        for handling in handlings(history, caller) if allowing else ():
            is_kept = any(handling.fits(one) for one in allowing)
            seen = '' if is_kept else str(handling)
            text = f'{seen} is not allowed from version {allowing[0].version} on'
            yield Verdict.on_caller(caller, text, is_kept=is_kept)


def no_rollback(history: History) -> Iterator[Verdict]:
    """A process doesn't return to an older configuration than it has shown."""
    allowing = _AllowingVersions(history)
    shown_versions = _ShownVersions(history, allowing)
    for caller in history.observations.callers:
        newest = shown_versions.newest_before(caller)
        for handling in handlings(history, caller) if newest else ():
            versions = allowing.sent_before(caller.ended_at, handling)
            text = f'{caller.daemon} used one of {versions} after it had shown {newest}'
            # What no version allows isn't a return to an older one.
            is_kept = not versions or versions[-1] >= newest
            yield Verdict.on_caller(caller, text, is_kept=is_kept)


class _AllowingVersions:
    """The versions that allow a handling."""

    def __init__(self, history: History) -> None:
        self.configurations = Versions(history.observations).configurations
        self.by_handling: dict[Handling, list[tuple[float, int]]] = {}

    def sent_before(self, at: float, handling: Handling) -> list[int]:
        """Return the versions, in order."""
        if handling not in self.by_handling:
            self.by_handling[handling] = [
                (one.sent_at, one.version)
                for one in self.configurations
                if handling.fits(one)
            ]
        versions = self.by_handling[handling]
        return [version for sent_at, version in versions if sent_at <= at]


class _ShownVersions:
    """The versions whose effects endpoints have seen, by process and in order."""

    def __init__(self, history: History, allowing: _AllowingVersions) -> None:
        self.history = history
        self.processes: dict[str, list[tuple[int, ProcessRecord]]] = defaultdict(list)
        for index, process in enumerate(history.observations.processes):
            self.processes[process.daemon].append((index, process))
        self.versions: dict[int, list[tuple[float, int]]] = defaultdict(list)
        runs = filter(is_run, history.observations.runs)
        for run in sorted(runs, key=lambda arrival: arrival.arrived_at):
            caller = history.callers.get(run.request_id)
            if caller is not None:
                handling = handling_of_run(caller, run)
                versions = allowing.sent_before(run.arrived_at, handling)
                self._add(run, versions[0] if versions else 0)

    def newest_before(self, caller: CallerRecord) -> int:
        """Return the newest version shown well before a request, or 0."""
        slack_s = self.history.bounds.rollback_slack_s
        if not self.history.is_in_touch(caller):
            slack_s *= _DISTURBED_SLACK_FACTOR
        process = self._process_at(caller.daemon, caller.sent_at)
        shown = self.versions.get(process, [])
        earlier = bisect_left(shown, (caller.sent_at - slack_s, 0))
        return shown[earlier - 1][1] if earlier else 0

    def _add(self, run: RunRecord, version: int) -> None:
        process = self._process_at(run.daemon, run.arrived_at)
        shown = self.versions[process]
        newest = shown[-1][1] if shown else 0
        if process != _NO_PROCESS and version > newest:
            shown.append((run.arrived_at, version))

    def _process_at(self, daemon: str, at: float) -> int:
        """Return the index of the process; none unless there is exactly one."""
        running = [
            index
            for index, process in self.processes.get(daemon, ())
            if process.started_at <= at <= (process.ended_at or math.inf)
        ]
        return running[0] if len(running) == 1 else _NO_PROCESS
