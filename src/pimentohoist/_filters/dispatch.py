"""Last handler of the chain: sends a request to an endpoint, returns the response."""

from __future__ import annotations

import contextlib
import hashlib
import itertools
import json
from collections.abc import Sequence
from http import HTTPStatus

from pimentohoist._controllers.configuration import ConfigurationController
from pimentohoist._filters.dispatch_service import DispatchService
from pimentohoist._filters.generation_run import GenerationRun
from pimentohoist._filters.retry_dependencies import RetryDependencies
from pimentohoist._openai import ResponseWriter
from pimentohoist._relay import Relay, wait_for_first_part
from pimentohoist.configuration import Adapter, EndpointGroup
from pimentohoist.exceptions import NotFoundError
from pimentohoist.exchanges import CallerResponse, Exchange, RequestKind, SlotRequest
from pimentohoist.models import AdapterVersion, Generation, TokenChunk

_STEP = 'dispatch'
_JSON = 'application/json'
_EVENTS = 'text/event-stream'


class Dispatch:
    """Implements `Handler`: lists models, calls a service or runs a generation."""

    def __init__(
        self,
        configuration: ConfigurationController,
        dependencies: RetryDependencies,
        relay: Relay,
    ) -> None:
        self.configuration = configuration
        self.dependencies = dependencies
        self.relay = relay
        self.service_handler = DispatchService(dependencies.slots, dependencies.clock)

    def __call__(self, exchange: Exchange) -> CallerResponse:
        """Execute the request and return the response."""
        match exchange.request.kind:
            case RequestKind.MODELS:
                return self._list_models(exchange)
            case RequestKind.SERVICE:
                return self.service_handler(exchange)
            case _:
                return self._generate(exchange)

    def _list_models(self, exchange: Exchange) -> CallerResponse:
        workspace = exchange.workspace
        entries = [
            {
                'id': f'{section.name}@{version}',
                'object': 'model',
                'created': 0,
                'owned_by': section.group,
            }
            for section in self.configuration.sections(Adapter)
            if workspace is not None and workspace.name in section.workspaces
            for version in section.versions
        ]
        body = json.dumps({'object': 'list', 'data': entries}).encode()
        return CallerResponse(HTTPStatus.OK, _JSON, [body])

    def _generate(self, exchange: Exchange) -> CallerResponse:
        run = GenerationRun(
            exchange,
            _slot_request(exchange, _resolved_adapter(exchange)),
            _generation(exchange),
            self.dependencies,
        )
        writer = ResponseWriter(exchange)
        readiness = exchange.readiness
        batches = run.batches()
        if not exchange.request.document.get('stream'):
            received: list[Sequence[TokenChunk]] = []
            with contextlib.closing(batches):
                self.relay.run(batches, readiness, received.append)
            return CallerResponse(
                HTTPStatus.OK, _JSON, [writer.complete_body(received)]
            )
        # The status is sent only after the first token, so an earlier error is returned
        # as a JSON response with its own status.
        first = wait_for_first_part(batches, readiness)
        events = writer.events(itertools.chain((first,), batches))
        response = CallerResponse(
            HTTPStatus.OK, _EVENTS, events, {'Cache-Control': 'no-cache'}, readiness
        )
        return response.on_close(batches.close)


def _group(exchange: Exchange) -> EndpointGroup:
    if exchange.group is None:
        raise NotFoundError(
            'the endpoint group is no longer in the configuration', step=_STEP
        )
    return exchange.group


def _slot_request(exchange: Exchange, adapter: AdapterVersion | None) -> SlotRequest:
    workspace = exchange.workspace
    return SlotRequest(
        exchange.request.request_id,
        _group(exchange),
        adapter,
        workspace.name if workspace else '',
        exchange.cost_tokens,
        is_urgent=workspace is not None and workspace.is_urgent,
        deadline=exchange.request.deadline,
    )


def _resolved_adapter(exchange: Exchange) -> AdapterVersion:
    if exchange.adapter_version is None:
        raise NotFoundError('the request has no resolved adapter', step=_STEP)
    return exchange.adapter_version


def _generation(exchange: Exchange) -> Generation:
    workspace = exchange.workspace
    return Generation(
        exchange.request.request_id,
        _resolved_adapter(exchange),
        exchange.prompt,
        exchange.max_tokens,
        cache_salt=_cache_salt(workspace.name if workspace else ''),
        is_urgent=workspace is not None and workspace.is_urgent,
    )


def _cache_salt(workspace: str) -> str:
    return hashlib.sha256(f'prefix-cache\n{workspace}'.encode()).hexdigest()
