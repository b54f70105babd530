"""Errors of the soak."""

from __future__ import annotations


class SoakError(Exception):
    """The soak can't run as asked; the message is one line for the operator."""


class NoReplyError(SoakError):
    """A process of the soak doesn't answer; its log has the stacks of its threads."""
