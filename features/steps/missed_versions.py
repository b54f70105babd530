"""Steps on daemons that may have missed engines of a new software version."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from pimentohoist import _clock
from pimentohoist._decisions.stream_register import stream_digest
from pimentohoist._decisions.version_history import VersionHistory, VersionRecord
from pimentohoist._entry.stream_versions import StreamVersions
from pimentohoist.exceptions import UnavailableError

_UNKNOWN_STREAM = 'stream-unknown'
_OWN_STREAM = 'stream-1'
_STORED_STREAM = 'stream-2'
_DEPARTED = VersionRecord('departed', 1, 50, {'models': {'v2': 0}})


@given('a daemon that has run for 60 s and knows one version')
def start_daemon(context: Context) -> None:
    context.now = 1000.0
    clock = mock.patch.object(_clock, 'now', lambda: context.now)
    context.stack.enter_context(clock)
    endpoint = SimpleNamespace(group='models', software_version='v1')
    context.status = SimpleNamespace(last_sent_at=context.now)
    endpoints: Any = SimpleNamespace(
        alive=lambda: [endpoint],
        follower=SimpleNamespace(status=context.status),
        on_applied=[],
    )
    context.members = SimpleNamespace(
        incarnation='own',
        on_heartbeat=[],
        live=lambda: [],
        known_count=lambda: context.known,
        live_share=lambda: context.live_share,
        send_soon=lambda: None,
    )
    context.known, context.live_share = 2, 1.0
    members: Any = context.members
    register = SimpleNamespace(version=_stored_version)
    context.history = SimpleNamespace(register=register, versions=VersionHistory())
    context.appended = []
    log: Any = SimpleNamespace(
        read=lambda: context.history,
        append=lambda records: context.appended.extend(records),
        store=SimpleNamespace(era=SimpleNamespace(current=1)),
    )
    peers: Any = None
    context.versions = StreamVersions(endpoints, members, peers, log)
    context.now += 60
    context.history.versions.apply(_DEPARTED, context.now)
    _hear(context)
    context.now += 1.2
    _hear(context)
    context.now += 0.5
    _hear(context)
    context.now += 0.6
    _hear(context)
    context.status.last_sent_at = context.now
    assert _take_up(context, _UNKNOWN_STREAM) == 'v1'


@when('it stands still for 3 s')
def stand_still(context: Context) -> None:
    context.now += 3


@when('it hears of no daemon for a second')
def hear_nobody(context: Context) -> None:
    context.now += 1
    context.status.last_sent_at = context.now


@when('it is alone without the store for 3 s')
def lose_store(context: Context) -> None:
    context.known = 0
    context.now += 3


@when('it hears of all daemons but one')
def lose_daemon(context: Context) -> None:
    context.live_share = 0.5
    _hear(context)


@when('it begins a stream, and another daemon tells it of a new version')
def hear_of_version(context: Context) -> None:
    request = SimpleNamespace(resumed_id='', request_id=_OWN_STREAM)
    begun: Any = SimpleNamespace(
        request=request,
        route=SimpleNamespace(can_resume=True),
        group=SimpleNamespace(name='models'),
    )
    context.versions.record_begun(begun, 'v1')
    _hear(context, {'models': ['v1', 'v2']})


@then('the stream is appended to the store at once')
def check_appended(context: Context) -> None:
    appended = [(record.stream, record.version) for record in context.appended]
    assert appended == [(stream_digest(_OWN_STREAM), 'v1')], appended


@then(
    'a stream that no daemon knows is refused,'
    ' and one in the store goes on at its version'
)
def check_take_ups(context: Context) -> None:
    assert _take_up(context, _UNKNOWN_STREAM) is None
    assert _take_up(context, _STORED_STREAM) == 'v2'


@then('a second after it hears of the fleet again the only version counts')
def check_only_version(context: Context) -> None:
    context.known, context.live_share = 2, 1.0
    for _ in range(6):
        context.now += 0.25
        _hear(context)
    assert _take_up(context, _UNKNOWN_STREAM) == 'v1'


def _stored_version(stream: str, now: float) -> str | None:
    return 'v2' if stream == stream_digest(_STORED_STREAM) else None


def _hear(context: Context, versions: dict[str, list[str]] | None = None) -> None:
    heartbeat: Any = SimpleNamespace(
        software_versions=versions or {}, versions_recorded_age_s=None
    )
    for listener in context.members.on_heartbeat:
        listener(heartbeat, None)


def _take_up(context: Context, resumed_id: str) -> str | None:
    """Return the version at which a stream goes on; None if it is refused."""
    request = SimpleNamespace(
        last_event_id='3', resumed_id=resumed_id, request_id='attempt-2'
    )
    taken_up: Any = SimpleNamespace(
        request=request,
        route=SimpleNamespace(can_resume=True, name='r'),
        group=SimpleNamespace(name='models'),
        stream_version=None,
        tried_endpoints=[],
    )
    try:
        context.versions(taken_up)
    except UnavailableError:
        return None
    return taken_up.stream_version
