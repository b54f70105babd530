"""A naive fold of the configuration stream, which parses the whole text per record."""

from __future__ import annotations

import json
import tomllib
from dataclasses import dataclass, field

from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import ConfigurationError


_PARSE_ERRORS = (ValueError, KeyError, TypeError, RecursionError)


@dataclass
class NaiveFold:
    window: int
    texts: dict[str, str] = field(default_factory=dict)
    changed_at: list[tuple[str, int]] = field(default_factory=list)
    first_at: dict[str, int] = field(default_factory=dict)
    decided_at: dict[int, bool] = field(default_factory=dict)
    skipped: int = 0

    def apply(self, body: bytes, offset: int) -> None:
        publish = _read(body, offset)
        if publish is None:
            self.skipped += 1
        elif publish['publish_id'] not in self.first_at:
            self.first_at[publish['publish_id']] = offset
            result = _apply_changes(self, publish, offset)
            self.decided_at[offset] = result is not None
            if result is not None:
                self.texts = result
                changes = publish['changes']
                self.changed_at += [(change['section'], offset) for change in changes]


def _read(body: bytes, offset: int) -> dict | None:
    try:
        publish = json.loads(body)
        is_publish = publish['kind'] == 'publish' and bool(publish['changes'])
        return publish if is_publish and publish['base_offset'] <= offset else None
    except _PARSE_ERRORS:
        return None


def _apply_changes(
    state: NaiveFold, publish: dict, offset: int
) -> dict[str, str] | None:
    base = publish['base_offset']
    names = [change['section'] for change in publish['changes']]
    has_conflict = any(name in names and at >= base for name, at in state.changed_at)
    if has_conflict or base < offset - state.window or len(set(names)) < len(names):
        return None
    result = dict(state.texts)
    for change in publish['changes']:
        if change['text'] is None:
            if change['section'] not in result:
                return None
            result.pop(change['section'])
        else:
            result[change['section']] = _canonical_text(change)
    if None in result.values() or not is_consistent('\n'.join(result.values())):
        return None
    return result


def _canonical_text(change: dict) -> str | None:
    try:
        document = tomllib.loads(change['text'])
        text = Configuration.parse(_with_possible_references(change['text'])).text()
    except (ValueError, RecursionError, ConfigurationError):
        return None
    kind, name = change['section'].split('/')
    if list(document) != [kind] or list(document[kind]) != [name]:
        return None
    parts = text.split('\n\n')
    heading = f'[{kind}.{name}]'
    part = next(part for part in parts if part.startswith(heading))
    return f'{part.rstrip()}\n'


def _with_possible_references(text: str) -> str:
    """Return the text with all sections it may refer to, so that it parses alone."""
    rest = ''
    if not text.startswith('[groups'):
        kind = 'service' if text.startswith('[routes') else 'engine'
        names = (('g1', kind), ('g2', kind))
        rest = ''.join(f'[groups.{name}]\nkind = "{kind}"\n' for name, kind in names)
    if not text.startswith('[workspaces'):
        limits = 'rate_tokens_per_s = 1.0\nburst_tokens = 1\n'
        rest += ''.join(f'[workspaces.{name}]\n{limits}' for name in ('w1', 'w2'))
    return f'{text}\n{rest}'


def is_consistent(text: str) -> bool:
    """Return whether all references are valid and digests and endpoints are unique."""
    document = tomllib.loads(text)
    keys = document.get('keys', {}).values()
    groups = document.get('groups', {}).values()
    digests = [key['digest'] for key in keys]
    names = [end['name'] for group in groups for end in group['endpoints']]
    return (
        all(key['workspace'] in document.get('workspaces', {}) for key in keys)
        and _have_valid_references(document, 'adapters', 'engine')
        and _have_valid_references(document, 'routes', 'service')
        and all(len(set(entries)) == len(entries) for entries in (digests, names))
    )


def _have_valid_references(document: dict, kind: str, group_kind: str) -> bool:
    groups = document.get('groups', {})
    workspaces = set(document.get('workspaces', {}))
    return all(
        groups.get(entry['group'], {}).get('kind') == group_kind
        and set(entry['workspaces']) <= workspaces
        for entry in document.get(kind, {}).values()
    )
