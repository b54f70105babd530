"""The memory that is held for callers by all servers of a daemon."""

from __future__ import annotations

import logging
import socket
import threading
from collections import Counter
from collections.abc import Hashable, Iterator
from typing import Protocol

from pimentohoist import _clock
from pimentohoist._decisions.caller_budget import CallerBudget, body_budget_bytes
from pimentohoist._sockets import has_input
from pimentohoist.exceptions import PimentohoistError, UnavailableError
from pimentohoist.platform import InstanceLimits

_STEP = 'receive'
_LOG_INTERVAL_S = 1.0
_DECISION_INTERVAL_S = 0.05
_RETRY_AFTER_S = 1.0
_BODIES_PER_BUDGET = 2
"""The budget holds this many bodies of the declared size at least."""

_logger = logging.getLogger(__name__)


class ReceivedRequest(Hashable, Protocol):
    """A request whose bytes are counted."""

    group: str
    eviction: PimentohoistError | None


class CallerMemory:
    """Counts bytes for callers against a budget; many threads may use it at once.

    Parameters
    ----------
    limits : InstanceLimits
        What the instance has.

    Attributes
    ----------
    budget_bytes : int
        Bytes that may be held, unless two declared bodies need more.
    refusals : Counter of str
        Requests that were refused before they were read completely, by reason.
    """

    def __init__(self, limits: InstanceLimits) -> None:
        self.limits = limits
        self.budget_bytes = body_budget_bytes(limits.memory_mb)
        self.refusals: Counter[str] = Counter()
        self._budget = CallerBudget(self.budget_bytes)
        self._lock = threading.Lock()
        self._decides_at: float = 0
        self._logs_at: dict[str, float] = {}

    def allow_bodies(self, max_body_bytes: int) -> None:
        """Let the budget hold bodies of the declared size."""
        self._budget.max_bytes = max(
            self.budget_bytes, _BODIES_PER_BUDGET * max_body_bytes
        )

    def record(self, request: ReceivedRequest, size: int, *, is_complete: bool) -> None:
        """Set how many bytes of a request are held."""
        with self._lock:
            self._budget.record(
                request, request.group, size, _clock.now(), is_complete=is_complete
            )

    def release(self, request: ReceivedRequest) -> None:
        """Forget a request."""
        with self._lock:
            self._budget.release(request)

    def may_read(
        self, request: ReceivedRequest, growth: int, connected: socket.socket
    ) -> bool:
        """Return whether to read on; otherwise a request may be marked for eviction."""
        now = _clock.now()
        with self._lock:
            if self._budget.fits(request, growth):
                self._budget.stop_waiting(request)
                return True
            if has_input(connected):
                self._budget.wait(request, now)
            else:
                self._budget.stop_waiting(request)
            if now < self._decides_at:
                return False
            self._decides_at = now + _DECISION_INTERVAL_S
            victim = self._budget.find_victim(now)
        if victim is not None:
            victim.eviction = UnavailableError(  # type: ignore[attr-defined]
                'the memory for requests is in use',
                step=_STEP,
                retry_after_s=_RETRY_AFTER_S,
            )
        return False

    def record_refusal(self, reason: str, address: str, size: int) -> None:
        """Count a refusal; each reason is logged once a second at most."""
        self.refusals[reason] += 1
        now = _clock.now()
        if now < self._logs_at.get(reason, 0):
            return
        self._logs_at[reason] = now + _LOG_INTERVAL_S
        extra = {
            'step': _STEP,
            'reason': reason,
            'peer': address,
            'request_bytes': size,
            'held_bytes': self._budget.held_bytes,
            'max_bytes': self._budget.max_bytes,
            'waiting': self._budget.waiting_count(),
            'refusals': self.refusals[reason],
        }
        _logger.warning('request refused before its end', extra=extra)

    def lines(self) -> Iterator[str]:
        """Yield metrics as text."""
        yield f'pimentohoist_caller_bytes_held {self._budget.held_bytes}'
        yield f'pimentohoist_caller_bytes_max {self._budget.max_bytes}'
        yield f'pimentohoist_caller_bodies_waiting {self._budget.waiting_count()}'
        for reason, count in tuple(self.refusals.items()):
            yield f'pimentohoist_bodies_refused_total{{reason="{reason}"}} {count}'
