"""Steps on how often a stream is polled."""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence

from behave import given, then, when
from behave.runner import Context

from pimentohoist._claims_fold import ClaimsFold
from pimentohoist._controllers.claims_reader import ClaimsReader
from pimentohoist._controllers.follower import PollTiming, StreamFollower
from pimentohoist.exceptions import LogError
from pimentohoist.models import LogPage

_TIMEOUT_S = 10.0
_EMPTY_PAGE = LogPage(0, 0, ())


class PollRecordingLog:
    """Implements `Log` without records; records the wait of each poll of a stream."""

    def __init__(self) -> None:
        self.poll_waits_s: list[float] = []
        self.is_down = False
        self.changed = threading.Condition()

    def append(self, stream: str, bodies: Sequence[bytes]) -> int:
        raise LogError('nothing is appended', step='log', peer='')

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        if stream.endswith('-snapshots'):
            return _EMPTY_PAGE
        time.sleep(min(wait_s, 0.01))
        with self.changed:
            self.poll_waits_s.append(wait_s)
            self.changed.notify_all()
        if self.is_down:
            raise LogError('down', step='log', peer='')
        return _EMPTY_PAGE

    def wait_for_polls(self, count: int) -> None:
        with self.changed:
            assert self.changed.wait_for(
                lambda: len(self.poll_waits_s) >= count, _TIMEOUT_S
            )


@given('a follower that pauses for {pause:d} s between its polls')
def start_follower(context: Context, pause: int) -> None:
    context.log = PollRecordingLog()
    context.poll_timing = PollTiming(wait_s=0, pause_s=pause)
    context.follower = StreamFollower(
        context.log, 'claims', ClaimsFold(), poll_timing=lambda: context.poll_timing
    )
    context.add_cleanup(context.follower.__exit__)
    context.follower.__enter__()
    assert context.follower.wait_until_head_read(_TIMEOUT_S)


@when('its poll timing changes to polls of {wait:f} s and it is woken')
def wake_follower(context: Context, wait: float) -> None:
    context.poll_timing = PollTiming(wait_s=wait)
    context.follower.wake()


@then('its polls waited {first:g}, {second:g}, {third:g} and {fourth:g} s for records')
def check_waits(
    context: Context, first: float, second: float, third: float, fourth: float
) -> None:
    context.log.wait_for_polls(4)
    assert context.log.poll_waits_s[:4] == [first, second, third, fourth], (
        context.log.poll_waits_s
    )


@given('a claims reader that read the head {age:d} s ago')
def start_reader(context: Context, age: int) -> None:
    context.now = float()
    context.log = PollRecordingLog()
    context.reader = ClaimsReader(context.log, lambda: context.now)
    context.add_cleanup(context.reader.follower.__exit__)
    context.reader.follower.__enter__()
    assert context.reader.follower.wait_until_head_read(_TIMEOUT_S)
    context.now = float(age)


@then('it pauses between its polls')
def check_pause(context: Context) -> None:
    assert context.reader.poll_timing().pause_s > 0
    assert not context.reader.is_fresh()


@when('an action refreshes the reader')
def refresh_head(context: Context) -> None:
    context.is_fresh = context.reader.refresh()


@then("the head was read and the reader doesn't pause between its polls")
def check_head_read(context: Context) -> None:
    assert context.is_fresh
    assert context.reader.poll_timing() == PollTiming()


@when('{seconds:d} s pass')
def pass_time(context: Context, seconds: int) -> None:
    context.now += seconds


@when('the log fails and an action refreshes the reader')
def refresh_while_log_fails(context: Context) -> None:
    context.log.is_down = True
    refresh_head(context)


@then('the head was not read')
def check_head_not_read(context: Context) -> None:
    assert not context.is_fresh
