"""The requests that wait for the adapter slots of one engine."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from pimentohoist._decisions.waiting_order import (
    MIDDLE_PRIORITY,
    RefusalReason,
    RequestNeeds,
    WaitingOrder,
    WaitingRequest,
)
from pimentohoist.entry_models import AdapterKey

_ROOM = 32
"""Adapters that requests may wait for. Each request of another daemon holds one of the
daemon's 96 threads for peers, and a daemon may own several engines."""

_MS_PER_S = 1000
_RECHECK_S = 0.1
"""Pins expire without an event, so the queue checks the adapter slots this often: a third
of the time for which an adapter stays pinned."""


class Loads(Protocol):
    """Begins the loads of an engine."""

    def is_loaded_or_loading(self, adapter: AdapterKey) -> bool:
        """Return whether an adapter has an adapter slot or is about to get one."""

    def begin_load(self, adapter: AdapterKey, version: int) -> bool:
        """Begin a load if that is needed and possible; return whether it was begun."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits.

    Attributes
    ----------
    is_probe : bool
        Whether it leaves at once if its load can't begin now.
    refusal : RefusalReason or None
        Why it was refused meanwhile, if it was.
    """

    adapter: AdapterKey
    version: int
    request: WaitingRequest
    is_probe: bool
    refusal: RefusalReason | None = None


class AdapterQueue:
    """Begins loads for waiting requests in the order of `WaitingOrder`.

    Its user holds a lock around each call.

    Attributes
    ----------
    recheck_s : float
        Longest time in seconds between two calls of `serve` while requests wait.
    """

    def __init__(self, loads: Loads) -> None:
        self.loads = loads
        self.recheck_s = _RECHECK_S
        self.order = WaitingOrder(_ROOM)
        self._least_load_s = float(0)
        self._waiters: list[Waiter] = []
        self._decision = self.order.decide((), 0)
        self._served_at = float('-inf')

    def __len__(self) -> int:
        """Return the number of requests that wait, also for loads that have begun."""
        return len(self._waiters)

    def add(
        self,
        adapter: AdapterKey,
        version: int,
        needs: RequestNeeds,
        now: float,
        *,
        is_probe: bool = False,
    ) -> Waiter:
        """Add a request and begin what loads can begin now."""
        if not self.loads.is_loaded_or_loading(adapter):
            work = replace(needs.work, load_s=self._least_load_s)
            needs = replace(needs, work=work)
        waiter = Waiter(adapter, version, WaitingRequest(needs), is_probe)
        self._waiters.append(waiter)
        self.serve(now)
        return waiter

    def remove(self, waiter: Waiter, now: float) -> None:
        """Remove a request that waits no longer."""
        self._waiters.remove(waiter)
        self.order.record_waiting(self._decision, self._queued(), now)

    def is_due(self, now: float) -> bool:
        """Return whether the adapter slots were last checked some time ago."""
        return now - self._served_at >= self.recheck_s

    def serve(self, now: float) -> None:
        """Begin the loads that can begin, and refuse whom the queue can't serve."""
        self._served_at = now
        for waiter in self._waiters:
            if self.loads.is_loaded_or_loading(waiter.adapter):
                # A load that was lost, or an outdated adapter, must be ordered again.
                self.loads.begin_load(waiter.adapter, waiter.version)
        queued = self._queued()
        self._decision = self.order.decide(queued, now)
        has_probe = any(one.is_probe for one in queued.values())
        for refused, reason in self._decision.refused.items():
            # A probe that leaves again takes nobody's place.
            if queued[refused].is_probe or not has_probe:
                queued[refused].refusal = reason
        started = self._begin_loads(queued[request] for request in self._decision.order)
        self.order.record_turns(self._decision, started, now)

    def wait_s(self, waiter: Waiter) -> float | None:
        """Return the expected wait in seconds of a request, or of one that comes now.

        It is None as long as too few loads were measured.
        """
        if self.loads.is_loaded_or_loading(waiter.adapter):
            return self._least_load_s or None
        if waiter.request in self._decision.order:
            return self._decision.wait_s(waiter.request) or None
        return self._decision.retry_after_s or None

    def record_load(self, duration_s: float) -> None:
        """Record how long a load took."""
        self._least_load_s = min(self._least_load_s or duration_s, duration_s)

    def dump(self) -> dict[str, int]:
        """Return how many requests wait, and the time between two turns; 0 if unknown.

        It may be called without the lock.
        """
        turn_ms = round(self.order.pace.turn_s * _MS_PER_S)
        return {'waiting': len(self._waiters), 'turn_ms': turn_ms}

    def _queued(self) -> dict[WaitingRequest, Waiter]:
        """Return the most pressing request of each adapter that has to be loaded."""
        by_adapter: dict[AdapterKey, Waiter] = {}
        for waiter in sorted(self._waiters, key=_on_time_until):
            is_served = self.loads.is_loaded_or_loading(waiter.adapter)
            if waiter.refusal is None and not is_served:
                by_adapter.setdefault(waiter.adapter, waiter)
        return {first.request: first for first in by_adapter.values()}

    def _begin_loads(self, waiters: Iterable[Waiter]) -> list[WaitingRequest]:
        """Begin loads as long as that is possible; return for whom they were begun."""
        started = []
        for waiter in waiters:
            if not self.loads.begin_load(waiter.adapter, waiter.version):
                break
            started.append(waiter.request)
        return started


def default_needs(deadline: float, now: float) -> RequestNeeds:
    """Return the needs of a request of which only the end of its wait is known.

    Builds before the fields of `HoldRequest` on the order don't name them.
    """
    until = max(deadline, now)
    return RequestNeeds(MIDDLE_PRIORITY, until, until)


def _on_time_until(waiter: Waiter) -> float:
    return waiter.request.on_time_until
