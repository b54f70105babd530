"""A serving layer for very many LoRA adapters.

Operators write a `Configuration` of sections and print it; callers use a `Session`.

Examples
--------
>>> import pimentohoist
>>> house = pimentohoist.Workspace('house', rate_tokens_per_s=50, burst_tokens=600)
>>> pimentohoist.Configuration.of(house).text().splitlines()[0]
'[workspaces.house]'
"""

from __future__ import annotations

from importlib import import_module
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from pimentohoist.configuration import (
        Adapter,
        Configuration,
        Endpoint,
        EndpointGroup,
        GroupKind,
        Key,
        Route,
        StoreBudget,
        Workspace,
    )
    from pimentohoist.exceptions import PimentohoistError
    from pimentohoist.keys import create_key
    from pimentohoist.sessions import Session

__all__ = (
    'Adapter',
    'Configuration',
    'Endpoint',
    'EndpointGroup',
    'GroupKind',
    'Key',
    'PimentohoistError',
    'Route',
    'Session',
    'StoreBudget',
    'Workspace',
    'create_key',
)

_MODULES = MappingProxyType(
    {'PimentohoistError': 'exceptions', 'Session': 'sessions', 'create_key': 'keys'}
)
_MOST = 'configuration'


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Import a public name when it is first used: daemons need few of them."""
    if name not in __all__:
        raise AttributeError(name)
    return getattr(import_module(f'pimentohoist.{_MODULES.get(name, _MOST)}'), name)
