"""Minimal stand-in for an engine of the users' platform, for tests."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any

from pimentohoist_standins._soak.records import RunOutcome
from pimentohoist_standins._threaded import ThreadedStandIn
from pimentohoist_standins.opaque_engine_handler import EngineHandler
from pimentohoist_standins.opaque_engine_state import (
    BrokenStream,
    EngineFaults,
    EngineState,
)

_MS_PER_S = 1000


class OpaqueEngine(ThreadedStandIn):
    """An engine that serves one model, or a plain service if `model` is empty."""

    zone = 'a'
    cold_until: float = 0

    def __init__(self, address: tuple[str, int], engine_id: str, model: str) -> None:
        super().__init__(address, _handler(self))
        self.engine_id = engine_id
        self.model = model
        self.version = 'v1'
        self.started_ms = 1
        self.faults = EngineFaults()
        self.state = EngineState()
        self.lock = threading.Lock()

    def entry(self, group: str, state: str = 'ready') -> dict[str, Any]:
        """Return the instance's entry in the store."""
        return {
            'service': group,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': 8,
            'state': state,
            'cold-ms': self.cold_ms(),
            'born': self.started_ms,
            'seq': self.state.accepted_orders,
            **({'models': self.models()} if self.model else {}),
        }

    def cold_ms(self) -> int:
        """Return how much longer it stays cold, in milliseconds."""
        return max(0, round((self.cold_until - time.monotonic()) * _MS_PER_S))

    def models(self) -> list[dict[str, Any]]:
        """Return the model with its loaded adapters."""
        now = time.monotonic()
        ready_adapters = [
            f'{name}@{self.state.versions[name]}'
            for name, ready_at in self.state.adapters.items()
            if ready_at <= now
        ]
        return [{'name': self.model, 'version': 1, 'adapters': ready_adapters}]

    def report(self) -> dict[str, Any]:
        """Return the response to ``/v1/report``: ready and loading adapters."""
        now = time.monotonic()
        loading = [
            f'{self.model}/{name}@{self.state.versions[name]}'
            for name, ready_at in self.state.adapters.items()
            if ready_at > now
        ]
        return {
            'born': self.started_ms,
            'seq': self.state.accepted_orders,
            'models': self.models(),
            'coming': loading,
        }

    def order(self, document: dict[str, Any]) -> HTTPStatus:
        """Carry out an order."""
        state, name = self.state, document.get('adapter', '')
        with self.lock:
            state.holders[document['fence']].add(document['holder'])
            if document['fence'] < state.fence:
                return HTTPStatus.PRECONDITION_FAILED
            state.fence = document['fence']
            done_status = self._status_if_done(document, name)
            if done_status is not None:
                return done_status
            if document['expect'] != state.accepted_orders:
                return HTTPStatus.CONFLICT
            state.accepted_orders += 1
            if document['opcode'] == 'unload':
                state.adapters.pop(name)
                return HTTPStatus.OK
            self._load(name, document.get('version', 1))
            return HTTPStatus.ACCEPTED

    def refusal(self, headers: dict[str, str]) -> HTTPStatus | None:
        """Return the status that refuses a request; None if it is executed."""
        if headers.get('pimentohoist-expect-instance') != self.engine_id:
            return HTTPStatus.MISDIRECTED_REQUEST
        _, _, name = headers.get('pimentohoist-model', '').partition('/')
        ready_at = self.state.adapters.get(name, float('inf') if name else 0)
        if ready_at > time.monotonic():
            return HTTPStatus.MISDIRECTED_REQUEST
        expected = headers.get('pimentohoist-expect-version')
        if expected is not None and int(expected) != self.state.versions.get(name):
            return HTTPStatus.MISDIRECTED_REQUEST
        return None

    @contextmanager
    def occupied(self) -> Iterator[bool]:
        """Take a place while a request is executed; yield whether there is one."""
        state, room = self.state, self.faults.room
        with self.lock:
            has_room = room is None or state.running < room
            if has_room:
                state.running += 1
            else:
                state.turn_away(self.faults.brittle, time.monotonic())
        try:
            yield has_room
        finally:
            with self.lock:
                state.running -= has_room

    def take_endless(self) -> bool:
        """Return whether the next answer is endless, and count it."""
        with self.lock:
            self.faults.endless_answers -= 1
            return self.faults.endless_answers >= 0

    def crash_on(self, headers: dict[str, str]) -> None:
        """Crash if a request has a part that crashes it."""
        parts = headers.get('pimentohoist-prompt-prefix', '').split(',')
        ids = {part.partition(':')[0] for part in parts[:-1]}
        if ids & self.faults.crashing_parts and self.state.crashed_at is None:
            self.state.crashed_at = time.monotonic()
            self.crash()

    def take_broken_stream(self) -> BrokenStream | None:
        """Return how the next stream is broken, once; None if it is whole."""
        faults = self.faults
        cut_after_events, faults.cut_after_events = faults.cut_after_events, None
        if cut_after_events is not None:
            return BrokenStream(cut_after_events, b'id: 9', is_body_ended=False)
        return faults.broken_streams.pop() if faults.broken_streams else None

    def endless_after_events(self) -> float:
        """Return the number of events of the next stream before an endless one."""
        events = self.faults.endless_after_events
        return float('inf') if events is None or not self.take_endless() else events

    def record_arrival(
        self, path: str, headers: dict[str, str], client_host: str
    ) -> int:
        """Record that a request arrived; return a number for `record_end`."""
        return 0

    def record_end(
        self, arrival: int, outcome: RunOutcome, status: int, last_event: int | None
    ) -> None:
        """Record how a request ended, the status and last event that were sent."""

    def _status_if_done(self, document: dict[str, Any], name: str) -> HTTPStatus | None:
        """Return the status of an order that changes nothing, otherwise None."""
        ready_at = self.state.adapters.get(name)
        if document['opcode'] == 'unload':
            return HTTPStatus.OK if ready_at is None else None
        is_same = self.state.versions.get(name) == document.get('version', 1)
        if ready_at is None or not is_same:
            return None
        is_ready = ready_at <= time.monotonic()
        return HTTPStatus.OK if is_ready else HTTPStatus.ACCEPTED

    def _load(self, name: str, version: int) -> None:
        state = self.state
        state.adapters[name] = time.monotonic() + self.faults.load_s
        state.versions[name] = version
        state.loads[name] += 1
        state.is_overloaded |= len(state.adapters) > state.capacity


def _handler(engine: OpaqueEngine) -> type[EngineHandler]:
    return type('_Handler', (EngineHandler,), {'engine': engine})
