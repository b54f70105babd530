"""Encodes and decodes what calls of `HoldAdapter` say of waiting requests."""

from __future__ import annotations

from pimentohoist._decisions.waiting_order import ExpectedWork, RequestNeeds
from pimentohoist._generated import peer_pb2
from pimentohoist.exceptions import (
    NotOwnerError,
    PimentohoistError,
    UnavailableError,
    WaitRefusedError,
)

_STEP = 'hold_adapter'
_MS_PER_S = 1000
_MIN_KNOWN_WAIT_MS = 1


def encode_needs(
    needs: RequestNeeds, now: float, request: peer_pb2.HoldRequest
) -> None:
    """Add the needs of a request, with times relative to `now`, to a call."""
    request.priority = needs.priority
    request.target_ms = int((needs.target_at - now) * _MS_PER_S)
    request.deadline_ms = int((needs.deadline_at - now) * _MS_PER_S)
    request.prompt_tokens = needs.work.prompt_tokens
    request.output_tokens = needs.work.output_tokens
    request.spent_tokens = needs.spent_tokens
    request.workspace = needs.workspace


def decode_needs(request: peer_pb2.HoldRequest, now: float) -> RequestNeeds | None:
    """Return the needs that a call names; None if it is of a build that names none."""
    if not request.HasField('priority'):
        return None
    return RequestNeeds(
        request.priority,
        now + request.target_ms / _MS_PER_S,
        now + request.deadline_ms / _MS_PER_S,
        ExpectedWork(request.prompt_tokens, request.output_tokens),
        request.workspace,
        request.spent_tokens,
    )


def encode_refusal(error: PimentohoistError) -> peer_pb2.HoldReply:
    """Return the reply that tells why an adapter isn't pinned."""
    wait_s = error.retry_after_s
    return peer_pb2.HoldReply(
        refusal=error.message,
        is_no_home=isinstance(error, NotOwnerError),
        expected_wait_ms=0
        if wait_s is None
        else max(_MIN_KNOWN_WAIT_MS, int(wait_s * _MS_PER_S)),
        wait_refusal=error.reason if isinstance(error, WaitRefusedError) else '',
    )


def decode_refusal(reply: peer_pb2.HoldReply, address: str) -> PimentohoistError:
    """Return the error that a reply stands for."""
    if reply.is_no_home:
        return NotOwnerError(reply.refusal, step=_STEP, peer=address)
    wait_ms = reply.expected_wait_ms
    wait_s = wait_ms / _MS_PER_S if wait_ms else None
    if reply.wait_refusal:
        return WaitRefusedError(
            reply.refusal,
            step=_STEP,
            peer=address,
            retry_after_s=wait_s,
            reason=reply.wait_refusal,
        )
    return UnavailableError(
        reply.refusal, step=_STEP, peer=address, retry_after_s=wait_s
    )
