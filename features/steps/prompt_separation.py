"""Steps on engines that are reserved for long prompts."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context

from pimentohoist._decisions.endpoint_choice import Candidate, choose_engines
from pimentohoist._decisions.prompt_separation import (
    PromptReading,
    ReservedCount,
    is_better_elsewhere,
    reserved_engines,
)

_SLOTS = 48
_ADAPTER_SLOTS = 14
_ADAPTERS = 2000
_LATENCY_TARGET_S = 0.515
_GENERATION_S = 0.5
_SEED = 7
_MS_PER_S = 1000


@dataclass
class Engine:
    """Reads prompts one after the other, then generates for a while."""

    free_at: float = 0
    adapters: list[int] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)

    def candidate(self, name: str, adapter: int, now: float) -> Candidate:
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        has_adapter = adapter in self.adapters
        return Candidate(name, _SLOTS, len(self.ends), 0.1, 1, True, has_adapter, 1)

    def read(self, adapter: int, reading_s: float, now: float) -> float:
        """Add a request; return the time until its prompt has been read, in seconds."""
        self.adapters = [held for held in self.adapters if held != adapter]
        self.adapters = [*self.adapters, adapter][-_ADAPTER_SLOTS:]
        self.free_at = max(now, self.free_at) + reading_s
        heapq.heappush(self.ends, self.free_at + _GENERATION_S)
        return self.free_at - now


class PromptWorld:
    """A group of engines, with or without reserved ones."""

    def __init__(self, engines: int, tokens_per_ms: float) -> None:
        self.engines = {f'e{number}': Engine() for number in range(engines)}
        self.tokens_per_ms = tokens_per_ms
        self.reading = PromptReading()
        self.reserved = ReservedCount()
        self.most_reserved = 0
        self.waits: dict[int, list[float]] = {}

    def run(
        self, seconds: float, rates: dict[int, float], *, is_separated: bool
    ) -> None:
        chance = random.Random(_SEED)
        lengths, weights = tuple(rates), tuple(rates.values())
        now = float(0)
        while now < seconds:
            now += chance.expovariate(sum(weights))
            tokens = chance.choices(lengths, weights)[0]
            adapter = int(_ADAPTERS * chance.random() ** 4)
            self._serve(tokens, adapter, now, is_separated=is_separated)

    def waiting(self, tokens: int, over_s: float) -> float:
        waits = self.waits[tokens]
        own_s = tokens / self.tokens_per_ms / _MS_PER_S
        return sum(wait - own_s > over_s for wait in waits) / len(waits)

    def _serve(
        self, tokens: int, adapter: int, now: float, *, is_separated: bool
    ) -> None:
        is_long = self.reading.is_long(tokens, _LATENCY_TARGET_S)
        busy = self.reading.busy_engines(now) if is_separated else 0
        count = self.reserved.update(busy, len(self.engines))
        self.most_reserved = max(self.most_reserved, count)
        reserved = reserved_engines(self.engines, count)
        candidates = [
            self._candidate(name, adapter, now, (is_long, name in reserved))
            for name in self.engines
        ]
        chosen = choose_engines(f'm/a{adapter}', candidates)[0]
        reading_s = tokens / self.tokens_per_ms / _MS_PER_S
        wait_s = self.engines[chosen].read(adapter, reading_s, now)
        self.waits.setdefault(tokens, []).append(wait_s)
        self.reading.record(tokens, wait_s, now, is_long=is_long)

    def _candidate(
        self, name: str, adapter: int, now: float, lengths: tuple[bool, bool]
    ) -> Candidate:
        found = self.engines[name].candidate(name, adapter, now)
        is_long, is_reserved = lengths
        if not self.reserved.count:
            return found
        elsewhere = is_better_elsewhere(
            is_long=is_long, is_reserved=is_reserved, requests_in_flight=found.in_flight
        )
        return Candidate(
            name,
            found.slots,
            found.in_flight,
            found.latency_s,
            found.cost_factor,
            found.is_in_own_domain,
            found.has_adapter,
            found.free_adapter_slots,
            is_better_elsewhere=elsewhere,
        )


@given('{count:d} engines that read {tokens_per_ms:g} prompt tokens a ms')
def describe_engines(context: Context, count: int, tokens_per_ms: float) -> None:
    context.engines = (count, tokens_per_ms)


@when(
    'for {seconds:d} s {short_rate:g} prompts of {short:d} tokens'
    ' and {long_rate:g} of {long:d} tokens a second come'
)
def run(
    context: Context,
    seconds: int,
    short_rate: float,
    short: int,
    long_rate: float,
    long: int,
) -> None:
    context.lengths = {'short': short, 'long': long}
    rates = {short: short_rate, long: long_rate}
    context.separated = PromptWorld(*context.engines)
    context.separated.run(seconds, rates, is_separated=True)
    context.mixed = PromptWorld(*context.engines)
    context.mixed.run(seconds, rates, is_separated=False)


@then('at most {share:d} in 100 {kind} prompts wait for over {over_s:g} s')
def check_waits(context: Context, share: int, kind: str, over_s: float) -> None:
    waiting = context.separated.waiting(context.lengths[kind], over_s)
    assert waiting <= share / 100, waiting


@then('without reserved engines more than {share:d} in 100 short prompts do')
def check_mixed(context: Context, share: int) -> None:
    waiting = context.mixed.waiting(context.lengths['short'], 0.1)
    assert waiting > share / 100, waiting


@then('fewer short prompts wait for over 0.1 s than without reserved engines')
def check_fewer(context: Context) -> None:
    short = context.lengths['short']
    assert context.separated.waiting(short, 0.1) < context.mixed.waiting(short, 0.1)


@then('at most {count:d} engines are reserved')
def check_count(context: Context, count: int) -> None:
    assert context.separated.most_reserved <= count, context.separated.most_reserved


@given('{engines:d} engines of which {count:d} are reserved')
def reserve(context: Context, engines: int, count: int) -> None:
    context.reserved = ReservedCount(count)
    context.count = engines


@when('the long prompts keep {first:g} engines busy, then {second:g}')
def change_demand(context: Context, first: float, second: float) -> None:
    context.counts = [
        context.reserved.update(busy, context.count) for busy in (first, second)
    ]


@then('first {first:d} and then {second:d} are reserved')
def check_counts(context: Context, first: int, second: int) -> None:
    assert context.counts == [first, second], context.counts


@then('both reserve the same {count:d} engines')
def check_same(context: Context, count: int) -> None:
    names = [f'e{number}' for number in range(context.engines[0])]
    context.chosen = reserved_engines(names, count)
    assert context.chosen == reserved_engines(reversed(names), count)
    context.names = names


@then('of {count:d} engines at least {kept:d} of them are still reserved')
def check_kept(context: Context, count: int, kept: int) -> None:
    left = context.names[:count]
    assert len(reserved_engines(left, len(context.chosen)) & context.chosen) >= kept
