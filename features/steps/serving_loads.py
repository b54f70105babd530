"""Steps that compare the budget of loads with a naive version."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import Any

from behave import given, then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import strategies as st
from serving_generated import ADAPTERS, WORKSPACES, with_seed, seen_events
from serving_shares import WEIGHTS, NaiveShares

from pimentohoist._decisions.loads import (
    LOAD_REQUEST_LIFETIME_S,
    PERMIT_LIFETIME_S,
    LoadBudget,
    LoadRequest,
    StoreLimits,
)
from pimentohoist.models import AdapterVersion

_LIMITS = StoreLimits(loads_per_s=2.5, loads_at_once=2)


class NaiveBudget:
    """A budget that keeps every event and computes each decision from all of them."""

    def __init__(self) -> None:
        self.granted: list[float] = []
        self.asked: dict[str, tuple[tuple[LoadRequest, ...], float]] = {}
        self.open: dict[tuple[str, AdapterVersion], float] = {}
        self.shares = NaiveShares()

    def update_load_requests(
        self, endpoint: str, load_requests: Any, loading: Any, now: float
    ) -> None:
        self.asked[endpoint] = (tuple(load_requests), now)
        for load_key in tuple(self.open):
            if load_key[0] == endpoint:
                self.open.pop(load_key)
        for adapter in loading:
            self.open[(endpoint, adapter)] = now

    def allows(self, now: float) -> bool:
        """Return whether one more load may start.

        Every window that ends now must fit below rate and burst, and the open loads
        below their limit.
        """
        running = [at for at in self.open.values() if now - at < PERMIT_LIFETIME_S]
        budgets = [
            _LIMITS.loads_at_once + _LIMITS.loads_per_s * (now - start) - count
            for count, start in enumerate(reversed(self.granted), start=1)
        ]
        budgets.append(_LIMITS.loads_per_s * now - len(self.granted))
        fits = min(budgets) >= 1 - 1e-9
        return fits and len(running) < _LIMITS.loads_at_once

    def load_requests(
        self, now: float
    ) -> dict[tuple[str, AdapterVersion], LoadRequest]:
        return {
            (endpoint, load_request.adapter): load_request
            for endpoint, (load_requests, at) in self.asked.items()
            if now - at < LOAD_REQUEST_LIFETIME_S
            for load_request in load_requests
            if now - self.open.get((endpoint, load_request.adapter), -math.inf)
            >= PERMIT_LIFETIME_S
        }

    def best(
        self, choices: dict[tuple[str, AdapterVersion], LoadRequest]
    ) -> tuple[str, AdapterVersion]:
        """Search for the load that ends most waiting within the shares' bounds."""
        within = self.shares.within_bounds(_LIMITS.loads_per_s)
        eligible = {
            load_key: load_request
            for load_key, load_request in choices.items()
            if load_request.workspace in within
        }
        most = max(load_request.ended_wait for load_request in eligible.values())
        equals = [
            load_key
            for load_key, load_request in eligible.items()
            if load_request.ended_wait == most
        ]
        return max(equals, key=lambda load_key: (load_key[1], load_key[0]))


_load_requests = st.lists(
    st.builds(
        LoadRequest,
        adapter=st.sampled_from(ADAPTERS),
        workspace=st.sampled_from(WORKSPACES),
        waiting_requests=st.integers(1, 9),
        urgent_requests=st.just(0),
        waited_s=st.integers(0, 30).map(float),
    ),
    max_size=4,
    unique_by=lambda load_request: load_request.adapter,
)
_budget_events = st.lists(
    st.tuples(
        st.sampled_from(('engine-1', 'engine-2', 'engine-3')),
        _load_requests,
        st.sets(st.sampled_from(ADAPTERS), max_size=1),
        st.sampled_from((0, 0.125, 0.5, 1, 20)),
    ),
    max_size=40,
)


class BudgetPair:
    """The budget and its naive version, with the same events."""

    def __init__(self) -> None:
        self.budget = LoadBudget(WEIGHTS.__getitem__)
        self.naive = NaiveBudget()
        self.now = float(0)

    def update_load_requests(
        self, endpoint: str, load_requests: Any, loading: Any, pause_s: float
    ) -> None:
        self.now += pause_s
        for side in (self.budget, self.naive):
            side.update_load_requests(endpoint, load_requests, loading, self.now)
        choices = self.naive.load_requests(self.now)
        backlogs = Counter(load_request.workspace for load_request in choices.values())
        self.naive.shares.record_backlogs(backlogs)
        chosen = self.budget.grant(_LIMITS, self.now)
        is_due = bool(choices) and self.naive.allows(self.now)
        assert (chosen is not None) == is_due, choices
        if chosen is not None:
            load_key = (chosen[0], chosen[1].adapter)
            assert choices[load_key] == chosen[1]
            assert load_key == self.naive.best(choices)
            self.naive.granted.append(self.now)
            self.naive.open[load_key] = self.now
            self.naive.shares.record_load(chosen[1].workspace)


@with_seed(505, 200)
@generated(events=_budget_events)
def budgets_agree(events: list[Any]) -> None:
    pair = BudgetPair()
    for event in events:
        pair.update_load_requests(*event)
    seen_events['grants'] += len(pair.naive.granted)


@then('the load budget and a naive version agree over generated histories')
def compare_budgets(context: Context) -> None:
    budgets_agree()
    assert seen_events['grants'] > 200, seen_events


@dataclass
class ColdFlood:
    """Workspaces that request many cold adapters beside a small one."""

    budget: LoadBudget
    cold: dict[AdapterVersion, float]
    small: dict[AdapterVersion, float]
    running: dict[AdapterVersion, float]
    waits: list[float]
    granted: int = 0

    def tick(self, now: float) -> None:
        self.running = {name: end for name, end in self.running.items() if end > now}
        cold = (
            LoadRequest(adapter, f'cold-{adapter.version}', 3, 0, 3 * (now - since))
            for adapter, since in self.cold.items()
        )
        small = (
            LoadRequest(adapter, 'cream', 1, 0, now - since)
            for adapter, since in self.small.items()
        )
        self.budget.update_load_requests('engine-1', (*cold, *small), self.running, now)
        grant = self.budget.grant(_LIMITS, now)
        while grant is not None:
            self.start(grant[1].adapter, now)
            grant = self.budget.grant(_LIMITS, now)

    def start(self, adapter: AdapterVersion, now: float) -> None:
        self.granted += 1
        self.running[adapter] = now + 0.8
        self.cold.pop(adapter, None)
        if adapter in self.small:
            self.waits.append(now - self.small.pop(adapter))


def run_flood(context: Context, floods: int) -> None:
    cold = {
        AdapterVersion(f'cold-{number}', flood): float(0)
        for number in range(200)
        for flood in range(floods)
    }
    context.flood = ColdFlood(LoadBudget(lambda workspace: 1), cold, {}, {}, [])
    for tick in range(600):
        if tick % 40 == 0:
            context.flood.small[AdapterVersion(f'small-{tick}', 1)] = tick / 10
        context.flood.tick(tick / 10)


@given('a workspace that requests 200 cold adapters and one that requests 1 every 4 s')
def request_cold(context: Context) -> None:
    run_flood(context, 1)


@given(
    '{floods:d} workspaces that request 200 cold adapters'
    ' and one that requests 1 every 4 s'
)
def request_cold_each(context: Context, floods: int) -> None:
    run_flood(context, floods)


@then(
    'each load of the small workspace is granted within {limit_s:d} s'
    ' and the store is busy'
)
def check_small(context: Context, limit_s: int) -> None:
    waits = context.flood.waits
    assert len(waits) == 15, waits
    assert max(waits) <= limit_s, waits
    least = 0.9 * 60 * _LIMITS.loads_per_s
    assert context.flood.granted >= least, context.flood.granted


@then('each later load of the small workspace is granted within {limit_s:d} s')
def check_small_later(context: Context, limit_s: int) -> None:
    waits = context.flood.waits
    assert len(waits) == 15, waits
    assert max(waits[3:]) <= limit_s, waits


@given('a granted load whose endpoint never reports again')
def grant_unreported(context: Context) -> None:
    context.budget = LoadBudget(lambda workspace: 1)
    for endpoint in ('engine-1', 'engine-2'):
        load_requests = (LoadRequest(ADAPTERS[0], 'lipstick', 1),)
        context.budget.update_load_requests(endpoint, load_requests, (), 10)
        assert context.budget.grant(_LIMITS, 10) is not None


@then('the load counts against the budget until its lifetime has ended')
def check_load_expires(context: Context) -> None:
    load_request = LoadRequest(ADAPTERS[1], 'cream', 1)
    for waited_s, is_granted in (
        (PERMIT_LIFETIME_S - 1, False),
        (PERMIT_LIFETIME_S, True),
    ):
        now = 10 + waited_s
        context.budget.update_load_requests('engine-3', (load_request,), (), now)
        assert (context.budget.grant(_LIMITS, now) is not None) == is_granted
