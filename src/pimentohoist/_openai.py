"""The usual completions format: reading requests and writing answers."""

from __future__ import annotations

import itertools
import json
import re
import time
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from pimentohoist.exceptions import InvalidRequestError, PimentohoistError
from pimentohoist.exchanges import Exchange, RequestKind
from pimentohoist.models import TokenChunk

_STEP = 'parse_request'
_TOKEN_PATTERN = re.compile(r'\w+|[^\w\s]')
_DEFAULT_MAX_TOKENS = 256
_MAX_TOKENS_LIMIT = 32_768
_encode = json.JSONEncoder().encode
END_EVENT = b'data: [DONE]\n\n'


def count_tokens(text: str) -> int:
    """Return the tokens that a prompt counts towards the limit.

    Words and punctuation marks count one each; an engine's own count may differ, but the
    bill must follow from what is known before the request runs.
    """
    return sum(1 for _ in _TOKEN_PATTERN.finditer(text))


def parse_body(body: bytes) -> Mapping[str, Any]:
    """Return the request's JSON object; raises InvalidRequestError."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(f'body is not JSON: {error}', step=_STEP) from error
    if not isinstance(document, dict):
        raise InvalidRequestError('body is not a JSON object', step=_STEP)
    if not isinstance(document.get('model'), str):
        raise InvalidRequestError('model: a string is required', step=_STEP)
    return document


def read_prompt(kind: RequestKind, document: Mapping[str, Any]) -> str:
    """Return the prompt as one text; raises InvalidRequestError."""
    if kind is RequestKind.CHAT:
        return _chat_prompt(document.get('messages'))
    prompt = document.get('prompt')
    if not isinstance(prompt, str):
        raise InvalidRequestError('prompt: a string is required', step=_STEP)
    return prompt


def read_max_tokens(document: Mapping[str, Any]) -> int:
    """Return the most tokens to generate; raises InvalidRequestError."""
    names = ('max_completion_tokens', 'max_tokens')
    given = (document[name] for name in names if document.get(name) is not None)
    limit = next(given, _DEFAULT_MAX_TOKENS)
    is_integer = isinstance(limit, int) and not isinstance(limit, bool)
    if not is_integer or not 1 <= limit <= _MAX_TOKENS_LIMIT:
        raise InvalidRequestError(
            f'max_tokens: an integer from 1 to {_MAX_TOKENS_LIMIT} is required',
            step=_STEP,
        )
    return int(limit)


def _chat_prompt(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError('messages: a list is required', step=_STEP)
    lines = []
    for index, message in enumerate(messages):
        try:
            lines.append(f'{message["role"]}: {_text(message["content"])}')
        except (TypeError, KeyError) as error:
            raise InvalidRequestError(
                f'messages.{index}: role and content are required', step=_STEP
            ) from error
    return '\n'.join(lines)


def _text(content: Any) -> str:
    if isinstance(content, str):
        return content
    return ''.join(part['text'] for part in content)


@dataclass(frozen=True, slots=True)
class _Shape:
    prefix: str
    whole: str
    part: str
    text_key: str
    part_tail: str


_SHAPES: Mapping[RequestKind, _Shape] = MappingProxyType(
    {
        RequestKind.COMPLETION: _Shape(
            'cmpl', 'text_completion', 'text_completion', ', "text": ', '}]}\n\n'
        ),
        RequestKind.CHAT: _Shape(
            'chatcmpl',
            'chat.completion',
            'chat.completion.chunk',
            ', "delta": {"role": "assistant", "content": ',
            '}}]}\n\n',
        ),
    }
)


class AnswerWriter:
    """Writes an exchange's answer in the format of its request."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.kind = exchange.request.kind
        self.shape = _SHAPES[self.kind]
        self.created = int(time.time())

    def whole(self, batches: Iterable[Sequence[TokenChunk]]) -> bytes:
        """Return the whole answer as one JSON text."""
        texts = []
        reason = None
        for chunk in itertools.chain.from_iterable(batches):
            texts.append(chunk.text)
            reason = chunk.finish_reason
        text = ''.join(texts)
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': reason,
            'logprobs': None,
        }
        if self.kind is RequestKind.CHAT:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        document = self._document(self.shape.whole, choice)
        return json.dumps({**document, 'usage': self._usage()}).encode()

    def events(self, batches: Iterable[Sequence[TokenChunk]]) -> Iterator[bytes]:
        """Yield the answer as server-sent events, a batch of tokens in each part.

        An error ends it with its event and without the end event, which only a whole
        answer has.
        """
        head = self._part_head()
        text_key = self.shape.text_key
        tail = self.shape.part_tail
        # All but the last token have no reason for an end.
        going_on = f'{head}null{text_key}'
        try:
            for batch in batches:
                yield ''.join(
                    f'{going_on}{_encode(chunk.text)}{tail}'
                    if chunk.finish_reason is None
                    else f'{head}{_encode(chunk.finish_reason)}{text_key}'
                    f'{_encode(chunk.text)}{tail}'
                    for chunk in batch
                ).encode()
        except PimentohoistError as error:
            yield error_event(error)
            return
        if self._wants_usage():
            document = self._document(self.shape.part)
            yield _event({**document, 'usage': self._usage()})
        yield END_EVENT

    def _part_head(self) -> str:
        """Return what all events of an answer begin with.

        Only reason and text differ from token to token; encoding the rest once takes a
        third of the time that whole documents take.
        """
        document = self._document(self.shape.part)
        document.pop('choices')
        start = json.dumps(document).removesuffix('}')
        return (
            f'data: {start}, "choices": [{{"index": 0, "logprobs": null, '
            '"finish_reason": '
        )

    def _document(self, shape: str, *choices: dict[str, Any]) -> dict[str, Any]:
        return {
            'id': f'{self.shape.prefix}-{self.exchange.request.request_id}',
            'object': shape,
            'created': self.created,
            'model': str(self.exchange.adapter_version),
            'choices': list(choices),
        }

    def _usage(self) -> dict[str, int]:
        prompt_tokens = count_tokens(self.exchange.prompt)
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': self.exchange.used_tokens,
            'total_tokens': prompt_tokens + self.exchange.used_tokens,
        }

    def _wants_usage(self) -> bool:
        options = self.exchange.request.document.get('stream_options')
        return isinstance(options, dict) and bool(options.get('include_usage'))


def error_document(error: PimentohoistError) -> dict[str, Any]:
    """Return an error as callers see it."""
    return {
        'message': error.message,
        'type': error.code,
        'code': error.code,
        'param': None,
        'step': error.step,
        'run': error.run_state.value,
        'retry_after_s': error.retry_after_s,
    }


def error_event(error: PimentohoistError) -> bytes:
    """Return the event that ends a stream which is not whole."""
    return _event({'error': error_document(error)})


def _event(document: Mapping[str, Any]) -> bytes:
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
