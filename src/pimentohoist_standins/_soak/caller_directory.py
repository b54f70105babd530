"""A caller's copy of the directory."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterator

from pimentohoist_standins._soak.addresses import DIRECTORY_PORT
from pimentohoist_standins._soak.http_call import call

_MAX_ASKED = 3
_FAILURE_S = 1.0
"""Time for which a caller avoids an address that failed."""

_PATH = '/v1/resolve?name=house.example&region=r&zone=a'


class DirectoryCopy:
    """The daemons' hosts that the directory named; older if it can't be asked."""

    def __init__(
        self, daemons: list[str], keeps_s: float, source: random.Random
    ) -> None:
        self.known = tuple(daemons)
        self.keeps_s = keeps_s
        self.source = source
        self.named: tuple[str, ...] = ()
        self.read_at = float('-inf')
        self.failed_at: dict[str, float] = {}

    def hosts(self) -> tuple[str, ...]:
        """Return the hosts, asked for anew once the copy is too old."""
        if time.monotonic() > self.read_at + self.keeps_s:
            self.named = next(self._answers(), self.named)
            self.read_at = time.monotonic()
        return self.named

    def choose(self, preferred: str = '') -> str:
        """Return the preferred host, else one at random; none that failed of late."""
        if preferred and self._is_working(preferred):
            return preferred
        working = [host for host in self.named if self._is_working(host)]
        return self.source.choice(working or self.named)

    def record_failure(self, host: str) -> None:
        """Record that a host gave no whole response."""
        self.failed_at[host] = time.monotonic()

    def _is_working(self, host: str) -> bool:
        return self.failed_at.get(host, 0) < time.monotonic() - _FAILURE_S

    def _answers(self) -> Iterator[tuple[str, ...]]:
        known = tuple(dict.fromkeys((*self.named, *self.known)))
        for host in self.source.sample(known, min(_MAX_ASKED, len(known))):
            body = call(host, DIRECTORY_PORT, 'GET', _PATH)
            addresses = json.loads(body)['addresses'] if body else ()
            if addresses:
                yield tuple(address.partition(':')[0] for address in addresses)
