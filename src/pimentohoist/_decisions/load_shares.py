"""Workspaces' shares of the loads: start-time fair queueing with a bounded lead.

Each workspace's virtual time grows by one load over its weight. Which load goes first is
free as long as nobody is too far ahead of one that waits for much less. Among those that
wait for about as much, for their weights, nobody is held back: when all wait for more than
the store carries, all wait equally long.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

MAX_LEAD_LOADS = 8.0
"""Loads by which a workspace may be ahead of its share while another one waits."""

MAX_FLOOD_LEAD_LOADS = 2.0
"""The same for a workspace that floods the store."""

FLOOD_S = 10.0
"""A workspace that waits for more loads than the whole store carries in this time floods it."""

MUCH_LESS_FACTOR = 3.0
"""Who waits for less than another by this factor, for their weights, waits for much less."""


class LoadShares:
    """Who is how far ahead of its share.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a workspace's share, its granted rate.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self.weight_of = weight_of
        self._virtual_times: dict[str, float] = {}
        self._now = float(0)
        self._backlogs: dict[str, int] = {}

    def record_backlogs(self, backlogs: Mapping[str, int]) -> None:
        """Note for how many loads each workspace waits now."""
        for newcomer in backlogs.keys() - self._backlogs.keys():
            # Time without demand earns no credit.
            self._virtual_times.setdefault(newcomer, self._now)
        self._backlogs = dict(backlogs)
        if backlogs:
            least = min(self._virtual_times[waiting] for waiting in backlogs)
            self._now = max(self._now, least)
        self._virtual_times = {
            workspace: min(virtual_time, self._now + self._longest(workspace))
            for workspace, virtual_time in self._virtual_times.items()
            if virtual_time > self._now or workspace in backlogs
        }

    def record_load(self, workspace: str) -> None:
        """Count one load of a workspace that waits."""
        self._virtual_times[workspace] += 1 / self.weight_of(workspace)

    def leads(self) -> dict[str, float]:
        """Return by how many loads each waiting one is ahead of those with much less."""
        return {workspace: self._lead(workspace) for workspace in self._backlogs}

    def within_bounds(self, loads_per_s: float) -> frozenset[str]:
        """Return the waiting workspaces that are not too far ahead."""
        return frozenset(
            workspace
            for workspace, lead in self.leads().items()
            if lead < self._most_lead(workspace, loads_per_s)
        )

    def _lead(self, workspace: str) -> float:
        reached = self._virtual_times[workspace]
        bound = self._need(workspace) / MUCH_LESS_FACTOR
        least = min(
            (
                self._virtual_times[other]
                for other in self._backlogs
                if self._need(other) < bound
            ),
            default=reached,
        )
        return self.weight_of(workspace) * max(0, reached - least)

    def _longest(self, workspace: str) -> float:
        """Return the lead that is remembered, in virtual time.

        What a workspace got beyond it, while nobody waited for much less, isn't held
        against it later.
        """
        return MAX_LEAD_LOADS / self.weight_of(workspace)

    def _need(self, workspace: str) -> float:
        return self._backlogs[workspace] / self.weight_of(workspace)

    def _most_lead(self, workspace: str, loads_per_s: float) -> float:
        is_flood = self._backlogs[workspace] > FLOOD_S * loads_per_s
        return MAX_FLOOD_LEAD_LOADS if is_flood else MAX_LEAD_LOADS
