"""The operators' configuration: workspaces, keys, adapters, routes and endpoint groups.

A configuration is a set of sections. A section has a kind and a name, is printed as one
TOML table, and is the unit of change: two operators who change different sections don't
conflict. The printed text is published, stored and displayed.

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

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import pairwise

from pimentohoist._configuration_text import (
    join_texts,
    parse_sections,
    parse_whole,
    text_digest,
)
from pimentohoist._decisions.sections import find_all_faults
from pimentohoist._sections import (
    Adapter,
    Address,
    Endpoint,
    EndpointGroup,
    GroupKind,
    Key,
    Name,
    Route,
    Section,
    StoreBudget,
    Workspace,
    section_id,
    section_text,
)
from pimentohoist.exceptions import ConfigurationError

__all__ = (
    'Adapter',
    'Address',
    'Configuration',
    'Endpoint',
    'EndpointGroup',
    'GroupKind',
    'Key',
    'Name',
    'Route',
    'Section',
    'StoreBudget',
    'Workspace',
    'parse_sections',
    'section_id',
    'section_text',
)

_STEP = 'configuration'


@dataclass(frozen=True)
class Configuration:
    """A whole configuration, as a mapping of sections.

    Attributes
    ----------
    sections : mapping of str to Section
        By `section_id`.
    """

    sections: Mapping[str, Section] = field(default_factory=dict)

    @classmethod
    def of(cls, *sections: Section) -> Configuration:
        """Return a configuration of these sections.

        Raises
        ------
        ConfigurationError
            Two sections have the same id.
        """
        by_id = {section_id(section): section for section in sections}
        if len(by_id) < len(sections):
            names = sorted(section_id(section) for section in sections)
            twice = {name for name, other in pairwise(names) if name == other}
            faults = tuple(f'{name}: given twice' for name in sorted(twice))
            raise ConfigurationError(faults, step=_STEP)
        return cls(by_id)

    @classmethod
    def parse(cls, text: str) -> Configuration:
        """Parse a text and check each section and the references between them.

        Raises
        ------
        ConfigurationError
            With every fault and its line.
        """
        return cls.of(*parse_whole(text))

    def text(self) -> str:
        """Return the whole text, sections in order of kind and name."""
        return join_texts(
            {name: section_text(section) for name, section in self.sections.items()}
        )

    def digest(self) -> str:
        """Return the SHA-256 of the text, in hexadecimal."""
        return text_digest(self.text())

    def check(self) -> None:
        """Raise ConfigurationError with every contradiction between sections."""
        found = find_all_faults(self.sections.values())
        faults = tuple(f'{identity}: {fault}' for identity, fault in found)
        if faults:
            raise ConfigurationError(faults, step=_STEP)
