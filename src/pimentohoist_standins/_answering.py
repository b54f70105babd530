"""Answers and refusals of the stand-in for an engine, and those that nobody asked for."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from pimentohoist_standins._threaded import SilentHandler

if TYPE_CHECKING:
    from pimentohoist_standins.opaque_engine import OpaqueEngine


class AnsweringHandler(SilentHandler):
    """Writes complete responses on a connection.

    Attributes
    ----------
    refusal : tuple or None
        Status and headers of the last response on the connection, if it was a refusal.
    """

    engine: OpaqueEngine

    def setup(self) -> None:
        self.refusal: tuple[HTTPStatus, dict[str, str]] | None = None
        super().setup()

    def refuse(
        self,
        status: HTTPStatus,
        request_id: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        not_executed = {'Pimentohoist-Not-Executed': '1', **self.echo(request_id)}
        self.refusal = status, {**not_executed, **(headers or {})}
        self.send_answer(status, b'', self.refusal[1])

    def echo(self, request_id: str) -> dict[str, str]:
        is_named = self.engine.faults.is_refusal_named
        return {'Pimentohoist-Attempt-Id': request_id} if is_named else {}

    def send_unexpected(self) -> None:
        """Write what belongs to no request, before the response to one."""
        interim = self.engine.faults.interim_status
        if interim is not None:
            self.wfile.write(f'HTTP/1.1 {interim:d} Interim\r\n\r\n'.encode())
        if self.refusal is not None:
            status, headers = self.refusal
            for _ in range(self.engine.faults.repeated_refusals):
                self.send_answer(status, b'', headers)
            self.refusal = None

    def send_answer(
        self, status: HTTPStatus, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        self.send_response(status)
        for name, text in (headers or {}).items():
            self.send_header(name, text)
        if self.engine.faults.framing == 'chunks' or status >= HTTPStatus.BAD_REQUEST:
            self.send_header('Content-Length', str(len(body)))
        else:
            self.close_connection = True
        self.end_headers()
        self.wfile.write(body)
