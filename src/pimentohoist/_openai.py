"""The OpenAI completions format: parses requests and writes responses."""

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
_encode_json = json.JSONEncoder().encode
END_EVENT = b'data: [DONE]\n\n'


def count_tokens(text: str) -> int:
    """Return the number of tokens that a prompt counts towards the limit.

    Each word and each punctuation mark counts as one. An engine's own count may differ,
    but the charge must follow from what is known before the request is executed.
    """
    return sum(1 for _ in _TOKEN_PATTERN.finditer(text))


def parse_body(body: bytes) -> Mapping[str, Any]:
    """Return the request's JSON object; raises InvalidRequestError."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(
            f'body: expected JSON: {error}', step=_STEP
        ) from error
    if not isinstance(document, dict):
        raise InvalidRequestError('body: expected a JSON object', step=_STEP)
    if not isinstance(document.get('model'), str):
        raise InvalidRequestError('model: expected a string', step=_STEP)
    return document


def read_prompt(kind: RequestKind, document: Mapping[str, Any]) -> str:
    """Return the prompt as one string; raises InvalidRequestError."""
    if kind is RequestKind.CHAT:
        return _chat_prompt(document.get('messages'))
    prompt = document.get('prompt')
    if not isinstance(prompt, str):
        raise InvalidRequestError('prompt: expected a string', step=_STEP)
    return prompt


def read_max_tokens(document: Mapping[str, Any]) -> int:
    """Return the maximum number of generated tokens; raises InvalidRequestError."""
    names = ('max_completion_tokens', 'max_tokens')
    given = (document[name] for name in names if document.get(name) is not None)
    limit = next(given, _DEFAULT_MAX_TOKENS)
    is_integer = isinstance(limit, int) and not isinstance(limit, bool)
    if not is_integer or not 1 <= limit <= _MAX_TOKENS_LIMIT:
        raise InvalidRequestError(
            f'max_tokens: expected an integer from 1 to {_MAX_TOKENS_LIMIT}',
            step=_STEP,
        )
    return int(limit)


def _chat_prompt(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError(
            'messages: expected a list of at least one message', step=_STEP
        )
    lines = []
    for index, message in enumerate(messages):
        try:
            lines.append(f'{message["role"]}: {_content_text(message["content"])}')
        except (TypeError, KeyError) as error:
            raise InvalidRequestError(
                f'messages.{index}: expected an object with role and content',
                step=_STEP,
            ) from error
    return '\n'.join(lines)


def _content_text(content: Any) -> str:
    if isinstance(content, str):
        return content
    return ''.join(part['text'] for part in content)


@dataclass(frozen=True, slots=True)
class _ResponseFormat:
    id_prefix: str
    response_object: str
    chunk_object: str
    text_key: str
    chunk_tail: str


_RESPONSE_FORMATS: Mapping[RequestKind, _ResponseFormat] = MappingProxyType(
    {
        RequestKind.COMPLETION: _ResponseFormat(
            'cmpl', 'text_completion', 'text_completion', ', "text": ', '}]}\n\n'
        ),
        RequestKind.CHAT: _ResponseFormat(
            'chatcmpl',
            'chat.completion',
            'chat.completion.chunk',
            ', "delta": {"role": "assistant", "content": ',
            '}}]}\n\n',
        ),
    }
)


class ResponseWriter:
    """Writes the response to an exchange in the format of its request."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.kind = exchange.request.kind
        self.format = _RESPONSE_FORMATS[self.kind]
        self.created = int(time.time())

    def complete_body(self, batches: Iterable[Sequence[TokenChunk]]) -> bytes:
        """Return the complete response as one JSON document."""
        texts = []
        finish_reason = None
        for chunk in itertools.chain.from_iterable(batches):
            texts.append(chunk.text)
            finish_reason = chunk.finish_reason
        text = ''.join(texts)
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': finish_reason,
            'logprobs': None,
        }
        if self.kind is RequestKind.CHAT:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        document = self._document(self.format.response_object, choice)
        return json.dumps({**document, 'usage': self._usage()}).encode()

    def events(self, batches: Iterable[Sequence[TokenChunk]]) -> Iterator[bytes]:
        """Yield the response as server-sent events, a batch of tokens in each part.

        An error ends the response with an error event; only a complete response ends
        with the end event.
        """
        head = self._chunk_head()
        text_key = self.format.text_key
        tail = self.format.chunk_tail
        # All tokens but the last have no finish reason.
        unfinished_head = f'{head}null{text_key}'
        try:
            for batch in batches:
                yield ''.join(
                    f'{unfinished_head}{_encode_json(chunk.text)}{tail}'
                    if chunk.finish_reason is None
                    else f'{head}{_encode_json(chunk.finish_reason)}{text_key}'
                    f'{_encode_json(chunk.text)}{tail}'
                    for chunk in batch
                ).encode()
        except PimentohoistError as error:
            yield error_event(error)
            return
        if self._wants_usage():
            document = self._document(self.format.chunk_object)
            yield _encode_event({**document, 'usage': self._usage()})
        yield END_EVENT

    def _chunk_head(self) -> str:
        """Return the beginning that all events of a response share.

        Only finish reason and text differ between tokens; encoding the rest once takes a
        third of the time of encoding whole documents.
        """
        document = self._document(self.format.chunk_object)
        document.pop('choices')
        start = json.dumps(document).removesuffix('}')
        return (
            f'data: {start}, "choices": [{{"index": 0, "logprobs": null, '
            '"finish_reason": '
        )

    def _document(self, object_name: str, *choices: dict[str, Any]) -> dict[str, Any]:
        return {
            'id': f'{self.format.id_prefix}-{self.exchange.request.request_id}',
            'object': object_name,
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
    """Return an error in the form that callers receive."""
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
    """Return the event that ends an incomplete stream."""
    return _encode_event({'error': error_document(error)})


def _encode_event(document: Mapping[str, Any]) -> bytes:
    return b'data: ' + json.dumps(document).encode() + b'\n\n'
