"""Client of the platform's store: a log with partitions, keyed topics and groups."""

from __future__ import annotations

import base64
import binascii
import json
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import urlencode

from pimentohoist._http_client import HttpClient, SentRequest
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.exceptions import (
    OversizedResponseError,
    PeerError,
    PeerRefusedError,
    PeerTimeoutError,
    PimentohoistError,
)
from pimentohoist.platform._era import EraChangedError, EraTracker
from pimentohoist.platform._store_calls import StoreCalls

OPERATOR_RECORDS = 'keyed.op'
ENDPOINT_RECORDS = 'keyed.servers'
MEMBER_RECORDS = 'keyed.members'
STREAM_RECORDS = 'streams'
DECLARATION_KEY = 'config'
ADAPTER_VERSION_KEYS = 'version/'
EVACUATION_KEYS = 'evacuate/'

_STEP = 'store'
_READ_PATH = '/v1/log-read'
_OPERATIONS = MappingProxyType(
    {
        _READ_PATH: 'changes',
        '/v1/log-newest': 'newest',
        '/v1/log-append': 'append',
        '/v1/log-join': 'join',
        '/v1/log-leave': 'leave',
    }
)
_TIMEOUT_S = 1.5
_MS_PER_S = 1000
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_MAX_KB = 1024
_MAX_ANSWER_BYTES = 4_194_304
"""Four times what the store sends in one answer."""

_MAX_NEWEST_TIMEOUTS = 6
"""Time for all pages of the newest records, in timeouts of one page."""

_MAX_NEWEST_BYTES = 8_388_608
"""All pages of the newest records; each has 500 records or 1 MB at most."""

_GENERATIONS_PER_ERA = 10_000_000
"""Twenty years of changes at 1,260 a day."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest value of a key; None if the key was deleted."""

    key: str
    body: bytes | None = field(repr=False)


@dataclass(frozen=True, slots=True)
class Membership:
    """The partitions that a group has assigned to a member.

    Attributes
    ----------
    generation : int
        Rises with each change of the group and with each era of the store, in which the
        group may have an earlier generation again; it serves as a fencing number.
    partitions : frozenset of int
        Partitions that no other member holds.
    era : int
        Era of the store in which they were assigned.
    """

    generation: int
    partitions: frozenset[int]
    era: int = 0


@dataclass(frozen=True, slots=True)
class ReadPosition:
    """Where a reader goes on in a topic: an offset, valid in one era of the store."""

    offset: int
    era: int


class RecordsExpiredError(PimentohoistError):
    """The requested records have expired: the newest of each key must be read.

    Attributes
    ----------
    first_offset : int
        Offset of the oldest record that is kept; 0 if the store names none.
    """

    first_offset = 0


class Store:
    """Client of the store; may be used by several threads.

    Attributes
    ----------
    era : EraTracker
        Shared by all clients of the store.
    calls : StoreCalls
        Shared by all clients of the store.
    """

    def __init__(
        self,
        address: str,
        *,
        timeout_s: float = _TIMEOUT_S,
        era: EraTracker | None = None,
        calls: StoreCalls | None = None,
    ) -> None:
        self.client = HttpClient(
            address, timeout_s=timeout_s, step=_STEP, max_body_bytes=_MAX_ANSWER_BYTES
        )
        self.era = EraTracker() if era is None else era
        self.calls = StoreCalls() if calls is None else calls

    def sharing(self, *, timeout_s: float = _TIMEOUT_S) -> Store:
        """Return another client of the same store, which shares the era and the counts."""
        return Store(
            self.client.address, timeout_s=timeout_s, era=self.era, calls=self.calls
        )

    def read_newest(self, topic: str) -> tuple[list[KeyedRecord], ReadPosition]:
        """Return the newest record of each key, and the position to read on from.

        Raises
        ------
        EraChangedError
            The era changed between two pages.
        PeerError
            A page wasn't read, or the pages have no end.
        """
        budget = _PagesBudget(self.client)
        records: list[KeyedRecord] = []
        position: ReadPosition | None = None
        query: dict[str, object] = {'topic': topic, 'part': 0}
        has_more = True
        while has_more:
            page, era = self._request_json('GET', '/v1/log-newest', query)
            # Pages are not a snapshot: a reader that goes on from the first page's end
            # gets the changes since then again.
            position = ReadPosition(page['end'], era) if position is None else position
            _check_era(position, era)
            rows = page['items']
            decoded = [_decode_row(row) for row in rows]
            budget.spend(decoded)
            records.extend(decoded)
            has_more = bool(page.get('has-more')) and bool(rows)
            query['after'] = rows[-1]['key'] if rows else ''
        return records, position or ReadPosition(0, 0)

    def read_changes(
        self, topic: str, position: ReadPosition, *, wait_s: float
    ) -> tuple[list[KeyedRecord], ReadPosition]:
        """Return the keyed records from a position on, and the position after them.

        Raises
        ------
        RecordsExpiredError
            The records from `position` on have expired.
        EraChangedError
            The position is of a former era of the store.
        """
        query = _changes_query(topic, position.offset, wait_s)
        response, era = self._request('GET', _READ_PATH, query, wait_s=wait_s)
        return _decode_changes(response, position, era, self.client.address)

    def send_read(
        self, topic: str, position: ReadPosition, *, wait_s: float
    ) -> SentRead:
        """Send a read of keyed records on a new connection, to be answered later."""
        query = _changes_query(topic, position.offset, wait_s)
        target = f'{_READ_PATH}?{urlencode(query)}'
        self.calls.record_sent(_purpose(_READ_PATH, query))
        request = self.client.send(HttpRequest('GET', target))
        return SentRead(self, request, query, position)

    def check_position(self, position: ReadPosition) -> None:
        """Raise EraChangedError if a position is of a former era of the store."""
        _check_era(position, self.era.current)

    def check_status(
        self, response: HttpResponse, path: str, query: Mapping[str, object]
    ) -> None:
        """Count and raise what an error status means.

        Raises
        ------
        RecordsExpiredError
            The requested records have expired.
        PeerRefusedError
            The call was refused.
        """
        if response.status >= HTTPStatus.BAD_REQUEST:
            self.calls.record_refused(_purpose(path, query))
        if response.status == HTTPStatus.GONE:
            expired = RecordsExpiredError(
                f'{path}?{urlencode(query)}: records expired', step=_STEP
            )
            expired.first_offset = _first_offset(response)
            raise expired
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise PeerRefusedError(
                f'{path}: status {response.status}',
                step=_STEP,
                peer=self.client.address,
                peer_status=response.status,
            )

    def put(self, topic: str, key: str, document: Any) -> int:
        """Set the newest value of a key of the daemons' topics; return the store's era."""
        name = key.encode()
        record = bytes((len(name),)) + name + json.dumps(document).encode()
        body = len(record).to_bytes(_LENGTH_BYTES, 'big') + record
        query = {'topic': topic, 'part': 0}
        _, era = self._request('POST', '/v1/log-append', query, body=body)
        return era

    def join(
        self, group: str, member: str, generation: int, lease_s: float
    ) -> Membership:
        """Join a group or stay in it; return the partitions that the member holds."""
        era, group_generation = divmod(generation, _GENERATIONS_PER_ERA)
        document = {
            'group': group,
            'member': member,
            'topics': [group],
            'ttl-ms': int(lease_s * _MS_PER_S),
            'generation': group_generation if era == self.era.current else 0,
        }
        response, era = self._request_json(
            'POST', '/v1/log-join', {}, json.dumps(document).encode()
        )
        partitions = frozenset(row[1] for row in response['parts'])
        return Membership(
            era * _GENERATIONS_PER_ERA + response['generation'], partitions, era
        )

    def leave(self, group: str, member: str) -> None:
        """Leave a group, so that others take over at once."""
        body = json.dumps({'group': group, 'member': member}).encode()
        self._request('POST', '/v1/log-leave', {}, body=body)

    def _request_json(
        self, method: str, path: str, query: Mapping[str, object], body: bytes = b''
    ) -> tuple[Any, int]:
        response, era = self._request(method, path, query, body=body)
        try:
            return response.document(), era
        except ValueError as error:
            raise self._malformed_response_error(path, error) from error

    def _malformed_response_error(self, path: str, error: Exception) -> PeerError:
        return PeerError(f'{path}: {error}', step=_STEP, peer=self.client.address)

    def _request(
        self,
        method: str,
        path: str,
        query: Mapping[str, object],
        *,
        body: bytes = b'',
        wait_s: float = 0,
    ) -> tuple[HttpResponse, int]:
        """Return a successful response and the era of the store that it names."""
        target = f'{path}?{urlencode(query)}' if query else path
        headers = {'Content-Type': 'application/json'} if body else {}
        request = HttpRequest(method, target, body, headers, wait_s=wait_s)
        timeout_s = self.client.timeout_s + wait_s
        self.calls.record_sent(_purpose(path, query))
        response = self.client.request(request, timeout_s=timeout_s)
        era = self.era.record_answer(response.headers)
        self.check_status(response, path, query)
        return response, era


class _PagesBudget:
    """Time and bytes left for the pages of one read."""

    def __init__(self, client: HttpClient) -> None:
        self.peer = client.address
        self.deadline = time.monotonic() + _MAX_NEWEST_TIMEOUTS * client.timeout_s
        self.left_bytes = _MAX_NEWEST_BYTES

    def spend(self, records: Sequence[KeyedRecord]) -> None:
        """Count the records of a page; raises PeerError."""
        self.left_bytes -= sum(
            len(record.key) + len(record.body or b'') for record in records
        )
        if self.left_bytes < 0:
            raise OversizedResponseError(
                f'pages exceed {_MAX_NEWEST_BYTES} bytes', step=_STEP, peer=self.peer
            )
        if time.monotonic() > self.deadline:
            raise PeerTimeoutError(
                'pages not complete in time', step=_STEP, peer=self.peer
            )


class SentRead:
    """A read that was sent on a connection of its own."""

    def __init__(
        self,
        store: Store,
        request: SentRequest,
        query: Mapping[str, object],
        position: ReadPosition,
    ) -> None:
        self.store = store
        self.request = request
        self.query = query
        self.position = position

    def close(self) -> None:
        """Close the connection."""
        self.request.close()

    def fileno(self) -> int:
        """Return the descriptor that is readable when the response arrives."""
        return self.request.socket.fileno()

    def result(self) -> tuple[list[KeyedRecord], ReadPosition]:
        """Return the records and the position after them, as `Store.read_changes`."""
        response = self.request.read_response()
        era = self.store.era.record_answer(response.headers)
        self.store.check_status(response, _READ_PATH, self.query)
        return _decode_changes(
            response, self.position, era, self.request.client.address
        )


def _purpose(path: str, query: Mapping[str, object]) -> str:
    """Return the purpose of a call: the topic, if it has one, and what is done there."""
    operation = _OPERATIONS[path]
    if path == _READ_PATH and query['wait-ms']:
        operation = 'poll'
    topic = str(query.get('topic', 'group')).rpartition('.')[2]
    return f'{topic}_{operation}'


def _first_offset(response: HttpResponse) -> int:
    try:
        return int(response.document()['first'])
    except (ValueError, TypeError, KeyError):
        return 0


def _changes_query(topic: str, offset: int, wait_s: float) -> dict[str, object]:
    return {
        'topic': topic,
        'part': 0,
        'from': offset,
        'max-kb': _MAX_KB,
        'wait-ms': int(wait_s * _MS_PER_S),
    }


def _check_era(position: ReadPosition, era: int) -> None:
    if position.era != era:
        raise EraChangedError(
            f'read at offset {position.offset} of era {position.era} in era {era}',
            step=_STEP,
        )


def _decode_changes(
    response: HttpResponse, position: ReadPosition, era: int, peer: str
) -> tuple[list[KeyedRecord], ReadPosition]:
    """Return the complete records; raise PeerError if the body is cut off before them.

    A body without a length looks complete when its connection is closed.
    """
    _check_era(position, era)
    bodies = list(_split_records(response.body[2 * _OFFSET_BYTES :]))
    size = 2 * _OFFSET_BYTES + sum(_LENGTH_BYTES + len(body) for body in bodies)
    if size > len(response.body) or (size < len(response.body) and not bodies):
        raise PeerError(
            f'{_READ_PATH}: body cut off after {len(response.body)} bytes',
            step=_STEP,
            peer=peer,
        )
    records = [_decode_record(body) for body in bodies]
    return records, ReadPosition(position.offset + len(bodies), era)


def _decode_row(item: Mapping[str, Any]) -> KeyedRecord:
    try:
        body = base64.b64decode(item['value'])
    except (binascii.Error, TypeError, ValueError):
        # Malformed bytes of another writer are rejected where records are decoded.
        body = b''
    return KeyedRecord(item['key'], body)


def _split_records(stream: bytes) -> Iterator[bytes]:
    start = 0
    while start + _LENGTH_BYTES <= len(stream):
        body_at = start + _LENGTH_BYTES
        start = body_at + int.from_bytes(stream[start:body_at], 'big')
        if start > len(stream):
            break
        yield stream[body_at:start]


def _decode_record(body: bytes) -> KeyedRecord:
    key_end = body[0] + 1 if body else 1
    key = body[1:key_end].decode(errors='replace')
    return KeyedRecord(key, body[key_end:] or None)
