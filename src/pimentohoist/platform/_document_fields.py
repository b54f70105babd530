"""Reading of JSON documents whose fields may have any type and depth."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from pimentohoist.exceptions import DocumentError

_STEP = 'decode'
_MAX_CAUSE_LENGTH = 200
_MS_PER_S = 1000
_MAX_INTEGER = 9_007_199_254_740_992
"""Larger integers aren't exact in JSON."""

_MALFORMED_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_Decoded = TypeVar('_Decoded')


def decode_document(
    text: bytes, kind: str, decode: Callable[[dict[str, Any]], _Decoded]
) -> _Decoded:
    """Decode a document with a function that may fail on fields of other types.

    Raises
    ------
    DocumentError
        The text isn't a JSON object, or its fields don't fit.
    """
    try:
        return decode(_document(text))
    except _MALFORMED_ERRORS as error:
        cause = f'{type(error).__name__}: {error}'[:_MAX_CAUSE_LENGTH]
        raise DocumentError(f'{kind}: {cause}', step=_STEP) from error


def text_field(document: Mapping[str, Any], field: str) -> str:
    """Return a field that is a non-empty string; raises DocumentError."""
    text = document.get(field)
    if not isinstance(text, str) or not text:
        raise DocumentError(
            f'{field}: expected a non-empty string, got {text!r:.80}', step=_STEP
        )
    return text


def integer_field(document: Mapping[str, Any], field: str) -> int:
    """Return a field that is an integer from 0 on; raises DocumentError."""
    number = document.get(field)
    if (
        not isinstance(number, int)
        or isinstance(number, bool)
        or not 0 <= number <= _MAX_INTEGER
    ):
        raise DocumentError(
            f'{field}: expected an integer from 0 to {_MAX_INTEGER}, got {number!r:.80}',
            step=_STEP,
        )
    return number


def milliseconds_field(document: Mapping[str, Any], field: str) -> float:
    """Return a time in ms as seconds, 0 if it is absent; raises DocumentError."""
    number = document.get(field) or 0
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    if not (is_number and 0 <= number <= _MAX_INTEGER):
        raise DocumentError(
            f'{field}: expected milliseconds from 0 on, got {number!r:.80}', step=_STEP
        )
    return float(number) / _MS_PER_S


def _document(text: bytes) -> dict[str, Any]:
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f'expected JSON: {error}', step=_STEP) from error
    if not isinstance(document, dict):
        raise DocumentError('expected a JSON object', step=_STEP)
    return document
