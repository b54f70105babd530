"""Times at which daemons, endpoints and the store are disturbed."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator

from pimentohoist_standins._soak.records import FaultRecord, Observations

STORE = 'store'
_EVERYTHING = ''
# Planned work, what callers do and wrong answers of engines leave processes and links
# as they are. Starts and stops of daemons are taken from the records of processes.
_HARMLESS_KINDS = frozenset(
    'term hup restart roll new_address key_withdrawn config_change config_storm '
    'config_invalid caller_leaves caller_slow engine_fail engine_twice engine_leaves '
    'engine_quiet engine_limit engine_endless engine_cut '
    'engine_brittle engine_cut_head engine_odd_head store_odd_entry '
    'engines_reset engines_hang engines_live'.split(),
)
LINK_LOSSES = frozenset('engines_reset engines_hang engines_live'.split())
_STORE_KINDS = frozenset(
    'store_down store_slow store_lost store_restored store_silent store_lose_calls '
    'store_lose_answers'.split(),
)
_ENGINE_KINDS = frozenset(
    'engine_crash engine_freeze engine_silent engine_pause engine_fall'.split(),
)
_PROCESS_OR_LINK_KINDS = frozenset(
    'kill kill_all pause link_delay link_reset link_cut link_silent link_slow link_close '
    'link_cut_requests link_cut_responses'.split(),
)


class Spans:
    """Spans of time, joined where they overlap."""

    def __init__(self, spans: Iterable[tuple[float, float]] = ()) -> None:
        self.starts: list[float] = []
        self.ends: list[float] = []
        for began_at, ended_at in sorted(spans):
            if self.ends and began_at <= self.ends[-1]:
                self.ends[-1] = max(self.ends[-1], ended_at)
            else:
                self.starts.append(began_at)
                self.ends.append(ended_at)

    def overlaps(self, began_at: float, ended_at: float) -> bool:
        """Return whether any span touches the one given."""
        following = bisect_right(self.starts, ended_at)
        return following > 0 and self.ends[following - 1] >= began_at


class Disruptions:
    """Tells which daemons, endpoints and stores were undisturbed.

    The target of a fault of a link names its ends, separated by ``>`` or ``/``. A fault
    of a process or link that names nothing known disturbs everything, and so does one
    of an unknown kind.
    """

    def __init__(self, observations: Observations) -> None:
        self.contact_s = observations.bounds.contact_s
        self.daemons = {process.daemon for process in observations.processes}
        self.daemons |= {caller.daemon for caller in observations.callers}
        self.endpoints = {run.endpoint for run in observations.runs}
        self.endpoints |= {order.engine for order in observations.orders}
        unplanned: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for fault in observations.faults:
            for target in self._targets(fault):
                unplanned[target].append((fault.began_at, fault.ended_at))
        stops: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for daemon, span, is_planned in _process_spans(observations):
            (stops if is_planned else unplanned)[daemon].append(span)
        self.cuts = _cut_spans(observations)
        self.unplanned = {name: Spans(spans) for name, spans in unplanned.items()}
        self.stops = {name: Spans(spans) for name, spans in stops.items()}

    def is_disturbed(self, name: str, began_at: float, ended_at: float) -> bool:
        """Return whether faults disturbed anything from shortly before a span on."""
        calm_since = began_at - self.contact_s
        return any(
            self.unplanned[target].overlaps(calm_since, ended_at)
            for target in (name, _EVERYTHING)
            if target in self.unplanned
        )

    def is_cut_off(self, daemon: str, began_at: float, ended_at: float) -> bool:
        """Return whether a daemon had no links to endpoints at some time in a span.

        That disturbs no process and no caller, but what it sends reaches no endpoint.
        """
        return self.cuts.get(daemon, Spans()).overlaps(began_at, ended_at)

    def is_stopping(self, daemon: str, began_at: float, ended_at: float) -> bool:
        """Return whether a daemon was started or stopped in a span."""
        return self.stops.get(daemon, Spans()).overlaps(began_at, ended_at)

    def is_in_touch(self, daemon: str, began_at: float, ended_at: float) -> bool:
        """Return whether a daemon ran, reached the store and was left alone."""
        return not (
            self.is_disturbed(daemon, began_at, ended_at)
            or self.is_disturbed(STORE, began_at, ended_at)
            or self.is_stopping(daemon, began_at - self.contact_s, ended_at)
        )

    def all_in_touch_from(self, at: float) -> float:
        """Return the first moment not before ``at`` when all daemons are in touch."""
        groups = (*self.unplanned.values(), *self.stops.values())
        ends = (end for spans in groups for end in spans.ends)
        moments = (math.nextafter(end + self.contact_s, math.inf) for end in ends)
        return next(
            moment
            for moment in sorted((at, math.inf, *moments))
            if moment >= at
            and all(self.is_in_touch(one, moment, moment) for one in self.daemons)
        )

    def _targets(self, fault: FaultRecord) -> tuple[str, ...]:
        if fault.kind in _STORE_KINDS:
            return (STORE,)
        if fault.kind in _ENGINE_KINDS:
            return (fault.target,)
        if fault.kind in _PROCESS_OR_LINK_KINDS:
            ends = {fault.target, *fault.target.replace('>', '/').split('/')}
            known = ends & (self.daemons | self.endpoints)
            return tuple(known or ends & {STORE} or {_EVERYTHING})
        return () if fault.kind in _HARMLESS_KINDS else (_EVERYTHING,)


def _cut_spans(observations: Observations) -> dict[str, Spans]:
    """Return when each daemon had no links to endpoints."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for fault in observations.faults:
        if fault.kind in LINK_LOSSES:
            spans[fault.target].append((fault.began_at, fault.ended_at))
    return {daemon: Spans(cuts) for daemon, cuts in spans.items()}


def _process_spans(
    observations: Observations,
) -> Iterator[tuple[str, tuple[float, float], bool]]:
    """Yield daemon, span and whether it is planned, for each start and stop."""
    starts = defaultdict(list)
    for process in observations.processes:
        starts[process.daemon].append(process.started_at)
    for process in observations.processes:
        yield process.daemon, (process.started_at, process.started_at), True
        later = [at for at in starts[process.daemon] if at > process.started_at]
        # The next start is a moment of its own: what follows it isn't part of the stop.
        stop_ends_at = math.nextafter(min(later, default=math.inf), -math.inf)
        if process.signalled_at is not None:
            yield process.daemon, (process.signalled_at, stop_ends_at), True
        elif process.killed_at is not None:
            yield process.daemon, (process.killed_at, stop_ends_at), False
