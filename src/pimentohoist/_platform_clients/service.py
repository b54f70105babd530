"""HTTP client of a plain service."""

from __future__ import annotations

from pimentohoist._http_client import HttpClient
from pimentohoist._http_connection import HttpRequest
from pimentohoist.models import ServiceCall, ServiceResponse

_STEP = 'service'
_CONTENT_TYPE = 'Content-Type'
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'


class HttpService:
    """Implements `Service`."""

    def __init__(self, address: str, *, timeout_s: float) -> None:
        self.client = HttpClient(address, timeout_s=timeout_s, step=_STEP)

    def call(self, call: ServiceCall, *, timeout_s: float) -> ServiceResponse:
        """Send one call and return the whole response."""
        headers = {'X-Request-Id': call.request_id, _CONTENT_TYPE: call.content_type}
        if call.idempotency_key:
            headers['Idempotency-Key'] = call.idempotency_key
        request = HttpRequest(
            call.method, call.path, call.body, headers, call.is_idempotent
        )
        response = self.client.request(request, timeout_s=timeout_s)
        content_type = response.headers.get(_CONTENT_TYPE, _DEFAULT_CONTENT_TYPE)
        return ServiceResponse(
            response.status, response.body, content_type, response.headers
        )
