"""Order in which endpoints' owners are asked for an adapter slot."""

from __future__ import annotations

from dataclasses import dataclass

from pimentohoist._decisions.admission import RefusalReason

UNREACHABLE = 'unreachable'
"""Reason of a refusal when no daemon answers as the owner."""
MAX_TAKEOVER_S = 12.0
"""Time within which an owner that is gone has expired and another one has begun."""
_QUEUE_REASONS = frozenset((RefusalReason.BUSY, RefusalReason.SETTLING))


@dataclass(frozen=True, slots=True)
class OwnerQuery:
    """The next owner to ask.

    Attributes
    ----------
    number : int
        Position of its endpoint in the order of preference, from 0.
    must_queue : bool
        Whether the owner may queue the request, because no owner gave a slot at once.
    is_repeated : bool
        Whether that owner could not be reached before.
    """

    number: int
    must_queue: bool = False
    is_repeated: bool = False


class OwnerSearch:
    """Asks every owner once, then those that may still give a slot.

    An owner that is busy or settling is asked once more, to queue the request. An owner
    that can't be reached is asked again until another has had the time to take over.

    Parameters
    ----------
    number : int
        Number of endpoints whose owners may be asked.
    now, deadline : float
        Present time, and the time by which the request has to end.
    """

    def __init__(self, number: int, now: float, deadline: float) -> None:
        self.deadline = min(deadline, now + MAX_TAKEOVER_S)
        self._unasked = list(range(number))
        self._queueable: list[int] = []
        self._unreachable: list[int] = []

    def next(self, now: float) -> OwnerQuery | None:
        """Return the next query; None if every answer is final or time has run out."""
        if self._unasked:
            return OwnerQuery(self._unasked.pop(0))
        if self._queueable:
            return OwnerQuery(self._queueable.pop(0), must_queue=True)
        if self._unreachable and now < self.deadline:
            return OwnerQuery(
                self._unreachable.pop(0), must_queue=True, is_repeated=True
            )
        return None

    def record(self, query: OwnerQuery, reason: str) -> None:
        """Record the reason for which an owner has not given a slot."""
        if reason == UNREACHABLE:
            self._unreachable.append(query.number)
        elif reason in _QUEUE_REASONS and not query.must_queue:
            self._queueable.append(query.number)
