"""Steps that compare the workspaces' shares of the loads with a naive version."""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping
from typing import Any

from behave import then
from behave.runner import Context
from hypothesis import given as generated
from hypothesis import strategies as st
from serving_generated import WORKSPACES, with_seed, seen_events

from pimentohoist._decisions.load_shares import (
    FLOOD_BACKLOG_S,
    MAX_FLOODING_LEAD_LOADS,
    MAX_LEAD_LOADS,
    MUCH_SMALLER_FACTOR,
    LoadShares,
)

WEIGHTS = dict(zip(WORKSPACES, (1.0, 4.0, 0.5), strict=True))
_LOADS_PER_S = 0.3
_MIN_HELD_BACK = 500


class NaiveShares:
    """Shares that are computed anew from all events for each decision."""

    def __init__(self) -> None:
        self.events: list[Mapping[str, int] | str] = [{}]

    def record_backlogs(self, backlogs: Mapping[str, int]) -> None:
        self.events.append(dict(backlogs))

    def record_load(self, workspace: str) -> None:
        self.events.append(workspace)

    def virtual_times(self) -> dict[str, float]:
        virtual_times = dict.fromkeys(WORKSPACES, float(0))
        virtual_now = float(0)
        waiting: Mapping[str, int] = {}
        for event in self.events:
            if isinstance(event, str):
                virtual_times[event] += 1 / WEIGHTS[event]
                continue
            for newcomer in event.keys() - waiting.keys():
                virtual_times[newcomer] = max(virtual_times[newcomer], virtual_now)
            waiting = event
            virtual_now = max(
                virtual_now, min((virtual_times[name] for name in waiting), default=0)
            )
            for name, weight in WEIGHTS.items():
                virtual_times[name] = min(
                    virtual_times[name], virtual_now + MAX_LEAD_LOADS / weight
                )
        return virtual_times

    def waiting(self) -> Mapping[str, int]:
        return [event for event in self.events if not isinstance(event, str)][-1]

    def leads(self) -> dict[str, float]:
        virtual_times, waiting = self.virtual_times(), self.waiting()
        leads: dict[str, float] = dict.fromkeys(waiting, 0)
        for ahead, behind in itertools.permutations(waiting, 2):
            needs = [waiting[name] / WEIGHTS[name] for name in (ahead, behind)]
            if needs[1] * MUCH_SMALLER_FACTOR < needs[0]:
                lead = WEIGHTS[ahead] * (virtual_times[ahead] - virtual_times[behind])
                leads[ahead] = max(leads[ahead], lead)
        return leads

    def within_bounds(self, loads_per_s: float) -> frozenset[str]:
        waiting = self.waiting()
        bounds = (MAX_LEAD_LOADS, MAX_FLOODING_LEAD_LOADS)
        return frozenset(
            workspace
            for workspace, lead in self.leads().items()
            if lead < bounds[waiting[workspace] > FLOOD_BACKLOG_S * loads_per_s]
        )


_backlogs = st.dictionaries(st.sampled_from(WORKSPACES), st.integers(1, 5), min_size=1)
_events = st.lists(st.tuples(_backlogs, st.integers(0, 12)), max_size=25)


class SharesPair:
    """The shares and their naive version, with the same events."""

    def __init__(self) -> None:
        self.shares = LoadShares(WEIGHTS.__getitem__)
        self.naive = NaiveShares()

    def load(self, backlogs: Mapping[str, int], favourite: str) -> None:
        """Grant a load to the favourite if its lead allows, else to another one."""
        sides = (self.shares, self.naive)
        for side in sides:
            side.record_backlogs(backlogs)
        within = self.shares.within_bounds(_LOADS_PER_S)
        assert within == self.naive.within_bounds(_LOADS_PER_S)
        seen_events['held back'] += len(backlogs) - len(within)
        chosen = favourite if favourite in within else min(within)
        for side in sides:
            side.record_load(chosen)
        check_leads(self.shares.leads(), self.naive.leads())


@with_seed(506, 200)
@generated(events=_events, favourite=st.sampled_from(WORKSPACES))
def shares_agree(events: list[Any], favourite: str) -> None:
    """Compare while one workspace takes all loads that its bound allows."""
    pair = SharesPair()
    for backlogs, loads in events:
        for _ in range(loads):
            pair.load(backlogs, favourite)


def check_leads(leads: dict[str, float], expected: dict[str, float]) -> None:
    assert leads.keys() == expected.keys()
    for name, lead in leads.items():
        assert math.isclose(lead, expected[name], abs_tol=1e-9)
        # The last load may go beyond the bound by less than one.
        assert lead < MAX_LEAD_LOADS + 1, leads


@then('the shares of the loads and a naive version agree over generated histories')
def compare_shares(context: Context) -> None:
    shares_agree()
    assert seen_events['held back'] > _MIN_HELD_BACK, seen_events
