"""Requests of two deployments that wait for one engine's adapter slots, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from types import MappingProxyType

from pimentohoist._decisions.waiting_order import (
    ExpectedWork,
    RequestNeeds,
    WaitingOrder,
    WaitingRequest,
)

_TICK_S = 0.01
_WORKSPACES = 16


@dataclass(frozen=True)
class Kind:
    """A kind of stream: rate over 30 engines, times in seconds, sizes and worths."""

    name: str
    per_s: float
    target_s: float
    deadline_s: float
    priority: int
    prompt_tokens: int
    output_tokens: int
    on_time: float
    late: float


@dataclass(frozen=True)
class Deployment:
    """Kinds of streams, and what one of 30 engines does with them."""

    kinds: tuple[Kind, ...]
    adapter_slots: int
    load_s: float
    step_s: float
    prompt_tokens_per_s: float

    def first_event_s(self, kind: Kind) -> float:
        """Return the time from the start of the load to the first event."""
        return self.load_s + kind.prompt_tokens / self.prompt_tokens_per_s

    def service_s(self, kind: Kind) -> float:
        """Return the time from the start of the load to the last event."""
        return self.first_event_s(kind) + kind.output_tokens * self.step_s


DEPLOYMENTS = MappingProxyType(
    {
        'A': Deployment(
            (
                Kind('urgent', 317, 0.515, 6.177, 0, 646, 70, 3, 0.35),
                Kind('unhurried', 16.2, 1.015, 25.369, 1, 646, 70, 1.6, 0.47),
                Kind('long', 8.47, 2.035, 6.106, 2, 9190, 50, 1.7, 0.76),
            ),
            14,
            0.288,
            0.00673,
            30_600,
        ),
        'B': Deployment(
            (
                Kind('urgent', 317, 0.615, 5.123, 0, 646, 72, 2, 0.61),
                Kind('unhurried', 31.2, 1.015, 10.148, 0, 646, 72, 2, 0.61),
                Kind('long', 10, 0.835, 5.22, 2, 9190, 54, 4, 1.2),
            ),
            13,
            0.25,
            0.00547,
            38_700,
        ),
    }
)


@dataclass(frozen=True)
class Arrival:
    """A request of a kind at a time."""

    kind: Kind
    at: float
    workspace: str

    def needs(self, load_s: float) -> RequestNeeds:
        """Return what the order knows of the request."""
        kind = self.kind
        return RequestNeeds(
            kind.priority,
            self.at + kind.target_s,
            self.at + kind.deadline_s,
            ExpectedWork(kind.prompt_tokens, kind.output_tokens, load_s),
            self.workspace,
        )


class WaitingWorld:
    """One engine, each of whose requests needs an adapter that no other one needs.

    Attributes
    ----------
    ends : list
        Each arrival with when it began, None if it was refused, and when that was known.
    """

    def __init__(self, deployment: Deployment, *, is_by_chance: bool) -> None:
        self.deployment = deployment
        self.is_by_chance = is_by_chance
        self.random = random.Random(7)
        self.order = WaitingOrder(10_000)
        self.ends: list[tuple[Arrival, float | None, float]] = []
        self._waiting: dict[WaitingRequest, Arrival] = {}
        self._busy_until: list[float] = []

    def arrivals(self, kind: Kind, load: float, end_s: float) -> Iterator[Arrival]:
        """Yield requests of a kind at random moments."""
        now = self.random.expovariate(kind.per_s * load / 30)
        while now < end_s:
            workspace = f'w{self.random.randrange(_WORKSPACES)}'
            yield Arrival(kind, now, workspace)
            now += self.random.expovariate(kind.per_s * load / 30)

    def run(self, arrivals: list[Arrival]) -> None:
        """Run until all requests have begun or were refused."""
        pending = sorted(arrivals, key=lambda arrival: -arrival.at)
        now = float(0)
        while pending or self._waiting:
            now += _TICK_S
            while pending and pending[-1].at <= now:
                arrival = pending.pop()
                request = WaitingRequest(arrival.needs(self.deployment.load_s))
                self._waiting[request] = arrival
            self._busy_until = [until for until in self._busy_until if until > now]
            if self.is_by_chance:
                self._begin_by_chance(now)
            else:
                self._begin_in_order(now)

    def worth(self) -> float:
        """Return what the requests were worth to their callers."""
        return sum(self._worth(arrival, began) for arrival, began, _ in self.ends)

    def share_on_time(self, name: str) -> float:
        """Return the share of a kind's requests that were on time."""
        counts = Counter(
            self._worth(arrival, began) == arrival.kind.on_time
            for arrival, began, _ in self.ends
            if arrival.kind.name == name
        )
        return counts[True] / counts.total()

    def ends_of(self, name: str) -> list[tuple[Arrival, float | None, float]]:
        """Return the ends of a kind's requests."""
        return [end for end in self.ends if end[0].kind.name == name]

    def has_ended(self, arrival: Arrival, began: float | None) -> bool:
        """Return whether a request was served before its deadline."""
        if began is None:
            return False
        ended_at = began + self.deployment.service_s(arrival.kind)
        return ended_at <= arrival.at + arrival.kind.deadline_s

    def _worth(self, arrival: Arrival, began: float | None) -> float:
        kind = arrival.kind
        if began is None or not self.has_ended(arrival, began):
            return 0
        first_at = began + self.deployment.first_event_s(kind)
        return kind.on_time if first_at <= arrival.at + kind.target_s else kind.late

    def _begin(self, request: WaitingRequest, now: float) -> None:
        arrival = self._waiting.pop(request)
        self._busy_until.append(now + self.deployment.service_s(arrival.kind))
        self.ends.append((arrival, now, now))

    def _begin_in_order(self, now: float) -> None:
        decision = self.order.decide(self._waiting, now)
        for request in decision.refused:
            self.ends.append((self._waiting.pop(request), None, now))
        free = self.deployment.adapter_slots - len(self._busy_until)
        started = decision.order[:free]
        for request in started:
            self._begin(request, now)
        self.order.record_turns(decision, started, now)

    def _begin_by_chance(self, now: float) -> None:
        waiting = list(self._waiting)
        self.random.shuffle(waiting)
        for request in waiting:
            if request.needs.target_at < now:
                self.ends.append((self._waiting.pop(request), None, now))
            elif len(self._busy_until) < self.deployment.adapter_slots:
                self._begin(request, now)
