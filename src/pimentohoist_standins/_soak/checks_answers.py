"""Checks of the answers that callers get, and of what happens after they leave."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import pairwise

from pimentohoist_standins._soak.history import History, Verdict, is_success
from pimentohoist_standins._soak.records import (
    CallerRecord,
    ConnectionEnd,
    RequestKind,
    RunOutcome,
    RunRecord,
)

_LATE_ANSWER_S = 0.5
# A run that goes on elsewhere may overlap the one before it by this much.
_TAKEOVER_OVERLAP_S = 0.4
# A leave ends with the kill of the endpoint and the start of the next one.
_REPLACEMENT_S = 1.0
# Between the end of a connection and the records of its two sides.
_RECORD_SLACK_S = 0.25
_STREAM_KINDS = frozenset((RequestKind.STREAM, RequestKind.RESUMABLE))
_CANCELLED_KINDS = _STREAM_KINDS | {RequestKind.SAFE}
_CALLER_ENDS = frozenset((ConnectionEnd.LEFT, ConnectionEnd.TIMEOUT))


def whole_successes(history: History) -> Iterator[Verdict]:
    """A success bears the endpoint's seal and is the whole answer of a completed run."""
    for caller in history.observations.callers:
        if is_success(caller.status):
            outcomes = [str(run.outcome) for run in history.arrivals(caller)]
            is_run_whole = not caller.is_whole or RunOutcome.COMPLETED in outcomes
            text = (
                f'status {caller.status}, seal {caller.has_seal}, '
                f'whole {caller.is_whole}; its runs: {outcomes}'
            )
            is_kept = caller.has_seal and is_run_whole
            yield Verdict.on_caller(caller, text, is_kept=is_kept)


def sealed_failures(history: History) -> Iterator[Verdict]:
    """A sealed failure has the status that an endpoint gave."""
    for caller in history.observations.callers:
        statuses = [run.status for run in history.arrivals(caller) if run.status]
        is_failure = caller.status > 0 and not is_success(caller.status)
        if caller.has_seal and statuses and is_failure:
            text = f'status {caller.status} with a seal; endpoints gave {statuses}'
            yield Verdict.on_caller(caller, text, is_kept=caller.status in statuses)


def event_order(history: History) -> Iterator[Verdict]:
    """The events of a stream arrive once, in order and without a gap, up to its end."""
    for caller, runs in history.callers_with_runs():
        if caller.kind in _STREAM_KINDS and is_success(caller.status):
            first = runs[0].last_event_id + 1
            next_event = first + len(caller.events)
            is_ordered = caller.events == tuple(range(first, next_event))
            ends = _last_events(runs)
            is_at_end = not caller.is_whole or not ends or next_event - 1 in ends
            text = (
                f'{len(caller.events)} events from {first} on, in order: {is_ordered}, '
                f'whole: {caller.is_whole}; completed runs end at {ends}'
            )
            is_kept = is_ordered and is_at_end
            yield Verdict.on_caller(caller, text, is_kept=is_kept)


def resumptions(history: History) -> Iterator[Verdict]:
    """A stream is resumed only if it may be, never before an earlier resumption."""
    for caller, runs in history.callers_with_runs():
        starts = [run.last_event_id for run in runs]
        is_resumed = any(starts) or len(starts) > 1
        if is_resumed and caller.kind in _STREAM_KINDS:
            is_allowed = caller.kind is RequestKind.RESUMABLE
            text = f'{caller.kind} ran from behind the events {starts}'
            is_kept = is_allowed and starts == sorted(starts)
            yield Verdict.on_run(runs[-1], text, is_kept=is_kept)


def resumed_runs_apart(history: History) -> Iterator[Verdict]:
    """A stream goes on at an endpoint only once the run before it has ended."""
    for caller in history.calm_callers():
        runs = history.runs(caller) if caller.kind in _STREAM_KINDS else ()
        for earlier, later in pairwise(runs):
            at = later.arrived_at
            if _can_end_run(history, earlier, at):
                text = f'went on at {later.endpoint} while {earlier.endpoint} ran it'
                is_kept = _is_ended_by(
                    earlier, at + _TAKEOVER_OVERLAP_S
                ) or _is_killed_by(history, earlier, at)
                yield Verdict.on_run(later, text, is_kept=is_kept)


def one_software_version(history: History) -> Iterator[Verdict]:
    """A stream goes on only at a software version that has sent events of it."""
    for _, runs in history.callers_with_runs():
        began = [run for run in runs if run.last_event]
        # An endpoint that was killed may not have recorded what it had sent.
        unrecorded = [run for run in runs if run.outcome is not RunOutcome.REFUSED]
        versions = [run.software_version for run in began or unrecorded or runs]
        for run in runs[1:]:
            if run.last_event_id:
                text = f'begun at {versions[0]}, went on at {run.software_version}'
                is_kept = run.software_version == versions[0]
                yield Verdict.on_run(run, text, is_kept=is_kept)


def answers_in_time(history: History) -> Iterator[Verdict]:
    """An attempt has its answer or its end shortly after its time is over."""
    slow_callers = {
        fault.target
        for fault in history.observations.faults
        if fault.kind == 'caller_slow'
    }
    for caller in history.calm_callers():
        is_slow = caller.request_id in slow_callers
        has_left = caller.end is ConnectionEnd.LEFT
        if caller.read_at is not None and not is_slow and not has_left:
            late_s = caller.ended_at - caller.read_at - caller.timeout_s
            text = f'held {late_s:.2f} s beyond its {caller.timeout_s:.2f} s'
            is_kept = late_s <= _LATE_ANSWER_S
            yield Verdict.on_caller(caller, text, is_kept=is_kept)


def cancellations(history: History) -> Iterator[Verdict]:
    """The run of a caller that left is cancelled, and none begins after that."""
    for caller, runs in history.callers_with_runs():
        due_at = caller.ended_at + history.bounds.cancel_s + _RECORD_SLACK_S
        for run in runs:
            if _is_left_behind(history, caller, run, due_at):
                span = f'{run.arrived_at:.2f} to {run.ended_at}'
                text = f'caller left at {caller.ended_at:.2f}, ran from {span}'
                yield Verdict.on_run(run, text, is_kept=_is_ended_by(run, due_at))


def _can_end_run(history: History, run: RunRecord, at: float) -> bool:
    """Return whether nothing kept a daemon from ending a run until a moment."""
    disruptions = history.disruptions
    is_disturbed = disruptions.is_disturbed(run.endpoint, run.arrived_at, at)
    return not (is_disturbed or disruptions.is_cut_off(run.daemon, run.arrived_at, at))


def _is_left_behind(
    history: History, caller: CallerRecord, run: RunRecord, due_at: float
) -> bool:
    """Return whether a run outlived its caller's connection while all was calm."""
    has_left = caller.end in _CALLER_ENDS and caller.kind in _CANCELLED_KINDS
    if not has_left or _is_ended_by(run, caller.ended_at):
        return False
    disruptions = history.disruptions
    if disruptions.is_disturbed(run.endpoint, caller.sent_at, due_at):
        return False
    # The request may have been forwarded to the daemon that sent it to the endpoint.
    return not disruptions.is_cut_off(run.daemon, caller.sent_at, due_at) and all(
        disruptions.is_in_touch(daemon, caller.sent_at, due_at)
        for daemon in (caller.daemon, run.daemon)
    )


def _last_events(runs: Sequence[RunRecord]) -> list[int]:
    return [
        run.last_event
        for run in runs
        if run.outcome is RunOutcome.COMPLETED and run.last_event is not None
    ]


def _is_killed_by(history: History, run: RunRecord, at: float) -> bool:
    """Return whether its endpoint, which records no end then, was killed as it left."""
    return run.ended_at is None and any(
        fault.kind == 'engine_leaves'
        and fault.target == run.endpoint
        and fault.ended_at - _REPLACEMENT_S <= at <= fault.ended_at
        for fault in history.observations.faults
    )


def _is_ended_by(run: RunRecord, at: float) -> bool:
    return run.ended_at is not None and run.ended_at <= at
