"""Classification of failed attempts: run state, retryability, endpoint state."""

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


def combined_run_state(
    earlier: RunState, error: PimentohoistError, tokens: int
) -> RunState:
    """Return the run state of all attempts together.

    Parameters
    ----------
    earlier : RunState
        Run state of the previous attempts together.
    tokens : int
        Tokens received from all attempts.
    """
    states = {earlier, error.run_state}
    if tokens or RunState.RUN in states:
        return RunState.RUN
    return RunState.UNKNOWN if RunState.UNKNOWN in states else RunState.NOT_RUN


def is_retryable(error: PimentohoistError) -> bool:
    """Return whether another attempt may succeed."""
    if isinstance(error, PeerRefusedError):
        return error.peer_status not in _FINAL_STATUSES
    return isinstance(error, PeerError)


def is_connection_lost(error: PeerError) -> bool:
    """Return whether the peer closed the connection after it had received the request."""
    other_failures = (
        PeerConnectError | PeerTimeoutError | PeerRefusedError | WrongAnswerError
    )
    return not isinstance(error, other_failures)


def is_engine_down(engine: Engine) -> bool:
    """Return whether an engine accepts no connection or closes it at once."""
    try:
        engine.status()
    except (PeerRefusedError, PeerTimeoutError):
        return False
    except PeerError:
        return True
    return False
