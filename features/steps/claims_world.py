"""Simulation of daemons that claim actions, run step by step in one thread.

The daemons run the real claim filter, controller, queue and fold. Where a daemon would
wait, the script continues with requests of other daemons, appends with every possible
result, late reads, crashes, and takeovers of daemons that may still be alive.
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
_MAX_NESTED_REQUESTS = 4
_NO_DEADLINE = 1e9
_ROUTE = Route('release', 'ledger', is_idempotent=False, is_open=True)
_APPEND_RESULTS = ('ok', 'ok', 'ok', 'lost', 'dropped', 'late', 'refused')
_CALL_RESULTS = (
    *('answered', 'answered', 'no connection', 'lost', 'dropped'),
    *('crash before', 'crash after'),
)


def operations(daemons: int) -> st.SearchStrategy:
    daemon = st.integers(0, daemons - 1)
    appends = st.tuples(st.just('append'), daemon, st.sampled_from(_APPEND_RESULTS))
    follows = st.tuples(st.just('follow'), daemon, st.integers(1, 4))
    requests = st.tuples(
        st.just('request'),
        daemon,
        st.sampled_from(_KEYS),
        st.sampled_from((b'1', b'1', b'1', b'2')),
        st.sampled_from(_CALL_RESULTS),
    )
    syncs = (st.tuples(st.just('sync'), daemon), st.just(('sync_all',)))
    rare = (
        st.tuples(st.just('land')),
        st.tuples(st.just('time_out'), daemon),
        st.tuples(st.just('take_over'), daemon, daemon),
        st.tuples(st.just('crash'), daemon),
    )
    often = (requests, requests, requests, appends, follows, *syncs, *syncs)
    # st.one_of would count equal strategies only once.
    table = (*often, *often, *rare)
    return st.integers(0, len(table) - 1).flatmap(table.__getitem__)


class CrashedError(BaseException):  # noqa: WPS418 (no handler may catch it)
    """The daemon was killed; none of its code continues."""


class SimulatedDaemon:
    """A daemon's claims, with a log whose responses the script determines."""

    def __init__(self, simulation: Simulation, index: int) -> None:
        self.simulation = simulation
        self.incarnation = f'daemon-{index}'
        self.epoch = 0
        self.read_at = float()
        self.append_result = 'ok'
        self.is_dead = False
        self.is_timed_out = False
        self.controller = ClaimsController(
            self, self, clock=float, wall_clock=lambda: 1.0
        )
        self.controller.follower.head_read_at = 0
        self.controller.follower.changed = self  # type: ignore[assignment]
        # The appender's thread doesn't run; closed, it neither waits nor pauses.
        self.controller.appender._closed.set()
        self.filter = ClaimAction(self.controller)

    def __enter__(self) -> None:
        """Replace the follower's condition, since there is only one thread."""

    def __exit__(self, *exc_info: object) -> None:
        """Release nothing, since nothing is locked."""

    def notify_all(self) -> None:
        """Do nothing, since no other thread waits."""

    def wait_for(self, predicate: Callable[[], bool], timeout_s: float) -> bool:
        self.is_timed_out = False
        while not predicate() and not self.is_timed_out and self.simulation.step():
            self.check_alive()
        self.check_alive()
        return predicate()

    def check_alive(self) -> None:
        if self.is_dead:
            raise CrashedError

    def members(self) -> tuple[Member, ...]:
        return tuple(
            Member(one.incarnation, '', '', '') for one in self.simulation.daemons
        )

    def is_owner(self, resource_key: str) -> bool:
        return False

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        self.simulation.covered.add(f'append {self.append_result}')
        if self.append_result == 'refused':
            raise LogError('refused', step=_STEP)
        if self.append_result == 'late':
            self.simulation.late_batches.append(tuple(bodies))
        if self.append_result in {'ok', 'lost'}:
            self.simulation.records.extend(bodies)
        if self.append_result != 'ok':
            raise AppendUnknownError(self.append_result, step=_STEP)
        return 0

    def append_next(self, append_result: str) -> None:
        self.append_result = append_result
        batch = self.controller.appender._next_batch()
        if batch:
            self.controller.appender._append(batch)

    def follow(self, count: int) -> None:
        fold = self.controller.follower.fold
        start = fold.next_offset
        for body in self.simulation.records[start : start + count]:
            fold.apply(LogRecord(fold.next_offset, body))


class Simulation:
    """The log, the daemons, the service and the responses to the callers."""

    def __init__(self, daemons: int, script: list[tuple]) -> None:
        self.script = list(reversed(script))
        self.records: list[bytes] = []
        self.late_batches: list[tuple[bytes, ...]] = []
        self.executions: Counter[str] = Counter()
        self.executions_by_request: Counter[int] = Counter()
        self.responses: list[tuple[int, str, Any]] = []
        self.covered: set[str] = set()
        self.requests = 0
        self.nested_requests = 0
        self.daemons = [SimulatedDaemon(self, index) for index in range(daemons)]

    def play(self) -> None:
        has_next = True
        while has_next:
            has_next = self.step()

    def step(self) -> bool:
        if not self.script:
            return False
        name, *arguments = self.script.pop()
        if arguments and self.daemons[arguments[0]].is_dead:
            return True
        getattr(self, name)(*arguments)
        return True

    def append(self, daemon: int, append_result: str) -> None:
        self.daemons[daemon].append_next(append_result)

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
        if self.late_batches:
            self.covered.add('late record landed')
            self.records.extend(self.late_batches.pop(0))

    def time_out(self, daemon: int) -> None:
        self.daemons[daemon].is_timed_out = True

    def take_over(self, daemon: int, target: int) -> None:
        successor, departed = self.daemons[daemon], self.daemons[target].incarnation
        self.covered.add('takeover')
        successor.controller.appender.put(
            TakeoverRecord(
                incarnation=successor.incarnation,
                written_at=1,
                departed=departed,
                epoch=1,
            )
        )

    def crash(self, daemon: int) -> None:
        self.covered.add('crash')
        self.daemons[daemon].is_dead = True

    def request(self, daemon: int, key: str, body: bytes, call_result: str) -> None:
        if self.nested_requests >= _MAX_NESTED_REQUESTS:
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
            _NO_DEADLINE,
            idempotency_key=key,
            route='release',
        )
        self.nested_requests += 1
        try:
            answer = self.daemons[daemon].filter(
                Exchange(caller, route=_ROUTE),
                lambda exchange: self.send(daemon, exchange, call_result),
            )
        except PimentohoistError as error:
            self.responses.append((number, key, error))
        except CrashedError:
            self.responses.append((number, key, 'crashed'))
        else:
            self.responses.append((number, key, b''.join(answer.body)))
            is_replay = bool(answer.headers)
            self.covered.add('replay' if is_replay else 'run')
        finally:
            self.nested_requests -= 1

    def send(self, daemon: int, exchange: Exchange, call_result: str) -> CallerResponse:
        # The daemon may stall between the read-back and the call, and again after it.
        self.step()
        self.step()
        if call_result == 'crash before':
            self.crash(daemon)
        self.daemons[daemon].check_alive()
        if call_result == 'no connection':
            self.covered.add('release')
            raise PeerConnectError(call_result, step=_STEP)
        exchange.is_sent = True
        if call_result != 'dropped':
            self.executions[exchange.request.idempotency_key] += 1
            self.executions_by_request[int(exchange.request.request_id)] += 1
        self.step()
        if call_result == 'crash after':
            self.crash(daemon)
        self.daemons[daemon].check_alive()
        if call_result != 'answered':
            raise PeerError(call_result, step=_STEP)
        body = f'entry of {exchange.request.request_id}'
        return CallerResponse(201, 'text/plain', [body.encode()])

    def check(self) -> None:
        assert all(count <= 1 for count in self.executions.values()), self.executions
        for number, key, response in self.responses:
            self._check_response(number, key, response)
        self._append_remaining()
        folds = [self._read_all(daemon) for daemon in self.daemons]
        assert all(fold.claims == folds[0].claims for fold in folds)
        for key in _KEYS:
            self._check_no_open_claim(key, folds[0])

    def _check_response(self, number: int, key: str, response: Any) -> None:
        if isinstance(response, PimentohoistError):
            names = {
                'action_in_progress': 'in progress',
                'action_outcome_unknown': 'unknown',
                'idempotency_conflict': 'conflict',
            }
            self.covered.add(names.get(response.code, response.code))
            if response.run_state is RunState.NOT_RUN:
                assert not self.executions_by_request[number], (number, response)
        elif isinstance(response, bytes):
            executed_request = int(response.decode().rpartition(' ')[-1])
            assert self.executions_by_request[executed_request] == 1, response
            assert self.executions[key] == 1, response

    def _append_remaining(self) -> None:
        while self.late_batches:
            self.land()
        for daemon in self.daemons:
            while not daemon.is_dead and len(daemon.controller.appender.queue):
                daemon.append_next('ok')

    def _read_all(self, daemon: SimulatedDaemon) -> ClaimsFold:
        daemon.follow(len(self.records))
        return daemon.controller.follower.fold

    def _check_no_open_claim(self, key: str, fold: ClaimsFold) -> None:
        """Check that no live daemon leaves a claim open."""
        dead = {daemon.incarnation for daemon in self.daemons if daemon.is_dead}
        for claim in fold.claims.values():
            if claim.incarnation not in dead:
                assert claim.state in {ClaimState.ANSWERED, ClaimState.UNKNOWN}, claim
