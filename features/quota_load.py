"""A workspace's load on several daemons that exchange their usage by heartbeats."""

from __future__ import annotations

import random

from pimentohoist._decisions.usage import UsageBucket

HEARTBEAT_INTERVAL_S = 0.25
_TOKENS_PER_REQUEST = 1000
_LOAD_FACTOR = 8
_DURATION_S = 20
_SEED = 7


def play_load(
    buckets: list[UsageBucket], rate: float, cut: tuple[float, float]
) -> list[tuple[float, int]]:
    """Send 8 times the rate for 20 s; the first daemon is cut off within `cut`."""
    chooser = random.Random(_SEED)
    unreported = [0 for _ in buckets]
    admitted = []
    gap_s = _TOKENS_PER_REQUEST / (_LOAD_FACTOR * rate)
    next_heartbeat = 0
    for request_number in range(int(_DURATION_S / gap_s)):
        now = request_number * gap_s
        is_cut = cut[0] <= now < cut[1]
        if now >= next_heartbeat:
            next_heartbeat += HEARTBEAT_INTERVAL_S
            _exchange_usage(buckets, unreported, is_cut)
        number = chooser.randrange(len(buckets))
        buckets[number].fill(now, _share(number, len(buckets)) if is_cut else 1)
        if buckets[number].charge(_TOKENS_PER_REQUEST):
            admitted.append((now, _TOKENS_PER_REQUEST))
            unreported[number] += _TOKENS_PER_REQUEST
    return admitted


def _share(number: int, count: int) -> float:
    connected = count - 1 if number else 1
    return connected / count


def _exchange_usage(
    buckets: list[UsageBucket], unreported: list[int], is_cut: bool
) -> None:
    first_connected = 1 if is_cut else 0
    connected = buckets[first_connected:]
    for sender, bucket in enumerate(buckets):
        if sender < first_connected:
            continue
        for other in connected:
            other.record(0 if other is bucket else unreported[sender])
        unreported[sender] = 0
