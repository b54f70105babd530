"""Command line that runs one stand-in in a process."""

from __future__ import annotations

import fire

from pimentohoist._http_server import HttpServer
from pimentohoist._signals import stop_event
from pimentohoist_standins.engine import EngineOptions, EngineStandIn
from pimentohoist_standins.faults import StandIn
from pimentohoist_standins.instances import InstanceListStandIn
from pimentohoist_standins.log import LogStandIn
from pimentohoist_standins.service import ServiceStandIn
from pimentohoist_standins.weights import WeightStoreStandIn

_SERVER_THREADS = 128


class StandIns:
    """Run one stand-in until SIGTERM; `address` is the one to listen on."""

    def log(
        self,
        address: str,
        keep_records: int = 1_000_000,
        keep_s: float = 86_400,
        appends_per_s: float = 400,
    ) -> None:
        """Run the platform's log."""
        _serve(LogStandIn(keep_records, keep_s, appends_per_s), address)

    def weights(
        self, address: str, loads_per_s: float = 2.5, loads_at_once: int = 2
    ) -> None:
        """Run the weight store."""
        _serve(WeightStoreStandIn(loads_per_s, loads_at_once), address)

    def instances(self, address: str, lag_s: float = 1) -> None:
        """Run the list of instances."""
        _serve(InstanceListStandIn(lag_s), address)

    def engine(self, address: str, **options: object) -> None:
        """Run an engine; options are the fields of `EngineOptions`."""
        _serve(EngineStandIn(EngineOptions(**options)), address)  # type: ignore[arg-type]

    def service(self, address: str, work_s: float = 0) -> None:
        """Run a plain service."""
        _serve(ServiceStandIn(work_s), address)


def _serve(app: StandIn, address: str) -> None:
    stopped = stop_event()
    with HttpServer(app, address, threads=_SERVER_THREADS):
        stopped.wait()


def main() -> None:
    """Run ``pimentohoist-standin``."""
    fire.Fire(StandIns, name='pimentohoist-standin')
