"""Checks of requests cut around planned work: stops, reloads and new configurations."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from functools import partial

from pimentohoist_standins._soak.disruptions import STORE
from pimentohoist_standins._soak.history import History, Verdict
from pimentohoist_standins._soak.records import (
    CallerRecord,
    ConnectionEnd,
    FaultRecord,
    ProcessRecord,
    RequestKind,
    RunOutcome,
    RunRecord,
)

_AFTER_PLANNED_WORK_S = 1.0
# Requests sent later after SIGTERM must be answered whole or refused.
_LONG_RUN_SENT_S = 3.0
_LAST_PART_OF_GRACE = 5 / 6
_MAX_CUTS_ON_KEPT_CONNECTIONS = 3
_CONFIGURATION_CUT_FACTOR = 3
_CONFIGURATION_TIME_USED = 0.7
# Only for these does a disruption of the store alone excuse nothing.
_STORELESS_KINDS = frozenset((RequestKind.SAFE, RequestKind.UNSAFE))
_DAEMON_ENDS = frozenset((ConnectionEnd.CLOSED, ConnectionEnd.RESET))


def lost_at_stop(history: History) -> Iterator[Verdict]:
    """A daemon that got SIGTERM answers what it has read or passed on."""
    for signalled_at, caller in _requests_in_stops(history):
        if _is_judged(history, caller):
            is_excused = _is_long_run(history, caller, signalled_at)
            is_kept = is_excused or not _is_lost(history, caller)
            text = _cut_text(history, caller, 'SIGTERM', signalled_at)
            yield Verdict.on_caller(caller, text, is_kept=is_kept)


def lost_at_reload(history: History) -> Iterator[Verdict]:
    """A daemon that got SIGHUP answers what it has read or passed on."""
    bound_s = history.bounds.configuration_s
    signals = [fault for fault in history.observations.faults if fault.kind == 'hup']
    for caller in history.observations.callers:
        times = [
            signal.began_at
            for signal in signals
            if signal.target == caller.daemon
            and caller.sent_at - bound_s <= signal.began_at <= caller.ended_at
        ]
        if times and _is_judged(history, caller):
            text = _cut_text(history, caller, 'SIGHUP', max(times))
            is_kept = not _is_lost(history, caller)
            yield Verdict.on_caller(caller, text, is_kept=is_kept)


def lost_at_configuration(history: History) -> Iterator[Verdict]:
    """A new configuration doesn't make a daemon cut requests more often."""
    callers: dict[bool, list[CallerRecord]] = {True: [], False: []}
    for caller in filter(partial(_is_left_to_work, history), history.callers.values()):
        callers[_is_beside_configuration(history, caller)].append(caller)
    beside = _cut_shares(history, callers[True])
    otherwise = _cut_shares(history, callers[False])
    for one in callers[True]:
        usual = _CONFIGURATION_CUT_FACTOR * otherwise.get(one.daemon, 0)
        is_late = one.ended_at - one.sent_at >= _CONFIGURATION_TIME_USED * one.timeout_s
        text = _cut_text(history, one, 'its start', one.sent_at)
        is_kept = is_late or beside[one.daemon] <= usual or not _is_lost(history, one)
        yield Verdict.on_caller(one, text, is_kept=is_kept)


def kept_connections(history: History) -> Iterator[Verdict]:
    """A daemon answers what it passed on from a connection that was kept open."""
    cuts: Counter[str] = Counter()
    for caller in history.calm_callers():
        arrivals = history.arrivals(caller)
        is_sound = arrivals and not history.disruptions.is_disturbed(
            arrivals[-1].endpoint, caller.sent_at, caller.ended_at
        )
        if caller.is_kept and is_sound:
            is_cut = caller.status == 0 and _is_lost(history, caller)
            cuts[caller.daemon] += int(is_cut)
            is_few = cuts[caller.daemon] <= _MAX_CUTS_ON_KEPT_CONNECTIONS
            text = f'{caller.daemon} closed {cuts[caller.daemon]} connections so'
            yield Verdict.on_caller(caller, text, is_kept=is_few or not is_cut)


def _cut_shares(history: History, callers: list[CallerRecord]) -> dict[str, float]:
    """Return by daemon the share of these requests that it cut."""
    requests = Counter(caller.daemon for caller in callers)
    cuts = Counter(caller.daemon for caller in callers if _is_lost(history, caller))
    return {daemon: cuts[daemon] / count for daemon, count in requests.items()}


def _requests_in_stops(history: History) -> Iterator[tuple[float, CallerRecord]]:
    """Yield the requests that a process had and that ended in its stop."""
    stop_s = history.bounds.grace_s + _AFTER_PLANNED_WORK_S
    for process in history.observations.processes:
        began_at = process.signalled_at or math.inf
        for caller in history.callers_by_daemon[process.daemon]:
            is_in_stop = began_at <= caller.ended_at <= began_at + stop_s
            if is_in_stop and _has_reached(process, caller):
                yield began_at, caller


def _has_reached(process: ProcessRecord, caller: CallerRecord) -> bool:
    read_at = caller.read_at or math.inf
    is_started = process.started_at <= caller.sent_at
    return is_started and read_at <= (process.ended_at or math.inf)


def _is_judged(history: History, caller: CallerRecord) -> bool:
    """Return whether the request was sent whole and no unplanned disruption excuses it."""
    span = (caller.sent_at, caller.ended_at)
    is_store_needed = caller.kind not in _STORELESS_KINDS
    is_excused = history.disruptions.is_disturbed(caller.daemon, *span) or (
        is_store_needed and history.disruptions.is_disturbed(STORE, *span)
    )
    return caller.read_at is not None and not is_excused


def _is_lost(history: History, caller: CallerRecord) -> bool:
    """Return whether the daemon cut a request that it had passed on or surely read."""
    if caller.is_whole or caller.end not in _DAEMON_ENDS or caller.read_at is None:
        return False
    if caller.ended_at - caller.sent_at >= caller.timeout_s:
        return False
    arrivals = history.arrivals(caller)
    if arrivals:
        return not _is_broken_off(history, arrivals[-1], caller)
    return caller.ended_at - caller.read_at > history.bounds.loss_slack_s


def _is_broken_off(history: History, run: RunRecord, caller: CallerRecord) -> bool:
    """Return whether the endpoint broke off; a killed one records no end of its run."""
    if run.outcome is RunOutcome.BROKEN_OFF:
        return True
    return run.ended_at is None and any(
        _is_kill(fault, run, caller)
        for fault in history.observations.faults
        if fault.target == run.endpoint
    )


def _is_kill(fault: FaultRecord, run: RunRecord, caller: CallerRecord) -> bool:
    """Return whether a fault killed the endpoint during the run."""
    if fault.kind == 'engine_leaves':
        # The endpoint is killed as the fault ends.
        return fault.began_at <= caller.ended_at <= fault.ended_at
    is_crash = fault.kind == 'engine_crash'
    return is_crash and run.arrived_at <= fault.began_at <= caller.ended_at


def _is_long_run(history: History, caller: CallerRecord, signalled_at: float) -> bool:
    """Return whether the endpoint was still at work when the grace period ran out."""
    grace_s = history.bounds.grace_s
    last_part_at = signalled_at + grace_s * _LAST_PART_OF_GRACE
    is_at_work = any(
        run.arrived_at <= signalled_at + grace_s
        and (run.ended_at is None or run.ended_at >= last_part_at)
        for run in history.runs(caller)
    )
    return is_at_work and caller.sent_at <= signalled_at + _LONG_RUN_SENT_S


def _is_left_to_work(history: History, caller: CallerRecord) -> bool:
    return _is_judged(history, caller) and not history.disruptions.is_stopping(
        caller.daemon, caller.sent_at, caller.ended_at
    )


def _is_beside_configuration(history: History, caller: CallerRecord) -> bool:
    after_s = history.bounds.configuration_s + _AFTER_PLANNED_WORK_S
    return any(
        one.is_valid
        and one.sent_at <= caller.ended_at
        and caller.ended_at <= (one.acknowledged_at or one.sent_at) + after_s
        for one in history.observations.configurations
    )


def _cut_text(
    history: History, caller: CallerRecord, cause: str, caused_at: float
) -> str:
    times = f'sent {caller.sent_at - caused_at:.2f} s after {cause}'
    cut = f'cut {caller.ended_at - caused_at:.2f} s after it by {caller.daemon}'
    return f'{times}, {cut}; runs: {[run.endpoint for run in history.runs(caller)]}'
