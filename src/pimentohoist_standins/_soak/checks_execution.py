"""Checks of what runs at endpoints."""

from __future__ import annotations

from collections.abc import Iterator

from pimentohoist_standins._soak.disruptions import STORE
from pimentohoist_standins._soak.history import History, Verdict, is_run
from pimentohoist_standins._soak.records import (
    CallerRecord,
    ConfigurationRecord,
    RequestKind,
    RunRecord,
)
from pimentohoist_standins._soak.versions import Versions, handling_of_run

_RUN_ONCE_KINDS = frozenset((RequestKind.UNSAFE, RequestKind.STREAM))
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# An endpoint that isn't the one meant answers so; such arrivals may come late.
_MISDIRECTED = 421


def runs_once(history: History) -> Iterator[Verdict]:
    """An unsafe request, or a stream that may not be resumed, runs once at most."""
    for caller, runs in history.callers_with_runs():
        if caller.kind in _RUN_ONCE_KINDS:
            text = f'{caller.kind} request ran at {[run.endpoint for run in runs]}'
            yield Verdict.on_run(runs[-1], text, is_kept=len(runs) == 1)


def true_refusals(history: History) -> Iterator[Verdict]:
    """A request that is refused as not run hasn't run and doesn't run later."""
    for caller in history.observations.callers:
        if caller.status in _NOT_RUN_STATUSES:
            runs = history.runs(caller)
            places = [(run.endpoint, run.arrived_at) for run in runs]
            text = f'answered {caller.status} and ran at {places}'
            yield Verdict.on_caller(caller, text, is_kept=not runs)


def runs_asked_for(history: History) -> Iterator[Verdict]:
    """Endpoints get only requests that a caller sent, and for the adapter it named."""
    for run in history.observations.runs:
        caller = history.callers.get(run.request_id)
        is_asked_for = caller is not None and caller.adapter == run.adapter
        text = f'{run.endpoint} got a request for {run.adapter} that no caller sent'
        yield Verdict.on_run(run, text, is_kept=is_asked_for)


def keys_stay_inside(history: History) -> Iterator[Verdict]:
    """No key of a caller reaches an endpoint."""
    for run in history.observations.runs:
        text = f'{run.endpoint} got the key of a caller'
        yield Verdict.on_run(run, text, is_kept=not run.has_key)


def workspace_of_key(history: History) -> Iterator[Verdict]:
    """A request runs in the name of a workspace that holds its key."""
    for caller, run, sent in _runs_with_configurations(history):
        handling = handling_of_run(caller, run)
        is_kept = any(handling.fits_workspace(one) for one in sent)
        text = f'ran for {run.workspace!r}, which has never held its key'
        yield Verdict.on_run(run, text, is_kept=is_kept)


def group_of_route(history: History) -> Iterator[Verdict]:
    """A request runs only where a configuration sent before sends its route."""
    for caller, run, sent in _runs_with_configurations(history):
        handling = handling_of_run(caller, run)
        is_kept = any(handling.fits_group(one) for one in sent)
        text = f'route {caller.route} ran at group {run.group}'
        yield Verdict.on_run(run, text, is_kept=is_kept)


def drain(history: History) -> Iterator[Verdict]:
    """No request reaches an endpoint that has long announced that it leaves."""
    announced_at = {
        fault.target: fault.began_at
        for fault in history.observations.faults
        if fault.kind == 'engine_leaves'
        and not history.disruptions.is_disturbed(STORE, fault.began_at, fault.began_at)
    }
    for run in history.observations.runs:
        if run.endpoint in announced_at and _is_bound_by_drain(history, run):
            late_s = run.arrived_at - announced_at[run.endpoint]
            text = f'reached {run.endpoint} {late_s:.2f} s after it announced to leave'
            is_kept = late_s <= history.bounds.drain_s
            yield Verdict.on_run(run, text, is_kept=is_kept)


def _is_bound_by_drain(history: History, run: RunRecord) -> bool:
    """Return whether nothing held the request up on its way to the endpoint."""
    caller = history.callers.get(run.request_id)
    is_misdirected = not is_run(run) and run.status in {0, _MISDIRECTED}
    if caller is None or is_misdirected:
        return False
    disruptions = history.disruptions
    is_endpoint_calm = not disruptions.is_disturbed(
        run.endpoint, run.arrived_at, run.arrived_at
    )
    return is_endpoint_calm and disruptions.is_in_touch(
        caller.daemon, min(caller.sent_at, run.arrived_at), run.arrived_at
    )


def _runs_with_configurations(
    history: History,
) -> Iterator[tuple[CallerRecord, RunRecord, list[ConfigurationRecord]]]:
    """Yield each run with the configurations that were sent before it."""
    versions = Versions(history.observations)
    for caller, runs in history.callers_with_runs():
        for run in runs:
            yield caller, run, versions.sent_before(run.arrived_at)
