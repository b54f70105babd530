"""Handler of the requests and orders that reach the stand-in for an engine."""

from __future__ import annotations

import json
import os
import select
import socket
import struct
import time
from email.message import Message
from http import HTTPStatus

from pimentohoist_standins._soak.records import RunOutcome
from pimentohoist_standins._answering import AnsweringHandler
from pimentohoist_standins.endless import ENDLESS_EVENT, EndlessAnswer
from pimentohoist_standins.odd_heads import MALFORMED_LINES, Place, insert_line
from pimentohoist_standins.opaque_engine_state import BrokenStream, ExecutedRequest

_EVENTS_PER_STREAM = 6
_RESPONSE_SEAL = '1.2.3'
_SILENT_POLL_S = 0.05
_MS_PER_S = 1000
_LINGER_RESETS = struct.pack('ii', 1, 0)
WORK_MS = 'Work-Ms'
"""Header by which a test's caller says how long the answer takes."""


class EngineHandler(AnsweringHandler):
    _headers_buffer: list[bytes]

    def setup(self) -> None:
        self.status = 0
        self.last_event: int | None = None
        self.is_chunked = False
        self.is_request = False
        self.is_malformed = False
        super().setup()

    def do_GET(self) -> None:  # noqa: N802
        if self.path == '/v1/report':
            self.engine.state.order_arrivals.append(time.monotonic())
            self.send_unexpected()
            self.send_state(HTTPStatus.OK, json.dumps(self.engine.report()).encode())
        else:
            self.run_request()

    def do_POST(self) -> None:  # noqa: N802
        if self.path != '/v1/order':
            self.run_request()
            return
        self.engine.state.order_arrivals.append(time.monotonic())
        body = self.read_body()
        self.send_unexpected()
        expected = self.headers.get('Pimentohoist-Expect-Instance')
        if expected not in {None, self.engine.engine_id}:
            self.send_answer(HTTPStatus.MISDIRECTED_REQUEST, b'{}')
            return
        status = self.engine.order(json.loads(body))
        if self.engine.faults.unanswered_orders > 0:
            self.engine.faults.unanswered_orders -= 1
            self.close_connection = True
            return
        self.send_state(status, b'{}')

    def end_headers(self) -> None:
        if self.engine.faults.is_leaving:
            self.send_header('Server-Leaving', '1')
        cold_ms = self.engine.cold_ms()
        if cold_ms:
            self.send_header('Pimentohoist-Cold-Ms', str(cold_ms))
        if self.engine.faults.brittle is not None:
            self.send_header('Server-Brittle', str(self.engine.faults.brittle))
        for limit in tuple(self.engine.faults.limits):
            self.send_header('Server-Limit', limit)
        if self.is_request and self.engine.faults.head_lines:
            place, line = self.engine.faults.head_lines.pop(0)
            self.is_malformed = line.encode('latin-1') in MALFORMED_LINES.values()
            self._headers_buffer = _with_line(self._headers_buffer, place, line)
        if self.is_request and self.engine.faults.cut_heads:
            self.cut_head(self.engine.faults.cut_heads.pop(0))
        super().end_headers()

    def cut_head(self, size: int) -> None:
        """Send the beginning of a head and close the connection."""
        self.wfile.write(b''.join(self._headers_buffer)[:size])
        self._headers_buffer.clear()
        self.close_connection = True
        raise BrokenPipeError('head cut')

    def send_state(self, status: HTTPStatus, body: bytes) -> None:
        endless = self.engine.faults.endless_reports
        if endless is None:
            if status >= HTTPStatus.BAD_REQUEST:
                self.refusal = status, {}
            self.send_answer(status, body)
        else:
            self.send_endless(endless)

    def send_endless(self, endless: EndlessAnswer, request_id: str = '') -> None:
        self.close_connection = True
        sent = endless.send(self.connection, request_id)
        self.engine.state.closed_answers.append(sent)

    def send_response(self, code: int, message: str | None = None) -> None:
        self.status = code
        super().send_response(code, message)

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def run_request(self) -> None:
        body = self.read_body()
        headers = _lowered(self.headers)
        engine = self.engine
        engine.state.arrivals.append(time.monotonic())
        if engine.state.is_down(time.monotonic()):
            self.close_connection = True
            return
        arrival = engine.record_arrival(self.path, headers, self.client_address[0])
        outcome = RunOutcome.CANCELLED
        self.status = 0
        self.last_event = None
        self.is_request = True
        self.is_malformed = False
        try:
            with engine.occupied() as has_room:
                outcome = self.respond(headers, body, has_room=has_room)
        finally:
            self.is_request = False
            _record_end(self, arrival, outcome)

    def respond(
        self, headers: dict[str, str], body: bytes, *, has_room: bool
    ) -> RunOutcome:
        self.send_unexpected()
        request_id = headers.get('pimentohoist-attempt-id', '')
        quiet_s = self.engine.faults.quiet_s
        if quiet_s is not None:
            retry_after = {'Retry-After': f'{quiet_s}'}
            self.refuse(HTTPStatus.SERVICE_UNAVAILABLE, request_id, retry_after)
            return RunOutcome.REFUSED
        refusal = self.engine.refusal(headers)
        if not has_room:
            refusal = HTTPStatus.SERVICE_UNAVAILABLE
        if self.engine.faults.statuses:
            refusal = self.engine.faults.statuses.pop()
        if refusal is HTTPStatus.INTERNAL_SERVER_ERROR:
            self.send_answer(refusal, b'failed', self.echo(request_id))
            return RunOutcome.FAILED
        if refusal is not None:
            self.refuse(refusal, request_id)
            return RunOutcome.REFUSED
        self.engine.state.executed_requests.append(
            ExecutedRequest(request_id, self.path, headers, body)
        )
        return self.execute(request_id, headers)

    def execute(self, request_id: str, headers: dict[str, str]) -> RunOutcome:
        faults = self.engine.faults
        response_headers = {
            'Pimentohoist-Attempt-Id': request_id,
            'Pimentohoist-Response-Seal': _RESPONSE_SEAL,
        }
        while faults.is_silent:
            self.wait(_SILENT_POLL_S)
        return self.send_result(response_headers, headers)

    def send_result(
        self, response_headers: dict[str, str], headers: dict[str, str]
    ) -> RunOutcome:
        faults = self.engine.faults
        request_id = headers.get('pimentohoist-attempt-id', '')
        if faults.endless_answer is not None and self.engine.take_endless():
            self.send_endless(faults.endless_answer, request_id)
            return RunOutcome.BROKEN_OFF
        if faults.failures > 0:
            faults.failures -= 1
            self.send_answer(
                HTTPStatus.INTERNAL_SERVER_ERROR, b'failed', response_headers
            )
            return RunOutcome.FAILED
        if self.engine.model:
            last_id = int(headers.get('last-event-id', '0'))
            if last_id and faults.resumption is not None:
                stream_type = {'Content-Type': 'text/event-stream'}
                whole_headers = {**response_headers, **stream_type}
                self.send_answer(HTTPStatus.OK, faults.resumption, whole_headers)
                return RunOutcome.COMPLETED
            return self.send_stream(response_headers, last_id)
        self.wait(int(headers.get(WORK_MS.lower(), '0')) / _MS_PER_S)
        text = b'answer to ' + request_id.encode()
        body = text.ljust(faults.answer_bytes)
        if faults.broken_streams:
            self.send_answer(HTTPStatus.OK, b'', response_headers)
            _break_off(self, faults.broken_streams.pop())
            return RunOutcome.BROKEN_OFF
        self.send_answer(HTTPStatus.OK, body, response_headers)
        if faults.extra_responses > 0:
            faults.extra_responses -= 1
            self.send_answer(HTTPStatus.OK, b'nobody asked')
        return RunOutcome.COMPLETED

    def wait(self, duration_s: float) -> None:
        """Wait; raise ConnectionAbortedError if the client disconnects meanwhile."""
        until = time.monotonic() + duration_s
        readable, _, _ = select.select([self.connection], [], [], duration_s)
        if readable and not self.connection.recv(1, socket.MSG_PEEK):
            raise ConnectionAbortedError('the client disconnected')
        time.sleep(max(0, until - time.monotonic()))

    def send_stream(self, response_headers: dict[str, str], last_id: int) -> RunOutcome:
        self.send_response(HTTPStatus.OK)
        headers = {
            **response_headers,
            'Content-Type': 'text/event-stream',
        }
        self.is_chunked = self.engine.faults.framing == 'chunks'
        if self.is_chunked:
            headers['Transfer-Encoding'] = 'chunked'
        else:
            self.close_connection = True
        for name, text in headers.items():
            self.send_header(name, text)
        self.end_headers()
        self.engine.crash_on(_lowered(self.headers))
        return self.send_events(last_id)

    def send_events(self, last_id: int) -> RunOutcome:
        faults = self.engine.faults
        work_ms = self.headers.get(WORK_MS)
        event_s = (
            faults.event_s
            if work_ms is None
            else int(work_ms) / _MS_PER_S / _EVENTS_PER_STREAM
        )
        broken = self.engine.take_broken_stream()
        endless_after_events = self.engine.endless_after_events()
        for number in range(last_id + 1, _EVENTS_PER_STREAM + 1):
            if broken is not None and number > broken.events:
                _break_off(self, broken)
                return RunOutcome.BROKEN_OFF
            if number > endless_after_events:
                self.send_endless(ENDLESS_EVENT)
                return RunOutcome.BROKEN_OFF
            self.send_event(number, event_s)
        self.send_chunk(b'')
        return RunOutcome.COMPLETED

    def send_event(self, number: int, event_s: float) -> None:
        try:
            self.wait(event_s)
            end = self.engine.faults.event_end
            self.send_chunk(event_bytes(number).replace(b'\n', end))
        except OSError:
            self.engine.state.disconnected_streams += 1
            raise
        self.last_event = number

    def send_chunk(self, data: bytes) -> None:
        framed = f'{len(data):x}\r\n'.encode() + data + b'\r\n'
        self.wfile.write(framed if self.is_chunked else data)
        self.wfile.flush()


def _record_end(handler: EngineHandler, arrival: int, outcome: RunOutcome) -> None:
    last_event = handler.last_event
    if handler.is_malformed:
        # Nothing of the response may reach a caller.
        outcome, last_event = RunOutcome.BROKEN_OFF, None
    handler.engine.record_end(arrival, outcome, handler.status, last_event)


def _with_line(head: list[bytes], place: str, line: str) -> list[bytes]:
    """Return a head with one more line, whether that is a field or not."""
    if not line:
        return head
    status_line, *fields = b''.join(head).splitlines(keepends=True)
    octets = f'{line}\r\n'.encode('latin-1')
    return [status_line, *insert_line(fields, Place(place), octets)]


def _lowered(headers: Message) -> dict[str, str]:
    return {name.lower(): text for name, text in headers.items()}


def _break_off(handler: EngineHandler, broken: BrokenStream) -> None:
    if broken.part:
        handler.send_chunk(broken.part)
    handler.close_connection = True
    if broken.is_crash:
        handler.engine.crash()
    elif broken.is_reset:
        _reset(handler.connection)
    elif broken.is_body_ended:
        handler.send_chunk(b'')


def _reset(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESETS)
    os.close(connection.detach())


def event_bytes(number: int) -> bytes:
    """Return an event of a stream."""
    return f'id: {number}\ndata: token {number}\n\n'.encode()
