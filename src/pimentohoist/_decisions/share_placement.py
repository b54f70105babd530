"""Which member is the home of a share of a workspace's limit."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pimentohoist._view_fold import View, rank_names


def share_home(thing: str, view: View) -> str:
    """Return the home of a share; empty if the view is empty.

    The shares of a workspace lie in different failure domains as far as there are so
    many, so that the loss of one domain takes at most one share away.

    Parameters
    ----------
    thing : str
        Name of the share that ends in ``/`` and its number.
    """
    workspace, _, number = thing.rpartition('/')
    for share, domain in enumerate(_domains(workspace, view)):
        if share == int(number):
            inside = (
                member.incarnation
                for member in view.members
                if member.failure_domain == domain
            )
            return rank_names(thing, inside)[0]
    return ''


def _domains(workspace: str, view: View) -> Iterator[str]:
    """Yield the domain of each share in turn; without end but for an empty view."""
    domains = {member.failure_domain for member in view.members}
    free: set[str] = set()
    share = 0
    while domains:
        free = free or set(domains)
        domain = _first(f'{workspace}/{share}', free)
        free.remove(domain)
        share += 1
        yield domain


def _first(thing: str, names: Iterable[str]) -> str:
    return rank_names(thing, names)[0]
