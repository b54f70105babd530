"""Section types: frozen data classes, each printed as one TOML table."""

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
from pydantic import dataclasses as pydantic_dataclasses

_MAX_PRICE_PER_MILLION_TOKENS = 1_000_000_000
_PRICE_DECIMAL_PLACES = 12
_MAX_RATE_PER_S = 1e12
_MAX_COUNT = 1_000_000_000_000_000
_MODEL_PATTERN = '^[ -~]{0,200}$'
_NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$'
_ADDRESS_PATTERN = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'
_HEX_PATTERN = '^[0-9a-f]+$'
_MIN_SALT_HEX_DIGITS = 16
_DIGEST_HEX_DIGITS = 64

_MAX_CACHED_TUPLES = 4096

Name = Annotated[str, Field(pattern=_NAME_PATTERN), AfterValidator(sys.intern)]
"""A name; equal names share memory, since most adapters contain the same few."""

Address = Annotated[str, Field(pattern=_ADDRESS_PATTERN)]
_Version = Annotated[int, Field(ge=1, le=_MAX_COUNT)]
_Count = Annotated[int, Field(ge=0, le=_MAX_COUNT)]


@lru_cache(_MAX_CACHED_TUPLES)
def _share_equal_tuples(names: tuple[Any, ...]) -> tuple[Any, ...]:
    """Return the same object for equal tuples, to save memory."""
    return names


def _canonical_decimal(number: Decimal) -> Decimal:
    """Return the number in canonical form: equal numbers print the same text."""
    return Decimal(format(number.normalize(), 'f'))


def _without_sign(number: float) -> float:
    return abs(number)


_Price = Annotated[
    Decimal,
    Field(
        ge=0,
        le=_MAX_PRICE_PER_MILLION_TOKENS,
        decimal_places=_PRICE_DECIMAL_PLACES,
        allow_inf_nan=False,
    ),
    AfterValidator(_canonical_decimal),
]
_Rate = Annotated[
    float,
    Field(ge=0, le=_MAX_RATE_PER_S, allow_inf_nan=False),
    AfterValidator(_without_sign),
]

_PYDANTIC_CONFIG = ConfigDict(extra='forbid')


class GroupKind(StrEnum):
    """Kind of the endpoints of a group."""

    ENGINE = 'engine'
    SERVICE = 'service'


@pydantic_dataclasses.dataclass(frozen=True, slots=True, config=_PYDANTIC_CONFIG)
class Workspace:
    """A tenant with its limit and price.

    Attributes
    ----------
    rate_tokens_per_s : float
        Tokens that accrue each second over the whole fleet.
    burst_tokens : int
        Maximum number of unspent tokens that accrue.
    price_per_million_tokens : Decimal
        Price in `currency`.
    is_urgent : bool
        Whether its requests take precedence over non-urgent ones.
    """

    name: Name
    rate_tokens_per_s: _Rate
    burst_tokens: _Count
    price_per_million_tokens: _Price = Decimal(0)
    currency: Annotated[str, Field(pattern='^[A-Z]{3}$')] = 'EUR'
    is_urgent: bool = False


@pydantic_dataclasses.dataclass(frozen=True, slots=True, config=_PYDANTIC_CONFIG)
class Key:
    """A caller's key, stored as a salted digest of its secret."""

    name: Name
    workspace: Name
    salt: Annotated[str, Field(pattern=_HEX_PATTERN, min_length=_MIN_SALT_HEX_DIGITS)]
    digest: Annotated[
        str,
        Field(
            pattern=_HEX_PATTERN,
            min_length=_DIGEST_HEX_DIGITS,
            max_length=_DIGEST_HEX_DIGITS,
        ),
    ]


@pydantic_dataclasses.dataclass(frozen=True, slots=True, config=_PYDANTIC_CONFIG)
class Adapter:
    """A LoRA adapter with its callable versions and the workspaces that may call it.

    Attributes
    ----------
    group : str
        Endpoint group of engines that serve it.
    versions : tuple of int
        Versions that may be called.
    default_version : int
        Version used for a request that specifies none.
    workspaces : tuple of str
        Workspaces that may call it.
    """

    name: Name
    group: Name
    versions: Annotated[
        tuple[_Version, ...], Field(min_length=1), AfterValidator(_share_equal_tuples)
    ]
    default_version: int
    workspaces: Annotated[tuple[Name, ...], AfterValidator(_share_equal_tuples)] = ()


@pydantic_dataclasses.dataclass(frozen=True, slots=True, config=_PYDANTIC_CONFIG)
class Endpoint:
    """A member of an endpoint group."""

    name: Name
    address: Address
    failure_domain: Name
    checks_fencing: bool = False


@pydantic_dataclasses.dataclass(frozen=True, slots=True, config=_PYDANTIC_CONFIG)
class EndpointGroup:
    """Endpoints that serve the same purpose.

    Attributes
    ----------
    model : str
        Base model of engines; empty for services.
    slots : int
        Adapter slots of each engine: adapters that it holds at the same time.
    knee_requests : int
        Requests in flight up to which an engine's latency stays level.
    """

    name: Name
    kind: GroupKind
    endpoints: tuple[Endpoint, ...] = ()
    model: Annotated[str, Field(pattern=_MODEL_PATTERN)] = ''
    slots: Annotated[int, Field(ge=1)] = 8
    knee_requests: Annotated[int, Field(ge=1)] = 16


@pydantic_dataclasses.dataclass(frozen=True, slots=True, config=_PYDANTIC_CONFIG)
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
        Tokens that each call counts towards the workspace's limit.
    """

    name: Name
    group: Name
    is_idempotent: bool
    is_open: bool = False
    workspaces: Annotated[tuple[Name, ...], AfterValidator(_share_equal_tuples)] = ()
    cost_tokens: _Count = 0


@pydantic_dataclasses.dataclass(frozen=True, slots=True, config=_PYDANTIC_CONFIG)
class StoreBudget:
    """Limits on loads from the weight store over the whole fleet."""

    name: Name
    loads_per_s: Annotated[float, Field(gt=0, le=_MAX_RATE_PER_S)]
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
    """Return the kind of a section type, the first part of its section ids."""
    return _KIND_NAMES[section_type]


def section_id(section: Section) -> str:
    """Return ``kind/name``, which identifies the section in a publish."""
    return f'{_KIND_NAMES[type(section)]}/{section.name}'


def section_text(section: Section) -> str:
    """Return the section as one TOML table; equal sections give the same bytes."""
    kind = _KIND_NAMES[type(section)]
    document = SECTION_ADAPTERS[kind].dump_python(section, mode='json')
    name = document.pop('name')
    return tomli_w.dumps({kind: {name: document}}).replace(f'[{kind}]\n', '', 1)
