"""State of the daemon's roles at a size, and one step of each, for ``capacity``."""

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

_SLOTS = 8
_KNEE_REQUESTS = 16
_DEADLINE_S = 60.0
_SERVICE_S = 0.5
_REQUEST_TOKENS = 200
_RATE_TOKENS_PER_S = 1000
_BURST_TOKENS = 1_000_000
_ANSWER = b'{"entry": 12, "status": "booked"}'
_ID_DIGITS = 32
_INCARNATION = 'entry-123-0123456789ab'
_EPOCH = 10_000
_STREAMS = ('view', 'configuration')
_WITNESSES = 7
_NEIGHBOURS = 3
_TICK_S = 0.4
# Frames, pseudo-headers and trailers of a call on an open connection are not in these.


def build_endpoints(size: int) -> list[EndpointState]:
    """Return the states of so many engines, each with all but one place taken."""
    states = [EndpointState(_SLOTS, _KNEE_REQUESTS) for _ in range(size)]
    for state in states:
        now = time.monotonic()
        state.admission.settled_at = now
        for slot in range(_SLOTS):
            state.begin_load(_adapter(slot), now)
            state.end_load(_adapter(slot), is_loaded=True, now=now)
        for number in range(_KNEE_REQUESTS - 1):
            state.offer(_waiting(f'held-{number}', number), now)
        state.dispatch(now)
    return states


def run_request(states: list[EndpointState], number: int) -> None:
    """Queue, start and end a request at one engine."""
    state = states[number % len(states)]
    entry = _waiting(f'request-{number}', number)
    state.offer(entry, entry.arrived_at)
    state.dispatch(entry.arrived_at)
    state.release(entry.request_id, _SERVICE_S, has_failed=False)


def _adapter(number: int) -> AdapterVersion:
    return AdapterVersion(f'adapter-{number % _SLOTS}', 1)


def _waiting(request_id: str, number: int) -> QueuedRequest:
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
    """Return the shares of so many workspaces, all on one daemon."""
    now = time.monotonic()
    limits = (
        ShareLimit.of(_RATE_TOKENS_PER_S, _BURST_TOKENS, share)
        for _ in range(size)
        for share in range(SHARES_PER_WORKSPACE)
    )
    return [ShareBucket(limit, ShareState(limit.burst_tokens), now) for limit in limits]


def grant_tokens(shares: list[ShareBucket], number: int) -> None:
    """Grant tokens from one share and take in that they were spent."""
    share = shares[number % len(shares)]
    now = time.monotonic()
    share.advance(now, 0)
    grant = share.grant(GrantOrder(f'{number:0{_ID_DIGITS}}', _REQUEST_TOKENS), now)
    use = GrantUse(grant.grant_id, grant.tokens, is_closed=True)
    share.record_uses((use,), now)


def build_claims(size: int) -> ClaimsFold:
    """Return a fold that holds so many answered claims."""
    fold = ClaimsFold()
    for number in range(size):
        apply_claim(fold, number)
    return fold


def apply_claim(fold: ClaimsFold, number: int) -> None:
    """Apply a new claim and its outcome."""
    offset = fold.next_offset
    for place, body in enumerate(_claim_bodies(offset), offset):
        fold.apply(LogRecord(place, body))


def _claim_bodies(offset: int) -> tuple[bytes, bytes]:
    names = {
        'incarnation': _INCARNATION,
        'written_at': 1,
        'action': f'{offset:0{_ID_DIGITS}}',
        'claim_id': f'{offset:0{_ID_DIGITS}x}',
    }
    claim = ClaimRecord.model_validate({**names, 'digest': '0' * _ID_DIGITS})
    outcome = OutcomeRecord.model_validate(
        {**names, 'status': 201, 'content_type': 'application/json'}
    )
    outcome = outcome.model_copy(update={'body': _ANSWER})
    return claim.model_dump_json().encode(), outcome.model_dump_json().encode()


def message_rows(members: int) -> Iterator[str]:
    """Yield the bytes of heartbeats and witnesses' answers at so many members."""
    sender = peer_pb2.Sender(incarnation=_INCARNATION, epoch=_EPOCH)
    positions = [
        peer_pb2.StreamPosition(stream=stream, next_offset=_EPOCH)
        for stream in _STREAMS
    ]
    heartbeat = peer_pb2.HeartbeatRequest(sender=sender).ByteSize() * 2
    witness = (
        peer_pb2.WitnessRequest(sender=sender, positions=positions).ByteSize()
        + peer_pb2.WitnessReply(
            sender=sender, positions=positions, fenced_epoch=_EPOCH
        ).ByteSize()
    )
    neighbours = min(_NEIGHBOURS, members - 1)
    asked = min(_WITNESSES, members - 1)
    yield _message_row('heartbeat', members, heartbeat, neighbours / _TICK_S)
    # All members ask, each the same witnesses, once the log has not answered for 1 s.
    yield _message_row('witness asked, log down', members, witness, asked / _TICK_S)
    answers = (members - 1) / _TICK_S
    yield _message_row('witness answering, log down', members, witness, answers)


def _message_row(role: str, members: int, size: int, calls_per_s: float) -> str:
    rate = f'{calls_per_s:.1f} | {size * calls_per_s:.0f}'
    return f'| {role} | {members} members | {size} | {rate} |'
