"""Steps on the tokens charged for a repeated action."""

from __future__ import annotations

import time
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context

from pimentohoist._chain import build_handler
from pimentohoist._claims_fold import ClaimRecord, StoredResponse
from pimentohoist._filters.claim import ClaimAction
from pimentohoist._filters.limit import Limit
from pimentohoist.configuration import Route, Workspace
from pimentohoist.exceptions import (
    ActionInProgressError,
    ActionUnknownError,
    PeerError,
    PimentohoistError,
)
from pimentohoist.exchanges import CallerResponse, CallerRequest, Exchange, RequestKind

_JSON = 'application/json'
_CLAIM_OUTCOMES = MappingProxyType(
    {
        'has run before': StoredResponse(200, _JSON, b'{}'),
        'has run, response dropped': StoredResponse(200, _JSON, None),
        'is in progress': ActionInProgressError('in progress', step='claims'),
        'has an unknown outcome': ActionUnknownError('unknown', step='claims'),
    }
)


class FakeLimits:
    """Counts the tokens that are charged and refunded."""

    def __init__(self) -> None:
        self.charged = 0

    def charge(self, workspace: Workspace, tokens: int) -> tuple[int, ...]:
        self.charged += tokens
        return (tokens,)

    def settle(self, workspace: str, charges: tuple[int, ...], unused: int) -> None:
        self.charged -= unused


class FakeClaims:
    """Gives each claim the same predefined outcome."""

    def __init__(self, claim_state: str) -> None:
        self.outcome = _CLAIM_OUTCOMES.get(claim_state)

    def claim(self, action: object, deadline: float) -> ClaimRecord | StoredResponse:
        if isinstance(self.outcome, PimentohoistError):
            raise self.outcome
        return self.outcome or ClaimRecord(
            action='a', claim_id='c', digest='d', incarnation='i', written_at=1
        )

    def record_response(self, claim: ClaimRecord, answer: StoredResponse) -> None:
        """Store nothing."""

    def record_unknown_outcome(self, claim: ClaimRecord) -> None:
        """Store nothing."""


@given('a route of {cost:d} tokens whose action {claim_state}')
def start_action(context: Context, cost: int, claim_state: str) -> None:
    def call(exchange: Exchange) -> CallerResponse:
        exchange.is_sent = True
        if claim_state.endswith('lost'):
            raise PeerError('no answer', step='service', peer='127.0.0.1:1')
        return CallerResponse(200, _JSON, [b'{}'])

    context.limits = FakeLimits()
    filters = (Limit(context.limits), ClaimAction(FakeClaims(claim_state)))
    context.handler = build_handler(filters, call)
    context.exchange = Exchange(
        CallerRequest(
            'r',
            RequestKind.SERVICE,
            'POST',
            path='/',
            authorization='',
            body=b'{}',
            content_type=_JSON,
            deadline=time.monotonic() + 1,
            idempotency_key='lot',
        ),
        workspace=Workspace('house', 1, 10),
        route=Route('release', 'ledger', is_idempotent=False),
        cost_tokens=cost,
    )


@when('the action is called')
def call_action(context: Context) -> None:
    try:
        answer = context.handler(context.exchange)
    except PimentohoistError:
        return
    assert b''.join(answer.body) == b'{}'
    answer.body.close()


@then('the workspace is charged {tokens:d} tokens')
def check_charged(context: Context, tokens: int) -> None:
    assert context.limits.charged == tokens, context.limits.charged
