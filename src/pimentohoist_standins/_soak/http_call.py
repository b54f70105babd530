"""One HTTP call on a connection of its own."""

from __future__ import annotations

import http.client
from http import HTTPStatus

_TIMEOUT_S = 1.0


def call(
    host: str, port: int, method: str, path: str, body: bytes = b''
) -> bytes | None:
    """Return the body of a response with status 200; None if there is no such response."""
    connection = http.client.HTTPConnection(host, port, timeout=_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        answer = response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    return answer if response.status == HTTPStatus.OK else None
