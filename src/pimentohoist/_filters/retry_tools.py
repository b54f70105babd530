"""What the generations of a daemon share: slots, the retry budget, crash reports."""

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
    """What is known fleet-wide of requests that crash endpoints."""

    def quarantine_status(self, fingerprint: str) -> QuarantineStatus:
        """Return what is known of a request."""

    def report_crash(self, fingerprint: str, endpoint: str) -> QuarantineStatus:
        """Tell all daemons of a crash; return what is known then."""

    def report_success(self, fingerprint: str) -> None:
        """Tell all daemons that a suspect ran to its end."""


class SharedRetryBudget:
    """The daemon's retry budget, shared by its requests."""

    def __init__(self) -> None:
        self.budget = RetryBudget()
        self.requests = 0
        self.retries = 0
        self.refused_retries = 0
        self._lock = threading.Lock()

    def __enter__(self) -> Self:
        """Start."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop."""

    def record_request(self) -> None:
        """Add the credit of a request."""
        with self._lock:
            self.requests += 1
            self.budget = self.budget.after_request()

    def take(self) -> bool:
        """Return whether a retry may be made, and count it."""
        with self._lock:
            left = self.budget.after_retry()
            if left is None:
                self.refused_retries += 1
                return False
            self.budget = left
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
    """What every generation of a daemon uses.

    Attributes
    ----------
    sleep, jitter : callable
        Waits for seconds; returns a random number from 0 to 1.
    """

    slots: Slots
    cancellations: CancellationsController
    crashes: CrashReports
    clock: Clock
    counter: SharedRetryBudget = field(default_factory=SharedRetryBudget)
    sleep: Callable[[float], None] = time.sleep
    jitter: Callable[[], float] = random.random
