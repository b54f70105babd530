"""Bytes and processor time of a poll of the log, for ``capacity``."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

from pimentohoist._addresses import split_address
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist_standins.fleet import Fleet

_RECORD_BYTES = 250
_RECORDS = (0, 8, 64)
_POLLS = 200
_MICROSECONDS_PER_S = 1_000_000
_TIMEOUT_S = 5.0
_PART_BYTES = 65_536
_LENGTH = b'content-length: '


def measure_polls() -> Iterator[str]:
    """Yield a row for each number of records in an answer."""
    with Fleet() as fleet:
        address = fleet.addresses['log']
        log = HttpLog(address, timeout_s=_TIMEOUT_S)
        for count in _RECORDS:
            stream = f'records-{count}'
            if count:
                log.append(stream, [b'0' * _RECORD_BYTES for _ in range(count)])
            asked, answered = _count_bytes(address, stream)
            poll_us = _time_poll(log, stream) * _MICROSECONDS_PER_S
            yield f'| {count} | {asked} | {answered} | {poll_us:.0f} |'


def _time_poll(log: HttpLog, stream: str) -> float:
    started_at = time.process_time()
    for _ in range(_POLLS):
        log.read(stream, 0, wait_s=0)
    return (time.process_time() - started_at) / _POLLS


def _count_bytes(address: str, stream: str) -> tuple[int, int]:
    """Return the bytes of a poll as http.client sends it, and of its answer."""
    request = (
        f'GET /streams/{stream}?offset=0&wait_s=0 HTTP/1.1\r\nHost: {address}\r\n'
        'Accept-Encoding: identity\r\nContent-Length: 0\r\n'
        'Content-Type: application/json\r\n\r\n'
    ).encode()
    with socket.create_connection(split_address(address), _TIMEOUT_S) as connection:
        connection.sendall(request)
        answer = connection.recv(_PART_BYTES)
        while not _is_whole(answer):
            answer += connection.recv(_PART_BYTES)
    return len(request), len(answer)


def _is_whole(answer: bytes) -> bool:
    head, _, body = answer.partition(b'\r\n\r\n')
    _, _, rest = head.lower().partition(_LENGTH)
    return bool(rest) and len(body) >= int(rest.split(b'\r\n')[0])
