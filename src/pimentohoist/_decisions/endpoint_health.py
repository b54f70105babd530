"""Health of endpoints, measured by their responses alone."""

from __future__ import annotations

from dataclasses import dataclass

_NEWEST_WEIGHT = 0.1
"""Weight of the newest response in the averages: about the last twenty count."""

_FAILURE_HALF_LIFE_S = 4.0
"""A failed endpoint is tried again after a few seconds without requests."""

_MIN_CONNECT_PAUSE_S = 0.5
_MAX_CONNECT_PAUSE_S = 4.0
_SUCCESS_EXPONENT = 4
"""An endpoint that fails half of its requests gets a sixteenth of the usual ones."""

_SILENCE_PAUSE_S = 0.4
_MIN_SUCCESS_SHARE = 0.05


@dataclass(slots=True)
class EndpointHealth:
    """Averages over an endpoint's responses.

    Failures also decay with time: an endpoint that gets no requests because it failed
    must be tried again.

    Attributes
    ----------
    latency_s : float
        Time until the first byte of a response; 0 before the first response.
    paused_until : float
        It gets no new requests before this time, since it could not be reached.
    silent_until : float
        It gets no new requests before this time, since it has sent nothing, unless all
        endpoints are silent.
    """

    latency_s: float = 0
    paused_until: float = 0
    silent_until: float = 0
    _failures: float = 0
    _recorded_at: float = 0
    _connect_failures: int = 0

    def failure_share(self, now: float) -> float:
        """Return the share of failed responses, the newest weighing most."""
        return float(
            self._failures * 0.5 ** ((now - self._recorded_at) / _FAILURE_HALF_LIFE_S)
        )

    def record_response(self, latency_s: float, now: float) -> None:
        """Record a response that is no failure of the endpoint."""
        self._record(0, now)
        weight = _NEWEST_WEIGHT if self.latency_s else 1
        self.latency_s += (latency_s - self.latency_s) * weight
        self._connect_failures = 0

    def record_failure(self, now: float) -> None:
        """Record a response that failed, was cut off or didn't arrive."""
        self._record(1, now)

    def record_connect_failure(self, now: float) -> None:
        """Record a failed connection; each further one doubles the pause."""
        pause_s = min(
            _MAX_CONNECT_PAUSE_S, _MIN_CONNECT_PAUSE_S * 2**self._connect_failures
        )
        self._connect_failures += 1
        self.paused_until = now + pause_s
        self._record(1, now)

    def record_reached(self) -> None:
        """Record that it can be reached again."""
        self.paused_until = 0
        self._connect_failures = 0

    def record_silence(self, now: float) -> None:
        """Record that it has requests and sends nothing; repeated while that lasts."""
        self.silent_until = now + _SILENCE_PAUSE_S

    def cost_factor(self, now: float) -> float:
        """Return the cost of a request here relative to a healthy endpoint."""
        success_share = max(_MIN_SUCCESS_SHARE, 1 - self.failure_share(now))
        return float(success_share**-_SUCCESS_EXPONENT)

    def _record(self, failed: int, now: float) -> None:
        share = self.failure_share(now)
        self._failures = share + _NEWEST_WEIGHT * (failed - share)
        self._recorded_at = now
