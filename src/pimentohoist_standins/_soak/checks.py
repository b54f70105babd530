"""The promises that a soak checks, from what was seen outside the daemons."""

from __future__ import annotations

from pimentohoist_standins._soak import (
    checks_answers,
    checks_budgets,
    checks_configuration,
    checks_endpoints,
    checks_execution,
    checks_orders,
    checks_processes,
    checks_reach,
    checks_stops,
)
from pimentohoist_standins._soak.history import History, Promise, judge
from pimentohoist_standins._soak.records import CheckResult, Observations

_PROMISES: tuple[Promise, ...] = (
    checks_stops.lost_at_stop,
    checks_stops.lost_at_reload,
    checks_stops.lost_at_configuration,
    checks_stops.kept_connections,
    checks_processes.gone_before_kill,
    checks_processes.exit_codes,
    checks_processes.ready_after_start,
    checks_execution.runs_once,
    checks_execution.true_refusals,
    checks_execution.runs_asked_for,
    checks_execution.keys_stay_inside,
    checks_execution.workspace_of_key,
    checks_execution.group_of_route,
    checks_execution.drain,
    checks_configuration.configuration_in_force,
    checks_configuration.no_rollback,
    checks_answers.whole_successes,
    checks_answers.sealed_failures,
    checks_answers.event_order,
    checks_answers.resumptions,
    checks_answers.resumed_runs_apart,
    checks_answers.one_software_version,
    checks_answers.answers_in_time,
    checks_answers.cancellations,
    checks_orders.adapter_slots,
    checks_orders.one_holder_per_fence,
    checks_orders.fences_rise,
    checks_budgets.quotas,
    checks_budgets.retry_budget,
    checks_budgets.endpoint_limits,
    checks_reach.served_without_links,
    checks_reach.served_after_loss,
    checks_endpoints.falls_of_brittle,
    checks_endpoints.runs_through_pauses,
)


def run_checks(observations: Observations) -> tuple[CheckResult, ...]:
    """Check every promise against the records of one run.

    Parameters
    ----------
    observations : Observations
        All that was seen in one run.

    Returns
    -------
    tuple of CheckResult
        One for each promise, also for those that applied to nothing.
    """
    history = History(observations)
    return tuple(judge(promise, history) for promise in _PROMISES)
