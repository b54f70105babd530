"""How well endpoints have answered of late, judged by answers alone."""

from __future__ import annotations

from dataclasses import dataclass

_WEIGHT = 0.1
"""Weight of the newest answer in the averages: the last twenty or so count."""

_HALF_LIFE_S = 4.0
"""A few seconds without work, then an endpoint that failed is tried again."""

_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 4.0
_FAILURE_POWER = 4
"""An endpoint that fails half of its requests gets a sixteenth of the work."""

_SILENCE_S = 0.4
_MIN_SUCCESS = 0.05


@dataclass(slots=True)
class EndpointHealth:
    """Averages over an endpoint's answers.

    Failures are forgotten with time as well: an endpoint that gets no work because it
    failed must be tried again.

    Attributes
    ----------
    latency_s : float
        Until the first byte of an answer; 0 before there was one.
    paused_until : float
        It gets no new work before, since it could not be reached.
    silent_until : float
        It gets no new work before, since it answers nothing, unless all are silent.
    """

    latency_s: float = 0
    paused_until: float = 0
    silent_until: float = 0
    _failures: float = 0
    _recorded_at: float = 0
    _unreached: int = 0

    def failure_share(self, now: float) -> float:
        """Return the share of failures, the newest answers weighing most."""
        return float(self._failures * 0.5 ** ((now - self._recorded_at) / _HALF_LIFE_S))

    def record_answer(self, latency_s: float, now: float) -> None:
        """Note an answer that is no failure of the endpoint."""
        self._record(0, now)
        weight = _WEIGHT if self.latency_s else 1
        self.latency_s += (latency_s - self.latency_s) * weight
        self._unreached = 0

    def record_failure(self, now: float) -> None:
        """Note an answer that failed, was cut off or didn't come."""
        self._record(1, now)

    def record_connect_failure(self, now: float) -> None:
        """Note that no connection could be made; try it less and less often."""
        pause_s = min(_MAX_PAUSE_S, _FIRST_PAUSE_S * 2**self._unreached)
        self._unreached += 1
        self.paused_until = now + pause_s
        self._record(1, now)

    def record_silence(self, now: float) -> None:
        """Note that it has requests and sends nothing; told again while that lasts."""
        self.silent_until = now + _SILENCE_S

    def cost_factor(self, now: float) -> float:
        """Return by how much its work counts more than that of a sound endpoint."""
        success = max(_MIN_SUCCESS, 1 - self.failure_share(now))
        return float(success**-_FAILURE_POWER)

    def _record(self, failed: int, now: float) -> None:
        share = self.failure_share(now)
        self._failures = share + _WEIGHT * (failed - share)
        self._recorded_at = now
