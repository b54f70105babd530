"""A workspace's load on several daemons that hear of one another by beats."""

from __future__ import annotations

import random

from pimentohoist._decisions.usage import UsageBucket

HEARTBEAT_INTERVAL_S = 0.25
_TOKENS = 1000
_TIMES = 8
_LENGTH_S = 20
_SEED = 7


def play_load(
    buckets: list[UsageBucket], rate: float, cut: tuple[float, float]
) -> list[tuple[float, int]]:
    """Send 8 times the rate for 20 s; the first daemon hears nobody within `cut`."""
    chooser = random.Random(_SEED)
    unheard = [0 for _ in buckets]
    admitted = []
    gap_s = _TOKENS / (_TIMES * rate)
    next_beat = 0
    for moment in range(int(_LENGTH_S / gap_s)):
        now = moment * gap_s
        is_cut = cut[0] <= now < cut[1]
        if now >= next_beat:
            next_beat += HEARTBEAT_INTERVAL_S
            _tell(buckets, unheard, is_cut)
        number = chooser.randrange(len(buckets))
        buckets[number].fill(now, _share(number, len(buckets)) if is_cut else 1)
        if buckets[number].charge(_TOKENS):
            admitted.append((now, _TOKENS))
            unheard[number] += _TOKENS
    return admitted


def _share(number: int, count: int) -> float:
    heard = count - 1 if number else 1
    return heard / count


def _tell(buckets: list[UsageBucket], unheard: list[int], is_cut: bool) -> None:
    first = 1 if is_cut else 0
    heard = buckets[first:]
    for sender, bucket in enumerate(buckets):
        if sender < first:
            continue
        for other in heard:
            other.record(0 if other is bucket else unheard[sender])
        unheard[sender] = 0
