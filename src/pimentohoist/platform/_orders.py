"""Client for orders to engines, which load and unload adapters."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest, HttpResponse
from pimentohoist.entry_models import AdapterKey, EndpointNotice, EngineReport
from pimentohoist.exceptions import PeerError, PeerRefusedError, PeerTimeoutError
from pimentohoist.platform import _headers as header_names
from pimentohoist.platform._documents import decode_report
from pimentohoist.platform._notices import decode_notice

_STEP = 'order'
_TIMEOUT_S = 0.2
"""Orders are answered in milliseconds. On a reused connection half of this passes before
the order is sent again on a new one."""

_REPORT_TIMEOUT_S = 0.6
_CONNECT_TIMEOUT_S = 0.4
"""An engine that can't be reached needs another owner before its callers' time is over."""

_MAX_SENDS = 3
_MAX_ANSWER_BYTES = 262_144
"""A report of a thousand adapters has a tenth of this."""

_JSON = 'application/json'


class OrderReply(StrEnum):
    """An engine's reply to an order.

    Attributes
    ----------
    ACCEPTED : str
        The order is being executed and counts as accepted.
    DONE : str
        The engine is in the state that was ordered.
    CONFLICT : str
        Another order is being executed, or the number of accepted orders differs.
    FENCED : str
        An order with a higher fencing number has been accepted.
    OTHER_ENDPOINT : str
        Another incarnation or endpoint has the address.
    REFUSED : str
        Any other reply.
    """

    ACCEPTED = 'begun'
    DONE = 'holds'
    CONFLICT = 'conflict'
    FENCED = 'fenced'
    OTHER_ENDPOINT = 'other_endpoint'
    REFUSED = 'refused'


_REPLIES: Mapping[int, OrderReply] = MappingProxyType(
    {
        HTTPStatus.ACCEPTED: OrderReply.ACCEPTED,
        HTTPStatus.OK: OrderReply.DONE,
        HTTPStatus.CONFLICT: OrderReply.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED: OrderReply.FENCED,
        HTTPStatus.MISDIRECTED_REQUEST: OrderReply.OTHER_ENDPOINT,
    }
)


@dataclass(frozen=True, slots=True)
class _LeaseHolder:
    member: str
    fencing_number: int


class EngineOrders:
    """Client of one incarnation of an engine: sends orders and reads reports.

    Attributes
    ----------
    on_notice : callable
        Called with what each response asks.
    on_failure : callable
        Called when the engine didn't answer.
    """

    def __init__(self, address: str, endpoint_id: str) -> None:
        self.client = HttpClient(
            address,
            timeout_s=_TIMEOUT_S,
            step=_STEP,
            max_body_bytes=_MAX_ANSWER_BYTES,
            is_kept_after_refusal=False,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )
        self.endpoint_id = endpoint_id
        self.lease_holder = _LeaseHolder('', 0)
        self.on_notice: Callable[[EndpointNotice], None] = _ignore
        self.on_failure: Callable[[], None] = _ignore_failure

    def set_holder(self, member: str, fencing_number: int) -> None:
        """Set the lease holder and the fencing number that later orders name."""
        self.lease_holder = _LeaseHolder(member, fencing_number)

    def load(
        self, adapter: AdapterKey, accepted_orders: int, version: int | None
    ) -> OrderReply:
        """Load an adapter, or replace it by another version."""
        return self._order('load', adapter, accepted_orders, version)

    def unload(self, adapter: AdapterKey, accepted_orders: int) -> OrderReply:
        """Unload an adapter; the engine keeps it until no request uses it."""
        return self._order('unload', adapter, accepted_orders, None)

    def report(self) -> EngineReport:
        """Return the engine's state as it was a few hundred milliseconds ago."""
        request = HttpRequest('GET', '/v1/report', headers=self._headers())
        response = self._request(request, _REPORT_TIMEOUT_S)
        self._record_notice(response)
        if response.status != HTTPStatus.OK:
            raise PeerRefusedError(
                f'report: status {response.status}',
                step=_STEP,
                peer=self.client.address,
                peer_status=response.status,
            )
        return decode_report(response.body)

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    def _order(
        self,
        opcode: str,
        adapter: AdapterKey,
        accepted_orders: int,
        version: int | None,
    ) -> OrderReply:
        document: dict[str, object] = {
            'opcode': opcode,
            'model': adapter.model,
            # The engine refuses the order if it has accepted another one meanwhile, so
            # that the same order sent again, or executed late, does no harm.
            'expect': accepted_orders,
            'holder': self.lease_holder.member,
            'fence': self.lease_holder.fencing_number,
        }
        if adapter.name:
            document['adapter'] = adapter.name
        if version is not None:
            document['version'] = version
        body = json.dumps(document).encode()
        headers = {**self._headers(), 'Content-Type': _JSON}
        request = HttpRequest('POST', '/v1/order', body, headers)
        response = self._send_with_retries(request)
        self._record_notice(response)
        return _order_reply(response)

    def _record_notice(self, response: HttpResponse) -> None:
        headers = response.headers
        self.on_notice(decode_notice(self.endpoint_id, response.status, headers))

    def _send_with_retries(self, request: HttpRequest) -> HttpResponse:
        """Send an order up to `_MAX_SENDS` times until it is answered."""
        for _ in range(_MAX_SENDS - 1):
            with suppress(PeerTimeoutError):
                return self._request(request, _TIMEOUT_S)
        return self._request(request, _TIMEOUT_S)

    def _request(self, request: HttpRequest, timeout_s: float) -> HttpResponse:
        try:
            return self.client.request(request, timeout_s=timeout_s)
        except PeerError:
            self.on_failure()
            raise

    def _headers(self) -> dict[str, str]:
        return {header_names.EXPECTED_ENDPOINT: self.endpoint_id}


def _ignore(notice: EndpointNotice) -> None:
    """Do nothing with a notice."""


def _ignore_failure() -> None:
    """Do nothing with an order that wasn't answered."""


def _order_reply(response: HttpResponse) -> OrderReply:
    return _REPLIES.get(response.status, OrderReply.REFUSED)
