"""Steps on the homes of shares."""

from __future__ import annotations

from behave import then
from behave.runner import Context
from hypothesis import given as over
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._decisions.share_placement import share_home
from pimentohoist._decisions.shares import SHARES
from pimentohoist._view_fold import View
from pimentohoist.models import Member

_DOMAINS = st.sampled_from('abcdefg')
_views = st.lists(_DOMAINS, min_size=1, max_size=12).map(
    lambda domains: View(
        1,
        tuple(
            Member(f'member-{number}', '', '', domain)
            for number, domain in enumerate(domains)
        ),
    )
)
_workspaces = st.sampled_from(('house', 'lipstick/house', 'cream'))


def homes_of(workspace: str, view: View) -> list[str]:
    return [share_home(f'limit/{workspace}/{share}', view) for share in range(SHARES)]


def without(view: View, incarnation: str) -> View:
    left = [one for one in view.members if one.incarnation != incarnation]
    return View(2, tuple(left))


@seed(4501)
@settings(max_examples=500, database=None, deadline=None)
@over(_views, _workspaces)
def check_domains(view: View, workspace: str) -> None:
    domain_of = {one.incarnation: one.failure_domain for one in view.members}
    homes = homes_of(workspace, view)
    domains = {domain_of[home] for home in homes}
    assert len(domains) == min(SHARES, len(set(domain_of.values()))), (view, homes)
    # The order in which members are named decides nothing.
    assert homes == homes_of(workspace, View(1, tuple(reversed(view.members))))


@seed(4502)
@settings(max_examples=500, database=None, deadline=None)
@over(_views, _workspaces)
def check_moves(view: View, workspace: str) -> None:
    before = homes_of(workspace, view)
    for member in view.members:
        left = without(view, member.incarnation)
        domains = {one.failure_domain for one in left.members}
        if member.failure_domain in domains:
            for home, later in zip(before, homes_of(workspace, left), strict=True):
                assert home in {later, member.incarnation}, (before, member)


@then('over 500 generated views each share has one home, in a domain of its own')
def compare_domains(context: Context) -> None:
    check_domains()
    assert share_home('limit/house/0', View(1, ())) == ''


@then("a member that leaves takes only its own shares' homes along if its domain stays")
def compare_moves(context: Context) -> None:
    check_moves()
