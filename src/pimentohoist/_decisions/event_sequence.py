"""Whether a resumed stream goes on after the events that its caller has."""

from __future__ import annotations

import re
from collections.abc import Sequence

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r|\n\r\n')
_LINE_END = re.compile(rb'\r\n|\n|\r')
_ID = re.compile(rb'id: ?(.*)')


class EventSequenceError(ValueError):
    """The events of a resumption don't follow those before."""


class EventSequence:
    """Checks the ids of a resumed stream's events.

    Ids that are numbers go on in the step that they had; others may only not be repeated.

    Parameters
    ----------
    last_ids : sequence of str
        Ids of the last two events before the resumption, or fewer.
    """

    def __init__(self, last_ids: Sequence[str]) -> None:
        self._seen = set(last_ids)
        numbers = [int(text) for text in last_ids if text.isdecimal()]
        is_numbered = len(numbers) == len(last_ids)
        self._last = numbers[-1] if numbers and is_numbered else None
        self._step = _step(numbers) if is_numbered else None

    def check(self, events: bytes) -> None:
        """Raise EventSequenceError unless complete events go on with the next ids."""
        for event in _EVENT_END.split(events):
            lines = [line for line in _LINE_END.split(event) if line]
            fields = [line for line in lines if not line.startswith(b':')]
            if fields:
                self._check_event(fields)

    def _check_event(self, fields: list[bytes]) -> None:
        ids = [found[1] for line in fields if (found := _ID.fullmatch(line))]
        if not ids:
            raise EventSequenceError(f'an event has no id: {fields[0]!r:.80}')
        event_id = ids[-1].decode(errors='replace')
        if event_id in self._seen:
            raise EventSequenceError(f'event {event_id!r:.40} came again')
        self._seen.add(event_id)
        if self._last is None:
            return
        number = int(event_id) if event_id.isdecimal() else -1
        is_next = (
            number > self._last
            if self._step is None
            else number == self._last + self._step
        )
        if not is_next:
            raise EventSequenceError(f'event {event_id!r:.40} came after {self._last}')
        self._last = number


def _step(numbers: Sequence[int]) -> int | None:
    """Return the difference between consecutive ids; None if it isn't known."""
    if len(numbers) > 1:
        return max(1, numbers[-1] - numbers[-2])
    # Ids that begin with 1 count the events.
    return 1 if list(numbers) == [1] else None
