"""Whether a request may wait at an endpoint, and what it is told if not."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from pimentohoist._decisions.knee import KneeEstimate, ServiceSample
from pimentohoist._decisions.queue import FairQueue, QueuedRequest
from pimentohoist._decisions.residency import Residency
from pimentohoist.models import AdapterVersion

_SMOOTHING = 0.1
_FASTEST_DRIFT = 1.02
_FIRST_SERVICE_S = 0.25
_FIRST_LOAD_S = 1.0
_MIN_RETRY_S = 0.1


class Reason(StrEnum):
    """Why a home refuses a request."""

    BUSY = 'busy'
    DEADLINE = 'deadline'
    DOWN = 'down'
    LOAD_FAILED = 'load_failed'
    MOVED = 'moved'
    SETTLING = 'settling'


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that does not run here, and when to come back."""

    request_id: str
    reason: Reason
    retry_after_s: float

    @classmethod
    def of(cls, entry: QueuedRequest, reason: Reason, retry_after_s: float) -> Refusal:
        """Return a refusal with a time to come back that is not too short."""
        return cls(entry.request_id, reason, max(_MIN_RETRY_S, retry_after_s))


class Estimate:
    """A smoothed duration, and the shortest of late.

    Only the shortest decides on refusals for good: a mean that has grown too large would
    refuse every request and so never see the sample that corrects it.
    """

    def __init__(self, first_s: float) -> None:
        self.mean_s = first_s
        self.fastest_s = float(0)

    def record(self, sample_s: float) -> None:
        """Take one measured duration in."""
        self.mean_s += _SMOOTHING * (sample_s - self.mean_s)
        drifted_s = self.fastest_s * _FASTEST_DRIFT or sample_s
        self.fastest_s = min(sample_s, drifted_s)


class Admission:
    """Durations measured at one endpoint, and what follows from them for a request.

    Attributes
    ----------
    service, load : Estimate
        Of requests and of loads.
    knee : KneeEstimate
        Found from the times of requests.
    settled_at : float
        Before this time nothing is evicted, since pins given by a former home may
        not be known.
    """

    def __init__(
        self, queue: FairQueue, residency: Residency, knee_requests: int
    ) -> None:
        self.queue = queue
        self.residency = residency
        self.knee = KneeEstimate(knee_requests)
        self.settled_at = float('-inf')
        self.service = Estimate(_FIRST_SERVICE_S)
        self.load = Estimate(_FIRST_LOAD_S)

    @property
    def knee_requests(self) -> int:
        """Return how many requests to keep in flight."""
        return self.knee.limit

    def record_service(self, service_s: float, sample: ServiceSample | None) -> None:
        """Take in how long a request ran, and how fast if that is known."""
        self.service.record(service_s)
        if sample is not None:
            self.knee.record(sample)

    def is_settled(self, now: float) -> bool:
        """Return whether all pins are known."""
        return now >= self.settled_at

    def objection(
        self,
        entry: QueuedRequest,
        starts: Sequence[float],
        now: float,
        *,
        must_queue: bool,
    ) -> Refusal | None:
        """Return why the request may not wait here; None if it may.

        Parameters
        ----------
        starts : sequence of float
            When each request in flight has started.
        must_queue : bool
            Whether the request has nowhere else to go, busy or not.
        """
        wait_s = self.queue_wait_s(entry, starts, now)
        adapter = entry.adapter
        if adapter is not None and not self.residency.is_held(adapter):
            refusal = self._load_objection(entry, adapter, now)
            if refusal is not None:
                return refusal
        elif not must_queue and wait_s > self.load.mean_s:
            return Refusal.of(entry, Reason.BUSY, wait_s)
        if now + wait_s + self.min_service_s(entry) > entry.deadline:
            return Refusal.of(entry, Reason.DEADLINE, wait_s)
        return None

    def queue_wait_s(
        self, entry: QueuedRequest, starts: Sequence[float], now: float
    ) -> float:
        """Return how long the request would probably wait for its turn."""
        ahead = self.queue.ahead_of(entry) + len(starts) - self.knee_requests
        if ahead < 0:
            return 0
        first_free_s = max(0, self.service.mean_s - (now - min(starts, default=now)))
        return first_free_s + ahead * self.service.mean_s / self.knee_requests

    def min_service_s(self, entry: QueuedRequest) -> float:
        """Return the time without which the request surely can't end."""
        is_held = entry.adapter is None or self.residency.is_held(entry.adapter)
        load_s = 0 if is_held else self.load.fastest_s
        return load_s + self.service.fastest_s

    def _load_objection(
        self, entry: QueuedRequest, adapter: AdapterVersion, now: float
    ) -> Refusal | None:
        backoff_s = self.residency.backoff_s(adapter, now)
        if backoff_s > 0:
            return Refusal.of(entry, Reason.LOAD_FAILED, backoff_s)
        if self.residency.free_slots() <= 0 and not self.is_settled(now):
            return Refusal.of(entry, Reason.SETTLING, self.settled_at - now)
        return None
