"""Steps on regions in which requests may be executed."""

from __future__ import annotations

import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

sys.path.append(str(Path(__file__).resolve().parent.parent))
from entry_fleet import EntryFleet, configuration_document  # noqa: E402

from pimentohoist._decisions.homes import Regions, request_homes  # noqa: E402
from pimentohoist._entry.declarations import DeclarationsController  # noqa: E402
from pimentohoist._entry.request_forwarding import RequestForwarding  # noqa: E402
from pimentohoist.platform import decode_directory_query  # noqa: E402

_DOMAINS = 'abcd'
_HOME_NORTH, _HOME_SOUTH = 'north.example', 'south.example'
_VERSION = 5


def _names(text: str) -> frozenset[str]:
    return frozenset() if text == 'none' else frozenset(text.split(','))


@given(
    'failure domains a and b in region north, c in region south'
    ' and d in none that is known'
)
def make_regions(context: Context) -> None:
    context.regions = Regions({'a': 'north', 'b': 'north', 'c': 'south'})


@when('a route has the homes {route} and its workspace {workspace}')
def set_homes(context: Context, route: str, workspace: str) -> None:
    context.homes = request_homes(_names(route), _names(workspace))


@then('requests may run in the domains {domains}')
@then('daemons of the domains {domains} are named')
def check_domains(context: Context, domains: str) -> None:
    allowed = {
        domain for domain in _DOMAINS if context.regions.is_home(context.homes, domain)
    }
    assert allowed == _names(domains), allowed


@given('a route of host news.example with the home north, and one of host open.example')
def make_routes(context: Context) -> None:
    members: Any = SimpleNamespace(on_heartbeat=[])
    store: Any = None
    context.declarations = DeclarationsController(store, members)
    route = SimpleNamespace(host='news.example', name='news', homes={'north'})
    other = SimpleNamespace(host='open.example', name='open', homes=frozenset())
    declared: Any = SimpleNamespace(routes=(route, other))
    context.declarations.current = declared


@when('a caller asks with {query}')
def ask(context: Context, query: str) -> None:
    asked = decode_directory_query(query)
    context.homes = context.declarations.directory_regions(asked, context.regions)


@then('it forwards to a daemon in the homes that has the configuration and keeps homes')
def check_forwarded(context: Context) -> None:
    assert _forwards({'north'}, _peer('a'))


@then(
    "it doesn't forward to one elsewhere, one with an older configuration,"
    ' or a former release'
)
def check_not_forwarded(context: Context) -> None:
    others = (
        _peer('c'),
        _peer('d'),
        _peer('a', version=_VERSION - 1),
        _peer('a', keeps_homes=False),
    )
    assert not any(_forwards({'north'}, peer) for peer in others)


@then('a request without homes may be forwarded to any of them')
def check_forwarded_anywhere(context: Context) -> None:
    assert _forwards(set(), _peer('c'))
    assert _forwards(set(), _peer('a', version=_VERSION - 1, keeps_homes=False))


def _peer(domain: str, version: int = _VERSION, *, keeps_homes: bool = True) -> Any:
    return SimpleNamespace(
        member='10.0.0.2:8002',
        failure_domain=domain,
        version=version,
        keeps_homes=keeps_homes,
        is_ready=True,
        lost_endpoints=[],
        in_flight={},
    )


def _forwards(homes: set[str], peer: Any) -> bool:
    """Return whether a request is forwarded to a daemon; its endpoint is in domain a."""
    regions = Regions({'a': 'north', 'c': 'south'})
    settings = SimpleNamespace(regions=regions, forwarding_port=7602)
    members: Any = SimpleNamespace(settings=settings, live=lambda: [peer])
    health = SimpleNamespace(paused_until=0, silent_until=0)
    endpoint = SimpleNamespace(endpoint_id='e', group='g', failure_domain='a')
    endpoints: Any = SimpleNamespace(
        alive=lambda: [endpoint],
        is_evacuated=lambda domain: False,
        health_of=lambda endpoint_id: health,
    )
    forwarding = RequestForwarding(mock.MagicMock(), endpoints, members)
    request: Any = mock.MagicMock()
    request.group.name = 'g'
    request.homes = frozenset(homes) or None
    request.declaration.version = _VERSION
    request.tried_endpoints = []
    return forwarding.choose(request) is not None


@given('a daemon in region north with one ledger in its domain and one elsewhere')
def start_daemon(context: Context) -> None:
    fleet = context.stack.enter_context(EntryFleet())
    second = fleet.add_endpoint(3, 'ledger-2', '')
    second.zone = 'elsewhere'
    fleet.store.put('keyed.servers', second.engine_id, second.entry('ledger'))
    document = configuration_document(1)
    look = next(route for route in document['routes'] if route['name'] == 'look')
    document['routes'] += [
        {**look, 'name': host, 'host': host, 'allowed-regions': [region]}
        for host, region in ((_HOME_NORTH, 'north'), (_HOME_SOUTH, 'south'))
    ]
    fleet.store.put('keyed.op', 'config', document)
    template = sys.modules['entry_fleet'].SETTINGS_TEMPLATE
    text = f'{template}[regions]\nown = "north"\nof_domains = "zones.c=south"\n'
    with mock.patch('entry_fleet.SETTINGS_TEMPLATE', text):
        fleet.start_ready(1)
    context.fleet, context.ledgers = fleet, [fleet.ledger, second]


@when('20 look-ups with the home north and 2 with the home south are sent')
def send_look_ups(context: Context) -> None:
    send = context.fleet.send_request
    context.north = [send('/look/x', Host=_HOME_NORTH).status for _ in range(20)]
    context.ran = [len(ledger.state.arrivals) for ledger in context.ledgers]
    context.south = [send('/look/x', Host=_HOME_SOUTH).status for _ in range(2)]


@then('the look-ups with the home north all ran in its domain')
def check_north(context: Context) -> None:
    assert set(context.north) == {200}
    assert context.ran == [20, 0], context.ran


@then('those with the home south were refused, and ran nowhere')
def check_south(context: Context) -> None:
    assert set(context.south) == {503}
    assert [len(ledger.state.arrivals) for ledger in context.ledgers] == context.ran


@then('its directory names it for the home north, and not for the home south')
def check_directory(context: Context) -> None:
    daemon = context.fleet.daemons[0]
    statuses = [
        daemon.get(8003, f'/v1/resolve?name={host}&region=west').status
        for host in (_HOME_NORTH, _HOME_SOUTH)
    ]
    assert statuses == [200, 503], statuses
