"""Measures claims: rate and latency, batched or not, direct or by a home, and sizes."""

from __future__ import annotations

import itertools
import sys
import time
import tracemalloc
import uuid
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from http import HTTPStatus

from hdrh.histogram import HdrHistogram

from pimentohoist._addresses import split_address
from pimentohoist._claims_fold import (
    ClaimRecord,
    ClaimsFold,
    OutcomeRecord,
    StoredResponse,
)
from pimentohoist._controllers.claims import Action, ClaimsController
from pimentohoist._decisions.claims import (
    MAX_BATCH_RECORDS,
    action_id,
    request_digest,
)
from pimentohoist._generated import peer_pb2
from pimentohoist._peers import PeerClients, PeerServer
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.models import LogRecord, Member
from pimentohoist_standins.fleet import Fleet

_LOG_TIMEOUT_S = 2.0
_RUN_S = 4.0
_DEADLINE_S = 60.0
_OWNER_PORT = 8002
_PEER_TIMEOUT_S = 10.0
_MAX_US = 60_000_000
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_MEDIAN = 50
_HIGH = 99
_ANSWER = b'{"entry": 1147, "lot": "lipstick"}'
_AT_ONCE = 16
_SIZES = (2000, 4000, 8000)

Claimant = Callable[[Action], None]


@dataclass(frozen=True, slots=True)
class Load:
    """One run: daemons that claim, requests at once at each, and the way of claiming."""

    daemons: int
    threads: int
    max_batch_records: int = MAX_BATCH_RECORDS
    by_owner: bool = False


class _Alone:
    """A view that has every daemon of the run as a member and no departed ones."""

    epoch = 1
    read_at = float()

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation

    def members(self) -> tuple[Member, ...]:
        """Return this daemon."""
        return (Member(self.incarnation, '', '', ''),)

    def is_owner(self, resource_key: str) -> bool:
        """Take nothing over."""
        return False


def main() -> None:
    """Print the tables of claims."""
    loads = (
        Load(1, 1),
        Load(3, 1),
        Load(3, _AT_ONCE, max_batch_records=1),
        Load(3, _AT_ONCE),
        Load(3, _AT_ONCE, by_owner=True),
        Load(7, _AT_ONCE),
        Load(7, _AT_ONCE, by_owner=True),
    )
    _say(
        '| daemons | at once | batched | way | actions/s | p50 ms | p99 ms | appends |'
    )
    _say('|---|---|---|---|---|---|---|---|')
    for load in loads:
        _say(_measure(load))
    _say('')
    _say('| claims | stream bytes/claim | snapshot bytes/claim | memory bytes/claim |')
    _say('|---|---|---|---|')
    for size in _SIZES:
        _say(_measure_size(size))


def _measure(load: Load) -> str:
    histogram = HdrHistogram(1, _MAX_US, 3)
    with Fleet() as fleet, _claimants(fleet, load) as (claimants, controllers):
        deadline = time.monotonic() + _RUN_S
        with ThreadPoolExecutor(load.daemons * load.threads) as pool:
            runs = [
                pool.submit(_run, claimant, deadline)
                for claimant in claimants
                for _ in range(load.threads)
            ]
        for latency_us in itertools.chain.from_iterable(run.result() for run in runs):
            histogram.record_value(latency_us)
        appends = sum(one.appender.appends for one in controllers)
    return _row(load, histogram, appends)


def _row(load: Load, histogram: HdrHistogram, appends: int) -> str:
    cells = (
        load.daemons,
        load.threads,
        'yes' if load.max_batch_records > 1 else 'no',
        'by home' if load.by_owner else 'direct',
        round(histogram.get_total_count() / _RUN_S),
        round(histogram.get_value_at_percentile(_MEDIAN) / _US_PER_MS, 1),
        round(histogram.get_value_at_percentile(_HIGH) / _US_PER_MS, 1),
        appends,
    )
    return f'| {" | ".join(str(cell) for cell in cells)} |'


def _run(claim: Claimant, deadline: float) -> list[int]:
    """Claim new actions one after the other and return the latencies."""
    latencies = []
    while time.monotonic() < deadline:
        asked_at = time.monotonic()
        claim(_new_action())
        latencies.append(int((time.monotonic() - asked_at) * _US_PER_S))
    return latencies


def _new_action() -> Action:
    return Action(
        action_id('lipstick-house', 'release', uuid.uuid4().hex),
        request_digest('POST', '/lots', 'application/json', b'{}'),
    )


@contextmanager
def _claimants(
    fleet: Fleet, load: Load
) -> Iterator[tuple[list[Claimant], list[ClaimsController]]]:
    with ExitStack() as stack:
        count = 1 if load.by_owner else load.daemons
        controllers = [
            stack.enter_context(_controller(fleet, load, index))
            for index in range(count)
        ]
        for controller in controllers:
            controller.follower.wait_until_head_read(_PEER_TIMEOUT_S)
        if load.by_owner:
            yield _by_owner(stack, fleet, load, controllers[0]), controllers
        else:
            yield list(map(_direct, controllers)), controllers


def _controller(fleet: Fleet, load: Load, index: int) -> ClaimsController:
    return ClaimsController(
        HttpLog(fleet.addresses['log'], timeout_s=_LOG_TIMEOUT_S),
        _Alone(f'entry-{index}'),
        max_batch_records=load.max_batch_records,
    )


def _direct(controller: ClaimsController) -> Claimant:
    """Claim, and append an outcome as after an answered call."""

    def claim(action: Action) -> None:  # noqa: WPS430 (a claimant is a function)
        held = controller.claim(action, time.monotonic() + _DEADLINE_S)
        if not isinstance(held, ClaimRecord):
            raise PimentohoistError('a new action had an answer', step='bench')
        controller.answer(
            held, StoredResponse(HTTPStatus.CREATED, 'application/json', _ANSWER)
        )

    return claim


def _by_owner(
    stack: ExitStack, fleet: Fleet, load: Load, owner: ClaimsController
) -> list[Claimant]:
    """Return claimants that ask one home over gRPC, which claims for them."""
    claim_at_owner = _direct(owner)

    def answer(request: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply:  # noqa: WPS430
        claim_at_owner(Action(request.key, request.request_digest))
        return peer_pb2.ClaimReply(state='run')

    host, _ = split_address(fleet.addresses['log'])
    address = f'{host}:{_OWNER_PORT}'
    stack.enter_context(PeerServer(address, {'Claim': answer}))
    return [
        _asking(stack.enter_context(PeerClients()), address)
        for _ in range(load.daemons)
    ]


def _asking(peers: PeerClients, address: str) -> Claimant:
    def claim(action: Action) -> None:  # noqa: WPS430 (a claimant is a function)
        request = peer_pb2.ClaimRequest(
            key=action.action_id, request_digest=action.digest
        )
        peers.call(address, 'Claim', request, timeout_s=_PEER_TIMEOUT_S)

    return claim


def _measure_size(size: int) -> str:
    bodies = [body for _ in range(size) for body in _records()]
    fold = ClaimsFold()
    tracemalloc.start()
    for offset, body in enumerate(bodies):
        fold.apply(LogRecord(offset, body))
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    stream = sum(map(len, bodies))
    sizes = (stream, len(fold.snapshot()), memory)
    cells = (size, *(round(count / size) for count in sizes))
    return f'| {" | ".join(str(cell) for cell in cells)} |'


def _records() -> tuple[bytes, bytes]:
    action = _new_action()
    claim = ClaimRecord(
        incarnation='entry-1-0123456789ab',
        written_at=time.time(),
        action=action.action_id,
        claim_id=uuid.uuid4().hex,
        digest=action.digest,
    )
    outcome = OutcomeRecord(
        incarnation=claim.incarnation,
        written_at=claim.written_at,
        action=claim.action,
        claim_id=claim.claim_id,
        status=HTTPStatus.CREATED,
        content_type='application/json',
        body=_ANSWER,
    )
    return claim.model_dump_json().encode(), outcome.model_dump_json().encode()


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
