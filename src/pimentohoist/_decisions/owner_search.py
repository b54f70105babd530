"""Which of several endpoints' homes to ask next for a slot, and when to give up."""

from __future__ import annotations

from dataclasses import dataclass

from pimentohoist._decisions.admission import Reason

UNREACHABLE = 'unreachable'
"""Reason of a refusal when nobody answers as the home."""
TAKEOVER_S = 12.0
"""Time in which a home that is gone has expired and another one has begun."""
_WAITS = frozenset((Reason.BUSY, Reason.SETTLING))


@dataclass(frozen=True, slots=True)
class OwnerQuestion:
    """The next home to ask.

    Attributes
    ----------
    number : int
        Position among the endpoints in order of preference.
    must_queue : bool
        Whether the request has nowhere better to go, so that it may wait there.
    is_repeated : bool
        Whether that home did not answer before.
    """

    number: int
    must_queue: bool = False
    is_repeated: bool = False


class OwnerSearch:
    """Asks every home once, then those where a slot may still be had.

    A home that is busy or settling is asked once more, to wait in line there. A home
    that can't be reached is asked again until another has had the time to take over.

    Parameters
    ----------
    number : int
        Endpoints that may be asked.
    now, deadline : float
        Present time, and the time by which the request has to end.
    """

    def __init__(self, number: int, now: float, deadline: float) -> None:
        self.deadline = min(deadline, now + TAKEOVER_S)
        self._first = list(range(number))
        self._waits: list[int] = []
        self._lost: list[int] = []

    def next(self, now: float) -> OwnerQuestion | None:
        """Return whom to ask now; None once every answer is final."""
        if self._first:
            return OwnerQuestion(self._first.pop(0))
        if self._waits:
            return OwnerQuestion(self._waits.pop(0), must_queue=True)
        if self._lost and now < self.deadline:
            return OwnerQuestion(self._lost.pop(0), must_queue=True, is_repeated=True)
        return None

    def record(self, question: OwnerQuestion, reason: str) -> None:
        """Take in why a home has not given a slot."""
        if reason == UNREACHABLE:
            self._lost.append(question.number)
        elif reason in _WAITS and not question.must_queue:
            self._waits.append(question.number)
