"""The client library for callers: sends requests to the daemons in service.

Examples
--------
>>> with Session(['10.0.0.1:8000', '10.0.1.1:8000'], key='...') as session:
...     response = session.post('/v1/completions', {'model': 'm', 'prompt': 'p'})
...     response.json()
"""

from __future__ import annotations

import json
import threading
import time
import uuid
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Self

from pimentohoist._decisions.address_selector import AddressSelector, AddressList
from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist._rendezvous import rank_names
from pimentohoist.exceptions import (
    PeerConnectError,
    PeerError,
    PimentohoistError,
    RunState,
    UnavailableError,
)
from pimentohoist.protocols import Clock

_STEP = 'session'
_MAX_ATTEMPTS = 16
_DEFAULT_TIMEOUT_S = 60.0
_ENTRIES_TIMEOUT_S = 2.0
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_GENERATION_PATHS = frozenset(('/v1/completions', '/v1/chat/completions'))


@dataclass(frozen=True, slots=True)
class Response:
    """A daemon's response.

    Attributes
    ----------
    address : str
        ``ip:port`` of the daemon that sent it.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes = field(repr=False)
    address: str

    def json(self) -> Any:
        """Return the parsed body; raises ValueError."""
        return json.loads(self.body)

    @property
    def run_state(self) -> RunState | None:
        """Whether a refused request was executed; None if it wasn't refused."""
        if self.status < HTTPStatus.BAD_REQUEST:
            return None
        try:
            return RunState(self.json()['error']['run'])
        except (ValueError, KeyError, TypeError):
            return RunState.UNKNOWN

    @property
    def retry_after_s(self) -> float | None:
        """Value of the header ``Retry-After`` in seconds; None if it has none."""
        try:
            return float(self.headers['Retry-After'])
        except (KeyError, ValueError):
            return None


class Session:
    """Sends requests to daemons, using the list of addresses that they publish.

    Parameters
    ----------
    addresses : sequence of str
        ``ip:port`` of some daemons, from which the list is requested first.
    key : str
        API key.
    timeout_s : float
        Maximum time in seconds for a request with all its attempts.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        key: str,
        timeout_s: float = _DEFAULT_TIMEOUT_S,
        clock: Clock = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.key = key
        self.timeout_s = timeout_s
        self.clock = clock
        self.sleep = sleep
        self._selector = AddressSelector(tuple(addresses))
        # Each session ranks the list differently, which spreads sessions over daemons.
        self._hash_key = uuid.uuid4().hex
        self._clients: dict[str, HttpClient] = {}
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Start without a connection."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the connections."""
        with self._lock:
            clients = tuple(self._clients.values())
            self._clients.clear()
        for client in clients:
            client.close()

    def get(self, path: str) -> Response:
        """Send a GET request."""
        return self.request('GET', path)

    def post(
        self, path: str, document: Any, *, idempotency_key: str | None = None
    ) -> Response:
        """Send a JSON document.

        Without an `idempotency_key`, a request to a service is retried only if it was
        certainly not executed; with one, a retry is answered without a second execution.
        """
        body = json.dumps(document).encode()
        return self.request('POST', path, body, idempotency_key=idempotency_key)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        idempotency_key: str | None = None,
    ) -> Response:
        """Send a request and return the response, which may be a refusal.

        Raises
        ------
        UnavailableError
            No daemon could be reached; the request was not executed.
        PeerError
            The response was lost, and the request must not be retried.
        """
        headers = {
            'Authorization': f'Bearer {self.key}',
            'Content-Type': 'application/json',
        }
        if idempotency_key is not None:
            headers['Idempotency-Key'] = idempotency_key
        request = HttpRequest(method, path, body, headers, is_repeatable=False)
        is_repeatable = (
            method in _IDEMPOTENT_METHODS
            or path in _GENERATION_PATHS
            or idempotency_key is not None
        )
        return self._send(request, is_repeatable=is_repeatable)

    def entries(self) -> tuple[str, ...]:
        """Return the addresses in use, refreshed first if they have expired."""
        if self._selector.is_stale(self.clock()):
            self._refresh()
        return self._selector.addresses()

    def _send(self, request: HttpRequest, *, is_repeatable: bool) -> Response:
        deadline = self.clock() + self.timeout_s
        last: Response | PimentohoistError | None = None
        for address in self._attempts(deadline):
            last = self._try_address(address, request, deadline)
            if not _may_retry_elsewhere(last, is_repeatable=is_repeatable):
                break
            self._selector = self._selector.with_failure(address)
            self._wait_before_retry(last, deadline)
        if isinstance(last, Response):
            return last
        raise last or UnavailableError(
            'no daemon address is known, or the deadline has passed', step=_STEP
        )

    def _attempts(self, deadline: float) -> Iterator[str]:
        for _ in range(_MAX_ATTEMPTS):
            addresses = self.entries()
            if not addresses or self.clock() >= deadline:
                return
            yield addresses[0]

    def _try_address(
        self, address: str, request: HttpRequest, deadline: float
    ) -> Response | PeerError:
        try:
            reply = self._send_to(address, request, deadline - self.clock())
        except PeerError as error:
            return error
        return Response(reply.status, reply.headers, reply.body, address)

    def _wait_before_retry(
        self, last: Response | PimentohoistError, deadline: float
    ) -> None:
        """Wait for the refusal's `retry_after_s`, unless that exceeds the deadline."""
        retry_after_s = last.retry_after_s
        if retry_after_s is not None and self.clock() + retry_after_s < deadline:
            self.sleep(retry_after_s)

    def _refresh(self) -> None:
        requested_at = self.clock()
        request = HttpRequest('GET', '/v1/entries')
        for address in self._selector.sources():
            try:
                reply = self._send_to(address, request, _ENTRIES_TIMEOUT_S)
            except PeerError:
                continue
            entries = self._read_entries(reply, requested_at)
            if entries is not None:
                self._selector = self._selector.with_addresses(entries)
                return

    def _read_entries(
        self, reply: HttpResponse, requested_at: float
    ) -> AddressList | None:
        try:
            document = reply.document()
            addresses = rank_names(self._hash_key, document['entries'])
            expires_at = requested_at + float(document['max_age_s'])
        except (ValueError, KeyError, TypeError):
            return None
        return AddressList(tuple(addresses), expires_at)

    def _send_to(
        self, address: str, request: HttpRequest, timeout_s: float
    ) -> HttpResponse:
        with self._lock:
            if address not in self._clients:
                self._clients[address] = HttpClient(
                    address, timeout_s=self.timeout_s, step=_STEP
                )
            client = self._clients[address]
        return client.request(request, timeout_s=timeout_s)


def _may_retry_elsewhere(
    last: Response | PimentohoistError, *, is_repeatable: bool
) -> bool:
    """Return whether the request may be sent to another daemon."""
    if isinstance(last, PeerConnectError):
        return True
    if isinstance(last, PimentohoistError):
        return is_repeatable
    is_server_error = last.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return is_server_error and last.run_state is RunState.NOT_RUN
