"""Routing, and the filters that a request passes before it is dispatched."""

from __future__ import annotations

import random

from pimentohoist._entry.crash_reports import CrashReportsController, fingerprint_of
from pimentohoist._entry.request_context import RequestContext
from pimentohoist._entry.quotas import QuotasController
from pimentohoist.entry_models import Declaration, EndpointGroup, Route, Workspace
from pimentohoist.exceptions import (
    AuthenticationError,
    LimitExceededError,
    NotFoundError,
    UnavailableError,
)

_MIN_RETRY_AFTER_S = 0.2
_MAX_RETRY_AFTER_S = 4.0
_JITTER = 0.5
"""Up to this share of the wait is added at random, so that callers that were refused
together don't return together."""


class Authenticate:
    """Finds the workspace of a request's key, unless its route is public."""

    def __call__(self, context: RequestContext) -> None:
        """Set the workspace; raises AuthenticationError if a required key is unknown."""
        context.workspace = find_workspace(
            context.declaration, context.route, context.request.key
        )


class ChargeQuota:
    """Charges a request's tokens to its workspace."""

    def __init__(self, quotas: QuotasController) -> None:
        self.quotas = quotas

    def __call__(self, context: RequestContext) -> None:
        """Charge the request; raises LimitExceededError beyond rate and burst."""
        workspace = context.workspace
        if workspace is None:
            return
        tokens = context.request.tokens
        cost = workspace.default_tokens if tokens is None else tokens
        wait_s = self.quotas.charge(workspace, cost)
        if wait_s is not None:
            raise LimitExceededError(
                f'{workspace.name} is beyond its rate of {workspace.rate:g} and burst of '
                f'{workspace.burst:g}: {cost:g} tokens requested, credit in {wait_s:.2f} s',
                step='quota',
                retry_after_s=add_jitter(wait_s),
            )
        context.charged_tokens = cost


class RejectQuarantined:
    """Refuses quarantined requests."""

    def __init__(self, crash_reports: CrashReportsController) -> None:
        self.crash_reports = crash_reports

    def __call__(self, context: RequestContext) -> None:
        """Raise UnavailableError for a request that crashed more than one endpoint."""
        if self.crash_reports.is_quarantined(fingerprint_of(context.request)):
            raise UnavailableError(
                'the request is quarantined: it crashed more than one endpoint',
                step='quarantine',
                retry_after_s=add_jitter(_MAX_RETRY_AFTER_S),
            )


def find_workspace(
    declaration: Declaration, route: Route, key: str
) -> Workspace | None:
    """Return the workspace of a key, None on a public route.

    Raises
    ------
    AuthenticationError
        The route needs a key that is known, and this one isn't.
    """
    if route.is_public:
        return None
    workspace = declaration.workspaces_by_key.get(key)
    if workspace is None and declaration.workspaces:
        raise AuthenticationError('the key is not valid', step='authenticate')
    return workspace


def find_route(
    declaration: Declaration | None, host: str, path: str
) -> tuple[Declaration, Route, EndpointGroup]:
    """Return the route of a request and one of its groups, chosen by weight.

    Raises
    ------
    UnavailableError
        No configuration is known, or it lacks the group.
    NotFoundError
        No route matches.
    """
    if declaration is None:
        raise UnavailableError(
            'no configuration is known', step='route', retry_after_s=add_jitter(0.5)
        )
    route = declaration.find_route(host, path)
    if route is None:
        raise NotFoundError(f'no route for {host}{path}', step='route')
    group_names = [share.group for share in route.weighted_groups]
    weights = [share.weight for share in route.weighted_groups]
    chosen = random.choices(group_names, weights if any(weights) else None)[0]
    group = declaration.groups.get(chosen)
    if group is None:
        raise UnavailableError(
            f'route {route.name}: unknown group {chosen}', step='route'
        )
    return declaration, route, group


def add_jitter(wait_s: float) -> float:
    """Return a bounded Retry-After in seconds that differs from caller to caller."""
    base_s = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
    return base_s * random.uniform(1, 1 + _JITTER)
