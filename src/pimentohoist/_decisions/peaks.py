"""Maximum of a level since a mark, while the past may be raised as a whole."""

from __future__ import annotations

from bisect import bisect_left
from collections import deque


class PeakHistory:
    """Monotone queue of (mark, time, level): only values that no later one exceeds.

    Levels are kept less `lift`, so that raising all of the past is one addition.
    """

    def __init__(self) -> None:
        self.lift: float = 0
        self.marks: deque[int] = deque()
        self.times: deque[float] = deque()
        self.levels: deque[float] = deque()
        self._next_mark = 0

    def push(self, level: float, now: float) -> int:
        """Note the present level and return its mark."""
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
        """Raise every noted level."""
        self.lift += amount

    def forget_before(self, time: float) -> None:
        """Drop what was superseded before `time`."""
        while len(self.times) > 1 and self.times[1] < time:
            self.marks.popleft()
            self.times.popleft()
            self.levels.popleft()
