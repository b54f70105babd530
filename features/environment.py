"""Ends what a scenario started."""

from __future__ import annotations

from contextlib import ExitStack

from behave.model import Scenario
from behave.runner import Context


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give the scenario a stack of things to end."""
    context.stack = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End what the scenario started."""
    context.stack.close()
