"""Reads responses from a connection and tells which one belongs to the last request."""

from __future__ import annotations

import http.client
import logging
import math
import socket
import time
from typing import cast

from pimentohoist._strict_response import StrictResponse
from pimentohoist._entry.upstream_connection import UpstreamConnection
from pimentohoist.entry_models import Endpoint, EntryRequest
from pimentohoist.platform import Attribution, attribute_response

_STEP = 'endpoint'
_OWN_RESPONSE_TIMEOUT_S = 1.0
"""How long the own response is awaited after one that names no request; that may have been
the own one."""

_logger = logging.getLogger(__name__)


class OwnResponseReader:
    """Reads the responses that arrive after a request was written to a connection."""

    def __init__(
        self, connection: UpstreamConnection, endpoint: Endpoint, request: EntryRequest
    ) -> None:
        self.connection = connection
        self.endpoint = endpoint
        self.request = request
        self._responses_read = 0

    def next_response(self) -> http.client.HTTPResponse:
        """Read the head of the next response; raises OSError and HTTPException."""
        shared_socket = self.connection.shared_socket
        shared_socket.limits.allow_head()
        response = StrictResponse(
            cast('socket.socket', shared_socket), method=self.request.method
        )
        response.begin()
        shared_socket.limits.allow_body()
        self._responses_read += 1
        return response

    def is_own(self, response: http.client.HTTPResponse) -> bool:
        """Return whether the response that was read can only belong to the request.

        Otherwise the caller drops it; the next one is awaited for a limited time if the
        dropped one may have been the own one.
        """
        attribution = attribute_response(
            self.request.request_id, response.status, response.headers
        )
        if attribution is Attribution.UNNAMED and self._is_first_on_connection():
            # Another request on this connection couldn't be told from this one.
            response.will_close = True
            return True
        limits = self.connection.shared_socket.limits
        if attribution is Attribution.OWN:
            limits.deadline = math.inf
            return True
        self._log_dropped(response, attribution)
        if attribution is Attribution.UNNAMED:
            limits.deadline = time.monotonic() + _OWN_RESPONSE_TIMEOUT_S
        return False

    def _is_first_on_connection(self) -> bool:
        return self._responses_read == 1 and len(self.connection.carried) == 1

    def _log_dropped(
        self, response: http.client.HTTPResponse, attribution: Attribution
    ) -> None:
        extra = {
            'step': _STEP,
            'endpoint': self.endpoint.endpoint_id,
            'peer': self.endpoint.address,
            'id': self.request.request_id,
            'status': response.status,
            'attribution': attribution.name,
            'requests_carried': len(self.connection.carried),
        }
        _logger.warning('response dropped: not to this request', extra=extra)
