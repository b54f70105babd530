"""Three rules that decide on racing edits, and what each makes of the same edits."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

_SEED = 4101
_NEVER = float('-inf')
_ADAPTERS = 3000
_EDIT_S = 60.0
_MAX_TARGETS = 3


@dataclass(frozen=True, slots=True)
class Edit:
    """An operator reads at one time, and publishes these adapters at a later one."""

    read_at: float
    published_at: float
    targets: frozenset[int]


@dataclass(slots=True)
class Tally:
    """What a rule made of the edits.

    Attributes
    ----------
    lost : int
        Accepted changes that an edit replaced without its operator having seen them.
    needless : int
        Rejected edits whose sections nobody had changed.
    rejected : int
        All rejected edits.
    """

    lost: int = 0
    needless: int = 0
    rejected: int = 0


Rule = Callable[[Edit, Mapping[int, float], float], bool]


def takes_last_writer(
    edit: Edit, changed_at: Mapping[int, float], last_at: float
) -> bool:
    """Accept every edit."""
    return True


def takes_whole_text(
    edit: Edit, changed_at: Mapping[int, float], last_at: float
) -> bool:
    """Accept an edit if nothing at all changed since it was read."""
    return last_at <= edit.read_at  # noqa: WPS459 an order of times


def takes_by_section(
    edit: Edit, changed_at: Mapping[int, float], last_at: float
) -> bool:
    """Accept an edit if none of its sections changed since it was read."""
    return not _moved(edit, changed_at)


def _moved(edit: Edit, changed_at: Mapping[int, float]) -> bool:
    return any(changed_at.get(name, _NEVER) > edit.read_at for name in edit.targets)


def draw_edits(count: int, duration_s: float) -> list[Edit]:
    """Return edits in order of publishing, with skewed targets, the same each time."""
    source = random.Random(_SEED)
    edits = []
    for _ in range(count):
        published_at = source.uniform(0, duration_s)
        targets_count = source.randint(1, _MAX_TARGETS)
        targets = frozenset(_draw_target(source) for _ in range(targets_count))
        read_at = published_at - source.expovariate(1 / _EDIT_S)
        edits.append(Edit(read_at, published_at, targets))
    return sorted(edits, key=lambda edit: edit.published_at)


def _draw_target(source: random.Random) -> int:
    """Return a popular adapter half of the time, else any."""
    if source.getrandbits(1):
        return min(_ADAPTERS, int(source.paretovariate(1))) - 1
    return source.randrange(_ADAPTERS)


def tally(rule: Rule, edits: list[Edit]) -> Tally:
    """Return what a rule makes of the edits."""
    result = Tally()
    changed_at: dict[int, float] = {}
    last_at = _NEVER
    for edit in edits:
        moved = _moved(edit, changed_at)
        if not rule(edit, changed_at, last_at):
            result.rejected += 1
            result.needless += not moved
            continue
        result.lost += moved
        last_at = edit.published_at
        changed_at.update(dict.fromkeys(edit.targets, last_at))
    return result
