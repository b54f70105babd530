"""Command line that runs each benchmark."""

from __future__ import annotations

import fire

from pimentohoist_standins import (
    bench_claims,
    bench_configuration,
    bench_limits,
    bench_requests,
    bench_serving,
    bench_streams,
    bench_waiting,
)

_DEFAULT_SEED = 20


class Benchmarks:
    """Benchmarks; each prints Markdown tables."""

    def configuration(self) -> None:
        """Measure rules for racing edits, and the cost of a publish."""
        bench_configuration.main()

    def limits(self) -> None:
        """Measure ways to hold a limit over all daemons."""
        bench_limits.main()

    def claims(self) -> None:
        """Measure claims on actions."""
        bench_claims.main()

    def serving(
        self, seed: int = _DEFAULT_SEED, deployment: str = '', slots: int = 0
    ) -> None:
        """Measure placement, loads and queues beside a naive router."""
        bench_serving.bench(seed, deployment, slots)

    def knee(self, seed: int = _DEFAULT_SEED) -> None:
        """Measure the knee found on engines whose knee is not the setting."""
        bench_serving.bench_knee(seed)

    def requests(self) -> None:
        """Measure the request path beside the engine called directly."""
        bench_requests.main()

    def streams(self) -> None:
        """Measure first tokens and the time between tokens at callers."""
        bench_streams.main()

    def waiting(self, seed: int = _DEFAULT_SEED) -> None:
        """Measure the processor time of decisions on waiting requests."""
        bench_waiting.bench(seed)


def main() -> None:
    """Run ``pimentohoist-bench``."""
    fire.Fire(Benchmarks, name='pimentohoist-bench')
