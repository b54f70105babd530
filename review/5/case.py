"""After a drill of the store, streams of a frozen daemon can't be taken up at another one."""

from __future__ import annotations

import http.client
import os
import re
import signal
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import (  # noqa: E402
    CONTACT_S,
    FRONT,
    HAS_TROUBLE,
    HOST,
    KEY,
    MODEL,
    Fleet,
    Record,
    configuration,
    run_case,
)

HAS_DRILL = HAS_TROUBLE and os.environ.get('DRILL', '1') != '0'
COPY_AGE_S = 3.0
FREEZE_S = 4.0
EVENT_S = 0.24
ABANDON_S = 2.0
"""Gap after which callers leave: the longest of 2 s, four objectives and eight pauses."""

STREAMS = 24
RETRIES = 1
LAST_EVENT = 6
_EVENT_ID = re.compile(rb'^id: (\d+)\ndata: [^\n]*\n\n', re.MULTILINE)


@dataclass
class Stream:
    """One stream of a caller, over its attempts."""

    name: str
    attempts: list[str] = field(default_factory=list)
    events: list[int] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    held: int = 0

    def is_whole(self) -> bool:
        return self.events == list(range(1, LAST_EVENT + 1))


class Callers:
    """Sends streams as the pages say that callers do."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record

    def attempt(self, stream: Stream, daemon: int, leave_after: int = 99) -> float:
        """Send or take up a stream; return the seconds after which to come back."""
        name = f'{stream.name}-{len(stream.attempts)}'
        stream.attempts.append(name)
        headers = {
            'Host': HOST,
            'Pimentohoist-Attempt-Id': name,
            'Pimentohoist-Deadline-Ms': '12000',
            'Api-Key': KEY,
            'Pimentohoist-Model': MODEL,
            'Pimentohoist-Token-Count': '10,70',
        }
        if stream.events:
            headers['Last-Event-Id'] = str(stream.events[-1])
            headers['Resumes'] = stream.attempts[0]
        host = self.fleet.daemons[daemon].host
        connection = http.client.HTTPConnection(host, FRONT, timeout=ABANDON_S)
        retry_after_s = 0.0
        status, end = 0, 'complete'
        try:
            connection.request('POST', '/models/x', b'{}', headers)
            response = connection.getresponse()
            status = response.status
            retry_after_s = float(response.headers.get('Retry-After', '0'))
            self.read_events(stream, response, leave_after)
        except (OSError, http.client.HTTPException) as error:
            end = repr(error)
        finally:
            connection.close()
        stream.statuses.append(status)
        self.record.write(
            f'{name} at daemon {daemon}: status {status}, events {stream.events}, {end}'
        )
        return retry_after_s

    def read_events(
        self, stream: Stream, response: http.client.HTTPResponse, leave_after: int
    ) -> None:
        before = list(stream.events)
        received = b''
        while response.status == 200 and len(stream.events) < leave_after:
            part = response.read1()
            if not part:
                return
            received += part
            stream.events = before + [int(each) for each in _EVENT_ID.findall(received)]

    def stream_until_whole(self, stream: Stream, first: int, others: int) -> None:
        """Send a stream; take it up at another daemon if it falls silent."""
        self.attempt(stream, first)
        stream.held = len(stream.events)
        for _ in range(1 + RETRIES):
            if stream.is_whole() or not stream.events:
                return
            time.sleep(self.attempt(stream, others))


def in_parallel(calls: list[threading.Thread]) -> None:
    for call in calls:
        call.start()


def thread(target: object, *arguments: object) -> threading.Thread:
    return threading.Thread(target=target, args=arguments, daemon=True)  # type: ignore[arg-type]


def drill(fleet: Fleet, record: Record) -> None:
    """Bring the store back from a copy that is some seconds old."""
    fleet.store.save_copy()
    time.sleep(COPY_AGE_S)
    fleet.store.restore_copy()
    # The operator and the engines write again.
    fleet.store.put('keyed.op', 'config', configuration(1))
    for name, engine in fleet.engines.items():
        fleet.store.put('keyed.servers', name, engine.entry('models'))
    record.write(f'the store is back from a copy, era {fleet.store.era}')


def play(record: Record) -> bool:
    with Fleet(record) as fleet:
        fleet.store.era = 1
        fleet.store.put('keyed.op', 'config', configuration(1))
        for number in range(3):
            engine = fleet.add_engine(f'e-{number}', 'models')
            engine.faults.event_s = EVENT_S
        fleet.add_daemons(2)
        fleet.wait_ready()
        time.sleep(2)
        callers = Callers(fleet, record)
        # A caller whose connection has broken takes its stream up at the other daemon.
        early = Stream('early')
        callers.attempt(early, 0, leave_after=2)
        callers.attempt(early, 1)
        if HAS_DRILL:
            drill(fleet, record)
        time.sleep(2 * CONTACT_S)
        streams = [Stream(f'stream-{number}') for number in range(STREAMS)]
        calls = [thread(callers.stream_until_whole, each, 0, 1) for each in streams]
        in_parallel(calls)
        time.sleep(2 * EVENT_S)
        if HAS_TROUBLE:
            record.write('daemon 0 freezes')
            fleet.daemons[0].signal(signal.SIGSTOP)
            threading.Timer(FREEZE_S, thaw, (fleet, record)).start()
        time.sleep(ABANDON_S)
        fresh = [Stream(f'new-{number}') for number in range(STREAMS)]
        calls += [thread(callers.attempt, each, 1) for each in fresh]
        in_parallel(calls[STREAMS:])
        for call in calls:
            call.join(20)
        taken_up = [each for each in streams if len(each.attempts) > 1]
        went_on = sum(len(each.events) > each.held for each in taken_up)
        begun = sum(bool(each.events) for each in fresh)
        versions = {engine.version for engine in fleet.engines.values()}
        record.write(
            f'{len(fleet.engines)} engines of software {sorted(versions)}; streams '
            f'taken up: {len(taken_up)}, of these went on: {went_on}; new streams: '
            f'{len(fresh)}, of these begun: {begun}'
        )
        share = went_on / max(1, len(taken_up))
        return len(taken_up) >= 12 and share < begun / len(fresh) / 2


def thaw(fleet: Fleet, record: Record) -> None:
    fleet.daemons[0].signal(signal.SIGCONT)
    record.write('daemon 0 goes on')


if __name__ == '__main__':
    run_case(sys.argv[1], play)
