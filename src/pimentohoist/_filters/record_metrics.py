"""Filter that records metrics of each request, answered or refused."""

from __future__ import annotations

import time

from pimentohoist._controllers.metrics import ANSWERED, MetricsController
from pimentohoist.exceptions import PimentohoistError
from pimentohoist.exchanges import CallerResponse, Exchange, RequestTiming
from pimentohoist.protocols import Clock, Handler


class RecordMetrics:
    """Implements `Filter`."""

    def __init__(
        self, metrics: MetricsController, clock: Clock = time.monotonic
    ) -> None:
        self.metrics = metrics
        self.clock = clock

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Pass the request on and record its outcome and timing."""
        exchange.timing = RequestTiming(self.clock())
        try:
            response = proceed(exchange)
        except PimentohoistError as error:
            self._record(exchange, error.code)
            raise
        return response.on_close(lambda: self._record(exchange, ''))

    def _record(self, exchange: Exchange, error_code: str) -> None:
        outcome = error_code or exchange.timing.failure or ANSWERED
        workspace = exchange.workspace.name if exchange.workspace else ''
        self.metrics.record(workspace, outcome, exchange.timing, self.clock())
