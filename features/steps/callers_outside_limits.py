"""Steps on crowds of callers outside the limits, at a daemon as a process."""

from __future__ import annotations

import os
import random
import socket
import stat
import sys
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from itertools import cycle, islice, product
from pathlib import Path
from types import MappingProxyType

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import (  # noqa: E402
    KEY,
    EntryFleet,
    EntryProcess,
    configuration_document,
    wait_for,
)

_BODY_BYTES = 1_048_576
_MAX_DESCRIPTORS = 112
_SETTINGS = f'[limits]\nmemory_mb = 96\nmax_descriptors = {_MAX_DESCRIPTORS}\n'
_LIMITS = MappingProxyType(
    {
        'max-header-bytes': 4096,
        'max-body-bytes': _BODY_BYTES,
        'header-timeout-ms': 1000,
        'idle-timeout-ms': 2000,
    }
)
_PIECE_BYTES = 16_384
_SMALL_BODY_BYTES = 49_152
_SEND_TIMEOUT_S = 4.0
"""A caller that the daemon doesn't read for this time stays open and sends no more."""

_REQUESTS_AHEAD = 200
_HOLD_S = 3.0
"""The crowd stays open for this time, in which the daemon reads what the kernel holds."""

_ANSWER_TIMEOUT_S = 30.0
_POLL_S = 0.01
_BYTES_PER_MB = 1_048_576
_WHOLE = 'whole bodies of legal size'

_CALLERS_PORT = 8000

Pieces = Iterator[bytes]
Form = Callable[[str, str], Pieces]


def _head(request_id: str, key: str, *fields: str) -> bytes:
    lines = (
        'POST /pay/x HTTP/1.1',
        'Host: house.example',
        f'Api-Key: {key}',
        f'Pimentohoist-Attempt-Id: {request_id}',
        'Pimentohoist-Deadline-Ms: 4000',
        *fields,
    )
    return ''.join(f'{line}\r\n' for line in lines).encode() + b'\r\n'


def _chunked_head(request_id: str, key: str) -> bytes:
    return _head(request_id, key, 'Transfer-Encoding: chunked')


def _length_head(request_id: str, key: str, size: int) -> bytes:
    return _head(request_id, key, f'Content-Length: {size}')


def _filler(size: int) -> Pieces:
    for start in range(0, size, _PIECE_BYTES):
        yield b'x' * min(_PIECE_BYTES, size - start)


def _large_chunks(request_id: str, key: str) -> Pieces:
    yield _chunked_head(request_id, key) + b'%x\r\n' % _BODY_BYTES
    yield from _filler(_BODY_BYTES - 1)


def _tiny_chunks(request_id: str, key: str) -> Pieces:
    yield _chunked_head(request_id, key)
    yield b'1\r\nx\r\n' * _SMALL_BODY_BYTES


def _announced(request_id: str, key: str) -> Pieces:
    yield _length_head(request_id, key, 64 * _BODY_BYTES)
    yield from _filler(4 * _BODY_BYTES)


def _sent(request_id: str, key: str) -> Pieces:
    yield _chunked_head(request_id, key)
    for piece in _filler(4 * _BODY_BYTES):
        yield b'%x\r\n%s\r\n' % (len(piece), piece)


def _whole_bodies(request_id: str, key: str) -> Pieces:
    yield _length_head(request_id, key, _BODY_BYTES)
    yield from _filler(_BODY_BYTES)


def _stopped(request_id: str, key: str) -> Pieces:
    yield _length_head(request_id, key, _BODY_BYTES)
    yield from _filler(_BODY_BYTES - 1)


def _piece_by_piece(request_id: str, key: str) -> Pieces:
    for piece in _stopped(request_id, key):
        yield piece
        time.sleep(_POLL_S)


def _extensions(request_id: str, key: str) -> Pieces:
    yield _chunked_head(request_id, key) + b'5;'
    yield from _filler(4 * _BODY_BYTES)


def _trailers(request_id: str, key: str) -> Pieces:
    yield _chunked_head(request_id, key) + b'1\r\nx\r\n0\r\n'
    for piece in _filler(4 * _BODY_BYTES):
        yield b'%s:x\r\n' % piece[:1020]
        yield b'%s:x\r\n' % piece[:1020]


def _nothing(request_id: str, key: str) -> Pieces:
    yield b''


def _half_head(request_id: str, key: str) -> Pieces:
    yield _length_head(request_id, key, 1)[:80]


def _large_head(request_id: str, key: str) -> Pieces:
    yield _length_head(request_id, key, 1)[:-2]
    for piece in _filler(_BODY_BYTES // 4):
        yield b'x-%s: x\r\n' % piece[:1000]


def _large_answer(request_id: str, key: str) -> Pieces:
    yield _length_head(request_id, key, 0).replace(b'/pay/', b'/look/')


def _many_ahead(request_id: str, key: str) -> Pieces:
    for number in range(_REQUESTS_AHEAD):
        head = _length_head(f'{request_id}-{number}', key, 0)
        yield head.replace(b'/pay/', b'/look/')


def _slow_head(request_id: str, key: str) -> Pieces:
    for byte in _length_head(request_id, key, 1)[:-2]:
        yield bytes((byte,))
        time.sleep(_POLL_S)


_FORMS: MappingProxyType[str, Form] = MappingProxyType(
    {
        'large chunks that stop short of their end': _large_chunks,
        'chunks of one byte that stop short of their end': _tiny_chunks,
        'bodies whose announced length is over the limit': _announced,
        'chunked bodies far over the limit': _sent,
        _WHOLE: _whole_bodies,
        'legal bodies that stop short of their end': _stopped,
        'legal bodies piece by piece': _piece_by_piece,
        'endless chunk extensions': _extensions,
        'endless trailers': _trailers,
        'nothing': _nothing,
        'half a head': _half_head,
        'a head one byte at a time': _slow_head,
        'large heads': _large_head,
    }
)
_FORMS_OF_REQUESTS: MappingProxyType[str, Form] = MappingProxyType(
    {
        'requests for large answers': _large_answer,
        'many requests ahead': _many_ahead,
    }
)
_SERVERS = MappingProxyType(
    {
        'directory': 8003,
        'readiness check': 8001,
        'metrics': 7601,
        'forwarding server': 7602,
    }
)
_WHOLE_FORMS = (_whole_bodies, _large_answer, _many_ahead)
_KEYS = MappingProxyType(
    {'with keys': (KEY,), 'without keys': ('none',), 'mixed keys': (KEY, 'none')}
)


class DaemonUsage:
    """Samples memory, files and descriptors of a daemon until the context ends."""

    def __init__(self, daemon: EntryProcess) -> None:
        self.folder = Path(f'/proc/{daemon.popen.pid}')
        self.max_bytes = 0
        self.max_descriptors = 0
        self._is_ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> DaemonUsage:
        self._sample()
        self.bytes_before = self.max_bytes
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._is_ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._is_ended.wait(_POLL_S):
            with suppress(FileNotFoundError, ProcessLookupError):
                self._sample()

    def _sample(self) -> None:
        resident_pages = int((self.folder / 'statm').read_text().split()[1])
        descriptors = tuple((self.folder / 'fd').iterdir())
        size = resident_pages * os.sysconf('SC_PAGE_SIZE')
        self.max_bytes = max(self.max_bytes, size + sum(map(_file_bytes, descriptors)))
        self.max_descriptors = max(self.max_descriptors, len(descriptors))


def _file_bytes(descriptor: Path) -> int:
    """Return the size of an open file that has no name any more; else 0."""
    try:
        status = descriptor.stat()
    except OSError:
        return 0
    is_unnamed = stat.S_ISREG(status.st_mode) and not status.st_nlink
    return status.st_size if is_unnamed else 0


@given('a daemon with low limits')
def start_daemon(context: Context) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    fleet.extra_settings = _SETTINGS
    document = configuration_document(1)
    fleet.store.put('keyed.op', 'config', {**document, 'limits': dict(_LIMITS)})
    fleet.start_ready(1)
    assert fleet.send_request('/pay/1').status == 200
    # The limits are applied with the next heartbeat.
    time.sleep(1)
    context.fleet = fleet


@when('a crowd of {count:d} callers sends {form}, {keys}')
def send_crowd(context: Context, count: int, form: str, keys: str) -> None:
    _send_crowd(context, count, form, keys, _CALLERS_PORT)


@when('a crowd of {count:d} callers at the {server} sends {form}')
def send_crowd_elsewhere(context: Context, count: int, server: str, form: str) -> None:
    _send_crowd(context, count, form, 'with keys', _SERVERS[server])


def _send_crowd(context: Context, count: int, form: str, keys: str, port: int) -> None:
    known = {**_FORMS, **_FORMS_OF_REQUESTS}
    forms = (known[form],) if form in known else tuple(_FORMS.values())
    context.usage = context.stack.enter_context(DaemonUsage(context.fleet.daemons[0]))
    pool = context.stack.enter_context(ThreadPoolExecutor(count))
    sent = [
        pool.submit(
            _send,
            context.stack.enter_context(_connect(context.fleet, port=port)),
            pieces,
        )
        for pieces in islice(_requests(cycle(product(_KEYS[keys], forms))), count)
    ]
    for caller in sent:
        caller.result()
    time.sleep(_HOLD_S)


def _requests(kinds: Iterator[tuple[str, Form]]) -> Iterator[Pieces]:
    for number, (key, form) in enumerate(kinds):
        mark = 'whole' if form in _WHOLE_FORMS else 'broken'
        yield form(f'{mark}-{number}', key)


def _connect(
    fleet: EntryFleet, timeout_s: float = _SEND_TIMEOUT_S, port: int = _CALLERS_PORT
) -> socket.socket:
    return socket.create_connection((fleet.daemons[0].host, port), timeout_s)


def _send(caller: socket.socket, pieces: Pieces) -> None:
    """Send until the end, a refusal or a time without progress; the caller stays open."""
    with suppress(OSError):
        for piece in pieces:
            caller.sendall(piece)


@then(
    'the daemon runs, its memory and files grew by less than {limit_mb:d} MB '
    'and its descriptors are at most {descriptors:d}'
)
def check_usage(context: Context, limit_mb: int, descriptors: int) -> None:
    usage: DaemonUsage = context.usage
    assert context.fleet.daemons[0].popen.poll() is None
    grown_mb = (usage.max_bytes - usage.bytes_before) / _BYTES_PER_MB
    measured = f'{grown_mb:.1f} MB, {usage.max_descriptors} descriptors'
    assert grown_mb < limit_mb, measured
    assert usage.max_descriptors <= descriptors, measured


@then('no incomplete request of the crowd has reached an endpoint')
def check_incomplete(context: Context) -> None:
    _check_not_executed(context, 'broken')


@then('an ordinary request is answered')
def check_ordinary(context: Context) -> None:
    wait_for(lambda: _is_served(context.fleet), _ANSWER_TIMEOUT_S)


def _is_served(fleet: EntryFleet) -> bool:
    try:
        return fleet.send_request('/look/x', adapter='').status == 200
    except OSError:
        return False


def _status_of(fleet: EntryFleet, pieces: Pieces) -> int:
    """Send a request and return the status of its response; 0 if none comes."""
    with _connect(fleet, _ANSWER_TIMEOUT_S) as caller:
        try:
            for piece in pieces:
                caller.sendall(piece)
            line = caller.makefile('rb').readline()
        except OSError:
            return 0
    return int(line.split()[1]) if line else 0


@then(
    'a body of the declared size is served, with its length, in large chunks and slowly'
)
def check_legal(context: Context) -> None:
    chunk_end = b'\r\n0\r\n\r\n'
    forms = {
        'length': _whole_bodies('legal-1', KEY),
        'chunks': (*_large_chunks('legal-2', KEY), b'x', chunk_end),
        'slowly': (*_stopped('legal-3', KEY), b'x'),
    }
    for name, pieces in forms.items():
        paced = _paced(iter(pieces)) if name == 'slowly' else iter(pieces)
        status = _status_of(context.fleet, paced)
        assert status == 200, (name, status)


def _paced(pieces: Pieces) -> Pieces:
    """Yield pieces at about 5 Mbit/s."""
    for piece in pieces:
        yield piece
        time.sleep(len(piece) * 8 / 5_000_000)


@then('a body in chunks of one byte is served')
def check_tiny(context: Context) -> None:
    pieces = (*_tiny_chunks('legal-4', KEY), b'0\r\n\r\n')
    assert _status_of(context.fleet, iter(pieces)) == 200


@then(
    'heads without a key, without a route or with too long a body are refused '
    'before a body comes'
)
def check_heads(context: Context) -> None:
    unknown = random.choice(('none', ''))
    for head, expected in (
        (_length_head('refused-1', unknown, _BODY_BYTES), 401),
        (_chunked_head('refused-2', unknown), 401),
        (_length_head('refused-3', KEY, _BODY_BYTES + 1), 413),
        (_length_head('refused-4', KEY, 9).replace(b'/pay/', b'/none/'), 404),
    ):
        status = _status_of(context.fleet, iter((head,)))
        assert status == expected, (status, expected)
    _check_not_executed(context, 'refused')


def _check_not_executed(context: Context, mark: str) -> None:
    ids = [run.request_id for run in context.fleet.ledger.state.executed_requests]
    assert all(mark not in request_id for request_id in ids), ids


@then("a body that stops short of its end gets 408 and isn't executed")
def check_stopped(context: Context) -> None:
    status = _status_of(context.fleet, _stopped('refused-5', KEY))
    assert status == 408, status
    _check_not_executed(context, 'refused')


@given('the answers of the plain service have 1 MB')
def enlarge_answers(context: Context) -> None:
    context.fleet.ledger.faults.answer_bytes = _BODY_BYTES


@then('the directory and the readiness check answer')
def check_other_servers(context: Context) -> None:
    wait_for(lambda: _is_listed(context.fleet), _ANSWER_TIMEOUT_S)
    wait_for(context.fleet.daemons[0].is_ready, _ANSWER_TIMEOUT_S)


def _is_listed(fleet: EntryFleet) -> bool:
    try:
        return fleet.daemons[0].get(8003, '/v1/resolve?name=x').status == 200
    except OSError:
        return False
