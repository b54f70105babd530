"""State of one experiment run that its faults and checks share."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from pimentohoist._platform_clients.log import HttpLog
from pimentohoist._publisher import Publisher, PublishResult
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
    Route,
    Section,
    StoreBudget,
    Workspace,
)
from pimentohoist.exceptions import PeerError
from pimentohoist.keys import create_key
from pimentohoist_standins._experiment_plan import Experiment, workspace_name
from pimentohoist_standins.fleet import Fleet

_LOG_TIMEOUT_S = 5.0
_STEP = 'experiment'


@dataclass
class RunContext:
    """A running fleet with its configuration and keys.

    Attributes
    ----------
    keys : dict of str to str
        Callers' API keys by workspace.
    configuration : Configuration
        The first published configuration.
    received_before_kill : dict
        Requests that killed engines had received, by engine.
    started_at : float
        Monotonic time from which arrivals are counted.
    """

    experiment: Experiment
    fleet: Fleet
    keys: dict[str, str] = field(default_factory=dict)
    configuration: Configuration = field(default_factory=Configuration)
    received_before_kill: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    started_at: float = 0

    def start(self) -> None:
        """Start endpoints and daemons and publish the configuration."""
        fleet = self.fleet
        fleet.control('weights', loads_per_s=self.experiment.loads_per_s)
        for index in range(1, self.experiment.engines + 1):
            self.start_engine(f'engine-{index}')
        fleet.start_standin('ledger', 'service')
        for daemon in self.experiment.daemon_names:
            fleet.start_daemon(daemon)
        self.configuration = Configuration.of(*self._sections())
        report = fleet.publish(self.configuration)
        if not report.is_in_force:
            raise PeerError(report.text(), step=_STEP)

    def start_engine(self, name: str) -> None:
        """Start or restart an engine."""
        self.fleet.start_standin(
            name,
            'engine',
            slots=self.experiment.slots,
            store_address=self.fleet.addresses['weights'],
        )

    def kill_engine(self, name: str) -> None:
        """Store the requests that an engine received, for the checks, and kill it."""
        self.received_before_kill.setdefault(name, []).extend(
            self.fleet.received_requests(name)
        )
        self.fleet.processes[name].kill()

    def publish(self, configuration: Configuration, operator: str) -> PublishResult:
        """Publish the difference from the first configuration."""
        log = HttpLog(self.fleet.addresses['log'], timeout_s=_LOG_TIMEOUT_S)
        daemons = [self.fleet.operators_address(name) for name in self.fleet.daemons]
        publisher = Publisher(log, daemons, operator)
        return publisher.publish(configuration, self.configuration)

    def received_requests(self) -> Mapping[str, list[dict[str, Any]]]:
        """Return the requests that the endpoints received, killed ones included."""
        return {
            name: self.received_before_kill.get(name, [])
            + self.fleet.received_requests(name)
            for name in self.fleet.addresses
            if name.startswith(('engine', 'ledger'))
        }

    def running_daemons(self) -> tuple[str, ...]:
        """Return the names of the running daemons."""
        return tuple(
            name
            for name in self.fleet.daemons
            if self.fleet.processes[name].is_running()
        )

    def owned_resources(self, daemon: str) -> int:
        """Return the number of engines and store budgets that a daemon owns."""
        endpoints = self.fleet.state(daemon)['endpoints']
        return len(endpoints['homes']) + int(endpoints['load_permits']['is_home'])

    def elapsed_s(self) -> float:
        """Return the time since arrivals began, in seconds."""
        return time.monotonic() - self.started_at

    def _sections(self) -> Iterator[Section]:
        experiment = self.experiment
        names = experiment.workspace_names
        for name in names:
            yield Workspace(name, experiment.rate_tokens_per_s, experiment.burst_tokens)
            key, self.keys[name] = create_key(f'key-of-{name}', name)
            yield key
        yield self._group('review', GroupKind.ENGINE, 'engine')
        yield self._group('ledger', GroupKind.SERVICE, 'ledger')
        yield Route('release', 'ledger', is_idempotent=False, workspaces=names)
        yield StoreBudget('weights', experiment.loads_per_s, loads_at_once=2)
        for index in range(experiment.adapters):
            owner = workspace_name(index % experiment.workspaces)
            yield Adapter(f'adapter-{index}', 'review', (1,), 1, (owner,))

    def _group(self, name: str, kind: GroupKind, prefix: str) -> EndpointGroup:
        endpoints = tuple(
            Endpoint(endpoint, address, 'a', checks_fencing=True)
            for endpoint, address in self.fleet.addresses.items()
            if endpoint.startswith(prefix)
        )
        return EndpointGroup(name, kind, endpoints, slots=self.experiment.slots)


def request_body(entry: Mapping[str, Any]) -> Mapping[str, Any]:
    """Return the JSON body of a request that an endpoint received."""
    document: Mapping[str, Any] = json.loads(entry['body'])
    return document
