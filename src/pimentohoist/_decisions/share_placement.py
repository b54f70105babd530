"""Owners of the shares of a workspace's limit."""

from __future__ import annotations

from collections.abc import Iterable

from pimentohoist._decisions.shares import SHARES_PER_WORKSPACE
from pimentohoist._rendezvous import rank_names
from pimentohoist._view_fold import View
from pimentohoist.models import Member


def share_resource_key(workspace: str, share: int) -> str:
    """Return the key from which the owner of a share is computed."""
    return f'limit/{workspace}/{share}'


def share_owner(resource_key: str, view: View) -> str:
    """Return the owner of a share; empty if the view is empty.

    The shares of a workspace are placed at different members, and in different failure
    domains, if there are enough of each, so that one loss takes one share.
    """
    prefix, _, number = resource_key.rpartition('/')
    chosen: list[Member] = []
    if not view.members:
        return ''
    for share in range(min(int(number) + 1, SHARES_PER_WORKSPACE)):
        chosen.append(_next_owner(f'{prefix}/{share}', view.members, chosen))
    return chosen[-1].incarnation


def _next_owner(
    resource_key: str, members: tuple[Member, ...], chosen: Iterable[Member]
) -> Member:
    names = {member.incarnation for member in chosen}
    domains = {member.failure_domain for member in chosen}
    unchosen = [member for member in members if member.incarnation not in names]
    in_new_domains = [
        member for member in unchosen if member.failure_domain not in domains
    ]
    candidates = in_new_domains or unchosen or members
    domain = rank_names(resource_key, {member.failure_domain for member in candidates})[
        0
    ]
    in_domain = {
        member.incarnation: member
        for member in candidates
        if member.failure_domain == domain
    }
    return in_domain[rank_names(resource_key, in_domain)[0]]
