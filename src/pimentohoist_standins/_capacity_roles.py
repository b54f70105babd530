"""Probes of the endpoint owner, share owner and claims roles, and message sizes."""

from __future__ import annotations

import time
from collections.abc import Iterator

from pimentohoist._claims_fold import ClaimRecord, ClaimsFold, OutcomeRecord
from pimentohoist._decisions.endpoint import EndpointState
from pimentohoist._decisions.queue import QueuedRequest
from pimentohoist._decisions.shares import (
    SHARES_PER_WORKSPACE,
    GrantOrder,
    GrantUse,
    ShareBucket,
    ShareLimit,
    ShareState,
)
from pimentohoist._generated import peer_pb2
from pimentohoist.models import AdapterVersion, LogRecord

_ADAPTER_SLOTS = 8
_KNEE_REQUESTS = 16
_DEADLINE_S = 60.0
_SERVICE_S = 0.5
_REQUEST_TOKENS = 200
_RATE_TOKENS_PER_S = 1000
_BURST_TOKENS = 1_000_000
_RESPONSE_BODY = b'{"entry": 12, "status": "booked"}'
_ID_DIGITS = 32
_INCARNATION = 'entry-123-0123456789ab'
_EPOCH = 10_000
_LOG_STREAMS = ('view', 'configuration')
_WITNESS_COUNT = 7
_NEIGHBOUR_COUNT = 3
_TICK_INTERVAL_S = 0.4
# Message sizes leave out the frames, pseudo-headers and trailers of a gRPC call on an
# open connection.


def build_endpoints(size: int) -> list[EndpointState]:
    """Return `size` engine states, each with all but one place below the knee taken."""
    states = [EndpointState(_ADAPTER_SLOTS, _KNEE_REQUESTS) for _ in range(size)]
    for state in states:
        now = time.monotonic()
        state.admission.settled_at = now
        for slot in range(_ADAPTER_SLOTS):
            state.begin_load(_adapter(slot), now)
            state.end_load(_adapter(slot), is_loaded=True, now=now)
        for number in range(_KNEE_REQUESTS - 1):
            state.enqueue(_queued_request(f'held-{number}', number), now)
        state.dispatch(now)
    return states


def run_request(states: list[EndpointState], number: int) -> None:
    """Queue, start and end a request at one engine."""
    state = states[number % len(states)]
    entry = _queued_request(f'request-{number}', number)
    state.enqueue(entry, entry.arrived_at)
    state.dispatch(entry.arrived_at)
    state.release(entry.request_id, _SERVICE_S, has_failed=False)


def _adapter(number: int) -> AdapterVersion:
    return AdapterVersion(f'adapter-{number % _ADAPTER_SLOTS}', 1)


def _queued_request(request_id: str, number: int) -> QueuedRequest:
    now = time.monotonic()
    return QueuedRequest(
        request_id,
        'house',
        _adapter(number),
        _REQUEST_TOKENS,
        is_urgent=False,
        deadline=now + _DEADLINE_S,
        arrived_at=now,
    )


def build_shares(size: int) -> list[ShareBucket]:
    """Return the shares of `size` workspaces, all owned by one daemon."""
    now = time.monotonic()
    limits = (
        ShareLimit.of(_RATE_TOKENS_PER_S, _BURST_TOKENS, share)
        for _ in range(size)
        for share in range(SHARES_PER_WORKSPACE)
    )
    return [ShareBucket(limit, ShareState(limit.burst_tokens), now) for limit in limits]


def grant_tokens(shares: list[ShareBucket], number: int) -> None:
    """Grant tokens from one share and record their use."""
    share = shares[number % len(shares)]
    now = time.monotonic()
    share.advance(now, 0)
    grant = share.grant(GrantOrder(f'{number:0{_ID_DIGITS}}', _REQUEST_TOKENS), now)
    use = GrantUse(grant.grant_id, grant.tokens, is_closed=True)
    share.record_uses((use,), now)


def build_claims(size: int) -> ClaimsFold:
    """Return a claims fold with `size` claims that have an outcome."""
    fold = ClaimsFold()
    for number in range(size):
        apply_claim(fold, number)
    return fold


def apply_claim(fold: ClaimsFold, number: int) -> None:
    """Apply a new claim and its outcome."""
    offset = fold.next_offset
    for record_offset, body in enumerate(_claim_bodies(offset), offset):
        fold.apply(LogRecord(record_offset, body))


def _claim_bodies(offset: int) -> tuple[bytes, bytes]:
    shared_fields = {
        'incarnation': _INCARNATION,
        'written_at': 1,
        'action': f'{offset:0{_ID_DIGITS}}',
        'claim_id': f'{offset:0{_ID_DIGITS}x}',
    }
    claim = ClaimRecord.model_validate({**shared_fields, 'digest': '0' * _ID_DIGITS})
    outcome = OutcomeRecord.model_validate(
        {**shared_fields, 'status': 201, 'content_type': 'application/json'}
    )
    outcome = outcome.model_copy(update={'body': _RESPONSE_BODY})
    return claim.model_dump_json().encode(), outcome.model_dump_json().encode()


def message_rows(members: int) -> Iterator[str]:
    """Yield the rows of heartbeat and witness messages at a number of members."""
    sender = peer_pb2.Sender(incarnation=_INCARNATION, epoch=_EPOCH)
    positions = [
        peer_pb2.StreamPosition(stream=stream, next_offset=_EPOCH)
        for stream in _LOG_STREAMS
    ]
    heartbeat_bytes = peer_pb2.HeartbeatRequest(sender=sender).ByteSize() * 2
    witness_bytes = (
        peer_pb2.WitnessRequest(sender=sender, positions=positions).ByteSize()
        + peer_pb2.WitnessReply(
            sender=sender, positions=positions, fenced_epoch=_EPOCH
        ).ByteSize()
    )
    neighbours = min(_NEIGHBOUR_COUNT, members - 1)
    witnesses = min(_WITNESS_COUNT, members - 1)
    yield _message_row(
        'heartbeat', members, heartbeat_bytes, neighbours / _TICK_INTERVAL_S
    )
    # Every member calls the same witnesses once the log has not responded for 1 s.
    yield _message_row(
        'witness asked, log down', members, witness_bytes, witnesses / _TICK_INTERVAL_S
    )
    replies_per_s = (members - 1) / _TICK_INTERVAL_S
    yield _message_row(
        'witness answering, log down', members, witness_bytes, replies_per_s
    )


def _message_row(role: str, members: int, size: int, calls_per_s: float) -> str:
    rate = f'{calls_per_s:.1f} | {size * calls_per_s:.0f}'
    return f'| {role} | {members} members | {size} | {rate} |'
