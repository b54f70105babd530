"""One run of the soak: starts the processes, plays the plan, collects what was seen."""

from __future__ import annotations

import sys
import tempfile
import time
from contextlib import ExitStack
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Self

from pimentohoist_standins._soak.addresses import Network
from pimentohoist_standins._soak.daemons import DaemonFleet
from pimentohoist_standins._soak.endpoints import EndpointFleet
from pimentohoist_standins._soak.faults import FaultInjector, Parts
from pimentohoist_standins._soak.links import Links
from pimentohoist_standins._soak.operator import Operator
from pimentohoist_standins._soak.plan import PlannedFault, SoakPlan, endpoint_count
from pimentohoist_standins._soak.record_files import read_records
from pimentohoist_standins._soak.records import (
    Bounds,
    CallerRecord,
    FaultRecord,
    Observations,
    OrderRecord,
    RequestKind,
    RunRecord,
)
from pimentohoist_standins._soak.role_process import RoleProcess

_CALLER_PROCESSES = 4
_START_TIMEOUT_S = 20.0
_SETTLE_S = 1.0
_PROGRESS_S = 5.0
_SERVICES = 2


@dataclass(frozen=True, slots=True)
class SoakOutcome:
    """What was seen in a run.

    Attributes
    ----------
    start_s : float
        Time from the first process until all were ready.
    daemons_cpu_s, soak_cpu_s : float
        Processor time of the daemons and of the soak's own processes.
    """

    plan: SoakPlan
    observations: Observations
    skipped: tuple[PlannedFault, ...]
    start_s: float
    daemons_cpu_s: float
    soak_cpu_s: float
    folder: Path


class SoakRun:
    """Context manager that owns the processes of a run."""

    def __init__(self, plan: SoakPlan, network: Network) -> None:
        self.plan = plan
        self.network = network
        self.stack = ExitStack()
        self.folder = Path(tempfile.mkdtemp(prefix='pimentohoist-soak-'))
        self.operator = Operator(network)
        self.links = Links(network, self.folder, endpoint_count(plan.options))
        self.store = RoleProcess(
            'store', self.folder / 'store.log', prefix=network.prefix
        )
        self.endpoints = EndpointFleet(network, self.folder, self.store)
        self.daemons = DaemonFleet(network, self.folder, self.links.open)
        self.callers: list[RoleProcess] = []
        self.start_s: float = 0

    def __enter__(self) -> Self:
        """Start all processes and wait until the daemons are ready."""
        began_at = time.monotonic()
        try:
            self._start()
        except BaseException:
            self.stack.close()
            raise
        self.start_s = time.monotonic() - began_at
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all processes."""
        self.stack.close()

    def play(self) -> SoakOutcome:
        """Let callers send requests while faults are injected; return what was seen."""
        options = self.plan.options
        began_at = time.monotonic()
        until = began_at + options.seconds
        self._call_callers('start', until=until)
        parts = Parts(
            self.daemons, self.endpoints, self.store, self.links, self.operator
        )
        injector = FaultInjector(parts)
        with injector:
            shown_at = began_at
            for fault in self.plan.faults:
                shown_at = self._sleep_until(began_at + fault.at_s, shown_at)
                injector.begin(fault)
            self._sleep_until(until, shown_at)
        self._call_callers('join')
        ended_at = time.monotonic()
        self.stack.close()
        return self._outcome(injector, began_at, ended_at)

    def _call_callers(self, method: str, **arguments: float) -> list[Any]:
        return [process.call(method, **arguments) for process in self.callers]

    def _start(self) -> None:
        options = self.plan.options
        for process in (self.store, *self.links.processes):
            self.stack.enter_context(process)
        self._start_callers()
        self.stack.enter_context(self.endpoints)
        self.endpoints.start(options.engines, _SERVICES)
        for started in (self.store, *self.links.processes):
            started.wait_ready()
        self.stack.enter_context(self.daemons)
        self.daemons.start(options.daemons)
        self.endpoints.announce()
        self.operator.send()
        for caller in self.callers:
            caller.wait_ready()
        self.daemons.wait_ready(_START_TIMEOUT_S)

    def _start_callers(self) -> None:
        options = self.plan.options
        hosts = [self.network.daemon(slot + 1) for slot in range(options.daemons)]
        for number in range(_CALLER_PROCESSES):
            name = f'callers-{number}'
            process = RoleProcess(
                'callers',
                self.folder / f'{name}.log',
                prefix=self.network.prefix,
                seed=options.seed,
                numbers=list(range(number, options.callers, _CALLER_PROCESSES)),
                daemons=hosts,
                path=str(self.folder / f'{name}.records'),
            )
            self.callers.append(self.stack.enter_context(process))

    def _sleep_until(self, at: float, shown_at: float) -> float:
        """Sleep until a time, with progress now and then; return when it was shown."""
        while time.monotonic() < at:
            if time.monotonic() > shown_at + _PROGRESS_S:
                shown_at = time.monotonic()
                self._show_progress()
            time.sleep(min(0.1, max(0, at - time.monotonic())))
        return shown_at

    def _show_progress(self) -> None:
        count = sum(self._call_callers('attempt_count'))
        running = sum(
            not process.is_ended and process.ready_at is not None
            for process in self.daemons.processes
        )
        sys.stdout.write(f'  {count} requests, {running} daemons started\n')
        sys.stdout.flush()

    def _outcome(
        self, injector: FaultInjector, began_at: float, ended_at: float
    ) -> SoakOutcome:
        seen = read_records(sorted(self.folder.glob('*.records')))
        observations = Observations(
            self.plan.options.seed,
            began_at,
            ended_at,
            Bounds(),
            tuple(record for record in seen if isinstance(record, CallerRecord)),
            tuple(record for record in seen if isinstance(record, RunRecord)),
            tuple(record for record in seen if isinstance(record, OrderRecord)),
            tuple(self.operator.records),
            (
                *injector.records,
                *(record for record in seen if isinstance(record, FaultRecord)),
            ),
            tuple(process.record() for process in self.daemons.processes),
        )
        if self.plan.options.is_planted:
            observations = with_repeated_run(observations)
        own = (self.store, *self.links.processes, *self.callers)
        return SoakOutcome(
            self.plan,
            observations,
            tuple(injector.skipped),
            self.start_s,
            sum(process.cpu_s for process in self.daemons.processes),
            sum(role.cpu_s for role in (*own, *self.endpoints.processes))
            + time.process_time(),
            self.folder,
        )


def with_repeated_run(observations: Observations) -> Observations:
    """Add a second run of an unsafe request, which the checks must find."""
    unsafe = {
        record.request_id
        for record in observations.callers
        if record.kind is RequestKind.UNSAFE and record.is_whole
    }
    run = next(
        record
        for record in observations.runs
        if record.request_id in unsafe and record.outcome == 'completed'
    )
    return replace(observations, runs=(*observations.runs, run))
