"""Upper bounds of each workspace's tokens and spending in a month."""

from __future__ import annotations

import calendar
from collections.abc import Iterable
from dataclasses import dataclass
from decimal import ROUND_CEILING, Decimal

from pimentohoist._sections import Section, Workspace

_SECONDS_PER_DAY = 86_400
_TOKENS_PER_PRICE = 1_000_000
_CENT = Decimal('0.01')


@dataclass(frozen=True, slots=True)
class Forecast:
    """Upper bounds of a workspace's tokens and spending in a month."""

    workspace: str
    most_tokens: int
    most_spending: Decimal
    currency: str


def forecast_month(
    sections: Iterable[Section], year: int, month: int
) -> tuple[Forecast, ...]:
    """Return the forecasts of a month in UTC, by workspace.

    A workspace receives no more than its rate times the seconds of the month and, once,
    its burst.
    """
    _, days = calendar.monthrange(year, month)
    seconds = days * _SECONDS_PER_DAY
    workspaces = (part for part in sections if isinstance(part, Workspace))
    found = (_forecast(workspace, seconds) for workspace in workspaces)
    return tuple(sorted(found, key=lambda forecast: forecast.workspace))


def _forecast(workspace: Workspace, seconds: int) -> Forecast:
    accrued = Decimal(str(workspace.rate_tokens_per_s)) * seconds
    tokens = accrued + workspace.burst_tokens
    spending = tokens * workspace.price_per_million_tokens / _TOKENS_PER_PRICE
    return Forecast(
        workspace.name,
        int(tokens),
        spending.quantize(_CENT, rounding=ROUND_CEILING),
        workspace.currency,
    )
