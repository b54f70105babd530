"""Workspaces' shares of the loads: start-time fair queueing with a bounded lead.

Each workspace's virtual time grows by one load over its weight. Loads may be granted in
any order as long as no workspace is too far ahead of one with a much smaller backlog.
Among workspaces whose backlogs are about the same for their weights none is held back:
when all wait for more loads than the store carries, all wait equally long.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

MAX_LEAD_LOADS = 8.0
"""Loads by which a workspace may be ahead of its share while another one waits."""

MAX_FLOODING_LEAD_LOADS = 2.0
"""The same bound for a workspace that floods the store."""

FLOOD_BACKLOG_S = 10.0
"""A workspace whose backlog exceeds what the store loads in this time floods it."""

MUCH_SMALLER_FACTOR = 3.0
"""Ratio of weighted backlogs above which the smaller one is much smaller."""


class LoadShares:
    """Leads of the workspaces over their shares of the loads.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a workspace's share, its granted rate.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self.weight_of = weight_of
        self._virtual_times: dict[str, float] = {}
        self._virtual_now = float(0)
        self._backlogs: dict[str, int] = {}

    def record_backlogs(self, backlogs: Mapping[str, int]) -> None:
        """Record for how many loads each workspace waits now."""
        for newcomer in backlogs.keys() - self._backlogs.keys():
            # Time without demand earns no credit.
            self._virtual_times.setdefault(newcomer, self._virtual_now)
        self._backlogs = dict(backlogs)
        if backlogs:
            least = min(self._virtual_times[waiting] for waiting in backlogs)
            self._virtual_now = max(self._virtual_now, least)
        self._virtual_times = {
            workspace: min(
                virtual_time, self._virtual_now + self._max_lead_virtual_time(workspace)
            )
            for workspace, virtual_time in self._virtual_times.items()
            if virtual_time > self._virtual_now or workspace in backlogs
        }

    def record_load(self, workspace: str) -> None:
        """Count one load of a waiting workspace."""
        self._virtual_times[workspace] += 1 / self.weight_of(workspace)

    def leads(self) -> dict[str, float]:
        """Return the waiting workspaces' leads over much smaller backlogs, in loads."""
        return {workspace: self._lead(workspace) for workspace in self._backlogs}

    def within_bounds(self, loads_per_s: float) -> frozenset[str]:
        """Return the waiting workspaces that are not too far ahead."""
        return frozenset(
            workspace
            for workspace, lead in self.leads().items()
            if lead < self._max_lead_loads(workspace, loads_per_s)
        )

    def _lead(self, workspace: str) -> float:
        own_virtual_time = self._virtual_times[workspace]
        max_backlog = self._weighted_backlog(workspace) / MUCH_SMALLER_FACTOR
        least = min(
            (
                self._virtual_times[other]
                for other in self._backlogs
                if self._weighted_backlog(other) < max_backlog
            ),
            default=own_virtual_time,
        )
        return self.weight_of(workspace) * max(0, own_virtual_time - least)

    def _max_lead_virtual_time(self, workspace: str) -> float:
        """Return the most lead that is kept, in virtual time.

        Loads beyond it, granted while no workspace waited for much less, don't count
        against the workspace later.
        """
        return MAX_LEAD_LOADS / self.weight_of(workspace)

    def _weighted_backlog(self, workspace: str) -> float:
        return self._backlogs[workspace] / self.weight_of(workspace)

    def _max_lead_loads(self, workspace: str, loads_per_s: float) -> float:
        is_flooding = self._backlogs[workspace] > FLOOD_BACKLOG_S * loads_per_s
        return MAX_FLOODING_LEAD_LOADS if is_flooding else MAX_LEAD_LOADS
