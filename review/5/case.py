"""Engines are replaced one after the other; the daemon keeps their closed connections."""

from __future__ import annotations

import http.client
import sys
import threading
import time
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet import (  # noqa: E402
    FRONT,
    HAS_TROUBLE,
    HOST,
    KEY,
    MODEL,
    Fleet,
    Record,
    configuration,
    open_connection,
    run_case,
)

PLAY_S = 104.0
RELEASE_GAP_S = 0.75
DRAIN_S = 2.0
LINGER_S = 0.5
ENGINES = 2
STREAMS = 150
STREAM_PERIOD_S = 1.0
EVENT_S = 0.05
ABANDON_S = 2.0
"""Gap after which callers leave: the longest of 2 s, four objectives and eight pauses."""

CHECKERS = 12
CHECK_PERIOD_S = 0.5
TIMEOUT_S = 1.0
GRACE_S = 0.5
"""From the route's timeout to the moment at which the rule looks again."""

ENOUGH_LATE = 64


class Play:
    """Callers of one daemon, and a rollout of engines that goes on all the while."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet = fleet
        self.record = record
        self.closed = threading.Event()
        self.counts = {'stream 200': 0, 'check': 0}
        self.unanswered_at_timeout = 0
        self.late = 0
        self.lock = threading.Lock()

    def count(self, name: str) -> None:
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def stream(self, number: int) -> None:
        """Send a stream at each tick, on a connection that is kept open."""
        host = self.fleet.daemons[0].host
        connection = http.client.HTTPConnection(host, FRONT, timeout=ABANDON_S)
        began_at = time.monotonic()
        turn = 0
        while not self.closed.is_set():
            turn += 1
            retry_after_s = self.attempt(connection, f'stream-{number}-{turn}')
            if retry_after_s is not None:
                # A retry comes on a new connection, when the refusal says.
                self.closed.wait(retry_after_s)
                again = http.client.HTTPConnection(host, FRONT, timeout=ABANDON_S)
                self.attempt(again, f'stream-{number}-{turn}-again')
                again.close()
            tick = began_at + turn * STREAM_PERIOD_S
            self.closed.wait(max(0, tick - time.monotonic()))

    def attempt(
        self, connection: http.client.HTTPConnection, name: str
    ) -> float | None:
        """Send a stream; return after how many seconds to retry, None if it was served."""
        headers = {
            'Host': HOST,
            'Pimentohoist-Attempt-Id': name,
            'Pimentohoist-Deadline-Ms': '5000',
            'Api-Key': KEY,
            'Pimentohoist-Model': MODEL,
            'Pimentohoist-Token-Count': '10,70',
        }
        try:
            connection.request('POST', '/models/x', b'{}', headers)
            response = connection.getresponse()
            response.read()
            outcome = f'stream {response.status}'
        except (OSError, http.client.HTTPException) as error:
            outcome = f'stream {type(error).__name__}'
        self.count(outcome)
        if outcome == 'stream 200':
            return None
        if outcome == 'stream 503':
            return float(response.headers.get('Retry-After', '0'))
        connection.close()
        return 0

    def check(self, number: int) -> None:
        """Send an unsafe request on a new connection, again and again."""
        turn = 0
        while not self.closed.wait(CHECK_PERIOD_S):
            turn += 1
            self.check_once(f'check-{number}-{turn}')

    def check_once(self, name: str) -> None:
        host = self.fleet.daemons[0].host
        try:
            connection = open_connection(host, FRONT, 1.0)
        except OSError as error:
            self.record.write(f'{name}: not connected: {error!r}')
            return
        sent_at = time.monotonic()
        request = (
            f'POST /pay/x HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n'
            f'Pimentohoist-Attempt-Id: {name}\r\nContent-Length: 2\r\n'
            'Pimentohoist-Deadline-Ms: 1000\r\n\r\n{}'
        )
        answer = b''
        try:
            connection.settimeout(TIMEOUT_S + GRACE_S)
            connection.sendall(request.encode())
            answer = connection.recv(65_536)
        except OSError as error:
            self.record.write(f'{name}: {error!r}')
        finally:
            connection.close()
        took_s = time.monotonic() - sent_at
        self.count('check')
        status = answer[9:12].decode() or 'none'
        self.record.write(f'{name}: sent; status {status} after {took_s:.3f} s')
        with self.lock:
            self.unanswered_at_timeout += took_s > TIMEOUT_S
            self.late += not answer and took_s > TIMEOUT_S

    def release(self) -> None:
        """Replace the engines one after the other, the new one first."""
        serving = deque(self.fleet.engines[f'e-{number}'] for number in range(ENGINES))
        number = ENGINES
        leaving = deque()
        while not self.closed.wait(RELEASE_GAP_S):
            engine = self.fleet.add_engine(f'e-{number}', 'models')
            engine.faults.event_s = EVENT_S
            serving.append(engine)
            old = serving.popleft()
            old.faults.is_leaving = True
            self.fleet.store.put(
                'keyed.servers', old.engine_id, old.entry('models', 'draining')
            )
            leaving.append((time.monotonic() + DRAIN_S + LINGER_S, old))
            while leaving[0][0] < time.monotonic():
                _, gone = leaving.popleft()
                self.fleet.store.put('keyed.servers', gone.engine_id, None)
                gone.crash()
                self.record.write(f'engine {gone.engine_id} has left')
            number += 1

    def run(self) -> bool:
        targets = [(self.stream, number) for number in range(STREAMS)]
        targets += [(self.check, number) for number in range(CHECKERS)]
        threads = [
            threading.Thread(target=target, args=(number,), daemon=True)
            for target, number in targets
        ]
        if HAS_TROUBLE:
            threads.append(threading.Thread(target=self.release, daemon=True))
        ends_at = time.monotonic() + PLAY_S
        for thread in threads:
            thread.start()
        while time.monotonic() < ends_at and self.late < ENOUGH_LATE:
            time.sleep(1)
            self.record.write(f'counts: {self.counts}')
        self.closed.set()
        self.record.write(
            f'requests without an answer at {TIMEOUT_S} s: '
            f'{self.unanswered_at_timeout}; of these without one {GRACE_S} s later: '
            f'{self.late}'
        )
        return self.late > CHECKERS and 2 * self.late > self.unanswered_at_timeout


def play(record: Record) -> bool:
    with Fleet(record) as fleet:
        fleet.store.put('keyed.op', 'config', configuration(1))
        for number in range(ENGINES):
            engine = fleet.add_engine(f'e-{number}', 'models')
            engine.faults.event_s = EVENT_S
        for number in range(3):
            fleet.add_engine(f'l-{number}', 'ledger', '')
        fleet.add_daemons(1)
        fleet.wait_ready()
        return Play(fleet, record).run()


if __name__ == '__main__':
    run_case(sys.argv[1], play)
