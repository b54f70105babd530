"""HTTP client of the weight store."""

from __future__ import annotations

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.models import AdapterVersion, WeightInfo

_STEP = 'weight_store'


class HttpWeightStore:
    """Implements `WeightStore`."""

    def __init__(self, address: str, *, timeout_s: float) -> None:
        self.client = HttpClient(address, timeout_s=timeout_s, step=_STEP)

    def describe(self, adapter: AdapterVersion) -> WeightInfo:
        """Return the size in bytes and the number of loads in flight."""
        path = f'/weights/{adapter.adapter}/{adapter.version}'
        document = self.client.request_json(HttpRequest.from_json('GET', path))
        return WeightInfo(document['size_bytes'], document['loads_in_flight'])
