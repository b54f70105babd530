"""All that an endpoint's home decides: who runs, who is refused, what is loaded."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from pimentohoist._decisions.admission import Admission, Reason, Refusal
from pimentohoist._decisions.knee import ServiceSample
from pimentohoist._decisions.loads import LoadRequest
from pimentohoist._decisions.queue import FairQueue, Lane, QueuedRequest
from pimentohoist._decisions.residency import Residency
from pimentohoist.models import AdapterVersion

PIN_GRACE_S = 1.0
"""Time for which a pin outlives its deadline, until the engine has noticed the end."""

_DOWN_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Pin:
    """A request's hold on an endpoint and an adapter, until its deadline.

    Attributes
    ----------
    cost : float
        In tokens; 0 if it is not known.
    in_flight : int
        Requests on the endpoint at the start, this one included.
    """

    pin_id: str
    adapter: AdapterVersion | None
    deadline: float
    is_alone: bool = False
    started_at: float = 0
    cost: float = 0
    in_flight: int = 0

    @classmethod
    def of(cls, entry: QueuedRequest, now: float, in_flight: int) -> Pin:
        """Return the pin of a request that starts now."""
        return cls(
            entry.request_id,
            entry.adapter,
            entry.deadline,
            entry.is_alone,
            now,
            entry.cost,
            in_flight,
        )

    def sample(self, service_s: float, in_flight: int) -> ServiceSample | None:
        """Return how fast the request ran, if this home has seen it start."""
        if not (self.cost and self.in_flight):
            return None
        return ServiceSample(
            (self.in_flight + in_flight) // 2,
            service_s / self.cost,
            self.started_at,
            self.started_at + service_s,
        )


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """An adapter to load, after `victim` was evicted if there is one."""

    adapter: AdapterVersion
    victim: AdapterVersion | None


class EndpointState:
    """State of one endpoint at its home.

    Attributes
    ----------
    is_down : bool
        Whether it does not answer.
    pins : dict of str to Pin
        Requests in flight.
    """

    def __init__(self, slots: int, knee_requests: int) -> None:
        self.is_down = False
        self.queue = FairQueue()
        self.residency = Residency(slots)
        self.admission = Admission(self.queue, self.residency, knee_requests)
        self.pins: dict[str, Pin] = {}
        self._load_started: dict[AdapterVersion, float] = {}
        self._adopted: set[str] = set()

    def offer(
        self, entry: QueuedRequest, now: float, *, must_queue: bool = False
    ) -> Refusal | None:
        """Queue a request, or return why not; a repeat changes nothing."""
        if entry.request_id in self._adopted:
            # Whoever asks does not hold the pin: it was reported while being asked for.
            self._drop_pin(entry.request_id)
        if entry.request_id in self.queue.entries or entry.request_id in self.pins:
            return None
        if entry.adapter is not None:
            self.residency.record_request(entry.adapter, now)
        if self.is_down:
            return Refusal.of(entry, Reason.DOWN, _DOWN_RETRY_S)
        refusal = self.admission.objection(
            entry, _starts(self.pins.values()), now, must_queue=must_queue
        )
        if refusal is None:
            self.queue.add(entry)
        return refusal

    def dispatch(self, now: float) -> list[QueuedRequest]:
        """Pin and return the requests that run from now on."""
        self._drop_lapsed_pins(now)
        started: list[QueuedRequest] = []
        while not self.is_down and len(self.pins) < self.admission.knee_requests:
            entry = self.queue.take(self._can_run)
            if entry is None:
                break
            self.pins[entry.request_id] = Pin.of(entry, now, len(self.pins) + 1)
            started.append(entry)
        return started

    def refuse_hopeless(self, now: float) -> list[Refusal]:
        """Take out and return the requests that can no longer end in time."""
        hopeless = (
            entry
            for entry in tuple(self.queue.entries.values())
            if now + self.admission.min_service_s(entry) > entry.deadline
        )
        return [
            self._refuse(
                entry,
                Reason.DEADLINE,
                self.admission.queue_wait_s(entry, _starts(self.pins.values()), now),
            )
            for entry in hopeless
        ]

    def refuse_all(self, reason: Reason) -> list[Refusal]:
        """Take out and return all that wait."""
        entries = tuple(self.queue.entries.values())
        return [self._refuse(entry, reason, _DOWN_RETRY_S) for entry in entries]

    def release(self, pin_id: str, service_s: float, *, has_failed: bool) -> None:
        """Give a pin back, or give a waiting request up; unknown ones are ignored."""
        self.queue.remove(pin_id)
        in_flight = len(self.pins)
        pin = self._drop_pin(pin_id)
        if pin is None:
            return
        if not has_failed:
            sample = pin.sample(service_s, in_flight)
            self.admission.record_service(service_s, sample)
        elif pin.adapter is not None:
            self.residency.suspects.add(pin.adapter)

    def adopt(self, pins: Iterable[Pin]) -> None:
        """Take over pins that members hold from a former home."""
        for pin in pins:
            is_known = pin.pin_id in self.pins or pin.pin_id in self.queue.entries
            if not is_known:
                self.pins[pin.pin_id] = pin
                self._adopted.add(pin.pin_id)

    def load_requests(self, now: float) -> list[LoadRequest]:
        """Return the adapters to load, none if there is no room for one."""
        if self.is_down or not self._has_room(now):
            return []
        waiting: dict[AdapterVersion, list[QueuedRequest]] = {}
        for entry in self.queue.entries.values():
            adapter = entry.adapter
            if adapter is not None and not self.residency.is_held(adapter):
                waiting.setdefault(adapter, []).append(entry)
        return [
            _load_request(adapter, entries, now) for adapter, entries in waiting.items()
        ]

    def begin_load(self, adapter: AdapterVersion, now: float) -> LoadPlan | None:
        """Return what to order for a permitted load; None if it is not possible now."""
        if self.is_down or self.residency.is_held(adapter) or not self._has_room(now):
            return None
        is_free = self.residency.free_slots() > 0
        victim = None if is_free else self.residency.victim(self._needed(), now)
        self.residency.begin_load(adapter, victim, now)
        self._load_started[adapter] = now
        return LoadPlan(adapter, victim)

    def end_load(
        self, adapter: AdapterVersion, *, is_loaded: bool, now: float
    ) -> list[Refusal]:
        """Note how a load ended; if it failed, return those who waited for it."""
        started_at = self._load_started.pop(adapter, now)
        self.residency.end_load(adapter, is_loaded=is_loaded, now=now)
        if is_loaded:
            self.admission.load.record(now - started_at)
            return []
        backoff_s = self.residency.backoff_s(adapter, now)
        entries = tuple(self.queue.entries.values())
        return [
            self._refuse(entry, Reason.LOAD_FAILED, backoff_s)
            for entry in entries
            if entry.adapter == adapter
        ]

    def mark_down(self) -> list[Refusal]:
        """Note that the endpoint does not answer; return all that wait."""
        self.is_down = True
        self.residency.resident.clear()
        return self.refuse_all(Reason.DOWN)

    def apply_report(self, reported: Collection[AdapterVersion], now: float) -> None:
        """Note that the endpoint answers, and what it reports as resident."""
        self.is_down = False
        self.residency.apply_report(reported, now)

    def _refuse(
        self, entry: QueuedRequest, reason: Reason, retry_after_s: float
    ) -> Refusal:
        self.queue.remove(entry.request_id)
        return Refusal.of(entry, reason, retry_after_s)

    def _can_run(self, lane: Lane) -> bool:
        is_taken = lane.is_alone and any(pin.is_alone for pin in self.pins.values())
        return not is_taken and self.residency.is_ready(lane.adapter)

    def _has_room(self, now: float) -> bool:
        if self.residency.free_slots() > 0:
            return True
        if not self.admission.is_settled(now):
            return False
        return self.residency.victim(self._needed(), now) is not None

    def _needed(self) -> set[AdapterVersion]:
        pinned = {pin.adapter for pin in self.pins.values()}
        waited_for = {entry.adapter for entry in self.queue.entries.values()}
        return {adapter for adapter in pinned | waited_for if adapter is not None}

    def _drop_lapsed_pins(self, now: float) -> None:
        lapsed = [
            pin_id
            for pin_id, pin in self.pins.items()
            if pin.deadline + PIN_GRACE_S <= now
        ]
        for pin_id in lapsed:
            self._drop_pin(pin_id)

    def _drop_pin(self, pin_id: str) -> Pin | None:
        self._adopted.discard(pin_id)
        return self.pins.pop(pin_id, None)


def _starts(pins: Iterable[Pin]) -> tuple[float, ...]:
    return tuple(pin.started_at for pin in pins)


def _load_request(
    adapter: AdapterVersion, entries: list[QueuedRequest], now: float
) -> LoadRequest:
    return LoadRequest(
        adapter,
        entries[0].workspace,
        len(entries),
        sum(entry.is_urgent for entry in entries),
        sum(now - entry.arrived_at for entry in entries),
    )
