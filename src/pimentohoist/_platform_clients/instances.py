"""HTTP client of the platform's list of instances, which lags behind."""

from __future__ import annotations

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.models import InstanceEntry

_STEP = 'instance_list'


class HttpInstanceList:
    """Implements `InstanceList`."""

    def __init__(self, address: str, *, timeout_s: float) -> None:
        self.client = HttpClient(address, timeout_s=timeout_s, step=_STEP)

    def entries(self) -> tuple[InstanceEntry, ...]:
        """Return all listed instances."""
        document = self.client.request_json(HttpRequest.from_json('GET', '/instances'))
        return tuple(
            InstanceEntry(entry['address'], entry['is_leaving']) for entry in document
        )
