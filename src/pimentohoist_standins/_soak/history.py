"""An index of the records of one run, and what checks say about them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeAlias

from pimentohoist_standins._soak.disruptions import Disruptions
from pimentohoist_standins._soak.records import (
    CallerRecord,
    CheckResult,
    Observations,
    RunOutcome,
    RunRecord,
    Violation,
)


class History:
    """The records of one run by request."""

    def __init__(self, observations: Observations) -> None:
        self.observations = observations
        self.bounds = observations.bounds
        self.disruptions = Disruptions(observations)
        self.callers = {caller.request_id: caller for caller in observations.callers}
        self.callers_by_daemon: dict[str, list[CallerRecord]] = defaultdict(list)
        self.calm_ids: set[str] = set()
        for one in observations.callers:
            self.callers_by_daemon[one.daemon].append(one)
            if self.disruptions.is_in_touch(one.daemon, one.sent_at, one.ended_at):
                self.calm_ids.add(one.request_id)
        self.arrivals_by_id: dict[str, list[RunRecord]] = defaultdict(list)
        self.runs_by_id: dict[str, list[RunRecord]] = defaultdict(list)
        for run in sorted(observations.runs, key=lambda arrival: arrival.arrived_at):
            self.arrivals_by_id[run.request_id].append(run)
            if is_run(run):
                self.runs_by_id[run.request_id].append(run)

    def arrivals(self, caller: CallerRecord) -> Sequence[RunRecord]:
        """Return the arrivals of an attempt at endpoints, in order."""
        return self.arrivals_by_id.get(caller.request_id, ())

    def runs(self, caller: CallerRecord) -> Sequence[RunRecord]:
        """Return the arrivals that an endpoint didn't refuse, in order."""
        return self.runs_by_id.get(caller.request_id, ())

    def callers_with_runs(self) -> Iterator[tuple[CallerRecord, Sequence[RunRecord]]]:
        """Yield each attempt that ran, with its runs."""
        for caller in self.observations.callers:
            runs = self.runs(caller)
            if runs:
                yield caller, runs

    def calm_callers(self) -> Iterator[CallerRecord]:
        """Yield each attempt whose daemon was in touch from its start to its end."""
        return filter(self.is_in_touch, self.observations.callers)

    def is_in_touch(self, caller: CallerRecord) -> bool:
        """Return whether the attempt's daemon was in touch from its start to its end."""
        return caller.request_id in self.calm_ids


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether one observation keeps a promise."""

    is_kept: bool
    at: float
    text: str
    request_id: str = ''

    @classmethod
    def on_caller(cls, caller: CallerRecord, text: str, *, is_kept: bool) -> Verdict:
        """Judge an attempt by how it ended."""
        return cls(is_kept, caller.ended_at, text, caller.request_id)

    @classmethod
    def on_run(cls, run: RunRecord, text: str, *, is_kept: bool) -> Verdict:
        """Judge a request by its arrival at an endpoint."""
        return cls(is_kept, run.arrived_at, text, run.request_id)


Promise: TypeAlias = Callable[[History], Iterator[Verdict]]


def judge(promise: Promise, history: History) -> CheckResult:
    """Return what one check finds, under the name of its function."""
    name = promise.__name__
    applied = 0
    violations = []
    for verdict in promise(history):
        applied += 1
        if not verdict.is_kept:
            one = Violation(name, verdict.at, verdict.text, verdict.request_id)
            violations.append(one)
    return CheckResult(name, applied, tuple(violations))


def is_run(arrival: RunRecord) -> bool:
    """Return whether an endpoint began to work on a request that reached it."""
    return arrival.outcome is not RunOutcome.REFUSED


def is_success(status: int) -> bool:
    """Return whether a status says that a request or order succeeded."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
