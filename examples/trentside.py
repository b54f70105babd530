"""Trentside Municipal Guiding Deposits Board: prints its example configuration."""

from __future__ import annotations

import sys
from types import MappingProxyType

from _deployment import adapters, endpoints, engines, services

from pimentohoist.configuration import Configuration, Route, StoreBudget, Workspace

_DOMAINS = ('nottingham', 'derby', 'leicester')
_RATES_TOKENS_PER_S = MappingProxyType(
    {
        'desk': 600,
        'guides': 500,
        'disputes': 300,
        'board': 100,
        'archive': 50,
    }
)
_URGENT_WORKSPACE = 'desk'
_ADAPTER_COUNT = 3000


def build() -> Configuration:
    """Return the whole configuration of the deployment."""
    workspace_names = tuple(_RATES_TOKENS_PER_S)
    deposits = services('deposits', endpoints('deposits', 3, '10.2.2', _DOMAINS))
    assistant = engines(
        'assistant', 'assistant-7b', endpoints('assistant', 6, '10.2.1', _DOMAINS)
    )
    workspaces = (
        Workspace(
            name, rate, rate * 60, '1.50', 'GBP', is_urgent=name == _URGENT_WORKSPACE
        )
        for name, rate in _RATES_TOKENS_PER_S.items()
    )
    return Configuration.of(
        *workspaces,
        deposits,
        assistant,
        StoreBudget('weights', loads_per_s=4, loads_at_once=3),
        Route(
            'balance', 'deposits', is_idempotent=True, workspaces=workspace_names[:2]
        ),
        Route(
            'release', 'deposits', is_idempotent=False, workspaces=workspace_names[:2]
        ),
        *adapters('assistant', _ADAPTER_COUNT, workspace_names),
    )


if __name__ == '__main__':
    sys.stdout.write(build().text())
