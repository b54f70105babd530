"""Generated records of a soak in which every promise is kept."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random
from types import MappingProxyType

from soak_records import BOUNDS, CALLER, CONFIGURATION, PROCESS, RUN

from pimentohoist_standins._soak.records import (
    CallerRecord,
    ConfigurationRecord,
    ConnectionEnd,
    FaultRecord,
    Observations,
    OrderRecord,
    RequestKind,
    RunOutcome,
    RunRecord,
)

_EVENTS = tuple(range(1, 9))
_RESUMED_AFTER = 4
_ENDINGS = ('whole', 'failed', 'broken_off', 'late', 'left', 'refused', 'repeated')
_ENDING_WEIGHTS = (60, 8, 4, 2, 8, 10, 8)
_RUN_END_S = 200
_PAUSE_S = 120
_MANY_ATTEMPTS = 100
"""Of so many attempts, whose ends are drawn, a quarter or more is served."""

_PAUSE_END_S = 122
_RESTART_S = 9
_LEAVING = 'engine-3'
_LEFT = MappingProxyType({'is_whole': False, 'end': ConnectionEnd.LEFT})
_CLOSED = MappingProxyType({'is_whole': False, 'end': ConnectionEnd.CLOSED})
_OWN_ANSWER = MappingProxyType({'has_seal': False, 'events': ()})


@dataclass
class History:
    """Makes up what callers and endpoints see, by a random source.

    ``front-1`` gets SIGTERM and starts again, ``front-2`` gets SIGHUP, ``front-3`` is
    paused. The second configuration moves a route, adds one and exchanges a key.
    """

    random: Random

    def __post_init__(self) -> None:
        self.stop_at = self.random.uniform(80, 90)
        self.gone_at = self.stop_at + self.random.uniform(5, 7.9)
        self.leaves_at = self.random.uniform(130, 140)
        sent_at = self.random.uniform(50, 60)
        self.first = replace(
            CONFIGURATION,
            keys={'key-1': 'lab', 'key-2': 'office'},
            rates={'lab': (1000, 1000), 'office': (1000, 1000)},
        )
        self.second = replace(
            self.first,
            version=2,
            sent_at=sent_at,
            acknowledged_at=sent_at + 0.1,
            keys={'key-1': 'lab', 'key-3': 'office'},
            routes=frozenset(('chat', 'look')),
            groups={'chat': 'group-2', 'look': 'group-2'},
        )
        self.switched_at = {
            f'front-{number}': sent_at + self.random.uniform(0, 2)
            for number in (1, 2, 3)
        }
        self.callers: list[CallerRecord] = []
        self.runs: list[RunRecord] = []

    def observations(self, attempts: int) -> Observations:
        for number in range(attempts):
            self.add_attempt(f'a-{number}')
        stopped = replace(
            PROCESS, signalled_at=self.stop_at, ended_at=self.gone_at, exit_code=0
        )
        restarted = replace(
            PROCESS, started_at=self.stop_at + _RESTART_S, ready_at=self.stop_at + 11
        )
        others = (replace(PROCESS, daemon=name) for name in ('front-2', 'front-3'))
        faults = (
            FaultRecord('term', 'front-1', self.stop_at, self.stop_at),
            FaultRecord('hup', 'front-2', 100, 100),
            FaultRecord('pause', 'front-3', _PAUSE_S, _PAUSE_END_S),
            FaultRecord('engine_leaves', _LEAVING, self.leaves_at, self.leaves_at + 20),
            FaultRecord('engine_limit', 'engine-9', 30, 40),
            FaultRecord('engine_brittle', 'engine-9', 30, 40),
            FaultRecord('engine_pause', 'engine-1', 45, 46.2),
            FaultRecord('engines_live', 'front-2', 60, 70),
        )
        if attempts >= _MANY_ATTEMPTS:
            faults += (FaultRecord('kill_all', 'front-2', 2, 4),)
        return Observations(
            seed=1,
            began_at=0,
            ended_at=_RUN_END_S,
            bounds=BOUNDS,
            callers=tuple(self.callers),
            runs=tuple(self.runs),
            orders=tuple(map(_order, range(1, 20))),
            configurations=(self.first, self.second),
            faults=faults,
            processes=(stopped, restarted, *others),
        )

    def add_attempt(self, name: str) -> None:
        sent_at = self.random.uniform(20, 170)
        arrived_at = sent_at + self.random.uniform(0.02, 0.1)
        duration_s = self.random.uniform(0.05, 4)
        caller = replace(
            CALLER,
            request_id=name,
            daemon=self.random.choice(sorted(self.switched_at)),
            route=self.random.choice(('chat', 'chat', 'look')),
            key=self.random.choice(('key-1', 'key-2', 'key-3')),
            kind=self.random.choice(list(RequestKind)),
            sent_at=sent_at,
            read_at=sent_at + 0.01,
            ended_at=arrived_at + duration_s + 0.02,
            events=_EVENTS,
            is_kept=self.random.choice((True, False)),
        )
        run = replace(
            RUN,
            request_id=name,
            daemon=caller.daemon,
            arrived_at=arrived_at,
            ended_at=arrived_at + duration_s,
            last_event=_EVENTS[-1],
        )
        self._end(caller, run)

    def _end(self, caller: CallerRecord, run: RunRecord) -> None:
        is_switched = caller.sent_at >= self.switched_at[caller.daemon]
        configuration = self.second if is_switched else self.first
        status = self._refusal(caller, configuration)
        refused = replace(caller, **_OWN_ANSWER, status=status)
        closed = replace(caller, **_CLOSED, status=0, events=())
        if self._is_paused(caller):
            self._add(closed)
        elif self._is_gone(caller):
            self._add(replace(closed, read_at=None, ended_at=caller.sent_at + 0.1))
        elif status:
            self._add(replace(refused, ended_at=caller.sent_at + 0.05))
        else:
            self._serve(caller, self._placed(caller, run, configuration))

    def _is_paused(self, caller: CallerRecord) -> bool:
        is_beside = caller.sent_at < _PAUSE_END_S and caller.ended_at > _PAUSE_S
        return caller.daemon == 'front-3' and is_beside

    def _is_gone(self, caller: CallerRecord) -> bool:
        is_down = self.gone_at < caller.sent_at < self.stop_at + _RESTART_S
        return caller.daemon == 'front-1' and is_down

    def _refusal(self, caller: CallerRecord, configuration: ConfigurationRecord) -> int:
        """Return the status by which a daemon refuses a request, or 0."""
        is_too_long = caller.sent_at < self.gone_at < caller.ended_at + 1
        if caller.daemon == 'front-1' and is_too_long:
            return 503
        if caller.route not in configuration.routes:
            return 404
        return 0 if caller.key in configuration.keys else 401

    def _placed(
        self, caller: CallerRecord, run: RunRecord, configuration: ConfigurationRecord
    ) -> RunRecord:
        group = configuration.groups[caller.route]
        engines = ['engine-1', 'engine-2'] if group == 'group-1' else ['engine-4']
        if group == 'group-2' and run.arrived_at < self.leaves_at + BOUNDS.drain_s:
            engines.append(_LEAVING)
        workspace = configuration.keys[caller.key]
        engine = self.random.choice(engines)
        return replace(run, endpoint=engine, group=group, workspace=workspace)

    def _refuse(self, caller: CallerRecord, status: int) -> None:
        ended_at = caller.sent_at + 0.05
        self._add(replace(caller, **_OWN_ANSWER, status=status, ended_at=ended_at))

    def _serve(self, caller: CallerRecord, run: RunRecord) -> None:
        cancelled = replace(run, outcome=RunOutcome.CANCELLED)
        refused = replace(run, outcome=RunOutcome.REFUSED, ended_at=run.arrived_at)
        left_at = max(caller.read_at, run.ended_at - self.random.uniform(0, 0.7))
        endings = {
            'whole': (caller, run),
            'failed': (
                replace(caller, status=500, events=()),
                replace(run, outcome=RunOutcome.FAILED, status=500),
            ),
            'broken_off': (
                replace(caller, **_CLOSED, events=_EVENTS[:3]),
                replace(run, outcome=RunOutcome.BROKEN_OFF),
            ),
            'late': (
                replace(caller, **_OWN_ANSWER, status=504, timeout_s=_span_s(run)),
                cancelled,
            ),
            'left': (replace(caller, **_LEFT, events=(), ended_at=left_at), cancelled),
            'refused': (replace(caller, **_OWN_ANSWER, status=429), refused),
            'repeated': (caller, *_repeated(caller, run)),
        }
        self._add(*endings[self.random.choices(_ENDINGS, _ENDING_WEIGHTS)[0]])

    def _add(self, caller: CallerRecord, *runs: RunRecord) -> None:
        self.callers.append(caller)
        self.runs.extend(runs)


def _repeated(caller: CallerRecord, run: RunRecord) -> tuple[RunRecord, RunRecord]:
    """Return two runs, the first of them broken off, or refused if it must be."""
    middle_at = run.arrived_at + _span_s(run) / 2
    is_resumed = caller.kind is RequestKind.RESUMABLE
    is_repeatable = is_resumed or caller.kind is RequestKind.SAFE
    outcome = RunOutcome.BROKEN_OFF if is_repeatable else RunOutcome.REFUSED
    again = replace(
        run,
        arrived_at=middle_at + 0.01,
        endpoint='engine-4' if run.group == 'group-2' else 'engine-2',
        last_event_id=_RESUMED_AFTER if is_resumed else 0,
    )
    return replace(run, outcome=outcome, ended_at=middle_at), again


def _span_s(run: RunRecord) -> float:
    return run.ended_at - run.arrived_at


def _order(fence: int) -> OrderRecord:
    holder = f'front-{1 + fence % 3}'
    return OrderRecord(
        'engine-1', holder, fence, 'load', 'summary', 200, fence * 5, fence % 5, 4
    )


def make_history(seed: int, attempts: int) -> Observations:
    """Return the records of a run with this many attempts."""
    return History(Random(seed)).observations(attempts)
