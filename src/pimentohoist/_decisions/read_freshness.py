"""When to read a topic again although a long poll of it is pending."""

from __future__ import annotations

from dataclasses import dataclass

_MIN_AGE_S = 0.75
_AGE_STEP_S = 0.45
"""Time for a read and for the heartbeat that reports it, so that the next daemon in line
doesn't read as well."""

_MAX_RANK = 2
"""Two daemons may be out of touch with the store before all others read on their own."""

_HEDGE_INTERVAL_S = 0.75


def max_confirmation_age_s(rank: int) -> float:
    """Return the age of the last confirmation at which a daemon reads again.

    Parameters
    ----------
    rank : int
        The daemon's place in an order of the live daemons that all of them agree on.
    """
    return _MIN_AGE_S + _AGE_STEP_S * min(rank, _MAX_RANK)


@dataclass(slots=True)
class ReadFreshness:
    """How long ago it was confirmed that no newer record exists.

    A long poll that was lost on its way looks like one that has nothing to report. So a
    confirmation that is too old calls for another read, and casts doubt on the polls that
    were sent before.

    Attributes
    ----------
    confirmed_at : float
        When the store last answered this daemon, or one that has read as much.
    sent_at : float
        When the last read was sent.
    retry_at : float
        No read is sent before this time, since the last one failed.
    are_polls_suspect : bool
        Whether a pending poll may have been lost.
    """

    confirmed_at: float = float('-inf')
    sent_at: float = float('-inf')
    retry_at: float = float('-inf')
    are_polls_suspect: bool = False

    def next_read_at(self, max_age_s: float, *, is_poll_pending: bool) -> float:
        """Return when the next read is to be sent."""
        if not is_poll_pending:
            return self.retry_at
        stale_at = self.confirmed_at + max_age_s
        return max(stale_at, self.sent_at + _HEDGE_INTERVAL_S, self.retry_at)

    def record_sent(self, now: float, *, are_reads_unanswered: bool) -> None:
        """Record that a read was sent while others may be unanswered."""
        self.sent_at = now
        self.are_polls_suspect = self.are_polls_suspect or are_reads_unanswered

    def record_answer(self, at: float) -> None:
        """Record that the store answered; pending polls have been replaced if suspect."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.are_polls_suspect = False

    def record_peer_answer(self, at: float) -> None:
        """Record that the store answered a daemon that has read as much as this one.

        It doesn't count while this daemon's own polls may have been lost, so that they
        are replaced.
        """
        if not self.are_polls_suspect:
            self.confirmed_at = max(self.confirmed_at, at)

    def record_failure(self, retry_at: float) -> None:
        """Record that a read failed."""
        self.retry_at = retry_at
        self.are_polls_suspect = True

    def record_missed(self) -> None:
        """Record that a pending poll should have reported a record that exists."""
        self.confirmed_at = float('-inf')
        self.are_polls_suspect = True
