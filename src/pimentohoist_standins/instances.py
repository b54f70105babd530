"""Stand-in for the platform's list of instances, which shows changes after a lag."""

from __future__ import annotations

import time
from typing import Any

from werkzeug.wrappers import Request, Response

from pimentohoist_standins.faults import StandIn, json_response

_Instances = list[dict[str, Any]]


class InstanceListStandIn(StandIn):
    """Serves a list of instances; a change is visible only after `lag_s`.

    ``PUT /instances`` replaces the whole list, as the platform does.

    Parameters
    ----------
    lag_s : float
        Time until a change is visible, in seconds.
    """

    controls = ('lag_s',)

    def __init__(self, lag_s: float) -> None:
        super().__init__()
        self.lag_s = lag_s
        self.versions: list[tuple[float, _Instances]] = [(0, [])]

    def answer(self, request: Request) -> Response:
        """Return or replace the list."""
        if request.method == 'PUT':
            self.versions.append((time.monotonic(), request.get_json()))
        return json_response(self._visible())

    def dump(self) -> dict[str, Any]:
        """Return the newest list and the one that is visible."""
        return {'latest': self.versions[-1][1], 'visible': self._visible()}

    def _visible(self) -> _Instances:
        oldest = time.monotonic() - self.lag_s
        visible = [entries for set_at, entries in self.versions if set_at <= oldest]
        return visible[-1] if visible else []
