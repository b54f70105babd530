"""Checks of how brittle endpoints, and endpoints that are silent for a second, fare."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import replace

from pimentohoist_standins._soak.disruptions import Disruptions
from pimentohoist_standins._soak.history import History, Verdict
from pimentohoist_standins._soak.records import (
    ConnectionEnd,
    FaultRecord,
    RunOutcome,
    RunRecord,
)

_PAUSE = 'engine_pause'
_NOTICED_S = 0.5
"""Time in which an endpoint that goes on notices connections that were closed."""

_MAJORITY = 0.5
_CALLER_ENDS = frozenset((ConnectionEnd.LEFT, ConnectionEnd.TIMEOUT))


def falls_of_brittle(history: History) -> Iterator[Verdict]:
    """Brittle endpoints of a group seldom turn so many away that they fall over."""
    bounds = history.bounds
    ends: dict[float, dict[str, float]] = defaultdict(dict)
    for fault in _faults(history, 'engine_brittle'):
        ends[fault.began_at][fault.target] = fault.ended_at
    for began_at, ended_at in ends.items():
        falls = [
            fall.target
            for fall in _faults(history, 'engine_fall')
            if began_at + bounds.contact_s <= fall.began_at
            and fall.began_at <= ended_at.get(fall.target, 0)
            and _are_most_in_touch(history, fall.began_at)
        ]
        allowed = bounds.brittle_falls + bounds.brittle_falls_share * len(ended_at)
        text = f'{len(ended_at)} brittle endpoints: fell {falls}, allowed {allowed:.1f}'
        yield Verdict(len(falls) <= allowed, max(ended_at.values()), text)


def runs_through_pauses(history: History) -> Iterator[Verdict]:
    """An endpoint that is silent for a second keeps its requests."""
    observations = history.observations
    others = tuple(fault for fault in observations.faults if fault.kind != _PAUSE)
    calm = Disruptions(replace(observations, faults=others))
    for pause in _faults(history, _PAUSE):
        for run in observations.runs:
            is_met = run.endpoint == pause.target and _spans(run, pause.began_at)
            if is_met and _is_wanted(history, calm, run, pause.ended_at + _NOTICED_S):
                yield _verdict(run, pause.ended_at + _NOTICED_S)


def _faults(history: History, kind: str) -> list[FaultRecord]:
    return [fault for fault in history.observations.faults if fault.kind == kind]


def _verdict(run: RunRecord, due_at: float) -> Verdict:
    is_cancelled = run.outcome is RunOutcome.CANCELLED
    is_kept = not is_cancelled or run.ended_at is None or run.ended_at > due_at
    text = f'{run.outcome} while {run.endpoint} was silent'
    return Verdict.on_run(run, text, is_kept=is_kept)


def _are_most_in_touch(history: History, at: float) -> bool:
    disruptions = history.disruptions
    in_touch = [disruptions.is_in_touch(one, at, at) for one in disruptions.daemons]
    return sum(in_touch) > _MAJORITY * len(in_touch)


def _spans(run: RunRecord, at: float) -> bool:
    return run.arrived_at < at and (run.ended_at is None or run.ended_at > at)


def _is_wanted(
    history: History, calm: Disruptions, run: RunRecord, due_at: float
) -> bool:
    """Return whether nothing but the silence could have ended a run until a moment."""
    caller = history.callers.get(run.request_id)
    if caller is None:
        return False
    has_left = caller.end in _CALLER_ENDS and caller.ended_at <= due_at
    if has_left or caller.sent_at + caller.timeout_s <= due_at:
        return False
    if calm.is_disturbed(run.endpoint, run.arrived_at, due_at):
        return False
    return not calm.is_cut_off(run.daemon, run.arrived_at, due_at) and all(
        calm.is_in_touch(daemon, run.arrived_at, due_at)
        for daemon in (caller.daemon, run.daemon)
    )
