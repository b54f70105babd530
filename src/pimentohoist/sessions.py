"""The caller's side: requests to whichever daemon the system says to use.

Examples
--------
>>> with Session(['10.0.0.1:8000', '10.0.1.1:8000'], key='...') as session:
...     answer = session.post('/v1/completions', {'model': 'm', 'prompt': 'p'})
...     answer.json()
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
from pimentohoist._http_client import HttpClient, HttpResponse, HttpRequest
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
_TIMEOUT_S = 60.0
_ENTRIES_TIMEOUT_S = 2.0
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_GENERATIONS = frozenset(('/v1/completions', '/v1/chat/completions'))


@dataclass(frozen=True, slots=True)
class Response:
    """A daemon's answer.

    Attributes
    ----------
    address : str
        ``ip:port`` of the daemon that gave it.
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
        """What a refusal says of the request's execution; None if it is no refusal."""
        if self.status < HTTPStatus.BAD_REQUEST:
            return None
        try:
            return RunState(self.json()['error']['run'])
        except (ValueError, KeyError, TypeError):
            return RunState.UNKNOWN

    @property
    def retry_after_s(self) -> float | None:
        """Seconds after which the refusal says to come back; None if it doesn't."""
        try:
            return float(self.headers['Retry-After'])
        except (KeyError, ValueError):
            return None


class Session:
    """Sends requests to daemons, from the list of addresses that they give out.

    Parameters
    ----------
    addresses : sequence of str
        ``ip:port`` of some daemons to ask first.
    key : str
        API key.
    timeout_s : float
        Longest time for a request with all its attempts.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        key: str,
        timeout_s: float = _TIMEOUT_S,
        clock: Clock = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.key = key
        self.timeout_s = timeout_s
        self.clock = clock
        self.sleep = sleep
        self._choice = AddressSelector(tuple(addresses))
        # Sessions rank the same list differently, which spreads them over the daemons.
        self._name = uuid.uuid4().hex
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

        Without an `idempotency_key` a call to a service is sent again only if it was
        surely not run; with one, the system answers a repeat without running it again.
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
        """Send a request and return the answer, be it a refusal.

        Raises
        ------
        UnavailableError
            No daemon could be reached; the request was not run.
        PeerError
            The answer was lost, and the request may not be sent again.
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
            or path in _GENERATIONS
            or idempotency_key is not None
        )
        return self._send(request, is_repeatable=is_repeatable)

    def entries(self) -> tuple[str, ...]:
        """Return the addresses in use, asked for again when their time is over."""
        if self._choice.is_stale(self.clock()):
            self._refresh()
        return self._choice.addresses()

    def _send(self, request: HttpRequest, *, is_repeatable: bool) -> Response:
        deadline = self.clock() + self.timeout_s
        last: Response | PimentohoistError | None = None
        for address in self._attempts(deadline):
            last = self._try(address, request, deadline)
            if not _may_move_on(last, is_repeatable=is_repeatable):
                break
            self._choice = self._choice.with_failure(address)
            self._wait(last, deadline)
        if isinstance(last, Response):
            return last
        raise last or UnavailableError('no daemon to ask', step=_STEP)

    def _attempts(self, deadline: float) -> Iterator[str]:
        for _ in range(_MAX_ATTEMPTS):
            addresses = self.entries()
            if not addresses or self.clock() >= deadline:
                return
            yield addresses[0]

    def _try(
        self, address: str, request: HttpRequest, deadline: float
    ) -> Response | PeerError:
        try:
            reply = self._ask(address, request, deadline - self.clock())
        except PeerError as error:
            return error
        return Response(reply.status, reply.headers, reply.body, address)

    def _wait(self, last: Response | PimentohoistError, deadline: float) -> None:
        """Wait as long as a refusal asks for, unless that passes the deadline."""
        retry_after_s = last.retry_after_s
        if retry_after_s is not None and self.clock() + retry_after_s < deadline:
            self.sleep(retry_after_s)

    def _refresh(self) -> None:
        asked_at = self.clock()
        request = HttpRequest('GET', '/v1/entries')
        for address in self._choice.sources():
            try:
                reply = self._ask(address, request, _ENTRIES_TIMEOUT_S)
            except PeerError:
                continue
            entries = self._read_entries(reply, asked_at)
            if entries is not None:
                self._choice = self._choice.with_addresses(entries)
                return

    def _read_entries(self, reply: HttpResponse, asked_at: float) -> AddressList | None:
        try:
            document = reply.document()
            addresses = rank_names(self._name, document['entries'])
            expires_at = asked_at + float(document['max_age_s'])
        except (ValueError, KeyError, TypeError):
            return None
        return AddressList(tuple(addresses), expires_at)

    def _ask(
        self, address: str, request: HttpRequest, timeout_s: float
    ) -> HttpResponse:
        with self._lock:
            if address not in self._clients:
                self._clients[address] = HttpClient(
                    address, timeout_s=self.timeout_s, step=_STEP
                )
            client = self._clients[address]
        return client.ask(request, timeout_s=timeout_s)


def _may_move_on(last: Response | PimentohoistError, *, is_repeatable: bool) -> bool:
    """Return whether another daemon may be sent the same request."""
    if isinstance(last, PeerConnectError):
        return True
    if isinstance(last, PimentohoistError):
        return is_repeatable
    is_elsewhere_sensible = last.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return is_elsewhere_sensible and last.run_state is RunState.NOT_RUN
