"""Objects that all generations of a daemon share, such as its retry budget."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol, Self

from pimentohoist._controllers.cancellations import CancellationsController
from pimentohoist._decisions.quarantine import QuarantineStatus
from pimentohoist._decisions.retry_budget import RetryBudget
from pimentohoist.protocols import Clock, Slots


class CrashReports(Protocol):
    """Fleet-wide reports on requests that crash endpoints."""

    def quarantine_status(self, fingerprint: str) -> QuarantineStatus:
        """Return the quarantine status of a request."""

    def report_crash(self, fingerprint: str, endpoint: str) -> QuarantineStatus:
        """Report a crash to all daemons; return the resulting quarantine status."""

    def report_success(self, fingerprint: str) -> None:
        """Report to all daemons that a suspect request ran to its end."""


class SharedRetryBudget:
    """The daemon's retry budget, shared by its requests."""

    def __init__(self) -> None:
        self.budget = RetryBudget()
        self.requests = 0
        self.retries = 0
        self.refused_retries = 0
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Do nothing; there is nothing to start."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Do nothing; there is nothing to stop."""

    def record_request(self) -> None:
        """Count a request and add its credit."""
        with self._lock:
            self.requests += 1
            self.budget = self.budget.after_request()

    def try_take(self) -> bool:
        """Spend the credit of one retry; return False if there is too little."""
        with self._lock:
            remaining = self.budget.after_retry()
            if remaining is None:
                self.refused_retries += 1
                return False
            self.budget = remaining
            self.retries += 1
            return True

    def dump(self) -> dict[str, Any]:
        """Return counts and credit."""
        with self._lock:
            return {
                'requests': self.requests,
                'retries': self.retries,
                'refused_retries': self.refused_retries,
                'credit_tenths': self.budget.units,
            }


@dataclass(frozen=True)
class RetryDependencies:
    """Objects that every generation of a daemon uses.

    Attributes
    ----------
    sleep, jitter : callable
        The first waits for the given seconds; the second returns a random number from
        0 to 1.
    """

    slots: Slots
    cancellations: CancellationsController
    crash_reports: CrashReports
    clock: Clock
    retry_budget: SharedRetryBudget = field(default_factory=SharedRetryBudget)
    sleep: Callable[[float], None] = time.sleep
    jitter: Callable[[], float] = random.random
