"""Filter that claims an action before it is sent, so that it executes at most once."""

from __future__ import annotations

import logging
from dataclasses import replace

from pimentohoist._claims_fold import ClaimRecord, StoredResponse
from pimentohoist._controllers.claims import Action, ClaimsController
from pimentohoist._decisions.claims import action_id, request_digest
from pimentohoist.exceptions import (
    AnswerNotKeptError,
    InvalidRequestError,
    PeerError,
    PimentohoistError,
    RunState,
)
from pimentohoist.exchanges import CallerResponse, Exchange
from pimentohoist.protocols import Handler

_STEP = 'claim'
_logger = logging.getLogger(__name__)
_MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
_REPLAYED_HEADER = 'Idempotency-Replayed'


class ClaimAction:
    """Implements `Filter`; passes idempotent requests on without a claim."""

    def __init__(self, claims: ClaimsController) -> None:
        self.claims = claims

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Execute the action if its claim is the first, else replay the stored response."""
        if exchange.route is None or exchange.route.is_idempotent:
            return proceed(exchange)
        claim = self.claims.claim(_action(exchange), exchange.request.deadline)
        if isinstance(claim, StoredResponse):
            return _replayed_response(claim)
        return self._execute(claim, exchange, proceed)

    def _execute(
        self, claim: ClaimRecord, exchange: Exchange, proceed: Handler
    ) -> CallerResponse:
        try:
            response, body = _read_whole(proceed(exchange))
        except Exception as error:
            if not exchange.is_sent:
                self.claims.release(claim)
                raise
            self.claims.record_unknown_outcome(claim)
            raise _unknown_outcome_error(error) from None
        self.claims.record_response(
            claim, StoredResponse(response.status, response.content_type, body)
        )
        return response


def _action(exchange: Exchange) -> Action:
    request = exchange.request
    if not 1 <= len(request.idempotency_key) <= _MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise InvalidRequestError(
            'Idempotency-Key: this route is not idempotent; expected 1 to '
            f'{_MAX_IDEMPOTENCY_KEY_CHARACTERS} characters, got '
            f'{len(request.idempotency_key)}',
            step=_STEP,
        )
    workspace = exchange.workspace.name if exchange.workspace else ''
    return Action(
        action_id(workspace, request.route, request.idempotency_key),
        request_digest(
            request.method, request.path, request.content_type, request.body
        ),
    )


def _read_whole(response: CallerResponse) -> tuple[CallerResponse, bytes]:
    try:
        body = b''.join(response.body)
    finally:
        getattr(response.body, 'close', _do_nothing)()
    return replace(response, body=[body]), body


def _do_nothing() -> None:
    """Stand in for the close method of a body that has none."""


def _replayed_response(stored: StoredResponse) -> CallerResponse:
    if stored.body is None:
        raise AnswerNotKeptError(
            f'the action has been executed with status {stored.status}, but its '
            'response was too large to be stored',
            step=_STEP,
        )
    return CallerResponse(
        stored.status, stored.content_type, [stored.body], {_REPLAYED_HEADER: 'true'}
    )


def _unknown_outcome_error(error: Exception) -> PimentohoistError:
    """Return an error that does not say that the action was not executed."""
    if isinstance(error, PimentohoistError) and error.run_state is RunState.UNKNOWN:
        return error
    _logger.error(
        'action ended with an unknown outcome', exc_info=error, extra={'step': _STEP}
    )
    peer = getattr(error, 'peer', '')
    return PeerError(f'outcome unknown: {error}', step=_STEP, peer=peer)
