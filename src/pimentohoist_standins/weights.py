"""Stand-in for the weight store, which slows down beyond its concurrency."""

from __future__ import annotations

import threading
import time
from http import HTTPStatus
from typing import Any

from werkzeug.wrappers import Request, Response

from pimentohoist_standins.faults import StandIn, json_response

_ADAPTER_SIZE_BYTES = 50_000_000
_TRANSFER_STEP_S = 0.02


class WeightStoreStandIn(StandIn):
    """Serves any adapter version, at a limited rate.

    Parameters
    ----------
    loads_per_s : float
        Loads a second over all clients.
    loads_at_once : int
        Concurrent loads that run at full speed; further ones share the same rate.
    """

    controls = ('loads_per_s', 'loads_at_once')

    def __init__(self, loads_per_s: float, loads_at_once: int) -> None:
        super().__init__()
        self.loads_per_s = loads_per_s
        self.loads_at_once = loads_at_once
        self.in_flight = 0
        self.max_in_flight = 0
        self._lock = threading.Lock()

    def answer(self, request: Request) -> Response:
        """Describe an adapter version; transfer it first for ``/content``."""
        if request.path.endswith('/content'):
            self.record(request)
            self._transfer()
        if not request.path.startswith('/weights/'):
            return Response(f'no such path: {request.path}', HTTPStatus.NOT_FOUND)
        return json_response(
            {
                'size_bytes': _ADAPTER_SIZE_BYTES,
                'loads_in_flight': self.in_flight,
                'most_in_flight': self.max_in_flight,
            }
        )

    def dump(self) -> dict[str, Any]:
        """Return the current and the highest number of loads in flight."""
        return {'in_flight': self.in_flight, 'most_in_flight': self.max_in_flight}

    def _transfer(self) -> None:
        with self._lock:
            self.in_flight += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
        progress = float(0)
        while progress < 1:
            time.sleep(_TRANSFER_STEP_S)
            rate_shares = max(self.in_flight, self.loads_at_once)
            progress += _TRANSFER_STEP_S * self.loads_per_s / rate_shares
        with self._lock:
            self.in_flight -= 1
