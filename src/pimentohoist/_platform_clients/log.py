"""HTTP client of the platform's log."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.exceptions import (
    AppendUnknownError,
    LogError,
    OffsetExpiredError,
    PeerConnectError,
    PeerError,
    PeerRefusedError,
)
from pimentohoist.models import LogPage, LogRecord

_STEP = 'log'


class HttpLog:
    """Implements `Log`."""

    def __init__(self, address: str, *, timeout_s: float) -> None:
        self.client = HttpClient(address, timeout_s=timeout_s, step=_STEP)

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        """Append records together and return the offset of the first."""
        records = [base64.b64encode(body).decode() for body in bodies]
        request = replace(
            HttpRequest.from_json('POST', _stream_path(stream), records),
            is_repeatable=False,
        )
        try:
            document = self.client.request_json(request)
        except (PeerConnectError, PeerRefusedError) as error:
            raise LogError(error.message, step=_STEP, peer=error.peer) from error
        except PeerError as error:
            raise AppendUnknownError(
                error.message, step=_STEP, peer=error.peer
            ) from error
        return int(document['offset'])

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        """Read records from `offset` on, waiting up to `wait_s` for the first."""
        path = f'{_stream_path(stream)}?offset={offset}&wait_s={wait_s}'
        request = replace(HttpRequest.from_json('GET', path), wait_s=wait_s)
        try:
            document = self.client.request_json(
                request, timeout_s=wait_s + self.client.timeout_s
            )
        except PeerError as error:
            raise LogError(error.message, step=_STEP, peer=error.peer) from error
        return self._parse_page(document, offset)

    def _parse_page(self, document: Any, offset: int) -> LogPage:
        first_offset = int(document['first_offset'])
        if offset < first_offset:
            raise OffsetExpiredError(
                step=_STEP, peer=self.client.address, first_offset=first_offset
            )
        records = tuple(
            LogRecord(offset + index, base64.b64decode(body))
            for index, body in enumerate(document['records'])
        )
        return LogPage(first_offset, int(document['next_offset']), records)


def _stream_path(stream: str) -> str:
    return f'/streams/{stream}'
