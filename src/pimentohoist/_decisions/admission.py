"""Admission of requests to an endpoint's queue, and refusals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from pimentohoist._decisions.knee import KneeEstimate, ServiceSample
from pimentohoist._decisions.queue import FairQueue, QueuedRequest
from pimentohoist._decisions.residency import Residency
from pimentohoist.models import AdapterVersion

_MEAN_WEIGHT = 0.1
_SHORTEST_GROWTH = 1.02
_INITIAL_SERVICE_S = 0.25
_INITIAL_LOAD_S = 1.0
_MIN_RETRY_AFTER_S = 0.1


class RefusalReason(StrEnum):
    """Why an owner refuses a request."""

    BUSY = 'busy'
    DEADLINE = 'deadline'
    DOWN = 'down'
    LOAD_FAILED = 'load_failed'
    MOVED = 'moved'
    SETTLING = 'settling'


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request, the reason, and after how long to retry."""

    request_id: str
    reason: RefusalReason
    retry_after_s: float

    @classmethod
    def of(
        cls, entry: QueuedRequest, reason: RefusalReason, retry_after_s: float
    ) -> Refusal:
        """Return a refusal with at least the minimal time until a retry."""
        return cls(entry.request_id, reason, max(_MIN_RETRY_AFTER_S, retry_after_s))


class DurationEstimate:
    """The smoothed mean of a duration, and its shortest recent value.

    Only the shortest decides on final refusals: a mean that has grown too large would
    refuse every request, and the sample that corrects it would never be measured.
    """

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self.shortest_s = float(0)

    def record(self, duration_s: float) -> None:
        """Record one measured duration."""
        self.mean_s += _MEAN_WEIGHT * (duration_s - self.mean_s)
        grown_s = self.shortest_s * _SHORTEST_GROWTH or duration_s
        self.shortest_s = min(duration_s, grown_s)


class Admission:
    """Admission to one endpoint, by the durations measured there.

    Attributes
    ----------
    service, load : DurationEstimate
        Durations of requests and of loads.
    knee : KneeEstimate
        Estimated from the durations of requests.
    settled_at : float
        Before this time nothing is evicted, since pins from a former owner may not be
        known yet.
    """

    def __init__(
        self, queue: FairQueue, residency: Residency, knee_requests: int
    ) -> None:
        self.queue = queue
        self.residency = residency
        self.knee = KneeEstimate(knee_requests)
        self.settled_at = float('-inf')
        self.service = DurationEstimate(_INITIAL_SERVICE_S)
        self.load = DurationEstimate(_INITIAL_LOAD_S)

    @property
    def knee_requests(self) -> int:
        """Return the limit of requests in flight."""
        return self.knee.limit

    def record_service(self, service_s: float, sample: ServiceSample | None) -> None:
        """Record how long a request ran, and its time per token if that is known."""
        self.service.record(service_s)
        if sample is not None:
            self.knee.record(sample)

    def is_settled(self, now: float) -> bool:
        """Return whether the pins from a former owner are known."""
        return now >= self.settled_at

    def refusal_for(
        self,
        entry: QueuedRequest,
        start_times: Sequence[float],
        now: float,
        *,
        must_queue: bool,
    ) -> Refusal | None:
        """Return the refusal of a request; None if it may be queued.

        Parameters
        ----------
        start_times : sequence of float
            When each request in flight started.
        must_queue : bool
            Whether the request is queued even if the endpoint is busy, since no other
            endpoint can take it.
        """
        wait_s = self.queue_wait_s(entry, start_times, now)
        adapter = entry.adapter
        if adapter is not None and not self.residency.is_held(adapter):
            refusal = self._load_refusal(entry, adapter, now)
            if refusal is not None:
                return refusal
        elif not must_queue and wait_s > self.load.mean_s:
            return Refusal.of(entry, RefusalReason.BUSY, wait_s)
        if now + wait_s + self.min_service_s(entry) > entry.deadline:
            return Refusal.of(entry, RefusalReason.DEADLINE, wait_s)
        return None

    def queue_wait_s(
        self, entry: QueuedRequest, start_times: Sequence[float], now: float
    ) -> float:
        """Return how long the request would probably wait in the queue."""
        ahead = self.queue.count_ahead_of(entry) + len(start_times) - self.knee_requests
        if ahead < 0:
            return 0
        until_free_s = max(
            0, self.service.mean_s - (now - min(start_times, default=now))
        )
        return until_free_s + ahead * self.service.mean_s / self.knee_requests

    def min_service_s(self, entry: QueuedRequest) -> float:
        """Return the least time that the request needs to end."""
        is_held = entry.adapter is None or self.residency.is_held(entry.adapter)
        load_s = 0 if is_held else self.load.shortest_s
        return load_s + self.service.shortest_s

    def _load_refusal(
        self, entry: QueuedRequest, adapter: AdapterVersion, now: float
    ) -> Refusal | None:
        backoff_s = self.residency.backoff_s(adapter, now)
        if backoff_s > 0:
            return Refusal.of(entry, RefusalReason.LOAD_FAILED, backoff_s)
        if self.residency.free_slots() <= 0 and not self.is_settled(now):
            return Refusal.of(entry, RefusalReason.SETTLING, self.settled_at - now)
        return None
