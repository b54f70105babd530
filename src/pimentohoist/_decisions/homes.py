"""In which regions a request may be executed, and which daemons its body may be sent to.

A failure domain whose region isn't known is no home of any request.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

Homes = frozenset[str] | None
"""Regions in which a request may be executed; None for all."""


@dataclass(frozen=True, slots=True)
class Regions:
    """The regions of failure domains."""

    by_domain: Mapping[str, str] = field(default_factory=dict)

    def is_home(self, homes: Homes, failure_domain: str) -> bool:
        """Return whether a failure domain is in a region where a request may run."""
        return homes is None or self.by_domain.get(failure_domain) in homes


def request_homes(route: Collection[str], workspace: Collection[str]) -> Homes:
    """Return the homes of a request by those of its route and of its workspace.

    Both bind; one without any has none.
    """
    return _common(frozenset(homes) for homes in (route, workspace) if homes)


def directory_regions(
    homes_of_routes: Iterable[Collection[str]], caller_region: str
) -> Homes:
    """Return the regions whose daemons the directory names to a caller.

    The caller may ask for any of the routes, so the homes of all of them bind. Its own
    region always qualifies.
    """
    homes = _common(frozenset(homes) for homes in homes_of_routes if homes)
    return homes if homes is None else homes | ({caller_region} - {''})


def _common(bound: Iterable[frozenset[str]]) -> Homes:
    common: Homes = None
    for homes in bound:
        common = homes if common is None else common & homes
    return common
