"""Stand-in of the platform's list of instances, which lags behind."""

from __future__ import annotations

import time
from typing import Any

from werkzeug.wrappers import Request, Response

from pimentohoist_standins.faults import StandIn, json_response

_Entries = list[dict[str, Any]]


class InstanceListStandIn(StandIn):
    """Shows each change only after a lag.

    ``PUT /instances`` replaces the whole list, as the platform itself would.
    """

    controls = ('lag_s',)

    def __init__(self, lag_s: float) -> None:
        super().__init__()
        self.lag_s = lag_s
        self.versions: list[tuple[float, _Entries]] = [(0, [])]

    def answer(self, request: Request) -> Response:
        """Show or replace the list."""
        if request.method == 'PUT':
            self.versions.append((time.monotonic(), request.get_json()))
        return json_response(self._visible())

    def dump(self) -> dict[str, Any]:
        """Return the list as it is and as it is shown."""
        return {'latest': self.versions[-1][1], 'visible': self._visible()}

    def _visible(self) -> _Entries:
        oldest = time.monotonic() - self.lag_s
        visible = [entries for set_at, entries in self.versions if set_at <= oldest]
        return visible[-1] if visible else []
