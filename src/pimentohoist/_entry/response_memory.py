"""Limits the memory of all responses that are buffered at the same time."""

from __future__ import annotations

import threading

_MAX_TOTAL_BYTES = 4_194_304
_FREE_BYTES = 16_384
"""Held by each response without being counted; most responses are smaller."""

_WAIT_S = 0.1


class ResponseMemory:
    """Counts the bytes that are held of all responses.

    A response that needs more than is left waits, and its endpoint with it. The one that
    has held counted memory for the longest time may always grow up to its own limit, so
    that one of them ends and the others go on.
    """

    def __init__(self, max_total_bytes: int = _MAX_TOTAL_BYTES) -> None:
        self.max_total_bytes = max_total_bytes
        self._counted: dict[object, int] = {}
        self._changed = threading.Condition()

    def resize(self, holder: object, size: int) -> bool:
        """Set how many bytes of a response are held.

        Returns False if there is no memory for a growth now; this takes a short time.
        """
        counted = size - _FREE_BYTES
        if counted <= 0:
            self.release(holder)
            return True
        with self._changed:
            self._counted.setdefault(holder, 0)
            return self._changed.wait_for(
                lambda: self._try_resize(holder, counted), _WAIT_S
            )

    def release(self, holder: object) -> None:
        """Record that nothing of a response is held any more."""
        if holder in self._counted:
            with self._changed:
                self._counted.pop(holder, None)
                self._changed.notify_all()

    def _try_resize(self, holder: object, counted: int) -> bool:
        growth = counted - self._counted[holder]
        is_oldest = next(iter(self._counted)) is holder
        is_free = sum(self._counted.values()) + growth <= self.max_total_bytes
        if growth > 0 and not is_free and not is_oldest:
            return False
        self._counted[holder] = counted
        if growth < 0:
            self._changed.notify_all()
        return True
