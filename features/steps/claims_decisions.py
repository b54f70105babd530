"""Steps that check the claims fold, its histories and the selection of takeovers."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from behave import then, when
from behave.runner import Context
from claims_world import Simulation, operations
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from pimentohoist._claims_fold import ClaimsFold
from pimentohoist._controllers.claims_takeover import TakeoverSelector
from pimentohoist.models import LogRecord, Member

_FOLD_SEED = 4
_HISTORY_SEED = 5
_RETENTION_S = 50
_MAX_REPORTERS = 7


def median_written_at(events: list[dict]) -> float:
    """Return the lower median of the latest time written by each recent writer."""
    latest: dict[str, float] = {}
    for event in reversed(events):
        latest.setdefault(event['incarnation'], event['written_at'])
    times = sorted(list(latest.values())[:_MAX_REPORTERS])
    return times[(len(times) - 1) // 2]


class NaiveFold:
    """Claims recomputed from the list of all records, in one dict."""

    def __init__(self, events: list[dict]) -> None:
        self.claims: dict[str, dict] = {}
        self.released: dict[str, float] = {}
        self.departed: dict[str, float] = {}
        self.now = float()
        for index, event in enumerate(events):
            self.now = max(self.now, median_written_at(events[: index + 1]))
            self.drop_expired()
            getattr(self, event['kind'])(event)

    def drop_expired(self) -> None:
        oldest = self.now - _RETENTION_S
        for action, claim in list(self.claims.items()):
            if claim['state'] != 'open' and claim['at'] < oldest:
                del self.claims[action]
        for times in (self.released, self.departed):
            for name, at in tuple(times.items()):
                if at < oldest:
                    del times[name]

    def claim(self, event: dict) -> None:
        if event['claim_id'] in self.released or event['incarnation'] in self.departed:
            return
        if event['action'] not in self.claims:
            self.claims[event['action']] = {**event, 'state': 'open', 'at': 0}

    def held_claim(self, event: dict) -> dict | None:
        claim = self.claims.get(event['action'])
        return claim if claim and claim['claim_id'] == event['claim_id'] else None

    def outcome(self, event: dict) -> None:
        claim = self.held_claim(event)
        if claim is None or claim['state'] == 'answered':
            return
        if event['status']:
            answer = (event['status'], event['content_type'], event['body'])
            claim.update(state='answered', at=self.now, answer=answer)
        elif claim['state'] != 'unknown':
            claim.update(state='unknown', at=self.now)

    def release(self, event: dict) -> None:
        self.released.setdefault(event['claim_id'], self.now)
        claim = self.held_claim(event)
        if claim is not None and claim['state'] in {'open', 'lost'}:
            del self.claims[event['action']]

    def takeover(self, event: dict) -> None:
        self.departed.setdefault(event['departed'], self.now)
        for claim in self.claims.values():
            if claim['incarnation'] == event['departed'] and claim['state'] == 'open':
                claim.update(state='lost', at=self.now)

    def claims_by_action(self) -> dict:
        return {
            action: (claim['claim_id'], claim['digest'], claim['state'], claim['at'])
            + (claim.get('answer'),)
            for action, claim in self.claims.items()
        }


def fold_claims_by_action(fold: ClaimsFold) -> dict:
    by_action = {}
    for action, claim in fold.claims.items():
        answer = claim.answer
        stored = None
        if answer is not None:
            text = None if answer.body is None else base64.b64encode(answer.body)
            body = None if text is None else text.decode()
            stored = (answer.status, answer.content_type, body)
        claim_fields = (
            claim.claim_id,
            claim.digest,
            claim.state.value,
            claim.settled_at,
        )
        by_action[action] = (*claim_fields, stored)
    return by_action


def check_generated(
    count: int, seed_value: int, inputs: st.SearchStrategy, check: Callable[[Any], None]
) -> None:
    """Run a check on generated inputs, which are the same in each run."""
    example_settings = settings(
        max_examples=count,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    given(inputs)(seed(seed_value)(example_settings(as_test(check))))()


def as_test(check: Callable[[Any], None]) -> Callable[[Any], None]:
    def checked(generated: Any) -> None:  # noqa: WPS430
        check(generated)

    return checked


_COMMON_FIELDS = MappingProxyType(
    {
        'incarnation': st.sampled_from(['a', 'b', 'c']),
        'written_at': st.integers(0, 300).map(float),
    }
)
_CLAIM_FIELDS = MappingProxyType(
    {
        'action': st.sampled_from(['x', 'y']),
        'claim_id': st.sampled_from(['1', '2', '3', '4']),
    }
)
_ANY_EVENT = st.one_of(
    st.fixed_dictionaries(
        {
            'kind': st.just('claim'),
            'digest': st.sampled_from('dD'),
            **_CLAIM_FIELDS,
            **_COMMON_FIELDS,
        }
    ),
    st.fixed_dictionaries(
        {
            'kind': st.just('outcome'),
            'status': st.sampled_from([0, 201, 500]),
            'content_type': st.just('text/plain'),
            'body': st.sampled_from([None, '', 'AQID']),
            **_CLAIM_FIELDS,
            **_COMMON_FIELDS,
        }
    ),
    st.fixed_dictionaries(
        {'kind': st.just('release'), **_CLAIM_FIELDS, **_COMMON_FIELDS}
    ),
    st.fixed_dictionaries(
        {
            'kind': st.just('takeover'),
            'departed': st.sampled_from(['a', 'b', 'c']),
            'epoch': st.integers(0, 9),
            **_COMMON_FIELDS,
        }
    ),
    st.sampled_from([{'kind': 'foreign'}, {'kind': 'claim', 'action': 7}, {}]),
)


def check_equal(fold: ClaimsFold, naive: NaiveFold) -> None:
    assert fold_claims_by_action(fold) == naive.claims_by_action(), (
        fold.claims,
        naive.claims,
    )
    assert (fold.released, fold.departed) == (naive.released, naive.departed)
    assert fold.now == naive.now


def check_folds_over_stream(events: list[dict]) -> None:
    fold = ClaimsFold(window_s=_RETENTION_S)
    valid_events: list[dict] = []
    for offset, event in enumerate(events):  # noqa: WPS426
        fold.apply(LogRecord(offset, json.dumps(event).encode()))
        valid_events += [event] if 'incarnation' in event else []
        naive = NaiveFold(valid_events)
        restored = ClaimsFold(window_s=_RETENTION_S)
        restored.restore(fold.snapshot())
        check_equal(fold, naive)
        check_equal(restored, naive)
        assert fold.next_offset == restored.next_offset == offset + 1
        assert fold.skipped_records == restored.skipped_records
        assert fold.skipped_records == offset + 1 - len(valid_events)
        assert restored.open_actions == fold.open_actions
        # Later records are applied to the restored fold: it must behave the same.
        fold = restored


@when(
    '{count:d} generated claims streams are folded, restored from snapshots and folded '
    'naively'
)
def fold_streams(context: Context, count: int) -> None:
    context.streams = count
    check_generated(
        count, _FOLD_SEED, st.lists(_ANY_EVENT, max_size=25), check_folds_over_stream
    )


@then('all claims folds agree after every record')
def check_folds(context: Context) -> None:
    assert context.streams >= 400, context.streams


@when('{count:d} generated histories of claims are simulated with {daemons:d} daemons')
def play_histories(context: Context, count: int, daemons: int) -> None:
    context.covered = set()
    scripts = st.lists(operations(daemons), min_size=25, max_size=80)
    check_generated(
        count,
        _HISTORY_SEED,
        scripts,
        lambda script: context.covered.update(play_history(daemons, script)),
    )


def play_history(daemons: int, script: list[tuple]) -> set[str]:
    simulation = Simulation(daemons, script)
    simulation.play()
    simulation.check()
    return simulation.covered


@then('no action was executed twice and no request refused as not run was executed')
def check_histories(context: Context) -> None:
    assert context.covered, 'no history was played'


@then(
    'the histories covered executions, replays, crashes, lost responses and takeovers'
)
def check_covered(context: Context) -> None:
    wanted = {
        *('run', 'replay', 'crash', 'takeover', 'conflict', 'release'),
        *('append ok', 'append lost', 'append dropped', 'append late'),
        *('append refused', 'late record landed', 'unknown', 'in progress'),
    }
    assert wanted <= context.covered, wanted - context.covered


class FixedMembership:
    """A view with one member, read at a given time."""

    incarnation = 'a'
    epoch = 1
    read_at = float()

    def __init__(self, *, has_owner: bool) -> None:
        self.has_owner = has_owner

    def members(self) -> tuple[Member, ...]:
        return (Member('a', '', '', ''),)

    def is_owner(self, resource_key: str) -> bool:
        return self.has_owner


@when('a claim of an unknown daemon is seen before and after the view is read again')
def see_unknown_holder(context: Context) -> None:
    context.departed = {}
    for has_owner in (True, False):
        membership = FixedMembership(has_owner=has_owner)
        selector = TakeoverSelector(membership, lambda: 10.0)
        before = list(selector.select_departed(['a', 'gone']))
        membership.read_at = 11.0
        context.departed[has_owner] = (
            before,
            list(selector.select_departed(['a', 'gone'])),
        )


@then('the claim is taken over only after the second read, and only by the owner')
def check_departed(context: Context) -> None:
    assert context.departed == {True: ([], ['gone']), False: ([], [])}
