"""What a failed attempt says of the request and of its endpoint."""

from __future__ import annotations

from http import HTTPStatus

from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PeerRefusedError,
    PeerTimeoutError,
    PimentohoistError,
    RunState,
    WrongAnswerError,
)
from pimentohoist.protocols import Engine

_FINAL_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
)


def combined(earlier: RunState, error: PimentohoistError, tokens: int) -> RunState:
    """Return what is known of all attempts together, `tokens` having been received."""
    states = {earlier, error.run_state}
    if tokens or RunState.RUN in states:
        return RunState.RUN
    return RunState.UNKNOWN if RunState.UNKNOWN in states else RunState.NOT_RUN


def is_retryable(error: PimentohoistError) -> bool:
    """Return whether another attempt may end otherwise."""
    if isinstance(error, PeerRefusedError):
        return error.peer_status not in _FINAL_STATUSES
    return isinstance(error, PeerError)


def is_cut(error: PeerError) -> bool:
    """Return whether the peer ended the connection under a request that it had."""
    others = PeerConnectError | PeerTimeoutError | PeerRefusedError | WrongAnswerError
    return not isinstance(error, others)


def is_down(engine: Engine) -> bool:
    """Return whether an engine takes no connection or ends it at once."""
    try:
        engine.status()
    except (PeerRefusedError, PeerTimeoutError):
        return False
    except PeerError:
        return True
    return False
