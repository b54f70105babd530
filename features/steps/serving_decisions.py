"""Steps that compare the decisions on serving with naive versions."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from behave import given, then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st

from pimentohoist._decisions.endpoint import PIN_GRACE_S, EndpointState, LoadPlan, Pin
from pimentohoist._decisions.loads import (
    ASK_LIFE_S,
    GRANT_LIFE_S,
    SHARE_BURST_LOADS,
    LoadBudget,
    LoadWish,
    StoreLimits,
)
from pimentohoist._decisions.placement import (
    HALF_LIFE_S,
    CopyTable,
    DecayedFrequency,
    choose_victim,
)
from pimentohoist._decisions.queue import URGENT_TURNS, FairQueue, Lane, Waiting
from pimentohoist.models import AdapterVersion

_ADAPTERS = tuple(AdapterVersion(f'adapter-{index}', 1) for index in range(6))
_WORKSPACES = ('lipstick', 'cream', 'nails')
_LIMITS = StoreLimits(loads_per_s=2.5, loads_at_once=2)
_ACTIONS = ('offer', 'offer', 'offer', 'load', 'load', 'end_load', 'release', 'advance')

seen_events: Counter[str] = Counter()


def fixed(number: int, examples: int) -> Callable[[Any], Any]:
    """Return a decorator that generates the same histories every time."""
    chosen = settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=(HealthCheck.too_slow,),
    )
    return lambda test: seed(number)(chosen(test))


def entries_of(number: int) -> st.SearchStrategy[Waiting]:
    return st.builds(
        Waiting,
        request_id=st.just(f'request-{number}'),
        workspace=st.sampled_from(_WORKSPACES),
        adapter=st.sampled_from(_ADAPTERS),
        cost=st.integers(0, 50).map(float),
        is_urgent=st.booleans(),
        deadline=st.integers(1, 40).map(float),
        arrived_at=st.just(0),
        is_alone=st.sampled_from((False, False, False, True)),
    )


@st.composite
def queue_histories(draw: Any) -> list[tuple[str, Any]]:
    kinds = st.sampled_from(('add', 'add', 'take', 'take', 'remove'))
    events: list[tuple[str, Any]] = []
    for number, kind in enumerate(draw(st.lists(kinds, min_size=25, max_size=60))):
        arguments = {
            'add': entries_of(number),
            'take': st.frozensets(st.sampled_from(_ADAPTERS), min_size=1),
            'remove': st.integers(0, number).map('request-{}'.format),
        }
        events.append((kind, draw(arguments[kind])))
    return events


class NaiveQueue:
    """A plain list, searched whole for each decision."""

    def __init__(self) -> None:
        self.waiting: list[Waiting] = []
        self.given: dict[str, float] = {}
        self.latest = float(0)
        self.passed = 0

    def add(self, entry: Waiting) -> None:
        if all(other.workspace != entry.workspace for other in self.waiting):
            given_cost = max(self.latest, self.given.get(entry.workspace, self.latest))
            self.given[entry.workspace] = given_cost
        self.waiting.append(entry)

    def remove(self, request_id: str) -> Waiting | None:
        for entry in self.waiting:
            if entry.request_id == request_id:
                self.waiting.remove(entry)
                return entry
        return None

    def take(self, can_run: Callable[[Lane], bool]) -> Waiting | None:
        able = [entry for entry in self.waiting if can_run(entry.lane)]
        if not able:
            return None
        urgent = [entry for entry in able if entry.is_urgent]
        patient = [entry for entry in able if not entry.is_urgent]
        if urgent and patient and self.passed < URGENT_TURNS:
            self.passed += 1
            able = urgent
        else:
            self.passed = 0
            able = patient or urgent
        least = min((self.given[entry.workspace], entry.workspace) for entry in able)
        mine = [entry for entry in able if entry.workspace == least[1]]
        chosen = sorted(mine, key=lambda entry: entry.deadline)[0]
        self.waiting.remove(chosen)
        self.latest = max(self.latest, least[0])
        self.given[chosen.workspace] += max(1, chosen.cost)
        return chosen


@dataclass(frozen=True)
class ReadyLanes:
    """The lanes of some adapters."""

    adapters: frozenset[AdapterVersion]

    def __call__(self, lane: Lane) -> bool:
        return lane.adapter in self.adapters


@fixed(501, 150)
@generated(history=queue_histories())
def queues_agree(history: list[tuple[str, Any]]) -> None:
    queue, naive = FairQueue(), NaiveQueue()
    for kind, drawn in history:
        argument = ReadyLanes(drawn) if kind == 'take' else drawn
        pair = [getattr(side, kind)(argument) for side in (queue, naive)]
        assert pair[0] == pair[1], (kind, pair)
        assert list(queue.entries.values()) == naive.waiting


@then('the fair queue and a plain list agree over generated histories')
def compare_queues(context: Context) -> None:
    queues_agree()


def crowd(costs: list[int], urgent: frozenset[int]) -> FairQueue:
    """Return a queue where one workspace waits with twice the other's requests."""
    queue = FairQueue()
    for number, cost in enumerate(costs * 4):
        workspace = _WORKSPACES[int(number % 3 == 0)]
        is_urgent = number % 4 in urgent
        queue.add(Waiting(f'r{number}', workspace, None, cost, is_urgent, 9, 0))
    return queue


def take_any(queue: FairQueue) -> Waiting:
    entry = queue.take(lambda lane: True)
    assert entry is not None
    return entry


_costs = st.lists(st.integers(1, 50), min_size=30, max_size=30)


@fixed(502, 50)
@generated(costs=_costs, is_urgent=st.booleans())
def turns_are_fair(costs: list[int], is_urgent: bool) -> None:
    queue = crowd(costs, frozenset(range(4)) if is_urgent else frozenset())
    given_cost = Counter(dict.fromkeys(_WORKSPACES, 0))
    while len({entry.workspace for entry in queue.entries.values()}) == 2:
        entry = take_any(queue)
        given_cost[entry.workspace] += entry.cost
    # One request may be ahead on either side.
    assert abs(given_cost['lipstick'] - given_cost['cream']) <= 2 * 50, given_cost


@fixed(502, 50)
@generated(costs=_costs, urgent=st.frozensets(st.integers(0, 3)))
def patient_requests_go_on(costs: list[int], urgent: frozenset[int]) -> None:
    queue = crowd(costs, urgent)
    in_row = 0
    while queue.entries:
        has_patient = any(not entry.is_urgent for entry in queue.entries.values())
        has_urgent = any(entry.is_urgent for entry in queue.entries.values())
        entry = take_any(queue)
        is_turn_due = in_row == URGENT_TURNS
        in_row = in_row + 1 if entry.is_urgent and has_patient else 0
        assert in_row <= URGENT_TURNS
        assert entry.is_urgent or is_turn_due or not has_urgent


@then('no workspace gets more than its turn while others wait, and patient ones go on')
def check_turns(context: Context) -> None:
    turns_are_fair()
    patient_requests_go_on()


@dataclass
class HomeRun:
    """An endpoint's home with what its outside world knows."""

    state: EndpointState
    now: float = 0
    evicted: int = 0
    is_new_home: bool = False

    def __post_init__(self) -> None:
        self.running: dict[str, Waiting] = {}
        self.ended: Counter[str] = Counter()
        self.held: set[AdapterVersion] = set()
        self.loading: set[AdapterVersion] = set()
        self.asked: list[tuple[AdapterVersion | None, float]] = []
        self.adopted: set[AdapterVersion] = set()
        if self.is_new_home:
            # A member holds a pin of the former home, as long as the history lasts.
            self.adopted = set(_ADAPTERS[:1])
            self.state.adopt([Pin('former', _ADAPTERS[0], 500)])
            self.state.believe(_ADAPTERS[:1], 0)
            self.held |= self.adopted

    def refuse(self, refusals: list[Any]) -> None:
        for refusal in refusals:
            assert refusal.retry_after_s > 0
            self.ended[refusal.request_id] += 1

    def offer(self, entry: Waiting | None) -> None:
        assert entry is not None
        entry = replace(entry, deadline=self.now + entry.deadline, arrived_at=self.now)
        self.asked.append((entry.adapter, self.now))
        if entry.cost > 40:
            # The entry daemon has reported the pin while it was asking for it.
            pin = Pin(entry.request_id, entry.adapter, entry.deadline, entry.is_alone)
            self.state.adopt([pin])
        refusal = self.state.offer(entry, self.now)
        self.refuse([refusal] if refusal else [])

    def dispatch(self) -> None:
        self.refuse(self.state.refuse_hopeless(self.now))
        for entry in self.state.dispatch(self.now):
            assert entry.adapter in self.held, (
                'sent to an engine that lacks the adapter'
            )
            if entry.is_alone:
                assert not any(other.is_alone for other in self.running.values())
            self.running[entry.request_id] = entry
        assert len(self.running) <= self.state.admission.knee_requests

    def load(self, index: int) -> None:
        wishes = self.state.wishes(self.now)
        if not wishes:
            return
        plan = self.state.begin_load(wishes[index % len(wishes)].adapter, self.now)
        assert plan is not None, 'wished for without room'
        self.evict(plan)
        self.loading.add(plan.adapter)
        assert len(self.held) + len(self.loading) <= self.state.residency.slots

    def evict(self, plan: LoadPlan) -> None:
        if plan.victim is None:
            return
        self.evicted += 1
        assert plan.victim in self.held, 'evicted what is not resident'
        needed = {entry.adapter for entry in self.running.values()}
        needed |= {entry.adapter for entry in self.state.queue.entries.values()}
        needed |= self.adopted
        assert plan.victim not in needed, 'evicted in use'
        least = min(self.frequency(adapter) for adapter in self.held - needed)
        excess = self.frequency(plan.victim) - least
        assert math.isclose(excess, 0, abs_tol=1e-6), excess
        self.held.remove(plan.victim)

    def frequency(self, adapter: AdapterVersion) -> float:
        ages = (self.now - at for other, at in self.asked if other == adapter)
        return sum(0.5 ** (age / HALF_LIFE_S) for age in ages)

    def end_load(self, is_loaded: bool) -> None:
        if not self.loading:
            return
        adapter = min(self.loading)
        self.loading.remove(adapter)
        if is_loaded:
            self.held.add(adapter)
        self.refuse(self.state.end_load(adapter, is_loaded=is_loaded, now=self.now))

    def release(self, index: int) -> None:
        if self.running:
            request_id = sorted(self.running)[index % len(self.running)]
            self.running.pop(request_id)
            self.ended[request_id] += 1
            self.state.release(request_id, 0.25, has_failed=False)
            self.state.release(request_id, 0.25, has_failed=False)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for request_id, entry in tuple(self.running.items()):
            if entry.deadline + PIN_GRACE_S <= self.now:
                self.running.pop(request_id)
                self.ended[request_id] += 1

    def act(self, kind: str, entry: Waiting | None, number: int) -> None:
        match kind:
            case 'offer':
                self.offer(entry)
            case 'load':
                self.load(number)
            case 'end_load':
                self.end_load(number > 1)
            case 'release':
                self.release(number)
            case _:
                self.advance(number * HALF_LIFE_S / 500)
        self.dispatch()


@st.composite
def home_histories(draw: Any) -> list[tuple[str, Waiting | None, int]]:
    kinds = draw(st.lists(st.sampled_from(_ACTIONS), min_size=20, max_size=70))
    return [
        (
            kind,
            draw(entries_of(number)) if kind == 'offer' else None,
            draw(st.integers(0, 9)),
        )
        for number, kind in enumerate(kinds)
    ]


def run_home(
    history: list[tuple[str, Waiting | None, int]], slots: int, *, is_new: bool = False
) -> int:
    run = HomeRun(EndpointState(slots, knee_requests=3), is_new_home=is_new)
    offered = [entry.request_id for _, entry, _ in history if entry]
    for event in history:
        run.act(*event)
    run.advance(1000)
    run.dispatch()
    assert run.ended == Counter(offered), 'each request ends once'
    assert not run.state.pins
    assert not len(run.state.queue)
    return run.evicted


@fixed(503, 120)
@generated(history=home_histories(), slots=st.integers(1, 3))
def home_keeps_promises(history: Any, slots: int) -> None:
    seen_events['evicted'] += run_home(history, slots, is_new=slots > 1)


@then("an endpoint's home keeps its promises over generated histories")
def check_homes(context: Context) -> None:
    home_keeps_promises()
    assert seen_events['evicted'] > 30, seen_events


@fixed(504, 100)
@generated(history=home_histories(), slots=st.integers(3, 4))
def victims_agree(history: Any, slots: int) -> None:
    seen_events['victims'] += run_home(history, slots)


@fixed(504, 200)
@generated(
    history=st.lists(
        st.tuples(st.sampled_from(_ADAPTERS), st.integers(0, 4)), min_size=1
    )
)
def frequencies_agree(history: list[tuple[AdapterVersion, int]]) -> None:
    """Compare over many half-lives, each request's time being a sum of quarters."""
    frequency, now, asked = DecayedFrequency(), float(0), []
    for adapter, quarters in history:
        now += quarters * HALF_LIFE_S / 4
        frequency.note(adapter, now)
        asked.append((adapter, now))
    sums = dict.fromkeys(_ADAPTERS, float(0))
    for name, asked_at in asked:
        sums[name] += 0.5 ** ((now - asked_at) / HALF_LIFE_S)
    victim = choose_victim(_ADAPTERS, frequency, now)
    assert victim is not None
    assert math.isclose(sums[victim], min(sums.values()), abs_tol=1e-9), sums


@then('the evicted adapter is the one that a sum over all requests finds')
def check_victims(context: Context) -> None:
    frequencies_agree()
    victims_agree()
    assert seen_events['victims'] > 10, seen_events


class NaiveBudget:
    """Keeps every event and computes each answer from all of them."""

    def __init__(self) -> None:
        self.granted: list[float] = []
        self.asked: dict[str, tuple[tuple[LoadWish, ...], float]] = {}
        self.open: dict[tuple[str, AdapterVersion], float] = {}

    def ask(self, endpoint: str, wishes: Any, loading: Any, now: float) -> None:
        self.asked[endpoint] = (tuple(wishes), now)
        for place in tuple(self.open):
            if place[0] == endpoint:
                self.open.pop(place)
        for adapter in loading:
            self.open[(endpoint, adapter)] = now

    def allows(self, now: float) -> bool:
        """Every window that ends now must fit below rate and burst, as must those open."""
        running = [at for at in self.open.values() if now - at < GRANT_LIFE_S]
        budgets = [
            _LIMITS.loads_at_once + _LIMITS.loads_per_s * (now - start) - count
            for count, start in enumerate(reversed(self.granted), start=1)
        ]
        budgets.append(_LIMITS.loads_per_s * now - len(self.granted))
        fits = min(budgets) >= 1 - 1e-9
        return fits and len(running) < _LIMITS.loads_at_once

    def wishes(self, now: float) -> dict[tuple[str, AdapterVersion], LoadWish]:
        return {
            (endpoint, wish.adapter): wish
            for endpoint, (wishes, at) in self.asked.items()
            if now - at < ASK_LIFE_S
            for wish in wishes
            if now - self.open.get((endpoint, wish.adapter), -math.inf) >= GRANT_LIFE_S
        }


_wishes = st.lists(
    st.builds(
        LoadWish,
        adapter=st.sampled_from(_ADAPTERS),
        workspace=st.sampled_from(_WORKSPACES),
        waiting_requests=st.integers(1, 9),
        urgent_requests=st.just(0),
        waited_s=st.integers(0, 30).map(float),
    ),
    max_size=4,
    unique_by=lambda wish: wish.adapter,
)
_budget_events = st.lists(
    st.tuples(
        st.sampled_from(('engine-1', 'engine-2', 'engine-3')),
        _wishes,
        st.sets(st.sampled_from(_ADAPTERS), max_size=1),
        st.sampled_from((0, 0.125, 0.5, 1, 20)),
    ),
    max_size=40,
)


class BudgetPair:
    """The budget and its naive version, asked the same."""

    def __init__(self) -> None:
        self.budget = LoadBudget(lambda workspace: 1)
        self.naive = NaiveBudget()
        self.now = float(0)

    def ask(self, endpoint: str, wishes: Any, loading: Any, pause_s: float) -> None:
        self.now += pause_s
        for side in (self.budget, self.naive):
            side.ask(endpoint, wishes, loading, self.now)
        choices = self.naive.wishes(self.now)
        shares = dict(self.budget.credits)
        chosen = self.budget.grant(_LIMITS, self.now)
        is_due = bool(choices) and self.naive.allows(self.now)
        assert (chosen is not None) == is_due, choices
        if chosen is not None:
            place = (chosen[0], chosen[1].adapter)
            assert choices[place] == chosen[1]
            check_best(chosen[1], tuple(choices.values()), shares)
            self.naive.granted.append(self.now)
            self.naive.open[place] = self.now


def check_best(
    chosen: LoadWish, wishes: tuple[LoadWish, ...], shares: dict[str, float]
) -> None:
    """No wish of a workspace that was within its share before would free more."""
    for wish in wishes:
        if shares.get(wish.workspace, SHARE_BURST_LOADS) >= 1:
            assert wish.freed_work <= chosen.freed_work


@fixed(505, 200)
@generated(events=_budget_events)
def budgets_agree(events: list[Any]) -> None:
    pair = BudgetPair()
    for event in events:
        pair.ask(*event)
    seen_events['grants'] += len(pair.naive.granted)


@then('the load budget and a naive version agree over generated histories')
def compare_budgets(context: Context) -> None:
    budgets_agree()
    assert seen_events['grants'] > 200, seen_events


@dataclass
class ColdFlood:
    """One workspace that wants cold adapters without end beside a small one."""

    budget: LoadBudget
    cold: dict[AdapterVersion, float]
    small: dict[AdapterVersion, float]
    running: dict[AdapterVersion, float]
    waits: list[float]
    granted: int = 0

    def tick(self, now: float) -> None:
        self.running = {name: end for name, end in self.running.items() if end > now}
        cold = (
            LoadWish(adapter, 'lipstick', 3, 0, 3 * (now - since))
            for adapter, since in self.cold.items()
        )
        small = (
            LoadWish(adapter, 'cream', 1, 0, now - since)
            for adapter, since in self.small.items()
        )
        self.budget.ask('engine-1', (*cold, *small), self.running, now)
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


@given('a workspace that wants 200 cold adapters and one that wants 1 every 4 s')
def want_cold(context: Context) -> None:
    cold = {AdapterVersion(f'cold-{number}', 1): float(0) for number in range(200)}
    context.flood = ColdFlood(LoadBudget(lambda workspace: 1), cold, {}, {}, [])
    for tick in range(600):
        if tick % 40 == 0:
            context.flood.small[AdapterVersion(f'small-{tick}', 1)] = tick / 10
        context.flood.tick(tick / 10)


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
def grant_and_forget(context: Context) -> None:
    context.budget = LoadBudget(lambda workspace: 1)
    for endpoint in ('engine-1', 'engine-2'):
        wishes = (LoadWish(_ADAPTERS[0], 'lipstick', 1),)
        context.budget.ask(endpoint, wishes, (), 10)
        assert context.budget.grant(_LIMITS, 10) is not None


@then('the load counts until its life has ended and then no longer')
def check_forgotten(context: Context) -> None:
    wish = LoadWish(_ADAPTERS[1], 'cream', 1)
    for waited_s, is_granted in ((GRANT_LIFE_S - 1, False), (GRANT_LIFE_S, True)):
        now = 10 + waited_s
        context.budget.ask('engine-3', (wish,), (), now)
        assert (context.budget.grant(_LIMITS, now) is not None) == is_granted


@then('the copies of an adapter grow with each busy home and shrink with time')
def check_copies(context: Context) -> None:
    table, adapter = CopyTable(), _ADAPTERS[0]
    seen = [table.copies(adapter, 0)]
    table.note_busy(adapter, 1, 0)
    table.note_busy(adapter, 2, 1)
    seen += [table.copies(adapter, now) for now in (1, 5.5, 6.5, 11.5, 30)]
    assert seen == [1, 3, 3, 2, 1, 1], seen
