"""Histories of daemons that claim actions, played step by step in one thread.

The daemons run the real claim filter, controller, queue and fold. Where a daemon would
wait, the script goes on: with other daemons' requests, appends with every fate, records
read late, crashes and takeovers of daemons that may well be alive.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from hypothesis import strategies as st

from pimentohoist._claims_fold import ClaimsFold, ClaimState, TakeoverRecord
from pimentohoist._controllers.claims import ClaimsController
from pimentohoist._filters.claim import ClaimAction
from pimentohoist.configuration import Route
from pimentohoist.exceptions import (
    AppendUnknownError,
    LogError,
    PeerConnectError,
    PeerError,
    PimentohoistError,
    RunState,
)
from pimentohoist.exchanges import CallerResponse, CallerRequest, Exchange, RequestKind
from pimentohoist.models import LogRecord, Member

_STEP = 'world'
_KEYS = ('x', 'y')
_MAX_NESTED = 4
_DEADLINE = 1e9
_ROUTE = Route('release', 'ledger', is_idempotent=False, is_open=True)
_FATES = ('ok', 'ok', 'ok', 'lost', 'dropped', 'late', 'refused')
_CALLS = (
    *('answered', 'answered', 'no connection', 'lost', 'dropped'),
    *('crash before', 'crash after'),
)


def operations(daemons: int) -> st.SearchStrategy:
    daemon = st.integers(0, daemons - 1)
    appends = st.tuples(st.just('append'), daemon, st.sampled_from(_FATES))
    follows = st.tuples(st.just('follow'), daemon, st.integers(1, 4))
    requests = st.tuples(
        st.just('request'),
        daemon,
        st.sampled_from(_KEYS),
        st.sampled_from((b'1', b'1', b'1', b'2')),
        st.sampled_from(_CALLS),
    )
    syncs = (st.tuples(st.just('sync'), daemon), st.just(('sync_all',)))
    rare = (
        st.tuples(st.just('land')),
        st.tuples(st.just('time_out'), daemon),
        st.tuples(st.just('take_over'), daemon, daemon),
        st.tuples(st.just('crash'), daemon),
    )
    often = (requests, requests, requests, appends, follows, *syncs, *syncs)
    # st.one_of would count equal strategies once.
    table = (*often, *often, *rare)
    return st.integers(0, len(table) - 1).flatmap(table.__getitem__)


class CrashedError(BaseException):  # noqa: WPS418 (no handler may catch it)
    """The daemon was killed; nothing of it goes on."""


class SimulatedDaemon:
    """A daemon's claims, with a log whose answers the script decides on."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self.incarnation = f'daemon-{index}'
        self.epoch = 0
        self.read_at = float()
        self.fate = 'ok'
        self.is_dead = False
        self.is_timed_out = False
        self.controller = ClaimsController(
            self, self, clock=float, wall_clock=lambda: 1.0
        )
        self.controller.follower.head_read_at = 0
        self.controller.follower.changed = self  # type: ignore[assignment]
        # Without its thread the appender neither waits for work nor pauses.
        self.controller.appender._closed.set()
        self.filter = ClaimAction(self.controller)

    def __enter__(self) -> None:
        """Stand in for the follower's condition: there is one thread only."""

    def __exit__(self, *exc_info: object) -> None:
        """Release nothing."""

    def notify_all(self) -> None:
        """Wake nobody."""

    def wait_for(self, predicate: Callable[[], bool], timeout_s: float) -> bool:
        self.is_timed_out = False
        while not predicate() and not self.is_timed_out and self.world.step():
            self.live()
        self.live()
        return predicate()

    def live(self) -> None:
        if self.is_dead:
            raise CrashedError

    def members(self) -> tuple[Member, ...]:
        return tuple(Member(one.incarnation, '', '', '') for one in self.world.daemons)

    def is_owner(self, resource_key: str) -> bool:
        return False

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        self.world.covered.add(f'append {self.fate}')
        if self.fate == 'refused':
            raise LogError('refused', step=_STEP)
        if self.fate == 'late':
            self.world.late.append(tuple(bodies))
        if self.fate in {'ok', 'lost'}:
            self.world.records.extend(bodies)
        if self.fate != 'ok':
            raise AppendUnknownError(self.fate, step=_STEP)
        return 0

    def append_next(self, fate: str) -> None:
        self.fate = fate
        batch = self.controller.appender._next_batch()
        if batch:
            self.controller.appender._append(batch)

    def follow(self, count: int) -> None:
        fold = self.controller.follower.fold
        start = fold.next_offset
        for body in self.world.records[start : start + count]:
            fold.apply(LogRecord(fold.next_offset, body))


class World:
    """The log, the daemons, the service and what the callers were told."""

    def __init__(self, daemons: int, script: list[tuple]) -> None:
        self.script = list(reversed(script))
        self.records: list[bytes] = []
        self.late: list[tuple[bytes, ...]] = []
        self.runs: Counter[str] = Counter()
        self.runs_of_request: Counter[int] = Counter()
        self.told: list[tuple[int, str, Any]] = []
        self.covered: set[str] = set()
        self.requests = 0
        self.nested = 0
        self.daemons = [SimulatedDaemon(self, index) for index in range(daemons)]

    def play(self) -> None:
        is_going_on = True
        while is_going_on:
            is_going_on = self.step()

    def step(self) -> bool:
        if not self.script:
            return False
        name, *arguments = self.script.pop()
        if arguments and self.daemons[arguments[0]].is_dead:
            return True
        getattr(self, name)(*arguments)
        return True

    def append(self, daemon: int, fate: str) -> None:
        self.daemons[daemon].append_next(fate)

    def follow(self, daemon: int, count: int) -> None:
        self.daemons[daemon].follow(count)

    def sync(self, daemon: int) -> None:
        self.append(daemon, 'ok')
        self.follow(daemon, len(self.records))

    def sync_all(self) -> None:
        alive = [index for index, one in enumerate(self.daemons) if not one.is_dead]
        for appending in alive:
            self.append(appending, 'ok')
        for following in alive:
            self.follow(following, len(self.records))

    def land(self) -> None:
        if self.late:
            self.covered.add('late record landed')
            self.records.extend(self.late.pop(0))

    def time_out(self, daemon: int) -> None:
        self.daemons[daemon].is_timed_out = True

    def take_over(self, daemon: int, target: int) -> None:
        taker, departed = self.daemons[daemon], self.daemons[target].incarnation
        self.covered.add('takeover')
        taker.controller.appender.put(
            TakeoverRecord(
                incarnation=taker.incarnation, written_at=1, departed=departed, epoch=1
            )
        )

    def crash(self, daemon: int) -> None:
        self.covered.add('crash')
        self.daemons[daemon].is_dead = True

    def request(self, daemon: int, key: str, body: bytes, call: str) -> None:
        if self.nested >= _MAX_NESTED:
            return
        self.requests += 1
        number = self.requests
        caller = CallerRequest(
            str(number),
            RequestKind.SERVICE,
            'POST',
            '/',
            '',
            body,
            'text/plain',
            _DEADLINE,
            idempotency_key=key,
            route='release',
        )
        self.nested += 1
        try:
            answer = self.daemons[daemon].filter(
                Exchange(caller, route=_ROUTE),
                lambda exchange: self.send(daemon, exchange, call),
            )
        except PimentohoistError as error:
            self.told.append((number, key, error))
        except CrashedError:
            self.told.append((number, key, 'crashed'))
        else:
            self.told.append((number, key, b''.join(answer.body)))
            is_replay = bool(answer.headers)
            self.covered.add('replay' if is_replay else 'run')
        finally:
            self.nested -= 1

    def send(self, daemon: int, exchange: Exchange, call: str) -> CallerResponse:
        # Frozen between the read-back and the call, and again after it.
        self.step()
        self.step()
        if call == 'crash before':
            self.crash(daemon)
        self.daemons[daemon].live()
        if call == 'no connection':
            self.covered.add('release')
            raise PeerConnectError(call, step=_STEP)
        exchange.is_sent = True
        if call != 'dropped':
            self.runs[exchange.request.idempotency_key] += 1
            self.runs_of_request[int(exchange.request.request_id)] += 1
        self.step()
        if call == 'crash after':
            self.crash(daemon)
        self.daemons[daemon].live()
        if call != 'answered':
            raise PeerError(call, step=_STEP)
        body = f'entry of {exchange.request.request_id}'
        return CallerResponse(201, 'text/plain', [body.encode()])

    def check(self) -> None:
        assert all(count <= 1 for count in self.runs.values()), self.runs
        for number, key, told in self.told:
            self._check_told(number, key, told)
        self._settle()
        folds = [self._read_all(daemon) for daemon in self.daemons]
        assert all(fold.claims == folds[0].claims for fold in folds)
        for key in _KEYS:
            self._check_free(key, folds[0])

    def _check_told(self, number: int, key: str, told: Any) -> None:
        if isinstance(told, PimentohoistError):
            names = {
                'action_in_progress': 'in progress',
                'action_outcome_unknown': 'unknown',
                'idempotency_conflict': 'conflict',
            }
            self.covered.add(names.get(told.code, told.code))
            if told.run_state is RunState.NOT_RUN:
                assert not self.runs_of_request[number], (number, told)
        elif isinstance(told, bytes):
            runner = int(told.decode().rpartition(' ')[-1])
            assert self.runs_of_request[runner] == 1, told
            assert self.runs[key] == 1, told

    def _settle(self) -> None:
        while self.late:
            self.land()
        for daemon in self.daemons:
            while not daemon.is_dead and len(daemon.controller.appender.queue):
                daemon.append_next('ok')

    def _read_all(self, daemon: SimulatedDaemon) -> ClaimsFold:
        daemon.follow(len(self.records))
        return daemon.controller.follower.fold

    def _check_free(self, key: str, fold: ClaimsFold) -> None:
        """Check that no claim is held open for ever by a daemon that lives."""
        dead = {daemon.incarnation for daemon in self.daemons if daemon.is_dead}
        for claim in fold.claims.values():
            if claim.incarnation not in dead:
                assert claim.state in {ClaimState.ANSWERED, ClaimState.UNKNOWN}, claim
