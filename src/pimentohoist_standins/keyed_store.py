"""Minimal stand-in for the store of the users' platform, for tests."""

from __future__ import annotations

import base64
import json
import threading
import time
from collections import defaultdict
from contextlib import suppress
from copy import deepcopy
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from pimentohoist_standins._threaded import SilentHandler, ThreadedStandIn
from pimentohoist_standins.endless import EndlessAnswer
from pimentohoist_standins.store_group import StoreGroup

_MS_PER_S = 1000


class KeyedStore(ThreadedStandIn):
    """Keeps keyed topics and the members of one group in memory.

    Attributes
    ----------
    is_down : bool
        Whether every call is answered with status 503.
    is_silent : bool
        Whether calls are neither executed nor answered. Connections that were open
        meanwhile stay silent for good.
    endless_answer : EndlessAnswer or None
        Sent to all calls instead of their answers.
    cut_answers_bytes : int or None
        Size to which answers are cut; they have no length and end with their connection.
    has_endless_pages : bool
        Whether each page of newest records says that another one follows.
    is_losing_calls : bool
        Whether calls are dropped before they take effect.
    is_losing_answers : bool
        Whether calls take effect and are dropped without an answer.
    delay_s : float
        Time that each call takes besides.
    era : int or None
        Named in all answers; None leaves the header out.
    refused_topics : frozenset of str
        Topics whose reads and appends are answered with status 503.
    group : StoreGroup
        Members and their partitions.
    """

    cut_answers_bytes: int | None = None
    refused_topics: frozenset[str] = frozenset()

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address, _handler(self))
        self.is_down = False
        self.is_silent = False
        self.endless_answer: EndlessAnswer | None = None
        self.has_endless_pages = False
        self.is_losing_calls = False
        self.is_losing_answers = False
        self.delay_s: float = 0
        self.era: int | None = None
        self._copy: tuple[Any, ...] = ()
        self._silent_before = float('-inf')
        self.group = StoreGroup()
        self.calls = 0
        self._records: defaultdict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self._first_offsets: defaultdict[str, int] = defaultdict(int)
        self._changed = threading.Condition()

    def put(self, topic: str, key: str, document: Any) -> None:
        """Append a record; None deletes the key, bytes are stored without encoding."""
        body = b'' if document is None else document
        if not isinstance(body, bytes):
            body = json.dumps(document).encode()
        with self._changed:
            self._records[topic].append((key, body))
            self._changed.notify_all()

    def expire(self, topic: str) -> None:
        """Expire all records of a topic; the newest of each key stays readable."""
        with self._changed:
            self._first_offsets[topic] = len(self._records[topic])

    def save_copy(self) -> None:
        """Keep a copy of the current content, for `restore_copy`."""
        with self._changed:
            self._copy = deepcopy(self._records), self.group.copy()

    def restore_copy(self) -> None:
        """Lose what was written since the copy, in a new era."""
        with self._changed:
            records, group = self._copy
            self._records, self.group = deepcopy(records), group.copy()
            self.era = (self.era or 0) + 1
        self.silence_connections()

    def silence_connections(self) -> None:
        """Send nothing more on the connections that are open now."""
        self._silent_before = time.monotonic()

    def end_silence(self) -> None:
        """Answer calls on new connections again."""
        self.silence_connections()
        self.is_silent = False

    def is_connection_silent(self, opened_at: float) -> bool:
        """Return whether a connection opened at a monotonic time gets no answers."""
        return self.is_silent or opened_at < self._silent_before

    def view(self, topic: str, body: bytes, client_host: str) -> bytes:
        """Return a record as a client reads it."""
        return body

    def answer(self, path: str, query: dict[str, str], body: bytes) -> _Reply:
        """Answer a call by its path; `query` names the client's host, too."""
        self.calls += 1
        if self.is_down or query.get('topic') in self.refused_topics:
            return _Reply(HTTPStatus.SERVICE_UNAVAILABLE, b'')
        match path:
            case '/v1/log-newest':
                reply = self._newest(query['topic'], query['client-host'])
            case '/v1/log-read':
                reply = self._read(query)
            case '/v1/log-append':
                reply = self._append(query['topic'], body)
            case '/v1/log-join':
                reply = self.join_group(json.loads(body))
            case '/v1/log-leave':
                reply = self.leave_group(json.loads(body)['member'])
            case _:
                reply = _Reply(HTTPStatus.NOT_FOUND, b'')
        return reply

    def leave_group(self, member: str) -> _Reply:
        """Drop a member."""
        self.group.leave(member)
        return _json_reply({})

    def join_group(self, document: dict[str, Any]) -> _Reply:
        """Answer a member with its partitions."""
        lease_s = document['ttl-ms'] / _MS_PER_S
        generation, held = self.group.join(document['member'], lease_s)
        rows = [[document['group'], part, 0] for part in held]
        return _json_reply({'generation': generation, 'ttl-ms': 3000, 'parts': rows})

    def _newest(self, topic: str, client_host: str) -> _Reply:
        with self._changed:
            newest = {key: body for key, body in self._records[topic] if body}
            dropped = {
                key for key, body in dict(self._records[topic]).items() if not body
            }
            end = len(self._records[topic])
        viewed = {
            key: self.view(topic, body, client_host)
            for key, body in newest.items()
            if key not in dropped
        }
        rows = [
            {'key': key, 'value': base64.b64encode(body).decode(), 'offset': 0}
            for key, body in sorted(viewed.items())
        ]
        has_more = self.has_endless_pages
        if has_more:
            rows = [{'key': f'key-{self.calls}', 'value': '', 'offset': 0}]
        return _json_reply({'items': rows, 'has-more': has_more, 'end': end})

    def _read(self, query: dict[str, str]) -> _Reply:
        topic, offset = query['topic'], int(query['from'])
        with self._changed:
            end = len(self._records[topic])
            if not self._first_offsets[topic] <= offset <= end:
                first = json.dumps({'first': self._first_offsets[topic]}).encode()
                return _Reply(HTTPStatus.GONE, first)
            if len(self._records[topic]) <= offset:
                self._changed.wait(int(query.get('wait-ms', 0)) / 1000)
            records = self._records[topic][offset:]
            end = len(self._records[topic])
        offsets = end.to_bytes(8, 'big') + self._first_offsets[topic].to_bytes(8, 'big')
        encoded = (
            _encode_record(key, self.view(topic, body, query['client-host']))
            for key, body in records
        )
        return _Reply(HTTPStatus.OK, offsets + b''.join(encoded))

    def _append(self, topic: str, body: bytes) -> _Reply:
        key_end = 5 + body[4]
        self.put(topic, body[5:key_end].decode(), body[key_end:])
        return _json_reply({'offset': 0, 'end': len(self._records[topic])})


class StoreGate(ThreadedStandIn):
    """An address at which some clients reach a store.

    Attributes
    ----------
    is_closed : bool
        Whether these clients are turned away.
    """

    def __init__(self, address: tuple[str, int], store: KeyedStore) -> None:
        super().__init__(address, _handler(self))
        self.store = store
        self.is_closed = False

    def __getattr__(self, name: str) -> Any:
        """Return how the store behaves."""
        return getattr(self.store, name)

    def answer(self, path: str, query: dict[str, str], body: bytes) -> _Reply:
        """Answer a call as the store does, or turn it away."""
        if self.is_closed:
            return _Reply(HTTPStatus.SERVICE_UNAVAILABLE, b'')
        return self.store.answer(path, query, body)


class _Reply:
    def __init__(self, status: HTTPStatus, body: bytes) -> None:
        self.status = status
        self.body = body


def _json_reply(document: Any) -> _Reply:
    return _Reply(HTTPStatus.OK, json.dumps(document).encode())


def _encode_record(key: str, body: bytes) -> bytes:
    encoded_key = key.encode()
    record = bytes((len(encoded_key),)) + encoded_key + body
    return len(record).to_bytes(4, 'big') + record


class _Handler(SilentHandler):
    store: KeyedStore | StoreGate

    def setup(self) -> None:
        self.opened_at = time.monotonic()
        super().setup()

    def do_GET(self) -> None:  # noqa: N802
        self.send_answer()

    def do_POST(self) -> None:  # noqa: N802
        self.send_answer()

    def send_answer(self) -> None:
        body = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        if self.store.is_connection_silent(self.opened_at):
            self.discard_input()
            return
        if self.store.endless_answer is not None or self.store.is_losing_calls:
            self.drop_call()
            return
        time.sleep(self.store.delay_s)
        parts = urlsplit(self.path)
        query = {
            **dict(parse_qsl(parts.query)),
            'client-host': str(self.client_address[0]),
        }
        reply = self.store.answer(parts.path, query, body)
        if self.store.is_losing_answers:
            self.close_connection = True
            return
        if self.store.is_connection_silent(self.opened_at):
            self.discard_input()
            return
        cut_bytes = self.store.cut_answers_bytes
        self.send_response(reply.status)
        if cut_bytes is None:
            self.send_header('Content-Length', str(len(reply.body)))
        else:
            self.close_connection = True
        if self.store.era is not None:
            self.send_header('Store-Era', str(self.store.era))
        self.end_headers()
        self.wfile.write(reply.body[:cut_bytes])

    def drop_call(self) -> None:
        self.close_connection = True
        if self.store.endless_answer is not None:
            self.store.endless_answer.send(self.connection)

    def discard_input(self) -> None:
        """Read until the caller closes the connection."""
        self.close_connection = True
        with suppress(OSError):
            self.rfile.read()


def _handler(store: KeyedStore | StoreGate) -> type[SilentHandler]:
    return type('_BoundHandler', (_Handler,), {'store': store})
