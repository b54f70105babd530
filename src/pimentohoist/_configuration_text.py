"""Parsing and joining of configuration texts, with the line of each fault."""

from __future__ import annotations

import hashlib
import json
import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from pydantic import ValidationError

from pimentohoist._decisions.sections import find_all_faults
from pimentohoist._sections import SECTION_ADAPTERS, SECTION_TYPES, Section
from pimentohoist.exceptions import ConfigurationError

_STEP = 'configuration'
_MAX_NESTING_DEPTH = 5
_MAX_OPEN_BRACKETS = 50

# The parser's time grows with the square of a dotted key's length.
_LONG_DOTTED_KEY = re.compile(r'(?<![\w"\'-])(?:[\w"\'-]+[ \t]*\.[ \t]*){20}')
_NO_BRACKETS = re.compile(r'[^\[\]{}]+')

_Path: TypeAlias = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class _Fault:
    path: _Path
    message: str

    def text(self, lines: Mapping[_Path, int]) -> str:
        """Return the fault with its path and the line of the nearest entry."""
        prefixes = (self.path[:length] for length in range(len(self.path), 0, -1))
        line = next((lines[prefix] for prefix in prefixes if prefix in lines), 0)
        line_prefix = f'line {line}: ' if line else ''
        return f'{line_prefix}{".".join(self.path)}: {self.message}'


def join_texts(texts: Mapping[str, str]) -> str:
    """Return the whole text from the sections' texts by id."""
    return '\n'.join(texts[identity] for identity in sorted(texts))


def text_digest(text: str) -> str:
    """Return the SHA-256 of a configuration text, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def parse_sections(text: str) -> tuple[Section, ...]:
    """Parse TOML into sections, each valid by itself.

    Raises
    ------
    ConfigurationError
        With every fault of syntax, type or range.
    """
    faults: list[_Fault] = []
    sections = tuple(_parse_document(_parse_toml(text), faults))
    _raise_if_any(faults, text)
    return sections


def parse_whole(text: str) -> tuple[Section, ...]:
    """Parse TOML into sections that are valid by themselves and together.

    Raises
    ------
    ConfigurationError
        With every fault of syntax, type, range and reference.
    """
    faults: list[_Fault] = []
    sections = tuple(_parse_document(_parse_toml(text), faults))
    faulty = {'/'.join(fault.path[:2]) for fault in faults}
    for identity, message in find_all_faults(sections):
        # A reference to a section that has faults of its own is not reported as well.
        if message.removeprefix('there is no ') not in faulty:
            faults.append(_Fault(tuple(identity.split('/', 1)), message))
    _raise_if_any(faults, text)
    return sections


def _raise_if_any(faults: list[_Fault], text: str) -> None:
    if not faults:
        return
    lines = _find_line_numbers(text)
    texts = tuple(fault.text(lines) for fault in faults)
    raise ConfigurationError(texts, step=_STEP)


def _parse_toml(text: str) -> Mapping[str, Any]:
    if _LONG_DOTTED_KEY.search(text) or _has_too_many_brackets(text):
        raise ConfigurationError(('not TOML: nested too deep',), step=_STEP)
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError((f'not TOML: {error}',), step=_STEP) from error


def _has_too_many_brackets(text: str) -> bool:
    """Return whether nested brackets would make the parser recurse too deeply."""
    depth = 0
    for character in _NO_BRACKETS.sub('', text):
        if character in '[{':
            depth += 1
        elif character in ']}':
            depth = max(0, depth - 1)
        if depth > _MAX_OPEN_BRACKETS:
            return True
    return False


def _parse_document(
    document: Mapping[str, Any], faults: list[_Fault]
) -> Iterator[Section]:
    for kind, tables in document.items():
        if kind in SECTION_TYPES and isinstance(tables, dict):
            for name, table in tables.items():
                yield from _parse_section((kind, name), table, faults)
        else:
            faults.append(_Fault((kind,), 'unknown kind of section'))


def _parse_section(path: _Path, table: Any, faults: list[_Fault]) -> Iterator[Section]:
    kind, name = path
    fault = _find_shape_fault(path, table)
    if fault is not None:
        faults.append(fault)
        return
    # Validated as JSON: its strict mode accepts no string as a number or as a list.
    body = json.dumps({**table, 'name': name}, default=str)
    try:
        yield SECTION_ADAPTERS[kind].validate_json(body, strict=True)
    except ValidationError as error:
        faults.extend(
            _Fault((*path, *(str(part) for part in fault['loc'])), fault['msg'])
            for fault in error.errors(include_url=False, include_input=False)
        )


def _find_shape_fault(path: _Path, table: Any) -> _Fault | None:
    if isinstance(table, dict):
        if 'name' in table:
            return _Fault((*path, 'name'), 'stands in the table heading')
        is_deep = _is_nested_deeper(table, _MAX_NESTING_DEPTH)
        return _Fault(path, 'nested too deep') if is_deep else None
    return _Fault(path, 'not a table')


def _is_nested_deeper(value: Any, limit: int) -> bool:
    if isinstance(value, dict):
        parts = list(value.values())
    elif isinstance(value, list):
        parts = value
    else:
        return False
    return not limit or any(_is_nested_deeper(part, limit - 1) for part in parts)


def _find_line_numbers(text: str) -> Mapping[_Path, int]:
    """Return the line of each table heading and of each entry, by path."""
    lines: dict[_Path, int] = {}
    table: _Path = ()
    for number, line in enumerate(text.splitlines(), start=1):
        stripped = line.strip()
        if stripped.startswith('['):
            table = _heading_path(stripped) or table
            for length in range(1, len(table) + 1):
                lines.setdefault(table[:length], number)
        elif '=' in stripped:
            path = table + _heading_path(f'[{stripped.partition("=")[0]}]')
            lines.setdefault(path, number)
    return lines


def _heading_path(heading: str) -> _Path:
    """Return the path in a table heading; empty if the text is not a heading."""
    try:
        document: Any = tomllib.loads(heading)
    except ValueError:
        return ()
    path: list[str] = []
    while document:
        if isinstance(document, list):
            document = document[0]
        else:
            name, document = next(iter(document.items()))
            path.append(name)
    return tuple(path)
