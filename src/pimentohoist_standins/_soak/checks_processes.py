"""Checks of how processes of daemons start and end."""

from __future__ import annotations

from collections.abc import Iterator

from pimentohoist_standins._soak.disruptions import STORE, Spans
from pimentohoist_standins._soak.history import History, Verdict
from pimentohoist_standins._soak.records import Observations, ProcessRecord


def gone_before_kill(history: History) -> Iterator[Verdict]:
    """A daemon ends within its grace period after SIGTERM, unless it was paused."""
    observations = history.observations
    for process in observations.processes:
        if process.signalled_at is None or _is_paused(observations, process):
            continue
        stopped_at = _stopped_at(process, observations)
        elapsed_s = stopped_at - process.signalled_at
        is_in_time = elapsed_s < history.bounds.grace_s
        # Processes that a fault killed, or that the run outlived, may have been in time.
        if process.ended_at == stopped_at or not is_in_time:
            text = f'{process.daemon} ran {elapsed_s:.2f} s after SIGTERM'
            yield Verdict(is_in_time, stopped_at, text)


def exit_codes(history: History) -> Iterator[Verdict]:
    """A daemon ends only if it is told to, and then with exit code 0."""
    for process in history.observations.processes:
        if process.ended_at is not None and process.killed_at is None:
            is_kept = process.signalled_at is not None and process.exit_code == 0
            text = (
                f'{process.daemon} ended with exit code {process.exit_code}; '
                f'SIGTERM was sent at {process.signalled_at}'
            )
            yield Verdict(is_kept, process.ended_at, text)


def ready_after_start(history: History) -> Iterator[Verdict]:
    """A daemon is ready once it can be in touch and know the configuration."""
    bound_s = history.bounds.contact_s + history.bounds.configuration_s
    for process in history.observations.processes:
        due_at = process.started_at + bound_s
        if _is_left_alone(history, process, due_at):
            is_kept = process.ready_at is not None and process.ready_at <= due_at
            text = (
                f'{process.daemon} started at {process.started_at:.2f} and was ready '
                f'at {process.ready_at}; the bound is {bound_s:.1f} s'
            )
            yield Verdict(is_kept, due_at, text)


def _is_left_alone(history: History, process: ProcessRecord, due_at: float) -> bool:
    """Return whether nothing stopped or disturbed a process since its start."""
    disruptions = history.disruptions
    started_at = process.started_at
    calm_at = started_at + history.bounds.contact_s
    stopped_at = process.signalled_at or _stopped_at(process, history.observations)
    return (
        stopped_at >= due_at
        and not disruptions.is_disturbed(process.daemon, calm_at, due_at)
        and not disruptions.is_disturbed(STORE, started_at, due_at)
    )


def _is_paused(observations: Observations, process: ProcessRecord) -> bool:
    pauses = Spans(
        (fault.began_at, fault.ended_at)
        for fault in observations.faults
        if fault.kind == 'pause' and fault.target == process.daemon
    )
    signalled_at = process.signalled_at or 0
    return pauses.overlaps(signalled_at, _stopped_at(process, observations))


def _stopped_at(process: ProcessRecord, observations: Observations) -> float:
    """Return when the process was killed, ended, or was last seen."""
    ends = (process.killed_at, process.ended_at, observations.ended_at)
    return min(end for end in ends if end is not None)
