"""Measures the bytes and the processor time of a poll of the log."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

from pimentohoist._addresses import split_address
from pimentohoist._platform_clients.log import HttpLog
from pimentohoist_standins.fleet import Fleet

_RECORD_BYTES = 250
_RECORD_COUNTS = (0, 8, 64)
_POLL_COUNT = 200
_US_PER_S = 1_000_000
_LOG_TIMEOUT_S = 5.0
_MAX_RECEIVE_BYTES = 65_536
_LENGTH_HEADER = b'content-length: '


def measure_polls() -> Iterator[str]:
    """Yield a row for each number of records in a response."""
    with Fleet() as fleet:
        address = fleet.addresses['log']
        log = HttpLog(address, timeout_s=_LOG_TIMEOUT_S)
        for count in _RECORD_COUNTS:
            stream = f'records-{count}'
            if count:
                log.append(stream, [b'0' * _RECORD_BYTES for _ in range(count)])
            request_bytes, response_bytes = _count_bytes(address, stream)
            poll_us = _time_poll(log, stream) * _US_PER_S
            yield f'| {count} | {request_bytes} | {response_bytes} | {poll_us:.0f} |'


def _time_poll(log: HttpLog, stream: str) -> float:
    started_at = time.process_time()
    for _ in range(_POLL_COUNT):
        log.read(stream, 0, wait_s=0)
    return (time.process_time() - started_at) / _POLL_COUNT


def _count_bytes(address: str, stream: str) -> tuple[int, int]:
    """Return the sizes of a poll as http.client sends it and of its response."""
    request = (
        f'GET /streams/{stream}?offset=0&wait_s=0 HTTP/1.1\r\nHost: {address}\r\n'
        'Accept-Encoding: identity\r\nContent-Length: 0\r\n'
        'Content-Type: application/json\r\n\r\n'
    ).encode()
    with socket.create_connection(split_address(address), _LOG_TIMEOUT_S) as connection:
        connection.sendall(request)
        response = connection.recv(_MAX_RECEIVE_BYTES)
        while not _is_complete(response):
            response += connection.recv(_MAX_RECEIVE_BYTES)
    return len(request), len(response)


def _is_complete(response: bytes) -> bool:
    head, _, body = response.partition(b'\r\n\r\n')
    _, _, after_header = head.lower().partition(_LENGTH_HEADER)
    return bool(after_header) and len(body) >= int(after_header.split(b'\r\n')[0])
