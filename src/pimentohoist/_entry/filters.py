"""Filters that a request passes before it is sent to an endpoint."""

from __future__ import annotations

import random

from pimentohoist._entry.crash_reports import CrashReportsController, fingerprint
from pimentohoist._entry.request_context import RequestContext
from pimentohoist._entry.quotas import QuotasController
from pimentohoist.entry_models import Declaration, EndpointGroup, Route
from pimentohoist.exceptions import (
    AuthenticationError,
    LimitExceededError,
    NotFoundError,
    UnavailableError,
)

_MIN_WAIT_S = 0.2
_MAX_WAIT_S = 4.0
_SPREAD = 0.5
"""Callers that were refused together return over half as long again."""


class Authenticate:
    """Finds the workspace of a request's key, unless its route is open to all."""

    def __call__(self, context: RequestContext) -> None:
        """Set the workspace."""
        declaration = context.declaration
        workspace = declaration.workspaces_by_key.get(context.request.key)
        is_needed = bool(declaration.workspaces) and not context.route.is_open
        if workspace is None and is_needed:
            raise AuthenticationError('the key is not valid', step='authenticate')
        context.workspace = None if context.route.is_open else workspace


class ChargeQuota:
    """Charges the workspace with the request's tokens."""

    def __init__(self, quotas: QuotasController) -> None:
        self.quotas = quotas

    def __call__(self, context: RequestContext) -> None:
        """Charge, or refuse what is beyond rate and burst."""
        workspace = context.workspace
        if workspace is None:
            return
        tokens = context.request.tokens
        cost = workspace.plain_tokens if tokens is None else tokens
        wait_s = self.quotas.charge(workspace, cost)
        if wait_s is not None:
            raise LimitExceededError(
                f'{workspace.name} is beyond its rate of {workspace.rate:g} and burst of '
                f'{workspace.burst:g}: {cost:g} tokens asked for, credit in {wait_s:.2f} s',
                step='quota',
                retry_after_s=add_jitter(wait_s),
            )
        context.charged = cost


class Quarantine:
    """Refuses requests that crash endpoints."""

    def __init__(self, crash_reports: CrashReportsController) -> None:
        self.crash_reports = crash_reports

    def __call__(self, context: RequestContext) -> None:
        """Refuse a request that has crashed more than one endpoint."""
        if self.crash_reports.is_quarantined(fingerprint(context.request)):
            raise UnavailableError(
                'the request crashes endpoints',
                step='quarantine',
                retry_after_s=add_jitter(_MAX_WAIT_S),
            )


def find_route(
    declaration: Declaration | None, host: str, path: str
) -> tuple[Declaration, Route, EndpointGroup]:
    """Return where a request goes; raises UnavailableError, NotFoundError."""
    if declaration is None:
        raise UnavailableError(
            'no configuration is known', step='route', retry_after_s=add_jitter(0.5)
        )
    route = declaration.find_route(host, path)
    if route is None:
        raise NotFoundError(f'no route for {host}{path}', step='route')
    names = [share.group for share in route.shares]
    weights = [share.weight for share in route.shares]
    chosen = random.choices(names, weights if any(weights) else None)[0]
    group = declaration.groups.get(chosen)
    if group is None:
        raise UnavailableError(f'unknown group {chosen}', step='route')
    return declaration, route, group


def add_jitter(wait_s: float) -> float:
    """Return a time to come back at, different for each caller."""
    base_s = min(_MAX_WAIT_S, max(_MIN_WAIT_S, wait_s))
    return base_s * random.uniform(1, 1 + _SPREAD)
