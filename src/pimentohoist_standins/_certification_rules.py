"""Certification rules for concurrent edits, and a tally of each rule's errors."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

_SEED = 4101
_NEVER = float('-inf')
_ADAPTER_COUNT = 3000
_MEAN_EDIT_S = 60.0
_MAX_TARGETS_PER_EDIT = 3


@dataclass(frozen=True, slots=True)
class Edit:
    """An operator's edit of some adapters, from reading them to publishing.

    Attributes
    ----------
    targets : frozenset of int
        Adapters that the edit changes.
    """

    read_at: float
    published_at: float
    targets: frozenset[int]


@dataclass(slots=True)
class Tally:
    """Counts of a rule's wrong decisions and rejections.

    Attributes
    ----------
    lost : int
        Accepted changes that an edit replaced without its operator having seen them.
    needless : int
        Rejected edits whose sections had not changed since they were read.
    rejected : int
        All rejected edits.
    """

    lost: int = 0
    needless: int = 0
    rejected: int = 0


Rule = Callable[[Edit, Mapping[int, float], float], bool]


def accept_every_edit(
    edit: Edit, changed_at: Mapping[int, float], last_published_at: float
) -> bool:
    """Accept every edit."""
    return True


def accept_by_whole_text(
    edit: Edit, changed_at: Mapping[int, float], last_published_at: float
) -> bool:
    """Accept an edit if no adapter at all changed since it was read."""
    return last_published_at <= edit.read_at  # noqa: WPS459 an order of times


def accept_by_section(
    edit: Edit, changed_at: Mapping[int, float], last_published_at: float
) -> bool:
    """Accept an edit if none of its sections changed since it was read."""
    return not _has_conflict(edit, changed_at)


def _has_conflict(edit: Edit, changed_at: Mapping[int, float]) -> bool:
    return any(changed_at.get(name, _NEVER) > edit.read_at for name in edit.targets)


def draw_edits(count: int, duration_s: float) -> list[Edit]:
    """Return edits in order of publishing.

    Targets are skewed towards popular adapters; the fixed seed makes the edits the same
    each time.
    """
    rng = random.Random(_SEED)
    edits = []
    for _ in range(count):
        published_at = rng.uniform(0, duration_s)
        targets_count = rng.randint(1, _MAX_TARGETS_PER_EDIT)
        targets = frozenset(_draw_target(rng) for _ in range(targets_count))
        read_at = published_at - rng.expovariate(1 / _MEAN_EDIT_S)
        edits.append(Edit(read_at, published_at, targets))
    return sorted(edits, key=lambda edit: edit.published_at)


def _draw_target(rng: random.Random) -> int:
    """Return a popular adapter with probability 1/2, otherwise a uniform one."""
    if rng.getrandbits(1):
        return min(_ADAPTER_COUNT, int(rng.paretovariate(1))) - 1
    return rng.randrange(_ADAPTER_COUNT)


def tally(rule: Rule, edits: list[Edit]) -> Tally:
    """Apply a rule to the edits and return its tally."""
    result = Tally()
    changed_at: dict[int, float] = {}
    last_published_at = _NEVER
    for edit in edits:
        has_conflict = _has_conflict(edit, changed_at)
        if not rule(edit, changed_at, last_published_at):
            result.rejected += 1
            result.needless += not has_conflict
            continue
        result.lost += has_conflict
        last_published_at = edit.published_at
        changed_at.update(dict.fromkeys(edit.targets, last_published_at))
    return result
