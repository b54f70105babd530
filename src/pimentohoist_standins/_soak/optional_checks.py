"""The checks, if they are installed."""

from __future__ import annotations

import importlib

from pimentohoist_standins._soak.records import CheckResult, Observations

_CHECKS_MODULE = 'pimentohoist_standins._soak.checks'


def run_checks(observations: Observations) -> tuple[CheckResult, ...]:
    """Return the results of all checks; none if there are no checks."""
    try:
        checks = importlib.import_module(_CHECKS_MODULE)
    except ModuleNotFoundError:
        return ()
    found: tuple[CheckResult, ...] = checks.run_checks(observations)
    return found
