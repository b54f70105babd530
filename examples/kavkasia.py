"""Kavkasia Batch Assurance Consortium: prints its configuration."""

from __future__ import annotations

import sys
from types import MappingProxyType

from _deployment import adapters, endpoints, engines, services

from pimentohoist.configuration import Configuration, Route, StoreBudget, Workspace

_DOMAINS = ('tbilisi-a', 'tbilisi-b', 'tbilisi-c')
_RATES = MappingProxyType(
    {
        'lipstick-house': 900,
        'cream-house': 700,
        'perfume-house': 400,
        'stability': 100,
        'auditor': 50,
    }
)
_ADAPTERS = 3000
_LOADS_PER_S = 2.5


def build() -> Configuration:
    """Return the configuration."""
    names = tuple(_RATES)
    ledger = services('ledger', endpoints('ledger', 3, '10.1.2', _DOMAINS))
    review = engines('review', 'review-7b', endpoints('review', 5, '10.1.1', _DOMAINS))
    workspaces = (
        Workspace(name, rate, rate * 60, price_per_million_tokens='1.80')
        for name, rate in _RATES.items()
    )
    return Configuration.of(
        *workspaces,
        ledger,
        review,
        StoreBudget('weights', loads_per_s=_LOADS_PER_S, loads_at_once=2),
        Route('records', 'ledger', is_idempotent=True, workspaces=names),
        Route('release', 'ledger', is_idempotent=False, workspaces=names[:3]),
        *adapters('review', _ADAPTERS, names),
    )


if __name__ == '__main__':
    sys.stdout.write(build().text())
