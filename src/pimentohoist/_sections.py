"""Sections of a configuration: frozen data classes, each printed as one TOML table."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from decimal import Decimal
from enum import StrEnum
from functools import lru_cache
from types import MappingProxyType
from typing import Annotated, Any, TypeAlias

import tomli_w
from pydantic import AfterValidator, ConfigDict, Field, TypeAdapter
from pydantic import dataclasses as checked

_HIGHEST_PRICE = 1_000_000_000
_PRICE_DECIMAL_PLACES = 12
_HIGHEST_RATE = 1e12
_HIGHEST_COUNT = 1_000_000_000_000_000
_MODEL_PATTERN = '^[ -~]{0,200}$'
_NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$'
_ADDRESS_PATTERN = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'
_HEX_PATTERN = '^[0-9a-f]+$'
_MIN_SALT_DIGITS = 16
_DIGEST_DIGITS = 64

_SHARED_TUPLES = 4096

Name = Annotated[str, Field(pattern=_NAME_PATTERN), AfterValidator(sys.intern)]
"""A name; equal ones share their memory, as most adapters name the same few things."""

Address = Annotated[str, Field(pattern=_ADDRESS_PATTERN)]
_Version = Annotated[int, Field(ge=1, le=_HIGHEST_COUNT)]
_Count = Annotated[int, Field(ge=0, le=_HIGHEST_COUNT)]


@lru_cache(_SHARED_TUPLES)
def _shared(names: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return one tuple for all equal ones."""
    return names


def _plain_decimal(number: Decimal) -> Decimal:
    """Return the number in the one way in which it is printed."""
    return Decimal(format(number.normalize(), 'f'))


def _without_sign(number: float) -> float:
    return abs(number)


_Price = Annotated[
    Decimal,
    Field(
        ge=0,
        le=_HIGHEST_PRICE,
        decimal_places=_PRICE_DECIMAL_PLACES,
        allow_inf_nan=False,
    ),
    AfterValidator(_plain_decimal),
]
_Rate = Annotated[
    float,
    Field(ge=0, le=_HIGHEST_RATE, allow_inf_nan=False),
    AfterValidator(_without_sign),
]

_CONFIG = ConfigDict(extra='forbid')


class GroupKind(StrEnum):
    """What the endpoints of a group are."""

    ENGINE = 'engine'
    SERVICE = 'service'


@checked.dataclass(frozen=True, slots=True, config=_CONFIG)
class Workspace:
    """A tenant with its limit and price.

    Attributes
    ----------
    rate_tokens_per_s : float
        Tokens that accrue each second over the whole fleet.
    burst_tokens : int
        Most tokens that accrue unspent.
    price_per_million_tokens : Decimal
        Price in `currency`.
    is_urgent : bool
        Whether its requests go before patient ones.
    """

    name: Name
    rate_tokens_per_s: _Rate
    burst_tokens: _Count
    price_per_million_tokens: _Price = Decimal(0)
    currency: Annotated[str, Field(pattern='^[A-Z]{3}$')] = 'EUR'
    is_urgent: bool = False


@checked.dataclass(frozen=True, slots=True, config=_CONFIG)
class Key:
    """A caller's key, as a salted digest of its secret."""

    name: Name
    workspace: Name
    salt: Annotated[str, Field(pattern=_HEX_PATTERN, min_length=_MIN_SALT_DIGITS)]
    digest: Annotated[
        str,
        Field(
            pattern=_HEX_PATTERN, min_length=_DIGEST_DIGITS, max_length=_DIGEST_DIGITS
        ),
    ]


@checked.dataclass(frozen=True, slots=True, config=_CONFIG)
class Adapter:
    """A LoRA adapter with the versions and workspaces that may be called.

    Attributes
    ----------
    group : str
        Endpoint group of engines that serve it.
    versions : tuple of int
        Versions that may be called.
    default_version : int
        Version of a request that names none.
    workspaces : tuple of str
        Workspaces that may call it.
    """

    name: Name
    group: Name
    versions: Annotated[
        tuple[_Version, ...], Field(min_length=1), AfterValidator(_shared)
    ]
    default_version: int
    workspaces: Annotated[tuple[Name, ...], AfterValidator(_shared)] = ()


@checked.dataclass(frozen=True, slots=True, config=_CONFIG)
class Endpoint:
    """A member of an endpoint group."""

    name: Name
    address: Address
    failure_domain: Name
    checks_fencing: bool = False


@checked.dataclass(frozen=True, slots=True, config=_CONFIG)
class EndpointGroup:
    """Endpoints that serve the same purpose.

    Attributes
    ----------
    model : str
        Base model of engines; empty for services.
    slots : int
        Adapters that an engine holds at once.
    knee_requests : int
        Requests in flight up to which an engine's latency stays level.
    """

    name: Name
    kind: GroupKind
    endpoints: tuple[Endpoint, ...] = ()
    model: Annotated[str, Field(pattern=_MODEL_PATTERN)] = ''
    slots: Annotated[int, Field(ge=1)] = 8
    knee_requests: Annotated[int, Field(ge=1)] = 16


@checked.dataclass(frozen=True, slots=True, config=_CONFIG)
class Route:
    """A path of a plain service, ``/services/<name>/...``.

    Attributes
    ----------
    is_idempotent : bool
        Whether a call may be repeated.
    is_open : bool
        Whether callers need no key.
    workspaces : tuple of str
        Workspaces that may call it if it isn't open.
    cost_tokens : int
        Tokens that a call counts towards the workspace's limit.
    """

    name: Name
    group: Name
    is_idempotent: bool
    is_open: bool = False
    workspaces: Annotated[tuple[Name, ...], AfterValidator(_shared)] = ()
    cost_tokens: _Count = 0


@checked.dataclass(frozen=True, slots=True, config=_CONFIG)
class StoreBudget:
    """What the weight store allows over the whole fleet."""

    name: Name
    loads_per_s: Annotated[float, Field(gt=0, le=_HIGHEST_RATE)]
    loads_at_once: Annotated[int, Field(ge=1)]


Section: TypeAlias = Workspace | Key | Adapter | EndpointGroup | Route | StoreBudget

SECTION_TYPES: Mapping[str, type[Any]] = MappingProxyType(
    {
        'workspaces': Workspace,
        'keys': Key,
        'adapters': Adapter,
        'groups': EndpointGroup,
        'routes': Route,
        'stores': StoreBudget,
    }
)
_KIND_NAMES: Mapping[type[Any], str] = MappingProxyType(
    {section_type: kind for kind, section_type in SECTION_TYPES.items()}
)
SECTION_ADAPTERS: Mapping[str, TypeAdapter[Any]] = MappingProxyType(
    {kind: TypeAdapter(section_type) for kind, section_type in SECTION_TYPES.items()}
)


def section_kind(section_type: type[Any]) -> str:
    """Return the kind by which sections of a type are named and grouped."""
    return _KIND_NAMES[section_type]


def section_id(section: Section) -> str:
    """Return ``kind/name``, the section's identity in a publish."""
    return f'{_KIND_NAMES[type(section)]}/{section.name}'


def section_text(section: Section) -> str:
    """Return the section as one TOML table, the same bytes each time."""
    kind = _KIND_NAMES[type(section)]
    document = SECTION_ADAPTERS[kind].dump_python(section, mode='json')
    name = document.pop('name')
    return tomli_w.dumps({kind: {name: document}}).replace(f'[{kind}]\n', '', 1)
