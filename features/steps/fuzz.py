"""Steps that pass generated input to parsers and folds, with fixed seeds."""

from __future__ import annotations

import json
from operator import attrgetter
from collections.abc import Callable
from decimal import Decimal
from typing import Any

import tomli_w
from behave import then, when
from behave.runner import Context
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pimentohoist._configuration_fold import (
    SectionChange,
    ConfigurationFold,
    PublishRecord,
)
from pimentohoist._openai import parse_body, read_max_tokens, read_prompt
from pimentohoist._view_fold import JoinRecord, ViewFold
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    EndpointGroup,
    GroupKind,
    Workspace,
    parse_sections,
    section_text,
)
from pimentohoist.exceptions import (
    AuthenticationError,
    ConfigurationError,
    InvalidRequestError,
)
from pimentohoist.exchanges import RequestKind
from pimentohoist.keys import split_authorization
from pimentohoist.models import LogRecord

_SEED = 20261203
_MAX_EXAMPLES = 200
_NUMBERS = st.integers() | st.floats(allow_nan=False)
_JSON = st.recursive(
    st.none() | st.booleans() | _NUMBERS | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
_FIELDS = st.sampled_from(
    ['model', 'prompt', 'messages', 'max_tokens', 'role', 'content', 'stream']
)
_NAMES = st.from_regex('[A-Za-z0-9][A-Za-z0-9_.-]{0,20}', fullmatch=True)


def fuzz(**strategies: Any) -> Callable[[Callable[..., None]], Callable[[], None]]:
    """Return a decorator that runs a function on the same generated arguments each time."""

    def decorate(function: Callable[..., None]) -> Callable[[], None]:
        limited = settings(max_examples=_MAX_EXAMPLES, deadline=None, database=None)
        return seed(_SEED)(limited(given(**strategies)(function)))

    return decorate


def _valid_publish(index: int) -> bytes:
    workspace = Workspace(f'house-{index}', rate_tokens_per_s=1, burst_tokens=1)
    change = SectionChange(
        section=f'workspaces/house-{index}',
        text=section_text(workspace),
    )
    publish = PublishRecord(
        publish_id=f'publish-{index}', base_offset=0, changes=(change,)
    )
    return publish.model_dump_json().encode()


def _valid_join(index: int) -> bytes:
    join = JoinRecord(
        incarnation=f'entry-{index}',
        peer_address='127.0.0.1:8002',
        callers_address='127.0.0.1:8000',
        failure_domain='a',
    )
    return join.model_dump_json().encode()


@when('any bytes stand between valid records of the configuration and view streams')
def fuzz_records(context: Context) -> None:
    invalid_bodies = st.binary(max_size=60) | _JSON.map(_encoded)

    @fuzz(bodies=st.lists(invalid_bodies, max_size=6))
    def check(bodies: list[bytes]) -> None:
        configuration = ConfigurationFold()
        view = ViewFold()
        records = [_valid_publish(0), *bodies, _valid_publish(1)]
        for offset, body in enumerate(records):
            configuration.apply(LogRecord(offset, body))
        for offset, body in enumerate([_valid_join(0), *bodies, _valid_join(1)]):
            view.apply(LogRecord(offset, body))
        context.folds.append((len(bodies), configuration, view))

    context.folds = []
    check()


@then('each fold skips and counts them and applies the valid ones')
def check_folds(context: Context) -> None:
    assert len(context.folds) >= _MAX_EXAMPLES / 2
    for skipped, configuration, view in context.folds:
        assert set(configuration.sections) == {
            'workspaces/house-0',
            'workspaces/house-1',
        }
        assert set(view.members) == {'entry-0', 'entry-1'}
        assert configuration.skipped_records == view.skipped_records == skipped
        assert configuration.next_offset == view.next_offset == skipped + 2


@when('any text is parsed as a configuration')
def fuzz_configuration_text(context: Context) -> None:
    kinds = st.sampled_from(['workspaces', 'keys', 'adapters', 'groups', 'routes'])
    tables = st.dictionaries(
        _NAMES, st.dictionaries(_NAMES, _JSON.filter(_is_toml), max_size=3), max_size=3
    )
    documents = st.dictionaries(kinds, tables, max_size=3).map(tomli_w.dumps)

    @fuzz(text=st.text(max_size=80) | documents)
    def check(text: str) -> None:
        try:
            context.parsed.append(len(parse_sections(text)))
        except ConfigurationError as error:
            context.refused.append(error.faults)

    context.parsed, context.refused = [], []
    check()


def _encoded(value: Any) -> bytes:
    return json.dumps(value).encode()


def _is_toml(value: Any) -> bool:
    try:
        tomli_w.dumps({'value': value})
    except (TypeError, ValueError):
        return False
    return True


@then('it is parsed, or refused with at least one fault')
def check_configuration_text(context: Context) -> None:
    assert context.refused
    assert all(faults and all(faults) for faults in context.refused)


@when('any valid configuration is printed and parsed again')
def fuzz_round_trip(context: Context) -> None:
    token_prices = st.decimals(min_value=0, max_value=1000, places=4).map(Decimal)
    workspaces = st.builds(
        Workspace,
        name=_NAMES,
        rate_tokens_per_s=st.floats(min_value=0, max_value=1e9),
        burst_tokens=st.integers(min_value=0, max_value=10**9),
        price_per_million_tokens=token_prices,
        is_urgent=st.booleans(),
    )
    versions = st.lists(
        st.integers(min_value=1, max_value=99), min_size=1, max_size=4, unique=True
    )

    @fuzz(
        workspace_list=st.lists(
            workspaces, min_size=1, max_size=4, unique_by=attrgetter('name')
        ),
        name=_NAMES,
        versions=versions,
    )
    def check(workspace_list: list[Workspace], name: str, versions: list[int]) -> None:
        workspace_names = tuple(
            sorted({workspace.name for workspace in workspace_list})
        )
        adapter = Adapter(name, 'review', tuple(versions), versions[0], workspace_names)
        group = EndpointGroup('review', GroupKind.ENGINE)
        before = Configuration.of(*workspace_list, adapter, group)
        context.pairs.append((before, Configuration.parse(before.text())))

    context.pairs = []
    check()


@then('text and digest are the same')
def check_round_trip(context: Context) -> None:
    assert context.pairs
    for before, after in context.pairs:
        assert after == before
        assert after.text().encode() == before.text().encode()
        assert after.digest() == before.digest()


@when('any JSON document is read as a completion or a chat')
def fuzz_bodies(context: Context) -> None:
    completions = st.dictionaries(_FIELDS, _JSON, max_size=5)
    chats = st.builds(
        dict,
        model=st.text(),
        messages=st.lists(st.dictionaries(_FIELDS, _JSON, max_size=3), max_size=3),
        max_tokens=_JSON,
    )
    bodies = (completions | chats | _JSON).map(_encoded)

    @fuzz(
        body=bodies | st.binary(max_size=40),
        kind=st.sampled_from([RequestKind.COMPLETION, RequestKind.CHAT]),
    )
    def check(body: bytes, kind: RequestKind) -> None:
        try:
            document = parse_body(body)
            context.read.append(
                (read_prompt(kind, document), read_max_tokens(document))
            )
        except InvalidRequestError as error:
            context.refused.append(error)

    context.read, context.refused = [], []
    check()


@then('it has a prompt and a limit, or is refused as an invalid request')
def check_bodies(context: Context) -> None:
    assert context.refused
    for prompt, limit in context.read:
        assert isinstance(prompt, str)
        assert 1 <= limit
    assert all(error.run_state == 'not_run' for error in context.refused)


@when('any text is read as an Authorization header')
def fuzz_headers(context: Context) -> None:
    keys = st.builds('Bearer ph_{}_{}'.format, _NAMES, st.text(max_size=8))

    @fuzz(header=st.text(max_size=40) | keys)
    def check(header: str) -> None:
        try:
            context.split.append(split_authorization(header))
        except AuthenticationError as error:
            context.refused.append(error)

    context.split, context.refused = [], []
    check()


@then('it yields a name and a secret, or is refused as not authenticated')
def check_headers(context: Context) -> None:
    assert context.split
    assert context.refused
    assert all(name and secret for name, secret in context.split)
