"""Which incarnation of an endpoint is at the other end of a connection.

An endpoint may restart under its id and address with another software version, and a request
names only the id. A connection outlives no process: if one was opened before the endpoint
reported its start, what is sent on it reaches that start or none.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Iterator
from functools import partial

from pimentohoist import _clock
from pimentohoist._entry.connections import UpstreamExchange
from pimentohoist._entry.endpoint_chooser import RETRY_AFTER_S
from pimentohoist._entry.endpoints import EndpointsController
from pimentohoist._entry.filters import add_jitter
from pimentohoist.entry_models import Endpoint
from pimentohoist.exceptions import (
    DocumentError,
    PeerConnectError,
    PeerError,
    UnavailableError,
)
from pimentohoist.platform import EngineOrders

_STEP = 'incarnation'
_MAX_CONFIRMED_AGE_S = 1.6
"""Endpoints' records that were confirmed within this time, the longest interval of reads with
its call, are believed: asking each endpoint on each connection would cost a call for most
streams, and an engine that has restarted loads its model before it begins one."""

_logger = logging.getLogger(__name__)


class EndpointIncarnations:
    """Asks endpoints for their start before streams that may be resumed are sent.

    Attributes
    ----------
    checked, replaced : int
        Connections on which an endpoint was asked, and on which the start was another one
        than that of its record.
    """

    def __init__(self, endpoints: EndpointsController) -> None:
        self.endpoints = endpoints
        self.checked = 0
        self.replaced = 0
        self._clients: dict[tuple[str, str], EngineOrders] = {}
        self._lock = threading.Lock()

    def check(self, exchange: UpstreamExchange, stream_version: str | None) -> None:
        """Find out the start of the endpoint, once for each connection.

        It is asked only if the endpoints' records may be out of date.

        Parameters
        ----------
        stream_version : str or None
            Version that began the stream which is to go on; None for a new one.

        Raises
        ------
        PeerConnectError
            It didn't report. Nothing of the request has been sent.
        UnavailableError
            It doesn't run that version. Nothing of the request has been sent.
        """
        if exchange.connection.started_ms is None and not self._is_record_current():
            self._ask(exchange)
        version = self.software_version(exchange)
        if stream_version not in {None, version}:
            raise UnavailableError(
                f'the endpoint runs {version}, the stream began at {stream_version}',
                step=_STEP,
                peer=exchange.endpoint.endpoint_id,
                retry_after_s=add_jitter(RETRY_AFTER_S),
            )

    def software_version(self, exchange: UpstreamExchange) -> str:
        """Return the software version that answers, or the incarnation if it isn't known.

        No endpoint has a version of that name, so that a stream which began there goes on
        nowhere before the record of the incarnation is read.
        """
        endpoint, started_ms = exchange.endpoint, exchange.connection.started_ms
        if started_ms is None or started_ms == endpoint.started_ms:
            return endpoint.software_version
        return self.resolved(f'{endpoint.endpoint_id}#{started_ms}')

    def resolved(self, version: str) -> str:
        """Return a software version by that of the incarnation which is named instead."""
        if '#' not in version:
            return version
        found = (
            endpoint.software_version
            for endpoint in tuple(self.endpoints.endpoints.values())
            if endpoint.incarnation == version
        )
        return next(found, version)

    def metrics(self) -> Iterator[str]:
        """Yield the counts as lines of text."""
        yield f'pimentohoist_incarnations_checked_total {self.checked}'
        yield f'pimentohoist_incarnations_replaced_total {self.replaced}'

    def _is_record_current(self) -> bool:
        unconfirmed_s = self.endpoints.follower.reads.unconfirmed_s(_clock.now())
        return 0 <= unconfirmed_s < _MAX_CONFIRMED_AGE_S

    def _ask(self, exchange: UpstreamExchange) -> None:
        connection, endpoint = exchange.connection, exchange.endpoint
        try:
            started_ms = self._reports_of(endpoint).report().started_ms
        except (PeerError, DocumentError) as error:
            raise PeerConnectError(
                f'start not reported: {error.message}',
                step=_STEP,
                peer=endpoint.address,
            ) from error
        connection.started_ms = started_ms
        self.checked += 1
        if started_ms != endpoint.started_ms:
            self.replaced += 1
            extra = {
                'step': _STEP,
                'endpoint': endpoint.endpoint_id,
                'started_ms': started_ms,
                'recorded_ms': endpoint.started_ms,
            }
            _logger.info('endpoint has restarted since its record', extra=extra)

    def _reports_of(self, endpoint: Endpoint) -> EngineOrders:
        """Return the client for an endpoint's reports; drop those of former ones."""
        with self._lock:
            key = endpoint.endpoint_id, endpoint.address
            client = self._clients.get(key)
            if client is None:
                self._drop_former()
                client = EngineOrders(endpoint.address, endpoint.endpoint_id)
                client.on_notice = partial(self.endpoints.notices.record, endpoint)
                self._clients[key] = client
        return client

    def _drop_former(self) -> None:
        known = {
            (endpoint.endpoint_id, endpoint.address)
            for endpoint in self.endpoints.alive()
        }
        for key in self._clients.keys() - known:
            self._clients.pop(key).close()
