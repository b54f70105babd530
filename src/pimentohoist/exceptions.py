"""Errors of the package, all below one root.

Each error names the step of a request or of a controller at which it arose and the
peer that was involved, so that a log line or an answer can be traced without a stack.
"""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from typing import ClassVar


class RunState(StrEnum):
    """What is known of a refused or failed request's execution."""

    NOT_RUN = 'not_run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class PimentohoistError(Exception):
    """Root of all errors.

    Parameters
    ----------
    message : str
        What went wrong, for a person.
    step : str
        Name of the filter, controller or command where the error arose.
    peer : str
        Address or name of the other side; empty if there is none.
    retry_after_s : float or None
        Seconds after which a retry is sensible; None if it is not.
    """

    code: ClassVar[str] = 'internal_error'
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    run_state: RunState = RunState.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        place = f'{self.step}, peer {self.peer}' if self.peer else self.step
        return f'{self.message} [{place}]'


class SettingsError(PimentohoistError):
    """The settings file is missing, unreadable or has faults."""

    code = 'invalid_settings'


class ConfigurationError(PimentohoistError):
    """A configuration text has faults; ``faults`` lists every one."""

    code = 'invalid_configuration'
    status = HTTPStatus.BAD_REQUEST

    def __init__(self, faults: tuple[str, ...], *, step: str) -> None:
        super().__init__('; '.join(faults), step=step)
        self.faults = faults


class DocumentError(PimentohoistError):
    """A record or a report of the platform can't be decoded."""

    code = 'broken_document'


class PublishConflictError(PimentohoistError):
    """A section changed since the publish read it; ``sections`` names them."""

    code = 'publish_conflict'
    status = HTTPStatus.CONFLICT

    def __init__(self, sections: tuple[str, ...], *, step: str) -> None:
        super().__init__(f'changed meanwhile: {", ".join(sections)}', step=step)
        self.sections = sections


class InvalidRequestError(PimentohoistError):
    """The caller's request is malformed."""

    code = 'invalid_request'
    status = HTTPStatus.BAD_REQUEST


class OversizedRequestError(InvalidRequestError):
    """The caller's request body is larger than allowed."""

    code = 'request_too_large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class AuthenticationError(PimentohoistError):
    """No key, or a key that is not in force."""

    code = 'invalid_api_key'
    status = HTTPStatus.UNAUTHORIZED


class AccessDeniedError(PimentohoistError):
    """The workspace may not use this route."""

    code = 'access_denied'
    status = HTTPStatus.FORBIDDEN


class NotFoundError(PimentohoistError):
    """No such adapter, version or route for this workspace."""

    code = 'not_found'
    status = HTTPStatus.NOT_FOUND


class ActionConflictError(PimentohoistError):
    """An idempotency key was used again with another request."""

    code = 'idempotency_conflict'
    status = HTTPStatus.CONFLICT


class ActionInProgressError(PimentohoistError):
    """The action was claimed by an earlier request whose outcome isn't known yet."""

    code = 'action_in_progress'
    status = HTTPStatus.CONFLICT
    run_state = RunState.UNKNOWN


class ActionUnknownError(PimentohoistError):
    """The action may have run; it will not be run again under this key."""

    code = 'action_outcome_unknown'
    status = HTTPStatus.CONFLICT
    run_state = RunState.UNKNOWN


class AnswerNotKeptError(PimentohoistError):
    """The action has run, but its answer was too large to be kept."""

    code = 'action_answer_not_kept'
    status = HTTPStatus.CONFLICT
    run_state = RunState.RUN


class LimitExceededError(PimentohoistError):
    """The workspace's rate and burst don't cover the request now."""

    code = 'rate_limit_exceeded'
    status = HTTPStatus.TOO_MANY_REQUESTS


class UnavailableError(PimentohoistError):
    """The request can't be served now and was not run."""

    code = 'unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class NotOwnerError(UnavailableError):
    """This daemon is not the home of the endpoint, or not fresh enough to act."""

    code = 'not_home'


class DeadlineError(UnavailableError):
    """The request can't be served before its deadline and was not run."""

    code = 'deadline_unreachable'


class QuarantinedError(PimentohoistError):
    """The request crashed endpoints before and is no longer accepted."""

    code = 'request_quarantined'
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class CallerDisconnectedError(PimentohoistError):
    """The caller has gone; nobody reads the answer."""

    code = 'caller_disconnected'
    status = HTTPStatus.REQUEST_TIMEOUT
    run_state = RunState.RUN


class PeerError(PimentohoistError):
    """Another process failed or did not answer."""

    code = 'peer_failure'
    status = HTTPStatus.BAD_GATEWAY
    run_state = RunState.UNKNOWN


class PeerConnectError(PeerError):
    """No connection was made: not one byte of the request has left."""

    run_state = RunState.NOT_RUN


class PeerTimeoutError(PeerError):
    """The peer was silent for too long."""

    code = 'peer_timeout'
    status = HTTPStatus.GATEWAY_TIMEOUT


class PeerRefusedError(PeerError):
    """The peer answered with a refusal; ``peer_status`` is its status code."""

    run_state = RunState.NOT_RUN

    def __init__(self, message: str, *, step: str, peer: str, peer_status: int) -> None:
        super().__init__(message, step=step, peer=peer)
        self.peer_status = peer_status


class WrongAnswerError(PeerError):
    """The answer names another request, adapter or version than was asked."""

    code = 'wrong_answer'


class LogError(PimentohoistError):
    """The platform's log can't be read or written."""

    code = 'log_unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class AppendUnknownError(LogError):
    """An append's answer was lost: it may have taken effect."""

    run_state = RunState.UNKNOWN


class OffsetExpiredError(LogError):
    """The offset asked for is no longer kept."""

    code = 'offset_expired'

    def __init__(self, *, step: str, peer: str, first_offset: int) -> None:
        super().__init__(
            f'records before offset {first_offset} have expired',
            step=step,
            peer=peer,
        )
        self.first_offset = first_offset
