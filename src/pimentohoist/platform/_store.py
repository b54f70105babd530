"""Client of the platform's store: a log with partitions, keyed topics and groups."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from pimentohoist._http_client import (
    HttpClient,
    HttpRequest,
    HttpResponse,
    SentRequest,
)
from pimentohoist.exceptions import PeerError, PeerRefusedError, PimentohoistError

OPERATOR_RECORDS = 'keyed.op'
ENDPOINT_RECORDS = 'keyed.servers'
MEMBER_RECORDS = 'keyed.members'
DECLARATION_KEY = 'config'
ADAPTER_VERSION_KEYS = 'version/'

_STEP = 'store'
_READ_PATH = '/v1/log-read'
_TIMEOUT_S = 1.5
_MS_PER_S = 1000
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_MAX_KB = 1024


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
        Rises with each change of the group; it serves as a fencing number.
    partitions : frozenset of int
        Partitions that no other member holds.
    """

    generation: int
    partitions: frozenset[int]


class RecordsExpiredError(PimentohoistError):
    """The requested records have expired: the newest of each key must be read."""


class Store:
    """Client of the store; may be used by several threads."""

    def __init__(self, address: str, *, timeout_s: float = _TIMEOUT_S) -> None:
        self.client = HttpClient(address, timeout_s=timeout_s, step=_STEP)

    def read_newest(self, topic: str) -> tuple[list[KeyedRecord], int]:
        """Return the newest record of each key, and the offset to read on from."""
        records: list[KeyedRecord] = []
        end: int | None = None
        query: dict[str, object] = {'topic': topic, 'part': 0}
        has_more = True
        while has_more:
            page = self._request_json('GET', '/v1/log-newest', query)
            # Pages are not a snapshot: a reader that goes on from the first page's end
            # gets the changes since then again.
            end = page['end'] if end is None else end
            rows = page['items']
            records.extend(_decode_row(row) for row in rows)
            has_more = bool(page.get('has-more')) and bool(rows)
            query['after'] = rows[-1]['key'] if rows else ''
        return records, end or 0

    def read_changes(
        self, topic: str, offset: int, *, wait_s: float
    ) -> tuple[list[KeyedRecord], int]:
        """Return the keyed records from an offset on, and the offset after them.

        Raises
        ------
        RecordsExpiredError
            The records from `offset` on have expired.
        """
        query = _changes_query(topic, offset, wait_s)
        response = self._request('GET', _READ_PATH, query, wait_s=wait_s)
        return _decode_changes(response, offset)

    def send_read(self, topic: str, offset: int, *, wait_s: float) -> SentRead:
        """Send a read of keyed records on a new connection, to be answered later."""
        target = f'{_READ_PATH}?{urlencode(_changes_query(topic, offset, wait_s))}'
        return SentRead(self.client.send(HttpRequest('GET', target)), target, offset)

    def put(self, topic: str, key: str, document: Any) -> None:
        """Set the newest value of a key of a topic that the daemons write."""
        name = key.encode()
        record = bytes((len(name),)) + name + json.dumps(document).encode()
        body = len(record).to_bytes(_LENGTH_BYTES, 'big') + record
        self._request('POST', '/v1/log-append', {'topic': topic, 'part': 0}, body=body)

    def join(
        self, group: str, member: str, generation: int, lease_s: float
    ) -> Membership:
        """Join a group or stay in it; return the partitions that the member holds."""
        document = {
            'group': group,
            'member': member,
            'topics': [group],
            'ttl-ms': int(lease_s * _MS_PER_S),
            'generation': generation,
        }
        response = self._request_json(
            'POST', '/v1/log-join', {}, json.dumps(document).encode()
        )
        rows = response['parts']
        return Membership(response['generation'], frozenset(row[1] for row in rows))

    def leave(self, group: str, member: str) -> None:
        """Leave a group, so that others take over at once."""
        body = json.dumps({'group': group, 'member': member}).encode()
        self._request('POST', '/v1/log-leave', {}, body=body)

    def _request_json(
        self, method: str, path: str, query: Mapping[str, object], body: bytes = b''
    ) -> Any:
        response = self._request(method, path, query, body=body)
        try:
            return response.document()
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
    ) -> HttpResponse:
        target = f'{path}?{urlencode(query)}' if query else path
        headers = {'Content-Type': 'application/json'} if body else {}
        request = HttpRequest(method, target, body, headers, wait_s=wait_s)
        timeout_s = self.client.timeout_s + wait_s
        response = self.client.request(request, timeout_s=timeout_s)
        _check_status(response, target, self.client.address)
        return response


class SentRead:
    """A read that was sent on a connection of its own."""

    def __init__(self, request: SentRequest, target: str, offset: int) -> None:
        self.request = request
        self.target = target
        self.offset = offset

    def close(self) -> None:
        """Close the connection."""
        self.request.close()

    def fileno(self) -> int:
        """Return the descriptor that is readable when the response arrives."""
        return self.request.socket.fileno()

    def result(self) -> tuple[list[KeyedRecord], int]:
        """Return the records and the offset after them, as `Store.read_changes` does."""
        response = self.request.read_response()
        _check_status(response, self.target, self.request.client.address)
        return _decode_changes(response, self.offset)


def _check_status(response: HttpResponse, target: str, peer: str) -> None:
    if response.status == HTTPStatus.GONE:
        raise RecordsExpiredError(f'{target}: records expired', step=_STEP)
    if response.status >= HTTPStatus.BAD_REQUEST:
        path = target.partition('?')[0]
        raise PeerRefusedError(
            f'{path}: status {response.status}',
            step=_STEP,
            peer=peer,
            peer_status=response.status,
        )


def _changes_query(topic: str, offset: int, wait_s: float) -> dict[str, object]:
    return {
        'topic': topic,
        'part': 0,
        'from': offset,
        'max-kb': _MAX_KB,
        'wait-ms': int(wait_s * _MS_PER_S),
    }


def _decode_changes(
    response: HttpResponse, offset: int
) -> tuple[list[KeyedRecord], int]:
    bodies = list(_split_records(response.body[2 * _OFFSET_BYTES :]))
    return [_decode_record(body) for body in bodies], offset + len(bodies)


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
        yield stream[body_at:start]


def _decode_record(body: bytes) -> KeyedRecord:
    key_end = body[0] + 1 if body else 1
    key = body[1:key_end].decode(errors='replace')
    return KeyedRecord(key, body[key_end:] or None)
