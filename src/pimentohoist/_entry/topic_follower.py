"""What all followers of a keyed topic of the store share."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable, Sequence

from pimentohoist import _clock
from pimentohoist.platform import EraChangedError, KeyedRecord

_MIN_RETRY_DELAY_S = 0.15
_MAX_RETRY_DELAY_S = 0.6
"""Short against the two seconds in which a configuration must be in force."""

_MAX_KEY = 256

_logger = logging.getLogger(__name__)

Sink = Callable[[Sequence[KeyedRecord], bool], None]
"""Called after each read with new records, and whether they are the topic's whole content."""


def apply_each(
    records: Sequence[KeyedRecord], topic: str, apply: Callable[[KeyedRecord], None]
) -> None:
    """Apply records one by one; one that can't be applied holds up no other one."""
    for record in records:
        try:
            apply(record)
        except Exception:
            extra = {'step': 'follow', 'topic': topic, 'key': record.key[:_MAX_KEY]}
            _logger.exception('record not applied', extra=extra)


class ReadStatus:
    """Records and logs whether the store answers the reads of a topic.

    Attributes
    ----------
    last_read_at : float
        When the store last answered, on the daemon's clock.
    last_sent_at : float
        When the read was sent that it answered last; what came of it is no older.
    restored_at : float
        When the store last answered again after a failure, on the daemon's clock.
    failures : int
        Reads that have failed since the store last answered.
    """

    def __init__(self, topic: str) -> None:
        self.topic = topic
        self.last_read_at = float('-inf')
        self.last_sent_at = float('-inf')
        self.restored_at = float('-inf')
        self.failures = 0

    def unread_s(self) -> float | None:
        """Return the seconds since the store last answered; None if it never has."""
        if math.isinf(self.last_read_at):
            return None
        return round(_clock.now() - self.last_read_at, 3)

    def record_success(self) -> None:
        """Record an answer."""
        unread_s, self.last_read_at = self.unread_s(), _clock.now()
        if self.failures:
            self.restored_at = self.last_read_at
            extra = {
                'step': 'follow',
                'topic': self.topic,
                'failures': self.failures,
                'unread_s': unread_s,
            }
            _logger.warning('store answers again', extra=extra)
        self.failures = 0

    def record_restart(self, error: Exception) -> None:
        """Record that the topic must be read from the newest records on.

        In a new era the store may have been away unnoticed.
        """
        if isinstance(error, EraChangedError):
            self.restored_at = _clock.now()
        _logger.info('%s', error, extra={'step': 'follow', 'topic': self.topic})

    def record_failure(self, error: Exception, sent_at: float) -> float:
        """Record a failed read; return the seconds until the next one."""
        if not self.failures:
            extra = {
                'step': 'follow',
                'topic': self.topic,
                'cause': str(error),
                'read_s': round(_clock.now() - sent_at, 3),
                'unread_s': self.unread_s(),
            }
            _logger.warning('store lost', extra=extra)
        self.failures += 1
        limit_s = min(_MAX_RETRY_DELAY_S, _MIN_RETRY_DELAY_S * 2**self.failures)
        return random.uniform(_MIN_RETRY_DELAY_S, limit_s)
