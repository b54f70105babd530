"""The group of the store's stand-in: its members and their partitions."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

PARTITION_COUNT = 12


@dataclass
class StoreGroup:
    """Shares the partitions evenly among members, which lapse unless they join again.

    Attributes
    ----------
    owner : dict of int to str
        Member by partition.
    lapses_at : dict of str to float
        Monotonic time at which a member lapses.
    """

    generation: int = 0
    owner: dict[int, str] = field(default_factory=dict)
    lapses_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the lock."""
        self._lock = threading.Lock()

    def join(self, member: str, lease_s: float) -> tuple[int, list[int]]:
        """Renew a member, drop lapsed ones; return the generation and its partitions."""
        now = time.monotonic()
        with self._lock:
            lapses_at = {**self.lapses_at, member: now + lease_s}
            self._set_members({name: at for name, at in lapses_at.items() if at >= now})
            held = [part for part, owner in self.owner.items() if owner == member]
            return self.generation, held

    def leave(self, member: str) -> None:
        """Drop a member."""
        with self._lock:
            self._set_members(
                {name: at for name, at in self.lapses_at.items() if name != member}
            )

    def assign_all(self, member: str) -> None:
        """Assign all partitions to a member in a new generation."""
        with self._lock:
            self.generation += 1
            self.owner = dict.fromkeys(range(PARTITION_COUNT), member)

    def copy(self) -> StoreGroup:
        """Return a copy of its current state."""
        with self._lock:
            return StoreGroup(self.generation, dict(self.owner), dict(self.lapses_at))

    def _set_members(self, lapses_at: dict[str, float]) -> None:
        """Share the partitions anew if the members changed; few partitions move."""
        is_same = lapses_at.keys() == self.lapses_at.keys()
        self.lapses_at = lapses_at
        if is_same:
            return
        self.generation += 1
        if not lapses_at:
            self.owner = {}
            return
        limit = -(-PARTITION_COUNT // len(lapses_at))
        counts = dict.fromkeys(sorted(lapses_at), 0)
        for partition in range(PARTITION_COUNT):
            owner = self.owner.get(partition, '')
            if counts.get(owner, limit) >= limit:
                owner = min(counts, key=counts.__getitem__)
            self.owner[partition] = owner
            counts[owner] += 1
