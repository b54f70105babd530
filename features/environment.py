"""Closes the processes and resources that a scenario opened."""

from __future__ import annotations

from contextlib import ExitStack

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give the scenario a stack of resources to close at its end."""
    context.stack = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Close the resources that the scenario opened."""
    context.stack.close()
