"""Charges the request to its workspace's limit, or refuses it at once."""

from __future__ import annotations

from pimentohoist._controllers.limits import LimitsController
from pimentohoist._openai import count_tokens
from pimentohoist.exceptions import PimentohoistError, RunState
from pimentohoist.exchanges import CallerResponse, Exchange, RequestKind
from pimentohoist.protocols import Handler


class Limit:
    """Implements `Filter`.

    The most that the request can cost is charged at its admission. What it didn't use is
    given back once its answer has ended: all of it if it was not run, or was a repeat of
    an action that ran for an earlier call, and nothing if nobody knows how far it ran.
    """

    def __init__(self, limits: LimitsController) -> None:
        self.limits = limits

    def __call__(self, exchange: Exchange, proceed: Handler) -> CallerResponse:
        """Charge the request, pass it on and settle when it has ended."""
        workspace = exchange.workspace
        if workspace is None or not exchange.cost_tokens:
            return proceed(exchange)
        charges = self.limits.charge(workspace, exchange.cost_tokens)
        try:
            answer = proceed(exchange)
        except PimentohoistError as error:
            is_free = error.run_state is RunState.NOT_RUN or _is_unsent_call(exchange)
            unused = exchange.cost_tokens if is_free else 0
            self.limits.settle(workspace.name, charges, unused)
            raise
        except BaseException:
            self.limits.settle(workspace.name, charges, 0)
            raise
        return answer.on_close(
            lambda: self.limits.settle(
                workspace.name, charges, _unused_tokens(exchange)
            )
        )


def _unused_tokens(exchange: Exchange) -> int:
    if exchange.request.kind is RequestKind.SERVICE:
        return exchange.cost_tokens if _is_unsent_call(exchange) else 0
    used = count_tokens(exchange.prompt) + exchange.used_tokens
    return max(0, exchange.cost_tokens - used)


def _is_unsent_call(exchange: Exchange) -> bool:
    """Return whether nothing of the call went to a service, as of a repeated action."""
    return exchange.request.kind is RequestKind.SERVICE and not exchange.is_sent
