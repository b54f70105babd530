"""The operators' configuration: what is granted to whom, and where it runs.

A configuration is a set of sections. A section has a kind and a name, is printed as one
TOML table, and is the unit of change: two operators who change different sections don't
disturb each other. The printed text is what is published, held and shown.

Examples
--------
>>> configuration = Configuration.of(
...     Workspace('ledger', rate_tokens_per_s=100, burst_tokens=500)
... )
>>> print(configuration.text())
[workspaces.ledger]
rate_tokens_per_s = 100.0
burst_tokens = 500
price_per_million_tokens = "0"
currency = "EUR"
is_urgent = false
<BLANKLINE>
"""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from decimal import Decimal
from enum import StrEnum
from types import MappingProxyType
from typing import Annotated, Any, TypeAlias

import tomli_w
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic import dataclasses as checked

from pimentohoist.exceptions import ConfigurationError

_STEP = 'configuration'
_NAME_PATTERN = '^[A-Za-z0-9][A-Za-z0-9_.-]{0,99}$'
_ADDRESS_PATTERN = r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$'
_HEX_PATTERN = '^[0-9a-f]+$'
_LEAST_SALT_DIGITS = 16
_DIGEST_DIGITS = 64

Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
Address = Annotated[str, Field(pattern=_ADDRESS_PATTERN)]
_Version = Annotated[int, Field(ge=1)]
_Price = Annotated[Decimal, Field(ge=0, allow_inf_nan=False)]

_CONFIG = ConfigDict(extra='forbid')


class GroupKind(StrEnum):
    """What the endpoints of a group are."""

    ENGINE = 'engine'
    SERVICE = 'service'


@checked.dataclass(frozen=True, config=_CONFIG)
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
    rate_tokens_per_s: Annotated[float, Field(ge=0, allow_inf_nan=False)]
    burst_tokens: Annotated[int, Field(ge=0)]
    price_per_million_tokens: _Price = Decimal(0)
    currency: Annotated[str, Field(pattern='^[A-Z]{3}$')] = 'EUR'
    is_urgent: bool = False


@checked.dataclass(frozen=True, config=_CONFIG)
class Key:
    """A caller's key, as a salted digest of its secret."""

    name: Name
    workspace: Name
    salt: Annotated[str, Field(pattern=_HEX_PATTERN, min_length=_LEAST_SALT_DIGITS)]
    digest: Annotated[
        str,
        Field(
            pattern=_HEX_PATTERN, min_length=_DIGEST_DIGITS, max_length=_DIGEST_DIGITS
        ),
    ]


@checked.dataclass(frozen=True, config=_CONFIG)
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
    versions: Annotated[tuple[_Version, ...], Field(min_length=1)]
    default_version: int
    workspaces: tuple[Name, ...] = ()


@checked.dataclass(frozen=True, config=_CONFIG)
class Endpoint:
    """A member of an endpoint group."""

    name: Name
    address: Address
    failure_domain: Name
    checks_fencing: bool = False


@checked.dataclass(frozen=True, config=_CONFIG)
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
    model: str = ''
    slots: Annotated[int, Field(ge=1)] = 8
    knee_requests: Annotated[int, Field(ge=1)] = 16


@checked.dataclass(frozen=True, config=_CONFIG)
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
    workspaces: tuple[Name, ...] = ()
    cost_tokens: Annotated[int, Field(ge=0)] = 0


@checked.dataclass(frozen=True, config=_CONFIG)
class StoreBudget:
    """What the weight store allows over the whole fleet."""

    name: Name
    loads_per_s: Annotated[float, Field(gt=0)]
    loads_at_once: Annotated[int, Field(ge=1)]


Section: TypeAlias = Workspace | Key | Adapter | EndpointGroup | Route | StoreBudget

_KINDS: Mapping[str, type[Any]] = MappingProxyType(
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
    {section_type: kind for kind, section_type in _KINDS.items()}
)
_ADAPTERS: Mapping[str, TypeAdapter[Any]] = MappingProxyType(
    {kind: TypeAdapter(section_type) for kind, section_type in _KINDS.items()}
)


def section_id(section: Section) -> str:
    """Return ``kind/name``, the section's identity in a publish."""
    return f'{_KIND_NAMES[type(section)]}/{section.name}'


def section_text(section: Section) -> str:
    """Return the section as one TOML table, the same bytes each time."""
    kind = _KIND_NAMES[type(section)]
    document = _ADAPTERS[kind].dump_python(section, mode='json')
    name = document.pop('name')
    return tomli_w.dumps({kind: {name: document}}).replace(f'[{kind}]\n', '', 1)


def parse_sections(text: str) -> tuple[Section, ...]:
    """Parse TOML into sections.

    Raises
    ------
    ConfigurationError
        With every fault of syntax, type or range.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError((f'not TOML: {error}',), step=_STEP) from error
    faults: list[str] = []
    sections = tuple(_parse_document(document, faults))
    if faults:
        raise ConfigurationError(tuple(faults), step=_STEP)
    return sections


def _parse_document(
    document: Mapping[str, Any], faults: list[str]
) -> Iterator[Section]:
    for kind, tables in document.items():
        if kind not in _KINDS or not isinstance(tables, dict):
            faults.append(f'{kind}: unknown kind of section')
            continue
        for name, table in tables.items():
            yield from _parse_section(kind, name, table, faults)


def _parse_section(
    kind: str, name: str, table: Any, faults: list[str]
) -> Iterator[Section]:
    if not isinstance(table, dict):
        faults.append(f'{kind}.{name}: not a table')
        return
    try:
        yield _ADAPTERS[kind].validate_python({**table, 'name': name})
    except ValidationError as error:
        faults.extend(
            '.'.join((kind, name, *(str(part) for part in fault['loc'])))
            + f': {fault["msg"]}'
            for fault in error.errors()
        )


@dataclass(frozen=True)
class Configuration:
    """A whole configuration, by section.

    Attributes
    ----------
    sections : mapping of str to Section
        By `section_id`.
    """

    sections: Mapping[str, Section] = field(default_factory=dict)

    @classmethod
    def of(cls, *sections: Section) -> Configuration:
        """Return a configuration of these sections."""
        return cls({section_id(section): section for section in sections})

    @classmethod
    def parse(cls, text: str) -> Configuration:
        """Parse a text and check it as a whole; raises ConfigurationError."""
        configuration = cls.of(*parse_sections(text))
        configuration.check()
        return configuration

    def text(self) -> str:
        """Return the whole text, sections in order of kind and name."""
        return '\n'.join(
            section_text(self.sections[identity]) for identity in sorted(self.sections)
        )

    def digest(self) -> str:
        """Return the SHA-256 of the text, in hexadecimal."""
        return hashlib.sha256(self.text().encode()).hexdigest()

    def check(self) -> None:
        """Raise ConfigurationError with every contradiction between sections."""
        faults = tuple(find_faults(self.sections, self.sections.values()))
        if faults:
            raise ConfigurationError(faults, step=_STEP)


def find_faults(
    whole: Mapping[str, Section], sections: Iterable[Section]
) -> Iterator[str]:
    """Yield what contradicts `whole` in each of `sections`."""
    for section in sections:
        identity = section_id(section)
        for reference in references(section):
            if reference not in whole:
                yield f'{identity}: there is no {reference}'
        if isinstance(section, Adapter):
            if section.default_version not in section.versions:
                yield f'{identity}: default_version is not among versions'


def references(section: Section) -> tuple[str, ...]:
    """Return the ids of the sections that `section` names."""
    match section:
        case Key():
            return (f'workspaces/{section.workspace}',)
        case Adapter() | Route():
            workspaces = (f'workspaces/{name}' for name in section.workspaces)
            return (f'groups/{section.group}', *workspaces)
        case _:
            return ()
