"""Stand-in of the weight store: slower for each load beyond its concurrency."""

from __future__ import annotations

import threading
import time
from http import HTTPStatus
from typing import Any

from werkzeug.wrappers import Request, Response

from pimentohoist_standins.faults import StandIn, json_response

_SIZE_BYTES = 50_000_000
_STEP_S = 0.02


class WeightStoreStandIn(StandIn):
    """Serves any adapter version, at a limited rate.

    Parameters
    ----------
    loads_per_s : float
        Loads a second over all readers.
    loads_at_once : int
        Loads at full speed; more share the same rate.
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
        """Describe a version, or transfer it with ``/content``."""
        if request.path.endswith('/content'):
            self.record(request)
            self._transfer()
        if not request.path.startswith('/weights/'):
            return Response('no such path', HTTPStatus.NOT_FOUND)
        return json_response(
            {
                'size_bytes': _SIZE_BYTES,
                'loads_in_flight': self.in_flight,
                'most_in_flight': self.max_in_flight,
            }
        )

    def dump(self) -> dict[str, Any]:
        """Return the loads under way."""
        return {'in_flight': self.in_flight, 'most_in_flight': self.max_in_flight}

    def _transfer(self) -> None:
        with self._lock:
            self.in_flight += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
        done = float(0)
        while done < 1:
            time.sleep(_STEP_S)
            sharers = max(self.in_flight, self.loads_at_once)
            done += _STEP_S * self.loads_per_s / sharers
        with self._lock:
            self.in_flight -= 1
