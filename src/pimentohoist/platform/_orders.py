"""Orders to engines: load and unload adapters."""

from __future__ import annotations

import json
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType

from pimentohoist._http_client import HttpClient, HttpResponse, HttpRequest
from pimentohoist.entry_models import AdapterKey, EngineReport
from pimentohoist.exceptions import PeerRefusedError, PeerTimeoutError
from pimentohoist.platform import _headers as header_names
from pimentohoist.platform._documents import decode_report

_STEP = 'order'
_TIMEOUT_S = 0.2
"""Orders are answered in milliseconds; half of this goes to a kept connection."""

_REPORT_TIMEOUT_S = 0.6
_MAX_SENDS = 3
_JSON = 'application/json'


class OrderReply(StrEnum):
    """What an engine answers to an order.

    Attributes
    ----------
    ACCEPTED : str
        It is being carried out and counts.
    DONE : str
        What was ordered is the case.
    CONFLICT : str
        Another order is under way, or the number of orders differs.
    FENCED : str
        Somebody has ordered with a higher fencing number.
    OTHER_ENDPOINT : str
        Another incarnation or endpoint has the address.
    REFUSED : str
        Anything else.
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
    """Client of one incarnation of an engine for its orders and reports."""

    def __init__(self, address: str, endpoint_id: str) -> None:
        self.client = HttpClient(address, timeout_s=_TIMEOUT_S, step=_STEP)
        self.endpoint_id = endpoint_id
        self.lease_holder = _LeaseHolder('', 0)

    def set_holder(self, member: str, fencing_number: int) -> None:
        """Order from now on in the name of a holder with its fencing number."""
        self.lease_holder = _LeaseHolder(member, fencing_number)

    def load(
        self, adapter: AdapterKey, accepted_orders: int, version: int | None
    ) -> OrderReply:
        """Load an adapter, or replace it by a version."""
        return self._order('load', adapter, accepted_orders, version)

    def unload(self, adapter: AdapterKey, accepted_orders: int) -> OrderReply:
        """Unload an adapter; it leaves when no request uses it."""
        return self._order('unload', adapter, accepted_orders, None)

    def report(self) -> EngineReport:
        """Return what the engine holds, a few hundred milliseconds ago."""
        request = HttpRequest('GET', '/v1/report', headers=self._headers())
        response = self.client.ask(request, timeout_s=_REPORT_TIMEOUT_S)
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
            # The engine refuses the order if it has taken another one meanwhile, so
            # that the same order sent again, or carried out late, does no harm.
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
        return _order_reply(self._send_with_retries(request))

    def _send_with_retries(self, request: HttpRequest) -> HttpResponse:
        """Send an order until it is answered, a few times."""
        for _ in range(_MAX_SENDS - 1):
            with suppress(PeerTimeoutError):
                return self.client.ask(request)
        return self.client.ask(request)

    def _headers(self) -> dict[str, str]:
        return {header_names.EXPECTED_ENDPOINT: self.endpoint_id}


def _order_reply(response: HttpResponse) -> OrderReply:
    return _REPLIES.get(response.status, OrderReply.REFUSED)
