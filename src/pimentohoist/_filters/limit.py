"""Filter that charges a request to the limit of its workspace, or refuses it."""

from __future__ import annotations

from pimentohoist._controllers.limits import LimitsController
from pimentohoist._openai import count_tokens
from pimentohoist.exceptions import PimentohoistError, RunState
from pimentohoist.exchanges import CallerResponse, Exchange, RequestKind
from pimentohoist.protocols import Handler


class Limit:
    """Implements `Filter`.

    The maximum cost of the request is charged on admission. The unused part is refunded
    once the response has ended: all of it if the request was not executed, or repeated an
    action that an earlier call had executed, and nothing if it is unknown how far the
    request was executed.
    """

    def __init__(self, limits: LimitsController) -> None:
        self.limits = limits

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Charge the request, pass it on and settle the charge when it has ended."""
        workspace = exchange.workspace
        if workspace is None or not exchange.cost_tokens:
            return proceed(exchange)
        charges = self.limits.charge(workspace, exchange.cost_tokens)
        try:
            response = proceed(exchange)
        except PimentohoistError as error:
            is_free = error.run_state is RunState.NOT_RUN or _is_unsent_service_call(
                exchange
            )
            unused = exchange.cost_tokens if is_free else 0
            self.limits.settle(workspace.name, charges, unused)
            raise
        except BaseException:
            self.limits.settle(workspace.name, charges, 0)
            raise
        return response.on_close(
            lambda: self.limits.settle(
                workspace.name, charges, _unused_tokens(exchange)
            )
        )


def _unused_tokens(exchange: Exchange) -> int:
    if exchange.request.kind is RequestKind.SERVICE:
        return exchange.cost_tokens if _is_unsent_service_call(exchange) else 0
    used = count_tokens(exchange.prompt) + exchange.used_tokens
    return max(0, exchange.cost_tokens - used)


def _is_unsent_service_call(exchange: Exchange) -> bool:
    """Return whether a service call was never sent, as with a replayed action."""
    return exchange.request.kind is RequestKind.SERVICE and not exchange.is_sent
