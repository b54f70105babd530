"""Whether an endpoint is cold, and how many requests all daemons may send to it."""

from __future__ import annotations

from dataclasses import dataclass

MAX_RECORD_AGE_S = 3.0
"""An endpoint writes its record each 1.2 s and daemons read it each 1.5 s at most, so what
a record says may be this old."""

_MAX_CONFIRMED_AGE_S = 120.0
"""Longer than an endpoint is cold; daemons of which nothing was heard may still run."""

_GRANTED_SHARE = 0.5
"""Share of the permits beyond the rate that the owner grants at once. The rest covers
requests that are sent late, and daemons that can't ask the owner."""


@dataclass(frozen=True, slots=True)
class ColdBounds:
    """The stated limit on requests in one second: `over` times the rate, plus `slack`."""

    over: float
    slack: float

    def burst(self, per_s: float) -> float:
        """Return the permits that may be granted at once, for a rate of permits a second."""
        beyond = (self.over - 1) * per_s + self.slack
        return max(1, min(per_s, _GRANTED_SHARE * beyond))


@dataclass(frozen=True, slots=True)
class ColdStatement:
    """What was said of how long an endpoint stays cold.

    Attributes
    ----------
    until : float
        Time in seconds at which it is warm.
    said_at : float
        Time in seconds at which it was so at the latest; of several statements the
        latest holds.
    per_s : float
        Requests a second that it takes meanwhile.
    """

    until: float
    said_at: float
    per_s: float


def statement_of_record(cold_s: float, per_s: float, now: float) -> ColdStatement:
    """Return the statement of a record that was read now.

    It may be some seconds old: that it is warm doesn't disprove a later statement.
    """
    said_at = now if cold_s else now - MAX_RECORD_AGE_S
    return ColdStatement(now + cold_s, said_at, per_s)


def presumed_statement(per_s: float, now: float) -> ColdStatement:
    """Return the statement on an endpoint that may have become cold unnoticed.

    By its end a record that was written since then has been read.
    """
    return ColdStatement(now + MAX_RECORD_AGE_S, now, per_s)


def fleet_share(confirmed_ages_s: list[float], known_count: int) -> int:
    """Return among how many daemons the requests to a cold endpoint are divided.

    Daemons that aren't heard of may be out of touch and still send requests, so each that
    was confirmed within the time for which an endpoint may be cold counts.

    Parameters
    ----------
    confirmed_ages_s : list of float
        Time since the address of each other daemon was confirmed.
    known_count : int
        Other daemons that were heard of lately.
    """
    confirmed = sum(age_s < _MAX_CONFIRMED_AGE_S for age_s in confirmed_ages_s)
    return 1 + max(confirmed, known_count)
