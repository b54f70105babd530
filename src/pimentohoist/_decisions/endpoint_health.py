"""How well endpoints have answered of late, judged by answers alone."""

from __future__ import annotations

from dataclasses import dataclass

_WEIGHT = 0.1
"""Weight of the newest answer in the averages: the last twenty or so count."""

_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 4.0
_FAILURE_POWER = 4
"""An endpoint that fails half of its requests gets a sixteenth of the work."""

_LEAST_SUCCESS = 0.05


@dataclass(slots=True)
class EndpointHealth:
    """Averages over an endpoint's answers.

    Attributes
    ----------
    failure_share : float
        Of its answers, the newest weighing most.
    latency_s : float
        Until the first byte of an answer; 0 before there was one.
    paused_until : float
        It gets no new work before, since it could not be reached.
    """

    failure_share: float = 0
    latency_s: float = 0
    paused_until: float = 0
    _unreached: int = 0

    def note_answer(self, latency_s: float) -> None:
        """Note an answer that is no failure of the endpoint."""
        self.failure_share -= _WEIGHT * self.failure_share
        change_s = latency_s - self.latency_s
        weight = _WEIGHT if self.latency_s else 1
        self.latency_s += change_s * weight
        self._unreached = 0

    def note_failure(self) -> None:
        """Note an answer that failed, was cut off or didn't come."""
        self.failure_share += _WEIGHT * (1 - self.failure_share)

    def note_unreached(self, now: float) -> None:
        """Note that no connection could be made; try it less and less often."""
        pause_s = min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**self._unreached)
        self._unreached += 1
        self.paused_until = now + pause_s
        self.note_failure()

    def cost_factor(self) -> float:
        """Return by how much its work counts more than that of a sound endpoint."""
        success = max(_LEAST_SUCCESS, 1 - self.failure_share)
        return float(success**-_FAILURE_POWER)
