"""Grammar of the heads of HTTP/1.1 responses.

Sources: RFC 9110, sections 5.1, 5.5 and 5.6.2; RFC 9112, sections 2.2, 4, 5 and 5.1. Where
they let a recipient repair a line or refuse it, it is refused, but for a line that ends in
a line feed alone. Octets above 7F are allowed in values and in the reason.
"""

from __future__ import annotations

import http.client
import re
from dataclasses import dataclass

_BLANKS = b' \t'
_ENCODING = 'iso-8859-1'
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?\r?\n'
)
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r?\n"
)
_LINE_END = b'\n'
_BLANK_LINES = frozenset((b'\r\n', _LINE_END))
_MAX_QUOTED_BYTES = 80


class MalformedHeadError(http.client.HTTPException):
    """A line of a head isn't what the protocol allows.

    The line is no part of the message, since that may reach a caller.

    Attributes
    ----------
    line : str
        Its first bytes, all but printable ASCII escaped, for the log.
    """

    def __init__(self, part: str, line: bytes) -> None:
        super().__init__(f'malformed {part} in a response')
        self.line = repr(line[:_MAX_QUOTED_BYTES])


class IncompleteHeadError(http.client.HTTPException):
    """A response ended before its head was complete."""


@dataclass(frozen=True, slots=True)
class StatusLine:
    """The first line of a head.

    Attributes
    ----------
    minor_version : int
        0 for HTTP/1.0, 1 for HTTP/1.1.
    """

    minor_version: int
    status: int
    reason: str


def parse_status_line(line: bytes) -> StatusLine:
    """Return the parts of a status line.

    Raises
    ------
    IncompleteHeadError
        The connection ended within the line.
    MalformedHeadError
        It isn't a status line, or its status isn't from 100 to 599.
    """
    _check_complete(line)
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise MalformedHeadError('status line', line)
    minor_version, status, reason = found.groups(b'')
    return StatusLine(
        int(minor_version), int(status), reason.strip(_BLANKS).decode(_ENCODING)
    )


def parse_field_line(line: bytes, part: str) -> tuple[str, str] | None:
    """Return a field's name, and its value without the blanks around it.

    Returns None for the blank line that ends the section of fields.

    Parameters
    ----------
    part : str
        What the line is called if it is malformed.

    Raises
    ------
    IncompleteHeadError
        The connection ended within the line.
    MalformedHeadError
        The line isn't a field.
    """
    if line in _BLANK_LINES:
        return None
    _check_complete(line)
    found = _FIELD_LINE.fullmatch(line)
    if found is None:
        raise MalformedHeadError(part, line)
    name, text = found.groups()
    return name.decode(_ENCODING), text.strip(_BLANKS).decode(_ENCODING)


def _check_complete(line: bytes) -> None:
    if not line.endswith(_LINE_END):
        raise IncompleteHeadError('connection closed before the end of the head')
