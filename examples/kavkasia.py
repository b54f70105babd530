"""Kavkasia Batch Assurance Consortium: prints its example configuration."""

from __future__ import annotations

import sys
from types import MappingProxyType

from _deployment import adapters, endpoints, engines, services

from pimentohoist.configuration import Configuration, Route, StoreBudget, Workspace

_DOMAINS = ('tbilisi-a', 'tbilisi-b', 'tbilisi-c')
_RATES_TOKENS_PER_S = MappingProxyType(
    {
        'lipstick-house': 900,
        'cream-house': 700,
        'perfume-house': 400,
        'stability': 100,
        'auditor': 50,
    }
)
_ADAPTER_COUNT = 3000
_LOADS_PER_S = 2.5


def build() -> Configuration:
    """Return the whole configuration of the deployment."""
    workspace_names = tuple(_RATES_TOKENS_PER_S)
    ledger = services('ledger', endpoints('ledger', 3, '10.1.2', _DOMAINS))
    review = engines('review', 'review-7b', endpoints('review', 5, '10.1.1', _DOMAINS))
    workspaces = (
        Workspace(name, rate, rate * 60, price_per_million_tokens='1.80')
        for name, rate in _RATES_TOKENS_PER_S.items()
    )
    return Configuration.of(
        *workspaces,
        ledger,
        review,
        StoreBudget('weights', loads_per_s=_LOADS_PER_S, loads_at_once=2),
        Route('records', 'ledger', is_idempotent=True, workspaces=workspace_names),
        Route('release', 'ledger', is_idempotent=False, workspaces=workspace_names[:3]),
        *adapters('review', _ADAPTER_COUNT, workspace_names),
    )


if __name__ == '__main__':
    sys.stdout.write(build().text())
