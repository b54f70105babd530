"""The fold of the configuration stream: the whole text is read again for each record."""

from __future__ import annotations

import json
import tomllib
from dataclasses import dataclass, field

from pimentohoist.configuration import Configuration
from pimentohoist.exceptions import ConfigurationError


_BROKEN = (ValueError, KeyError, TypeError, RecursionError)


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
            result = _result(self, publish, offset)
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
    except _BROKEN:
        return None


def _result(state: NaiveFold, publish: dict, offset: int) -> dict[str, str] | None:
    base = publish['base_offset']
    names = [change['section'] for change in publish['changes']]
    moved = any(name in names and at >= base for name, at in state.changed_at)
    if moved or base < offset - state.window or len(set(names)) < len(names):
        return None
    result = dict(state.texts)
    for change in publish['changes']:
        if change['text'] is None:
            if change['section'] not in result:
                return None
            result.pop(change['section'])
        else:
            result[change['section']] = _printed(change)
    if None in result.values() or not is_sound('\n'.join(result.values())):
        return None
    return result


def _printed(change: dict) -> str | None:
    try:
        document = tomllib.loads(change['text'])
        text = Configuration.parse(_with_all_named(change['text'])).text()
    except (ValueError, RecursionError, ConfigurationError):
        return None
    kind, name = change['section'].split('/')
    if list(document) != [kind] or list(document[kind]) != [name]:
        return None
    parts = text.split('\n\n')
    heading = f'[{kind}.{name}]'
    part = next(part for part in parts if part.startswith(heading))
    return f'{part.rstrip()}\n'


def _with_all_named(text: str) -> str:
    """Return the text with whatever it may name, so that it can be read by itself."""
    rest = ''
    if not text.startswith('[groups'):
        kind = 'service' if text.startswith('[routes') else 'engine'
        names = (('g1', kind), ('g2', kind))
        rest = ''.join(f'[groups.{name}]\nkind = "{kind}"\n' for name, kind in names)
    if not text.startswith('[workspaces'):
        limits = 'rate_tokens_per_s = 1.0\nburst_tokens = 1\n'
        rest += ''.join(f'[workspaces.{name}]\n{limits}' for name in ('w1', 'w2'))
    return f'{text}\n{rest}'


def is_sound(text: str) -> bool:
    """Return whether nothing in the whole text contradicts anything else in it."""
    whole = tomllib.loads(text)
    keys = whole.get('keys', {}).values()
    groups = whole.get('groups', {}).values()
    digests = [key['digest'] for key in keys]
    names = [end['name'] for group in groups for end in group['endpoints']]
    return (
        all(key['workspace'] in whole.get('workspaces', {}) for key in keys)
        and _are_served(whole, 'adapters', 'engine')
        and _are_served(whole, 'routes', 'service')
        and all(
            len(set(resource_keys)) == len(resource_keys)
            for resource_keys in (digests, names)
        )
    )


def _are_served(whole: dict, kind: str, group_kind: str) -> bool:
    groups = whole.get('groups', {})
    workspaces = set(whole.get('workspaces', {}))
    return all(
        groups.get(entry['group'], {}).get('kind') == group_kind
        and set(entry['workspaces']) <= workspaces
        for entry in whole.get(kind, {}).values()
    )
