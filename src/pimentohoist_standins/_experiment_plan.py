"""Parameters of an experiment and its generated load."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import accumulate

from pimentohoist._openai import count_tokens


@dataclass(frozen=True)
class Experiment:
    """Parameters of an experiment.

    Attributes
    ----------
    rate_per_s : float
        Arrivals per second, over all workspaces.
    settle_s : float
        Time from the start of the fleet to the first arrival, in seconds.
    duration_s : float
        Time during which requests arrive, in seconds; faults begin after a third of it
        and end after two thirds.
    action_share : float
        Share of arrivals that are non-idempotent actions, from 0 to 1.
    zipf_exponent : float
        Exponent of the Zipf distribution of the adapters' popularity.
    faults : tuple of str
        Names of faults, see ``pimentohoist_standins._faults_plan``.
    """

    daemons: int = 3
    engines: int = 2
    workspaces: int = 3
    adapters: int = 24
    slots: int = 8
    rate_per_s: float = 12
    settle_s: float = 3
    duration_s: float = 9
    max_tokens: int = 8
    action_share: float = 0.2
    zipf_exponent: float = 1
    loads_per_s: float = 10
    rate_tokens_per_s: float = 2000
    burst_tokens: int = 6000
    seed: int = 1
    faults: tuple[str, ...] = ()

    @property
    def workspace_names(self) -> tuple[str, ...]:
        """Names of the workspaces."""
        return tuple(map(workspace_name, range(self.workspaces)))

    @property
    def daemon_names(self) -> tuple[str, ...]:
        """Names of the daemons."""
        return tuple(f'entry-{index}' for index in range(1, self.daemons + 1))


@dataclass(frozen=True)
class Arrival:
    """A request that is sent `at_s` seconds after the start."""

    number: int
    at_s: float
    workspace: str
    adapter: str
    is_action: bool

    @property
    def prompt(self) -> str:
        """A prompt unique to this request, so that a mixed-up answer is detected."""
        return f'Request {self.number} of {self.workspace}.'

    def cost_tokens(self, max_tokens: int) -> int:
        """Return the tokens charged to the workspace's limit; actions cost none."""
        return 0 if self.is_action else count_tokens(self.prompt) + max_tokens


def workspace_name(index: int) -> str:
    """Return the name of a workspace."""
    return f'workspace-{index}'


def arrivals(experiment: Experiment) -> Iterator[Arrival]:
    """Yield the requests in order of time; the same seed gives the same requests."""
    random_source = random.Random(experiment.seed)
    cumulative_weights = list(
        accumulate(
            1 / (rank + 1) ** experiment.zipf_exponent
            for rank in range(experiment.adapters)
        )
    )
    at_s = random_source.expovariate(experiment.rate_per_s)
    number = 0
    while at_s < experiment.duration_s:
        adapter = random_source.choices(
            range(experiment.adapters), cum_weights=cumulative_weights
        )[0]
        yield Arrival(
            number,
            at_s,
            workspace=workspace_name(adapter % experiment.workspaces),
            adapter=f'adapter-{adapter}',
            is_action=random_source.random() < experiment.action_share,
        )
        number += 1
        at_s += random_source.expovariate(experiment.rate_per_s)
