"""Callers' requests and endpoints' answers: headers decoded and encoded once."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from email.message import Message
from http import HTTPStatus

from pimentohoist.entry_models import AdapterKey, EntryRequest, ForwardingMetadata
from pimentohoist.exceptions import InvalidRequestError
from pimentohoist.platform import _headers as names

_STEP = 'decode_request'
_MS_PER_S = 1000

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as the HTTP library gives it."""

    method: str
    target: str
    headers: Headers
    body: bytes


def read_request(raw: RawRequest, arrived_at: float) -> EntryRequest:
    """Return a caller's request; raises InvalidRequestError."""
    found = {name.lower(): text for name, text in raw.headers}
    deadline = found.get(names.DEADLINE_MS.lower())
    tokens = found.get(names.TOKENS.lower())
    return EntryRequest(
        found.get(names.ATTEMPT_ID.lower(), ''),
        raw.method,
        found.get('host', '').lower(),
        raw.target,
        raw.headers,
        raw.body,
        found.get(names.KEY.lower(), ''),
        None if deadline is None else _number(deadline, names.DEADLINE_MS) / _MS_PER_S,
        _adapter(found.get(names.ADAPTER.lower(), '')),
        None if tokens is None else _tokens(tokens),
        arrived_at,
    )


def onward_headers(
    request: EntryRequest, onward: ForwardingMetadata
) -> list[tuple[str, str]]:
    """Return the headers with which a request is passed on."""
    dropped = names.SET_BY_US | names.OF_ONE_CONNECTION | _named_hops(request.headers)
    headers = [pair for pair in request.headers if pair[0].lower() not in dropped]
    if onward.last_event_id is not None:
        headers = [pair for pair in headers if pair[0].lower() != 'last-event-id']
    ours: Mapping[str, object] = {
        names.EXPECTED_ENDPOINT: onward.endpoint_id,
        names.WORKSPACE: onward.workspace,
        names.DEADLINE_MS: _left_ms(onward),
        names.EXPECTED_VERSION: onward.adapter_version,
        names.LAST_EVENT_ID: onward.last_event_id,
        names.REQUEST_PRIORITY: onward.priority,
    }
    set_now = [(name, str(text)) for name, text in ours.items() if text is not None]
    return headers + set_now


def answer_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return an endpoint's headers that are passed on to the caller."""
    return [pair for pair in headers if pair[0].lower() not in names.OF_ONE_CONNECTION]


def belongs_to(request_id: str, status: int, headers: Message) -> bool:
    """Return whether an answer belongs to a request.

    A success must name the request and be sealed. Refusals that were made before the
    request was read name none.
    """
    echoed = headers.get(names.ATTEMPT_ID)
    if status < HTTPStatus.BAD_REQUEST:
        return echoed == request_id and names.SEAL in headers
    return echoed is None or echoed == request_id


def is_certainly_not_run(status: int, headers: Message) -> bool:
    """Return whether an endpoint's answer proves that it ran nothing."""
    return status == HTTPStatus.MISDIRECTED_REQUEST or names.NOT_RUN in headers


def _left_ms(onward: ForwardingMetadata) -> int | None:
    if onward.remaining_s is None:
        return None
    return max(1, int(onward.remaining_s * _MS_PER_S))


def _named_hops(headers: Headers) -> frozenset[str]:
    """Return the headers that the caller says concern only its connection."""
    listed = (text for name, text in headers if name.lower() == 'connection')
    return frozenset(
        token.strip().lower() for text in listed for token in text.split(',')
    )


def _adapter(text: str) -> AdapterKey | None:
    if not text:
        return None
    model, _, name = text.partition('/')
    return AdapterKey(model, name)


def _tokens(text: str) -> int:
    return sum(int(_number(part, names.TOKENS)) for part in text.split(','))


def _number(text: str, header: str) -> float:
    try:
        number = float(text)
    except ValueError:
        raise InvalidRequestError(f'{header} is no number', step=_STEP) from None
    if not 0 <= number < float('inf'):
        raise InvalidRequestError(f'{header} is out of range', step=_STEP)
    return number
