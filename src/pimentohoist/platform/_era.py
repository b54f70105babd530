"""Era of the store: which of its histories an answer belongs to.

After a restore from a copy the store has lost its last records and gives their offsets
and generations out again. It then names a higher era in its answers.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping

from pimentohoist.exceptions import PimentohoistError
from pimentohoist.platform._headers import STORE_ERA, find

_MAX_DIGITS = 6
_MAX_RISE = 1000
"""A daemon may be out of touch with the store during some restores, not so many."""

_STEP = 'store'

_logger = logging.getLogger(__name__)


class EraChangedError(PimentohoistError):
    """Offsets of a former era were used: the newest of each key must be read."""


class StaleAnswerError(PimentohoistError):
    """An answer of a former era, which arrived late."""


class EraTracker:
    """Keeps the newest era that the store, or another daemon, has named.

    Attributes
    ----------
    current : int
        0 until one has been named.
    """

    def __init__(self) -> None:
        self.current = 0
        self._lock = threading.Lock()
        self._has_logged_invalid = False

    def record_answer(self, headers: Mapping[str, str]) -> int:
        """Record the era of an answer and return it.

        Raises
        ------
        StaleAnswerError
            The answer is of a former era.
        """
        era = self._named_era(headers)
        if era is None:
            return self.current
        if era < self.current:
            raise StaleAnswerError(
                f'answer of era {era}, now {self.current}', step=_STEP
            )
        self._raise_to(era, 'store')
        return era

    def record_reported(self, era: int, peer: str) -> None:
        """Record the era that another daemon's heartbeat names."""
        if self._is_plausible(era):
            self._raise_to(era, peer)

    def _named_era(self, headers: Mapping[str, str]) -> int | None:
        text = find(headers, STORE_ERA)
        if text is None:
            return None
        is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
        if is_number and self._is_plausible(int(text)):
            return int(text)
        if not self._has_logged_invalid:
            self._has_logged_invalid = True
            extra = {'step': _STEP, 'header': STORE_ERA, 'cause': f'{text:.80}'}
            _logger.warning('invalid header ignored', extra=extra)
        return None

    def _is_plausible(self, era: object) -> bool:
        if not isinstance(era, int) or era <= 0:
            return False
        return not self.current or era <= self.current + _MAX_RISE

    def _raise_to(self, era: int, source: str) -> None:
        with self._lock:
            before, self.current = self.current, max(self.current, era)
        if before < era:
            extra = {'step': _STEP, 'source': source, 'era': era, 'before': before}
            _logger.warning('store era changed', extra=extra)
