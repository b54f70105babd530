"""Responses whose heads have a line that isn't a field, and rare ones that are sound."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

_LONG_NAME_BYTES = 10_000
_CONTROLS = MappingProxyType(
    {
        **{'NUL': b'\x00', 'BEL': b'\x07', 'BS': b'\x08', 'VT': b'\x0b'},
        **{'FF': b'\x0c', 'ESC': b'\x1b', 'FS': b'\x1c', 'RS': b'\x1e'},
        **{'US': b'\x1f', 'DEL': b'\x7f', 'CR': b'\r'},
    }
)
_OUTSIDE_TOKENS = MappingProxyType(
    {
        **{'blank': b' ', 'tab': b'\t', 'NEL': b'\x85', 'Latin letter': b'\xe9'},
        **{'UTF-8 letter': 'é'.encode(), 'bracket': b'[', 'quote': b'"'},
        **{'comma': b',', 'slash': b'/', 'at sign': b'@'},
    }
)
MALFORMED_LINES: Mapping[str, bytes] = MappingProxyType(
    {
        **{
            f'{label} in a name': b'X-%bOdd: 1' % octets
            for label, octets in {**_CONTROLS, **_OUTSIDE_TOKENS}.items()
        },
        **{
            f'{label} in a value': b'X-Odd: 1%b2' % octet
            for label, octet in _CONTROLS.items()
        },
        'blank before the colon': b'X-Odd : 1',
        'tab before the colon': b'X-Odd\t: 1',
        'blank before the colon of a length': b'Content-Length : 2',
        'blank before the colon of a coding': b'Transfer-Encoding : chunked',
        'blank in the name of a length': b'Content- Length: 2',
        'length after CR': b'X-Odd: 1\rContent-Length: 2',
        'end of the head after CR': b'X-Odd: 1\r\r',
        'no colon': b'X-Odd',
        'no name': b': 1',
        'envelope of a mail': b'From engine Mon Dec 7',
        'fold by a blank': b' folded',
        'fold by a tab': b'\tfolded: 1',
        'blanks alone': b'  ',
        'long name with a blank': b'X %b: 1' % (b'x' * _LONG_NAME_BYTES),
    }
)
"""Lines that aren't fields, by what is wrong with them."""

SOUND_LINES: Mapping[str, bytes] = MappingProxyType(
    {
        'octets above 7F': b'X-Odd: \x85\xa0caf\xe9\xff \x85',
        'tab in a value': b'X-Odd: a\tb',
        'empty value': b'X-Odd:',
        'value of blanks': b'X-Odd: \t ',
        'blanks around a value': b'X-Odd: \t a b\t ',
        'no blank before a value': b'X-Odd:a',
        'each mark of a token': b"x!#$%&'*+-.^_`|~9: a",
        'colon, quote and bracket in a value': b'X-Odd: :"[a]:',
    }
)
"""Lines that are fields though they are rare."""

MALFORMED_STATUS_LINES = (
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\x1bK',
    b'HTTP/1.1 200 O\rK',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 00 OK',
    b' HTTP/1.1 200 OK',
    b'HTTP/1.1 2\xb20 OK',
)
SOUND_STATUS_LINES = (
    b'HTTP/1.1 200 ',
    b'HTTP/1.1 200',
    b'HTTP/1.1 200 \x85t\xe9s\tbien',
)
_OK = b'HTTP/1.1 200 OK'
_INTERIM_HEADS = (
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 102 Processing\r\nX-Odd:\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Odd: \xe9\r\n\r\n',
    b'HTTP/1.1 103 \r\nLink: </b>\r\n\r\n',
    b'HTTP/1.1 100\r\n\r\n',
)


class Place(StrEnum):
    """Where a line stands among the fields of a head."""

    FIRST = 'first'
    MIDDLE = 'middle'
    LAST = 'last'


class BodyEnd(StrEnum):
    """What tells the end of a body."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


def insert_line(fields: list[bytes], place: Place, line: bytes) -> list[bytes]:
    """Return the fields of a head with one more line among them."""
    middle = len(fields) // 2 + 1
    number = {Place.FIRST: 0, Place.MIDDLE: middle, Place.LAST: len(fields)}[place]
    return [*fields[:number], line, *fields[number:]]


@dataclass(frozen=True, slots=True)
class OddResponse:
    """A response of which one part is unusual.

    Attributes
    ----------
    line : bytes or None
        A line that is added among the fields.
    after_framing : bytes
        What follows the length or the coding on its line.
    before, trailers : bytes
        What precedes the response, and what follows its last chunk.
    """

    request_id: str = 'r1'
    body: bytes = b'hello'
    end: BodyEnd = BodyEnd.LENGTH
    status_line: bytes = _OK
    line: bytes | None = None
    place: Place = Place.MIDDLE
    after_framing: bytes = b''
    before: bytes = b''
    trailers: bytes = b''

    def data(self) -> bytes:
        """Return the bytes of the response."""
        framing = {
            BodyEnd.LENGTH: b'Content-Length: %d' % len(self.body),
            BodyEnd.CHUNKS: b'Transfer-Encoding: chunked',
            BodyEnd.CLOSE: b'Connection: close',
        }[self.end]
        attempt_id = f'Pimentohoist-Attempt-Id: {self.request_id}'.encode()
        framing += self.after_framing
        own = [attempt_id, b'Pimentohoist-Response-Seal: 1', framing]
        fields = own if self.line is None else insert_line(own, self.place, self.line)
        body = self.body
        if self.end is BodyEnd.CHUNKS:
            chunk = b'%x\r\n%b\r\n' % (len(body), body)
            body = b'%b0\r\n%b\r\n' % (chunk, self.trailers)
        return self.before + b'\r\n'.join((self.status_line, *fields, b'', body))


def _responses_with(lines: Mapping[str, bytes]) -> Iterator[OddResponse]:
    for line in lines.values():
        for end in BodyEnd:
            yield from (OddResponse(end=end, line=line, place=spot) for spot in Place)


def _interim_responses(lines: Mapping[str, bytes]) -> Iterator[OddResponse]:
    for line in lines.values():
        for status_line in (b'HTTP/1.1 100 Continue', b'HTTP/1.1 103 Early Hints'):
            head = b'%b\r\nLink: </a>\r\n%b\r\n\r\n' % (status_line, line)
            yield OddResponse(before=b''.join((_INTERIM_HEADS[0], head)))


def _trailing_responses(lines: Mapping[str, bytes]) -> Iterator[OddResponse]:
    for line in lines.values():
        trailers = b'X-Sum: 1\r\n%b\r\n' % line
        yield OddResponse(end=BodyEnd.CHUNKS, trailers=trailers)


MALFORMED_RESPONSES: Mapping[str, tuple[OddResponse, ...]] = MappingProxyType(
    {
        'head': (
            *_responses_with(MALFORMED_LINES),
            OddResponse(end=BodyEnd.LENGTH, after_framing=b'\x85'),
            OddResponse(end=BodyEnd.CHUNKS, after_framing=b'\xa0'),
        ),
        'status line': tuple(
            OddResponse(status_line=line, end=end)
            for line in MALFORMED_STATUS_LINES
            for end in BodyEnd
        ),
        'interim head': tuple(_interim_responses(MALFORMED_LINES)),
        'trailer section': tuple(_trailing_responses(MALFORMED_LINES)),
    }
)
"""Responses that aren't well-formed, by the part that isn't."""

SOUND_RESPONSES: Mapping[str, tuple[OddResponse, ...]] = MappingProxyType(
    {
        'head': (
            *_responses_with(SOUND_LINES),
            *(OddResponse(end=end, after_framing=b' \t') for end in BodyEnd),
        ),
        'status line': tuple(
            OddResponse(status_line=line, end=end)
            for line in SOUND_STATUS_LINES
            for end in BodyEnd
        ),
        'interim head': (
            *_interim_responses(SOUND_LINES),
            OddResponse(before=b''.join(_INTERIM_HEADS)),
        ),
        'trailer section': tuple(_trailing_responses(SOUND_LINES)),
    }
)
"""Responses that are well-formed and rare, by the part that is rare."""
