"""A fleet whose engines crash on a part of a prompt, and its callers."""

from __future__ import annotations

import contextlib
import http.client
import itertools
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any, Self

from entry_fleet import MODEL, EntryFleet, Response

from pimentohoist_standins.opaque_engine import OpaqueEngine

CRASHING_PART = 'crashes'
CONTACT_S = 3.0
"""The stated time until daemons have to have heard of an event."""

_OUTAGE_S = 1.0
_POLL_S = 0.02
_CRASHING_INTERVAL_S = 0.2
_CALLERS = 6
_SUBJECTS = 60
_SEED = 26


class CrashingEngine(OpaqueEngine):
    """Records when requests with the crashing part arrived."""

    def __init__(self, address: tuple[str, int], engine_id: str) -> None:
        super().__init__(address, engine_id, MODEL)
        self.faults.crashing_parts = frozenset((CRASHING_PART,))
        self.crashing_arrivals: list[float] = []

    def record_arrival(
        self, path: str, headers: dict[str, str], client_host: str
    ) -> int:
        if CRASHING_PART in headers.get('pimentohoist-prompt-prefix', ''):
            self.crashing_arrivals.append(time.monotonic())
        return 0


@dataclass(frozen=True)
class SoundRequest:
    """When a request without the crashing part was sent, and whether it was served."""

    sent_at: float
    subject: str
    is_served: bool


@dataclass
class CrashingFleet:
    """Engines that come back some time after a crash, and callers.

    Attributes
    ----------
    engines : list of CrashingEngine
        All incarnations.
    sound : list of SoundRequest
        Requests that have ended.
    """

    fleet: EntryFleet
    engines: list[CrashingEngine] = field(default_factory=list)
    sound: list[SoundRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.closed = threading.Event()
        self.crashing = threading.Event()
        self.threads: list[threading.Thread] = []
        self.numbers = itertools.count(1)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.closed.set()
        for thread in self.threads:
            thread.join()

    def start(self, engines: int) -> None:
        for number in range(engines):
            self.add_engine((f'{self.fleet.network}.{10 + number}', 9000))
        for target in (self.restart_engines, self.send_crashing):
            self.start_thread(target)

    def start_callers(self) -> None:
        for number in range(_CALLERS):
            self.start_thread(self.send_sound, random.Random(_SEED + number))

    def start_thread(self, target: Any, *arguments: Any) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self.threads.append(thread)
        thread.start()

    def add_engine(self, address: tuple[str, int]) -> CrashingEngine:
        engine = CrashingEngine(address, f'engine-{len(self.engines)}')
        self.fleet.stack.enter_context(engine)
        self.engines.append(engine)
        self.fleet.store.put('keyed.servers', engine.engine_id, engine.entry('models'))
        return engine

    def crashes(self) -> list[float]:
        times = (engine.state.crashed_at for engine in self.engines)
        return sorted(at for at in times if at is not None)

    def crashing_arrivals(self) -> list[float]:
        return sorted(at for engine in self.engines for at in engine.crashing_arrivals)

    def restart_engines(self) -> None:
        """Start engines again at their addresses, under new ids and empty."""
        running = list(self.engines)
        while not self.closed.wait(_POLL_S):
            for engine in tuple(running):
                crashed_at = engine.state.crashed_at
                if crashed_at and time.monotonic() - crashed_at > _OUTAGE_S:
                    running.remove(engine)
                    self.fleet.store.put('keyed.servers', engine.engine_id, None)
                    host, _, port = engine.address.partition(':')
                    running.append(self.add_engine((host, int(port))))

    def send_crashing(self) -> None:
        """Send requests with the part to each daemon in turn while they are wanted."""
        while not self.closed.wait(_CRASHING_INTERVAL_S):
            if self.crashing.is_set():
                self.start_thread(self.send, 'subject-0', CRASHING_PART)

    def send_sound(self, choice: random.Random) -> None:
        while not self.closed.wait(_POLL_S):
            subject = f'subject-{min(choice.randrange(_SUBJECTS), choice.randrange(_SUBJECTS))}'
            sent_at = time.monotonic()
            is_served = self.send(subject)
            self.sound.append(SoundRequest(sent_at, subject, is_served))

    def send(self, *parts: str) -> bool:
        """Send a request with these shared parts; return whether it was served."""
        number = next(self.numbers)
        with contextlib.suppress(OSError, http.client.HTTPException):
            daemon = number % len(self.fleet.daemons)
            return self.request(*parts, daemon=daemon).status == http.HTTPStatus.OK
        return False

    def request(self, *parts: str, daemon: int) -> Response:
        """Send a request with these shared parts and one of its own."""
        number = next(self.numbers)
        ids = ('first', *parts, f'own-{number}')
        return self.fleet.send_request(
            daemon=daemon,
            adapter=f'a{number % 6}',
            body=f'{number}'.encode(),
            Pimentohoist_Prompt_Prefix=','.join(f'{part}:30' for part in ids),
        )
