"""Benchmark of claims: rate, latency and sizes.

Claims are appended in batches or alone, by each daemon itself or by one owner.
"""

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
_LOAD_S = 4.0
_DEADLINE_S = 60.0
_OWNER_PORT = 8002
_PEER_TIMEOUT_S = 10.0
_MAX_US = 60_000_000
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_MEDIAN = 50
_TAIL = 99
_RESPONSE_BODY = b'{"entry": 1147, "lot": "lipstick"}'
_CALLER_THREADS = 16
_CLAIM_COUNTS = (2000, 4000, 8000)

Claimant = Callable[[Action], None]


@dataclass(frozen=True, slots=True)
class Load:
    """The load of one run.

    Attributes
    ----------
    daemons : int
        Daemons that claim.
    threads : int
        Concurrent requests at each daemon.
    by_owner : bool
        Whether one owner claims for all daemons, instead of each for itself.
    """

    daemons: int
    threads: int
    max_batch_records: int = MAX_BATCH_RECORDS
    by_owner: bool = False


class _SingleMemberView:
    """A view whose only member is this daemon, without departed members."""

    epoch = 1
    read_at = float()

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation

    def members(self) -> tuple[Member, ...]:
        """Return this daemon."""
        return (Member(self.incarnation, '', '', ''),)

    def is_owner(self, resource_key: str) -> bool:
        """Return False, so that nothing is taken over."""
        return False


def main() -> None:
    """Print the tables of claims."""
    loads = (
        Load(1, 1),
        Load(3, 1),
        Load(3, _CALLER_THREADS, max_batch_records=1),
        Load(3, _CALLER_THREADS),
        Load(3, _CALLER_THREADS, by_owner=True),
        Load(7, _CALLER_THREADS),
        Load(7, _CALLER_THREADS, by_owner=True),
    )
    _write_line(
        '| daemons | at once | batched | way | actions/s | p50 ms | p99 ms | appends |'
    )
    _write_line('|---|---|---|---|---|---|---|---|')
    for load in loads:
        _write_line(_measure(load))
    _write_line('')
    _write_line(
        '| claims | stream bytes/claim | snapshot bytes/claim | memory bytes/claim |'
    )
    _write_line('|---|---|---|---|')
    for size in _CLAIM_COUNTS:
        _write_line(_measure_size(size))


def _measure(load: Load) -> str:
    histogram = HdrHistogram(1, _MAX_US, 3)
    with Fleet() as fleet, _claimants(fleet, load) as (claimants, controllers):
        deadline = time.monotonic() + _LOAD_S
        with ThreadPoolExecutor(load.daemons * load.threads) as pool:
            runs = [
                pool.submit(_claim_until, claimant, deadline)
                for claimant in claimants
                for _ in range(load.threads)
            ]
        for latency_us in itertools.chain.from_iterable(run.result() for run in runs):
            histogram.record_value(latency_us)
        appends = sum(controller.appender.appends for controller in controllers)
    return _row(load, histogram, appends)


def _row(load: Load, histogram: HdrHistogram, appends: int) -> str:
    cells = (
        load.daemons,
        load.threads,
        'yes' if load.max_batch_records > 1 else 'no',
        'by home' if load.by_owner else 'direct',
        round(histogram.get_total_count() / _LOAD_S),
        round(histogram.get_value_at_percentile(_MEDIAN) / _US_PER_MS, 1),
        round(histogram.get_value_at_percentile(_TAIL) / _US_PER_MS, 1),
        appends,
    )
    return f'| {" | ".join(str(cell) for cell in cells)} |'


def _claim_until(claim: Claimant, deadline: float) -> list[int]:
    """Claim new actions one after the other; return the latencies in microseconds."""
    latencies = []
    while time.monotonic() < deadline:
        started_at = time.monotonic()
        claim(_new_action())
        latencies.append(int((time.monotonic() - started_at) * _US_PER_S))
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
            yield _owner_claimants(stack, fleet, load, controllers[0]), controllers
        else:
            yield list(map(_direct_claimant, controllers)), controllers


def _controller(fleet: Fleet, load: Load, index: int) -> ClaimsController:
    return ClaimsController(
        HttpLog(fleet.addresses['log'], timeout_s=_LOG_TIMEOUT_S),
        _SingleMemberView(f'entry-{index}'),
        max_batch_records=load.max_batch_records,
    )


def _direct_claimant(controller: ClaimsController) -> Claimant:
    """Return a claimant that claims and appends the outcome of an answered call."""

    def claim(action: Action) -> None:  # noqa: WPS430 (a claimant is a function)
        held = controller.claim(action, time.monotonic() + _DEADLINE_S)
        if not isinstance(held, ClaimRecord):
            raise PimentohoistError(
                'claim of a new action: expected a claim record, got a stored response',
                step='bench',
            )
        controller.record_response(
            held, StoredResponse(HTTPStatus.CREATED, 'application/json', _RESPONSE_BODY)
        )

    return claim


def _owner_claimants(
    stack: ExitStack, fleet: Fleet, load: Load, owner: ClaimsController
) -> list[Claimant]:
    """Return claimants that call one owner over gRPC, which claims for them."""
    claim_at_owner = _direct_claimant(owner)

    def handle_claim(request: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply:  # noqa: WPS430
        claim_at_owner(Action(request.key, request.request_digest))
        return peer_pb2.ClaimReply(state='run')

    host, _ = split_address(fleet.addresses['log'])
    address = f'{host}:{_OWNER_PORT}'
    stack.enter_context(PeerServer(address, {'Claim': handle_claim}))
    return [
        _peer_claimant(stack.enter_context(PeerClients()), address)
        for _ in range(load.daemons)
    ]


def _peer_claimant(peers: PeerClients, address: str) -> Claimant:
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
        body=_RESPONSE_BODY,
    )
    return claim.model_dump_json().encode(), outcome.model_dump_json().encode()


def _write_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
