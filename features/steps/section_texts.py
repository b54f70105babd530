"""Steps on sections held as text and on snapshots of large folds."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as st

from pimentohoist._configuration_fold import (
    SectionChange,
    ConfigurationFold,
    PublishRecord,
)
from pimentohoist._controllers.follower import StreamFollower
from pimentohoist._decisions.sections import PlainSections, references
from pimentohoist._section_texts import SectionTexts
from pimentohoist._snapshots import Snapshot
from pimentohoist.configuration import (
    Adapter,
    Configuration,
    Endpoint,
    EndpointGroup,
    GroupKind,
    Key,
    Route,
    Section,
    StoreBudget,
    Workspace,
    section_id,
    section_text,
)
from pimentohoist.models import LogPage, LogRecord

_any_names = st.from_regex('[A-Za-z0-9][A-Za-z0-9_.-]{0,3}', fullmatch=True)
_any_workspaces = st.lists(_any_names, max_size=3, unique=True).map(tuple)
_any_sections = st.one_of(
    st.builds(Workspace, _any_names, st.floats(0, 1e9), st.integers(1, 3)),
    st.builds(Key, _any_names, _any_names, st.just('0' * 16), st.just('a' * 64)),
    st.builds(
        lambda name, kind, model, ends, padding: EndpointGroup(
            name,
            kind,
            tuple(Endpoint(end + padding, '127.0.0.1:1', 'a') for end in ends),
            model,
        ),
        _any_names,
        st.sampled_from(GroupKind),
        st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=20),
        _any_workspaces,
        # Endpoints with long lines are printed in another form.
        st.sampled_from(('', 'x' * 90)),
    ),
    st.builds(
        lambda name, group, workspaces: Adapter(name, group, (1, 2), 1, workspaces),
        _any_names,
        _any_names,
        _any_workspaces,
    ),
    st.builds(Route, _any_names, _any_names, st.booleans(), workspaces=_any_workspaces),
    st.builds(StoreBudget, _any_names, st.just(2.5), st.just(2)),
)


@when('{count:d} generated sets of sections are held as text, seed {number:d}')
def hold_sets_as_text(context: Context, count: int, number: int) -> None:
    context.stored = []
    sets = st.lists(_any_sections, max_size=8, unique_by=section_id)
    generated = given_values(st.just(context.stored), sets)(hold_as_text)
    limits = settings(max_examples=count, database=None, deadline=None)
    seed(number)(limits(generated))()


def hold_as_text(stored: list, sections: list[Section]) -> None:
    texts, plain = SectionTexts(), PlainSections()
    for section in sections:
        texts.put(section_id(section), section)
        plain.put(section_id(section), section)
    stored.append((texts, plain))


@then('each set reads back as it was, whole and in part, also from its whole text')
def check_texts(context: Context) -> None:
    assert any(len(texts) > 5 for texts, _ in context.stored)
    for texts, plain in context.stored:
        assert dict(texts) == plain
        whole = Configuration(plain).text()
        assert texts.text() == whole
        assert dict(SectionTexts.split(whole, sorted(plain))) == plain
        named = {name for part in plain.values() for name in references(part)}
        for reference in named | plain.keys():
            found = sorted(texts.find_referrers(reference))
            assert found == sorted(plain.find_referrers(reference)), reference


@when('a fold is given its own snapshot with {damage}')
def restore_damaged(context: Context, damage: str) -> None:
    source = ConfigurationFold()
    apply_sections(source, [Workspace('w1', 1, 1), Workspace('w2', 2, 2)])
    document = json.loads(source.snapshot())
    if damage == 'one digit of its text changed':
        document['text'] = document['text'].replace('2.0', '3.0')
    elif damage == 'a section without a version':
        document['versions'].pop('workspaces/w2')
    else:
        document['versions']['workspaces/w3'] = 1
    context.fold = ConfigurationFold()
    try:
        context.fold.restore(json.dumps(document).encode())
    except ValueError as error:
        context.error = error


@then('the snapshot is refused and the state is unchanged')
def check_refused(context: Context) -> None:
    assert context.error
    assert context.fold.snapshot() == ConfigurationFold().snapshot()


class EmptyLog:
    """Implements `Log`; stores nothing."""

    def append(self, stream: str, bodies: list[bytes]) -> int:
        return 0

    def read(self, stream: str, offset: int, *, wait_s: float) -> LogPage:
        return LogPage(0, 0, ())


class LockProbeFold(ConfigurationFold):
    """Records whether the follower's lock is free while the fold prints or restores."""

    follower: StreamFollower
    lock_states: list[str]

    def copy(self) -> ConfigurationFold:
        other = super().copy()
        other.__class__ = LockProbeFold
        other.follower, other.lock_states = self.follower, self.lock_states
        return other

    def snapshot(self) -> bytes:
        self.record_lock_state('snapshot')
        return super().snapshot()

    def restore(self, body: bytes) -> None:
        self.record_lock_state('restore')
        super().restore(body)

    def record_lock_state(self, step: str) -> None:
        with ThreadPoolExecutor(1) as pool:
            is_free = pool.submit(self.try_lock).result()
        self.lock_states.append(f'{step}: {"free" if is_free else "held"}')

    def try_lock(self) -> bool:
        is_free = self.follower.changed.acquire(blocking=False)
        if is_free:
            self.follower.changed.release()
        return is_free


@given('a follower whose fold records whether its lock is held')
def start_follower(context: Context) -> None:
    fold = LockProbeFold()
    context.follower = StreamFollower(EmptyLog(), 'configuration', fold)
    fold.follower, fold.lock_states = context.follower, []


@when('it restores a snapshot and makes one of its own')
def restore_and_print(context: Context) -> None:
    source = ConfigurationFold()
    apply_sections(source, [Workspace('w1', 1, 1)])
    snapshot = Snapshot(source.next_offset, source.snapshot())
    # The follower's thread restores the snapshots of the log and of peers this way.
    assert context.follower._restore(snapshot)
    context.source, context.printed = source, context.follower.snapshot()


@then('both are done with the lock free and the states are the same')
def check_lock(context: Context) -> None:
    assert context.follower.fold.lock_states == ['restore: free', 'snapshot: free']
    assert context.printed.body == context.source.snapshot()
    assert context.follower.next_offset == context.source.next_offset


def apply_sections(fold: ConfigurationFold, sections: list) -> None:
    changes = tuple(
        SectionChange(section=section_id(section), text=section_text(section))
        for section in sections
    )
    publish = PublishRecord(publish_id='p', base_offset=0, changes=changes)
    fold.apply(LogRecord(0, publish.model_dump_json().encode()))
