"""Decisions of an endpoint's owner on dispatch, refusals and loads."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from pimentohoist._decisions.admission import Admission, RefusalReason, Refusal
from pimentohoist._decisions.knee import ServiceSample
from pimentohoist._decisions.loads import LoadRequest
from pimentohoist._decisions.queue import DispatchClass, FairQueue, QueuedRequest
from pimentohoist._decisions.residency import Residency
from pimentohoist.models import AdapterVersion

PIN_GRACE_S = 1.0
"""A pin outlives its deadline by this time, in which the engine notices the end."""

_DOWN_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Pin:
    """A request in flight on an endpoint, with its adapter, until its deadline.

    The adapter can't be evicted meanwhile.

    Attributes
    ----------
    deadline, started_at : float
        Monotonic time in seconds.
    is_exclusive : bool
        Whether no other request of this kind may run beside it.
    cost_tokens : float
        In tokens; 0 if it is unknown.
    in_flight : int
        Requests in flight on the endpoint when it started, itself included.
    """

    pin_id: str
    adapter: AdapterVersion | None
    deadline: float
    is_exclusive: bool = False
    started_at: float = 0
    cost_tokens: float = 0
    in_flight: int = 0

    @classmethod
    def of(cls, entry: QueuedRequest, now: float, in_flight: int) -> Pin:
        """Return the pin of a request that starts now, one of `in_flight`."""
        return cls(
            entry.request_id,
            entry.adapter,
            entry.deadline,
            entry.is_exclusive,
            now,
            entry.cost_tokens,
            in_flight,
        )

    def sample(self, service_s: float, in_flight: int) -> ServiceSample | None:
        """Return the request's time per token; None if another owner dispatched it."""
        if not (self.cost_tokens and self.in_flight):
            return None
        return ServiceSample(
            (self.in_flight + in_flight) // 2,
            service_s / self.cost_tokens,
            self.started_at,
            self.started_at + service_s,
        )


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """An adapter to load, and the victim to evict before, if any."""

    adapter: AdapterVersion
    victim: AdapterVersion | None


class EndpointState:
    """State of one endpoint at its owner.

    Attributes
    ----------
    is_down : bool
        Whether the endpoint does not answer.
    pins : dict of str to Pin
        Requests in flight, by pin id.
    """

    def __init__(self, slots: int, knee_requests: int) -> None:
        self.is_down = False
        self.queue = FairQueue()
        self.residency = Residency(slots)
        self.admission = Admission(self.queue, self.residency, knee_requests)
        self.pins: dict[str, Pin] = {}
        self._load_started: dict[AdapterVersion, float] = {}
        self._adopted: set[str] = set()

    def enqueue(
        self, entry: QueuedRequest, now: float, *, must_queue: bool = False
    ) -> Refusal | None:
        """Queue a request or return its refusal; a repeated request changes nothing."""
        if entry.request_id in self._adopted:
            # The daemon that offers the request has no pin yet: the adopted one was
            # reported while the request was being offered.
            self._drop_pin(entry.request_id)
        if entry.request_id in self.queue.entries or entry.request_id in self.pins:
            return None
        if entry.adapter is not None:
            self.residency.record_request(entry.adapter, now)
        if self.is_down:
            return Refusal.of(entry, RefusalReason.DOWN, _DOWN_RETRY_AFTER_S)
        refusal = self.admission.refusal_for(
            entry, _start_times(self.pins.values()), now, must_queue=must_queue
        )
        if refusal is None:
            self.queue.add(entry)
        return refusal

    def dispatch(self, now: float) -> list[QueuedRequest]:
        """Pin and return the requests that start now."""
        self._drop_expired_pins(now)
        started: list[QueuedRequest] = []
        while not self.is_down and len(self.pins) < self.admission.knee_requests:
            entry = self.queue.take(self._can_run)
            if entry is None:
                break
            self.pins[entry.request_id] = Pin.of(entry, now, len(self.pins) + 1)
            started.append(entry)
        return started

    def refuse_late(self, now: float) -> list[Refusal]:
        """Remove and refuse queued requests that can't end by their deadline."""
        too_late = (
            entry
            for entry in tuple(self.queue.entries.values())
            if now + self.admission.min_service_s(entry) > entry.deadline
        )
        return [
            self._refuse(
                entry,
                RefusalReason.DEADLINE,
                self.admission.queue_wait_s(
                    entry, _start_times(self.pins.values()), now
                ),
            )
            for entry in too_late
        ]

    def refuse_all(self, reason: RefusalReason) -> list[Refusal]:
        """Remove and refuse all queued requests."""
        entries = tuple(self.queue.entries.values())
        return [self._refuse(entry, reason, _DOWN_RETRY_AFTER_S) for entry in entries]

    def release(self, pin_id: str, service_s: float, *, has_failed: bool) -> None:
        """Remove a pin or a queued request; an unknown id is ignored."""
        self.queue.remove(pin_id)
        in_flight = len(self.pins)
        pin = self._drop_pin(pin_id)
        if pin is None:
            return
        if not has_failed:
            sample = pin.sample(service_s, in_flight)
            self.admission.record_service(service_s, sample)
        elif pin.adapter is not None:
            self.residency.unconfirmed.add(pin.adapter)

    def adopt(self, pins: Iterable[Pin]) -> None:
        """Add the pins that members report from a former owner."""
        for pin in pins:
            is_known = pin.pin_id in self.pins or pin.pin_id in self.queue.entries
            if not is_known:
                self.pins[pin.pin_id] = pin
                self._adopted.add(pin.pin_id)

    def load_requests(self, now: float) -> list[LoadRequest]:
        """Return the load requests, none if no adapter can be loaded now."""
        if self.is_down or not self._has_load_capacity(now):
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
        """Return the plan of a permitted load; None if it can't begin now."""
        if (
            self.is_down
            or self.residency.is_held(adapter)
            or not self._has_load_capacity(now)
        ):
            return None
        is_free = self.residency.free_slots() > 0
        victim = (
            None if is_free else self.residency.victim(self._needed_adapters(), now)
        )
        self.residency.begin_load(adapter, victim, now)
        self._load_started[adapter] = now
        return LoadPlan(adapter, victim)

    def end_load(
        self, adapter: AdapterVersion, *, is_loaded: bool, now: float
    ) -> list[Refusal]:
        """Record the end of a load; if it failed, refuse the requests queued for it."""
        started_at = self._load_started.pop(adapter, now)
        self.residency.end_load(adapter, is_loaded=is_loaded, now=now)
        if is_loaded:
            self.admission.load.record(now - started_at)
            return []
        backoff_s = self.residency.backoff_s(adapter, now)
        entries = tuple(self.queue.entries.values())
        return [
            self._refuse(entry, RefusalReason.LOAD_FAILED, backoff_s)
            for entry in entries
            if entry.adapter == adapter
        ]

    def mark_down(self) -> list[Refusal]:
        """Record that the endpoint does not answer; refuse all queued requests."""
        self.is_down = True
        self.residency.resident.clear()
        return self.refuse_all(RefusalReason.DOWN)

    def apply_report(self, reported: Collection[AdapterVersion], now: float) -> None:
        """Record that the endpoint answers, and apply its report of adapters."""
        self.is_down = False
        self.residency.apply_report(reported, now)

    def _refuse(
        self, entry: QueuedRequest, reason: RefusalReason, retry_after_s: float
    ) -> Refusal:
        self.queue.remove(entry.request_id)
        return Refusal.of(entry, reason, retry_after_s)

    def _can_run(self, dispatch_class: DispatchClass) -> bool:
        is_blocked = dispatch_class.is_exclusive and any(
            pin.is_exclusive for pin in self.pins.values()
        )
        return not is_blocked and self.residency.is_ready(dispatch_class.adapter)

    def _has_load_capacity(self, now: float) -> bool:
        if self.residency.free_slots() > 0:
            return True
        if not self.admission.is_settled(now):
            return False
        return self.residency.victim(self._needed_adapters(), now) is not None

    def _needed_adapters(self) -> set[AdapterVersion]:
        pinned = {pin.adapter for pin in self.pins.values()}
        queued = {entry.adapter for entry in self.queue.entries.values()}
        return {adapter for adapter in pinned | queued if adapter is not None}

    def _drop_expired_pins(self, now: float) -> None:
        expired = [
            pin_id
            for pin_id, pin in self.pins.items()
            if pin.deadline + PIN_GRACE_S <= now
        ]
        for pin_id in expired:
            self._drop_pin(pin_id)

    def _drop_pin(self, pin_id: str) -> Pin | None:
        self._adopted.discard(pin_id)
        return self.pins.pop(pin_id, None)


def _start_times(pins: Iterable[Pin]) -> tuple[float, ...]:
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
