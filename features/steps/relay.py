"""Steps of the relay, which passes parts of answers on."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as over
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
@over(st.lists(_DATA, max_size=8), st.lists(st.integers(0, 250), max_size=12))
def check_events(data: list[bytes], cuts: list[int]) -> None:
    whole = b''.join(b'data: ' + one + b'\n\n' for one in (*data, b'[DONE]'))
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
def compare_events(context: Context) -> None:
    check_events()


@dataclass
class FakeAnswer:
    """Gives each byte that it reads as a part of its own."""

    length: int
    readiness: ReadReadiness = field(default_factory=ReadReadiness)
    received: list[int] = field(default_factory=list)
    must_end: bool = False
    threads: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.far, self.near = socket.socketpair()
        self.near.setblocking(False)

    def parts(self) -> Iterator[bytes]:
        read = 0
        while read < self.length:
            self.readiness.wait_for(self.near)
            yield b''
            while not self.readiness.is_ready:
                if self.must_end:
                    return
                yield b''
            part = self.near.recv(1)
            if not part:
                return
            if part == b'!':
                self.near.close()
                raise ValueError('told to fail')
            read += 1
            yield part
        self.readiness.clear()
        yield b''
        self.threads.add(threading.current_thread().name)
        yield b'.'


def start(context: Context, answer: FakeAnswer) -> Future[None]:
    # Whatever fails, the answer ends with its scenario.
    context.stack.callback(answer.far.close)
    return context.pool.submit(
        context.relay.run,
        answer.parts(),
        answer.readiness,
        lambda part: answer.received.append(part[0]),
    )


@given(
    'a relay with {count:d} answers of {parts:d} parts that end in their own threads'
)
def start_relay(context: Context, count: int, parts: int) -> None:
    context.relay = context.stack.enter_context(Relay())
    context.pool = context.stack.enter_context(ThreadPoolExecutor(count + 1, 'own'))
    context.answers = [FakeAnswer(parts) for _ in range(count)]
    context.runs = [start(context, answer) for answer in context.answers]


@when('all parts are sent, in a generated order over the answers')
def send_parts(context: Context) -> None:
    turns = [answer for answer in context.answers for _ in range(answer.length)]
    random.Random(_SEED).shuffle(turns)
    sent = {id(answer): 0 for answer in turns}
    for answer in turns:
        answer.far.send(bytes((48 + sent[id(answer)],)))
        sent[id(answer)] += 1
    for run in context.runs:
        run.result(_WAIT_S)


@then('each answer has its own parts once and in order')
def check_parts(context: Context) -> None:
    for answer in context.answers:
        wanted = [*range(48, 48 + answer.length), ord('.')]
        assert answer.received == wanted, answer.received
        assert all(name.startswith('own') for name in answer.threads), answer.threads


@when('an answer beside them fails and closes its source')
def fail_beside(context: Context) -> None:
    failing = FakeAnswer(50)
    run = start(context, failing)
    for _ in range(10):
        failing.far.send(b'0')
    failing.far.send(b'!')
    context.failure = run.exception(_WAIT_S)
    # The next answer is likely to get the descriptor that was closed.
    another = FakeAnswer(50)
    context.answers.append(another)
    context.runs.append(start(context, another))


@then('the failure was raised in its own thread')
def check_failure(context: Context) -> None:
    assert isinstance(context.failure, ValueError), context.failure


@given('a relay with an answer to which nothing is sent')
def start_silent(context: Context) -> None:
    start_relay(context, 1, 50)
    answer = context.answers[0]
    for _ in range(10):
        answer.far.send(b'0')


@when('the answer is to end')
def end_silent(context: Context) -> None:
    context.answers[0].must_end = True


@then('it ends within {limit_s:d} s')
def check_end(context: Context, limit_s: int) -> None:
    context.runs[0].result(limit_s)
    assert len(context.answers[0].received) == 10
