"""Headers of callers' requests and endpoints' responses, decoded and encoded."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from email.message import Message
from enum import Enum, auto
from http import HTTPStatus

from pimentohoist.entry_models import AdapterKey, EntryRequest, ForwardingMetadata
from pimentohoist.exceptions import InvalidRequestError
from pimentohoist.platform import _headers as header_names

_STEP = 'decode_request'
_MS_PER_S = 1000
_MAX_PART_ID_LENGTH = 32
_MAX_ATTEMPT_ID_LENGTH = 128

Headers = tuple[tuple[str, str], ...]


class Attribution(Enum):
    """To which request a response belongs, by the ids that it echoes.

    Attributes
    ----------
    OWN : int
        To the request that was sent last.
    OTHER : int
        To another request.
    UNNAMED : int
        A failure or a refusal that names no request.
    """

    OWN = auto()
    OTHER = auto()
    UNNAMED = auto()


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as the HTTP library has parsed it."""

    method: str
    target: str
    headers: Headers
    body: bytes
    protocol: str = 'HTTP/1.1'


def read_request(raw: RawRequest, arrived_at: float) -> EntryRequest:
    """Decode a caller's request; raises InvalidRequestError."""
    found = {name.lower(): text for name, text in raw.headers}
    deadline = found.get(header_names.DEADLINE_MS.lower())
    tokens = found.get(header_names.TOKEN_COUNTS.lower())
    return EntryRequest(
        found.get(header_names.ATTEMPT_ID.lower(), ''),
        raw.method,
        found.get('host', '').lower(),
        raw.target,
        raw.headers,
        raw.body,
        found.get(header_names.API_KEY.lower(), ''),
        None
        if deadline is None
        else _parse_number(deadline, header_names.DEADLINE_MS) / _MS_PER_S,
        _parse_adapter(found.get(header_names.ADAPTER.lower(), '')),
        None if tokens is None else _parse_token_count(tokens),
        arrived_at,
        raw.protocol,
        _parse_shared_parts(found.get(header_names.PROMPT_PARTS.lower(), '')),
        found.get(header_names.LAST_EVENT_ID.lower(), ''),
        found.get(header_names.RESUMED_ATTEMPT.lower(), '')[:_MAX_ATTEMPT_ID_LENGTH],
        prompt_tokens=0 if tokens is None else _parse_prompt_tokens(tokens),
        output_tokens=_parse_token_count((tokens or '').partition(',')[2] or '0'),
    )


def forwarded_headers(
    request: EntryRequest, metadata: ForwardingMetadata
) -> list[tuple[str, str]]:
    """Return the headers with which a request is forwarded to an endpoint."""
    dropped = (
        header_names.SET_BY_DAEMON
        | header_names.HOP_BY_HOP
        | _connection_options(request.headers)
    )
    headers = [pair for pair in request.headers if pair[0].lower() not in dropped]
    if metadata.last_event_id is not None:
        headers = [pair for pair in headers if pair[0].lower() != 'last-event-id']
    ours: Mapping[str, object] = {
        header_names.EXPECTED_ENDPOINT: metadata.endpoint_id,
        header_names.WORKSPACE: metadata.workspace,
        header_names.DEADLINE_MS: _remaining_ms(metadata),
        header_names.EXPECTED_VERSION: metadata.adapter_version,
        header_names.LAST_EVENT_ID: metadata.last_event_id,
        header_names.REQUEST_PRIORITY: metadata.priority,
    }
    set_now = [(name, str(text)) for name, text in ours.items() if text is not None]
    return headers + set_now


def forwarded_copy_headers(
    request: EntryRequest, remaining_s: float, last_event_id: str | None
) -> list[tuple[str, str]]:
    """Return the headers with which a request is forwarded to another daemon.

    They are the caller's, with the time that is left and the event after which a stream
    goes on.
    """
    dropped = {header_names.DEADLINE_MS.lower()} | header_names.HOP_BY_HOP
    dropped |= _connection_options(request.headers)
    metadata = ForwardingMetadata('', None, remaining_s)
    set_now = [(header_names.DEADLINE_MS, str(_remaining_ms(metadata)))]
    if last_event_id is not None:
        dropped |= {header_names.LAST_EVENT_ID.lower()}
        set_now.append((header_names.LAST_EVENT_ID, last_event_id))
    headers = [pair for pair in request.headers if pair[0].lower() not in dropped]
    return headers + set_now


def forwarding_error_headers(
    headers: Headers, *, may_have_run: bool
) -> list[tuple[str, str]]:
    """Return the headers of an error that another daemon gets for a request."""
    attempt_id = header_names.find(dict(headers), header_names.ATTEMPT_ID) or ''
    named = [(header_names.ATTEMPT_ID, attempt_id)]
    return named if may_have_run else [*named, (header_names.NOT_EXECUTED, '1')]


def response_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers of an endpoint's response that are forwarded to the caller."""
    return [pair for pair in headers if pair[0].lower() not in header_names.HOP_BY_HOP]


def attribute_response(request_id: str, status: int, headers: Message) -> Attribution:
    """Return to which request a response on a request's connection belongs.

    An endpoint may refuse a request before it has read its id; so a refusal that names no
    request is only known to belong to the first request on its connection.
    """
    echoed = set(headers.get_all(header_names.ATTEMPT_ID, ()))
    is_own = echoed == {request_id}
    if status < HTTPStatus.BAD_REQUEST:
        has_seal = header_names.RESPONSE_SEAL in headers
        return Attribution.OWN if is_own and has_seal else Attribution.OTHER
    if not echoed:
        return Attribution.UNNAMED
    return Attribution.OWN if is_own else Attribution.OTHER


def is_not_executed(status: int, headers: Message) -> bool:
    """Return whether an endpoint's response proves that the request wasn't executed."""
    return (
        status == HTTPStatus.MISDIRECTED_REQUEST or header_names.NOT_EXECUTED in headers
    )


def _remaining_ms(metadata: ForwardingMetadata) -> int | None:
    if metadata.remaining_s is None:
        return None
    return max(1, int(metadata.remaining_s * _MS_PER_S))


def _connection_options(headers: Headers) -> frozenset[str]:
    """Return the headers that the caller's `Connection` header lists as hop-by-hop."""
    listed = (text for name, text in headers if name.lower() == 'connection')
    return frozenset(
        token.strip().lower() for text in listed for token in text.split(',')
    )


def _parse_adapter(text: str) -> AdapterKey | None:
    if not text:
        return None
    model, _, name = text.partition('/')
    return AdapterKey(model, name)


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts but the last; a part without an id has none."""
    parts = text.split(',')[:-1]
    ids = (part.partition(':')[0].strip() for part in parts)
    return tuple(part_id[:_MAX_PART_ID_LENGTH] for part_id in ids if part_id)


def _parse_token_count(text: str) -> int:
    return sum(
        int(_parse_number(part, header_names.TOKEN_COUNTS)) for part in text.split(',')
    )


def _parse_prompt_tokens(text: str) -> int:
    return int(_parse_number(text.partition(',')[0], header_names.TOKEN_COUNTS))


def _parse_number(text: str, header: str) -> float:
    try:
        number = float(text)
    except ValueError:
        raise InvalidRequestError(
            f'header {header}: expected a number, got {text!r}', step=_STEP
        ) from None
    if not 0 <= number < float('inf'):
        raise InvalidRequestError(
            f'header {header}: expected a finite number from 0 on, got {text!r}',
            step=_STEP,
        )
    return number
