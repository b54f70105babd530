"""Benchmark of a decision on the requests that wait for an engine's adapter slots."""

from __future__ import annotations

import random
import sys
import time
from itertools import product

from pimentohoist._decisions.waiting_order import (
    ExpectedWork,
    RequestNeeds,
    WaitingOrder,
    WaitingRequest,
)

_COUNTS = (32, 100, 1000, 10_000)
_REPETITIONS = 50
_TURN_S = 0.05
_TURNS = 16
_WORKSPACES = 16
_PRIORITIES = 3
_TARGETS_S = (-2.0, 10.0)
_DEADLINES_S = (3.0, 15.0)
_PROMPT_TOKENS = (646, 9190)
_OUTPUT_TOKENS = 70
_LOAD_S = 0.288
_US_PER_S = 1_000_000


def bench(seed: int) -> None:
    """Print the least processor time of a decision by the number of requests and the room."""
    sys.stdout.write('| waiting | room | us of a decision | refused |\n')
    sys.stdout.write('|---|---|---|---|\n')
    for count, room in product(_COUNTS, (min(_COUNTS), max(_COUNTS))):
        duration_s, refused = _measure(random.Random(seed), count, room)
        took_us = round(duration_s * _US_PER_S)
        sys.stdout.write(f'| {count} | {room} | {took_us} | {refused} |\n')


def _measure(source: random.Random, count: int, room: int) -> tuple[float, int]:
    order = WaitingOrder(room)
    for pace in (order.pace, order.late_pace):
        pace.record_queue(-_TURN_S * _TURNS, is_waiting=True)
        for turn in range(1 - _TURNS, 1):
            pace.record_turn(_TURN_S * turn)
    waiting = [_request(source) for _ in range(count)]
    least_s = float('inf')
    for _ in range(_REPETITIONS):
        began_at = time.process_time()
        decision = order.decide(waiting, 0)
        least_s = min(least_s, time.process_time() - began_at)
    return least_s, len(decision.refused)


def _request(source: random.Random) -> WaitingRequest:
    target_at = source.uniform(*_TARGETS_S)
    needs = RequestNeeds(
        source.randrange(_PRIORITIES),
        target_at,
        target_at + source.uniform(*_DEADLINES_S),
        ExpectedWork(source.choice(_PROMPT_TOKENS), _OUTPUT_TOKENS, _LOAD_S),
        f'w{source.randrange(_WORKSPACES)}',
    )
    return WaitingRequest(needs)
