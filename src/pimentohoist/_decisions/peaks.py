"""Maximum of a level since a mark, where all past levels may be raised together."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque


class PeakHistory:
    """Monotonic queue of (mark, time, level): holds the levels that no later one reaches.

    Levels are stored less `lift`, so that raising all past levels is one addition.
    """

    def __init__(self) -> None:
        self.lift: float = 0
        self.marks: deque[int] = deque()
        self.times: deque[float] = deque()
        self.levels: deque[float] = deque()
        self._next_mark = 0

    def push(self, level: float, now: float) -> int:
        """Add the present level and return its mark."""
        while self.levels and self.levels[-1] + self.lift <= level:
            self.marks.pop()
            self.times.pop()
            self.levels.pop()
        self.marks.append(self._next_mark)
        self.times.append(now)
        self.levels.append(level - self.lift)
        self._next_mark += 1
        return self.marks[-1]

    def since(self, mark: int) -> float:
        """Return the highest level at or after `mark`."""
        return self.levels[bisect_left(self.marks, mark)] + self.lift

    def raise_all(self, amount: float) -> None:
        """Raise all levels added so far."""
        self.lift += amount

    def discard_before(self, time: float) -> None:
        """Remove levels that were superseded before `time`."""
        while len(self.times) > 1 and self.times[1] < time:
            self.marks.popleft()
            self.times.popleft()
            self.levels.popleft()
