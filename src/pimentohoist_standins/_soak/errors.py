"""Errors of the soak."""

from __future__ import annotations


class SoakError(Exception):
    """The soak can't run as asked; the message is one line for the operator."""
