"""Steps on the relay, which passes on the parts of streamed responses."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._platform_clients.engine import EventReader
from pimentohoist._relay import Relay
from pimentohoist.exchanges import ReadReadiness

_SEED = 506
_WAIT_S = 20.0
_DATA = st.binary(min_size=1, max_size=20).filter(
    lambda data: not set(data) & set(b'\r\n \t\x0b\x0c') and data != b'[DONE]'
)


@seed(_SEED)
@settings(max_examples=300, database=None, deadline=None)
@given_values(st.lists(_DATA, max_size=8), st.lists(st.integers(0, 250), max_size=12))
def check_events(data: list[bytes], cuts: list[int]) -> None:
    whole = b''.join(
        b'data: ' + data_line + b'\n\n' for data_line in (*data, b'[DONE]')
    )
    reader = EventReader()
    events = []
    ends = sorted({min(cut, len(whole)) for cut in cuts} | {len(whole)})
    start = 0
    for end in ends:
        assert not reader.has_ended
        events += reader.feed(whole[start:end])
        start = end
        if reader.has_ended:
            break
    assert events == data
    assert reader.has_ended


@then('over generated streams and cuts the events equal those of the whole stream')
def check_generated_streams(context: Context) -> None:
    check_events()


@dataclass
class FakeResponse:
    """Yields each byte that it reads as a separate part."""

    length: int
    readiness: ReadReadiness = field(default_factory=ReadReadiness)
    received: list[int] = field(default_factory=list)
    must_end: bool = False
    threads: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.sender, self.receiver = socket.socketpair()
        self.receiver.setblocking(False)

    def parts(self) -> Iterator[bytes]:
        read = 0
        while read < self.length:
            self.readiness.wait_for(self.receiver)
            yield b''
            while not self.readiness.is_ready:
                if self.must_end:
                    return
                yield b''
            part = self.receiver.recv(1)
            if not part:
                return
            if part == b'!':
                self.receiver.close()
                raise ValueError('the test requested a failure')
            read += 1
            yield part
        self.readiness.clear()
        yield b''
        self.threads.add(threading.current_thread().name)
        yield b'.'


def start_response(context: Context, response: FakeResponse) -> Future[None]:
    # Closing the socket ends the response with its scenario, also if a step fails.
    context.stack.callback(response.sender.close)
    return context.pool.submit(
        context.relay.run,
        response.parts(),
        response.readiness,
        lambda part: response.received.append(part[0]),
    )


@given(
    'a relay with {count:d} answers of {parts:d} parts that end in their own threads'
)
def start_relay(context: Context, count: int, parts: int) -> None:
    context.relay = context.stack.enter_context(Relay())
    context.pool = context.stack.enter_context(ThreadPoolExecutor(count + 1, 'own'))
    context.responses = [FakeResponse(parts) for _ in range(count)]
    context.runs = [start_response(context, response) for response in context.responses]


@when('all parts are sent, in a generated order over the answers')
def send_parts(context: Context) -> None:
    send_order = [
        response for response in context.responses for _ in range(response.length)
    ]
    random.Random(_SEED).shuffle(send_order)
    sent = {id(response): 0 for response in send_order}
    for response in send_order:
        response.sender.send(bytes((48 + sent[id(response)],)))
        sent[id(response)] += 1
    for run in context.runs:
        run.result(_WAIT_S)


@then('each answer has its own parts once and in order')
def check_parts(context: Context) -> None:
    for response in context.responses:
        expected = [*range(48, 48 + response.length), ord('.')]
        assert response.received == expected, response.received
        assert all(name.startswith('own') for name in response.threads), (
            response.threads
        )


@when('an answer beside them fails and closes its source')
def fail_another_response(context: Context) -> None:
    failing = FakeResponse(50)
    run = start_response(context, failing)
    for _ in range(10):
        failing.sender.send(b'0')
    failing.sender.send(b'!')
    context.failure = run.exception(_WAIT_S)
    # The next response probably gets the file descriptor that was closed.
    next_response = FakeResponse(50)
    context.responses.append(next_response)
    context.runs.append(start_response(context, next_response))


@then('the failure was raised in its own thread')
def check_failure(context: Context) -> None:
    assert isinstance(context.failure, ValueError), context.failure


@given('a relay with an answer to which nothing is sent')
def start_silent_response(context: Context) -> None:
    start_relay(context, 1, 50)
    response = context.responses[0]
    for _ in range(10):
        response.sender.send(b'0')


@when('the answer is to end')
def end_silent_response(context: Context) -> None:
    context.responses[0].must_end = True


@then('it ends within {limit_s:d} s')
def check_end(context: Context, limit_s: int) -> None:
    context.runs[0].result(limit_s)
    assert len(context.responses[0].received) == 10
