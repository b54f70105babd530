"""Stand-in for a plain service: a ledger that appends one entry for each POST."""

from __future__ import annotations

import threading
import time
from http import HTTPStatus
from typing import Any

from werkzeug.wrappers import Request, Response

from pimentohoist_standins.faults import StandIn, json_response


class ServiceStandIn(StandIn):
    """Appends an entry for each POST, duplicates included; GET counts the entries."""

    controls = ('work_s',)

    def __init__(self, work_s: float) -> None:
        super().__init__()
        self.work_s = work_s
        self.entries: list[str] = []
        self._lock = threading.Lock()

    def dump(self) -> dict[str, Any]:
        """Return the number of entries written."""
        return {'entries': len(self.entries)}

    def answer(self, request: Request) -> Response:
        """Append an entry or return the number of entries."""
        self.record(request)
        time.sleep(self.work_s)
        if request.method == 'GET':
            return json_response({'entries': len(self.entries)})
        with self._lock:
            self.entries.append(request.get_data(as_text=True))
            number = len(self.entries)
        return json_response({'entry': number}, HTTPStatus.CREATED)
