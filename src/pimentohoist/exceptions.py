"""Exceptions of the package, with one common base class.

Each exception names the step of a request or of a controller at which it was raised and
the peer involved, so that a log line or a response can be traced without a stack trace.
"""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from typing import ClassVar


class RunState(StrEnum):
    """What is known about the execution of a refused or failed request."""

    NOT_RUN = 'not_run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class PimentohoistError(Exception):
    """Base class of all exceptions of the package.

    Parameters
    ----------
    message : str
        What went wrong, for people to read.
    step : str
        Name of the filter, controller or command that raised the error.
    peer : str
        Address or name of the peer involved; empty if there is none.
    retry_after_s : float or None
        Seconds after which a retry may succeed; None if no retry is advised.
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
        """Return the message with the step and the peer."""
        context = f'{self.step}, peer {self.peer}' if self.peer else self.step
        return f'{self.message} [{context}]'


class SettingsError(PimentohoistError):
    """The settings file is missing, unreadable or has faults."""

    code = 'invalid_settings'


class ConfigurationError(PimentohoistError):
    """A configuration text has faults; ``faults`` lists all of them."""

    code = 'invalid_configuration'
    status = HTTPStatus.BAD_REQUEST

    def __init__(self, faults: tuple[str, ...], *, step: str) -> None:
        super().__init__('; '.join(faults), step=step)
        self.faults = faults


class DocumentError(PimentohoistError):
    """A record or a report of the platform can't be decoded."""

    code = 'broken_document'


class PublishConflictError(PimentohoistError):
    """Sections changed since the publish read them; ``sections`` names them."""

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
    """The request has no API key, or a key that is not in force."""

    code = 'invalid_api_key'
    status = HTTPStatus.UNAUTHORIZED


class AccessDeniedError(PimentohoistError):
    """The workspace may not use this route."""

    code = 'access_denied'
    status = HTTPStatus.FORBIDDEN


class NotFoundError(PimentohoistError):
    """The workspace has no such adapter, version or route."""

    code = 'not_found'
    status = HTTPStatus.NOT_FOUND


class ActionConflictError(PimentohoistError):
    """An idempotency key was reused with a different request."""

    code = 'idempotency_conflict'
    status = HTTPStatus.CONFLICT


class ActionInProgressError(PimentohoistError):
    """An earlier request claimed the action, and its outcome isn't known yet."""

    code = 'action_in_progress'
    status = HTTPStatus.CONFLICT
    run_state = RunState.UNKNOWN


class ActionUnknownError(PimentohoistError):
    """The action may have run; it won't be executed again with this key."""

    code = 'action_outcome_unknown'
    status = HTTPStatus.CONFLICT
    run_state = RunState.UNKNOWN


class AnswerNotKeptError(PimentohoistError):
    """The action has run, but its response was too large to store."""

    code = 'action_answer_not_kept'
    status = HTTPStatus.CONFLICT
    run_state = RunState.RUN


class LimitExceededError(PimentohoistError):
    """The workspace's rate and burst don't cover the request now."""

    code = 'rate_limit_exceeded'
    status = HTTPStatus.TOO_MANY_REQUESTS


class UnavailableError(PimentohoistError):
    """The request can't be served now and was not executed."""

    code = 'unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class NotOwnerError(UnavailableError):
    """This daemon isn't the endpoint's owner, or its view isn't fresh enough to act."""

    code = 'not_home'


class DeadlineError(UnavailableError):
    """The request can't be served before its deadline and was not executed."""

    code = 'deadline_unreachable'


class WaitRefusedError(DeadlineError):
    """A queue can't serve the request before its deadline; ``reason`` says why."""

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = '',
        retry_after_s: float | None = None,
        reason: str = '',
    ) -> None:
        super().__init__(message, step=step, peer=peer, retry_after_s=retry_after_s)
        self.reason = reason


class QuarantinedError(PimentohoistError):
    """The request has crashed endpoints and is no longer accepted."""

    code = 'request_quarantined'
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class CallerDisconnectedError(PimentohoistError):
    """The caller disconnected before the end of the response."""

    code = 'caller_disconnected'
    status = HTTPStatus.REQUEST_TIMEOUT
    run_state = RunState.RUN


class BodyTimeoutError(PimentohoistError):
    """The request's body did not come in time; the request was not executed."""

    code = 'body_timeout'
    status = HTTPStatus.REQUEST_TIMEOUT


class PeerError(PimentohoistError):
    """Another process failed or did not respond."""

    code = 'peer_failure'
    status = HTTPStatus.BAD_GATEWAY
    run_state = RunState.UNKNOWN


class PeerConnectError(PeerError):
    """No connection was established; no byte of the request was sent."""

    run_state = RunState.NOT_RUN


class PeerTimeoutError(PeerError):
    """The peer did not respond in time."""

    code = 'peer_timeout'
    status = HTTPStatus.GATEWAY_TIMEOUT


class OversizedResponseError(PeerError):
    """The peer's response exceeds a limit on its bytes."""


class MalformedResponseError(PeerError):
    """The head or the trailers of the peer's response aren't what the protocol allows."""


class PeerRefusedError(PeerError):
    """The peer refused the request; ``peer_status`` is its status code."""

    run_state = RunState.NOT_RUN

    def __init__(self, message: str, *, step: str, peer: str, peer_status: int) -> None:
        super().__init__(message, step=step, peer=peer)
        self.peer_status = peer_status


class WrongAnswerError(PeerError):
    """The response names another request, adapter or version than requested."""

    code = 'wrong_answer'


class LogError(PimentohoistError):
    """The platform's log can't be read or written."""

    code = 'log_unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class AppendUnknownError(LogError):
    """The response to an append was lost; the append may have taken effect."""

    run_state = RunState.UNKNOWN


class OffsetExpiredError(LogError):
    """The requested offset is no longer retained."""

    code = 'offset_expired'

    def __init__(self, *, step: str, peer: str, first_offset: int) -> None:
        super().__init__(
            f'records before offset {first_offset} have expired',
            step=step,
            peer=peer,
        )
        self.first_offset = first_offset
