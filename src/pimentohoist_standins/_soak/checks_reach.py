"""Checks of how callers fare at daemons that lost all links, or were all lost."""

from __future__ import annotations

from collections.abc import Iterator

from pimentohoist_standins._soak.disruptions import LINK_LOSSES
from pimentohoist_standins._soak.history import History, Verdict, is_success
from pimentohoist_standins._soak.records import CallerRecord, FaultRecord

_LEAST_CALLS = 20


def served_without_links(history: History) -> Iterator[Verdict]:
    """Daemons without links serve callers nearly as often as those that have them."""
    losses = [
        fault for fault in history.observations.faults if fault.kind in LINK_LOSSES
    ]
    for fault in losses:
        began_at = fault.began_at + history.bounds.contact_s
        span = began_at, fault.ended_at
        cut = {loss.target for loss in losses if _overlaps(loss, *span)}
        calls = [
            caller
            for caller in history.calm_callers()
            if began_at <= caller.sent_at and caller.ended_at <= fault.ended_at
        ]
        here = [caller for caller in calls if caller.daemon == fault.target]
        elsewhere = [caller for caller in calls if caller.daemon not in cut]
        yield _verdict(history, fault, here, elsewhere)


def served_after_loss(history: History) -> Iterator[Verdict]:
    """Daemons that were all lost at once serve again."""
    bounds = history.bounds
    losses = {
        (fault.began_at, fault.ended_at)
        for fault in history.observations.faults
        if fault.kind == 'kill_all'
    }
    for began_at, ended_at in losses:
        since = ended_at + bounds.recover_s
        calls = [each for each in history.calm_callers() if each.sent_at > since]
        if len(calls) >= _LEAST_CALLS:
            served = _served(calls)
            text = f'{served} of {len(calls)} served after all were lost at {began_at}'
            yield Verdict(served >= bounds.recover_share * len(calls), since, text)


def _verdict(
    history: History,
    fault: FaultRecord,
    here: list[CallerRecord],
    elsewhere: list[CallerRecord],
) -> Verdict:
    bounds = history.bounds
    served, served_elsewhere = _served(here), _served(elsewhere)
    share = served / max(1, len(here))
    wanted = bounds.reach_share * served_elsewhere / max(1, len(elsewhere))
    allowed = bounds.reach_failures + bounds.reach_failed_share * len(here)
    text = (
        f'{fault.target} without links served {served} of {len(here)}, others '
        f'{served_elsewhere} of {len(elsewhere)}'
    )
    is_kept = share >= wanted or len(here) - served <= allowed
    return Verdict(is_kept, fault.ended_at, text)


def _served(callers: list[CallerRecord]) -> int:
    return sum(caller.is_whole and is_success(caller.status) for caller in callers)


def _overlaps(fault: FaultRecord, began_at: float, ended_at: float) -> bool:
    return fault.began_at <= ended_at and began_at <= fault.ended_at
