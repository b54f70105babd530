"""Decisions as pure functions and classes: no I/O, and time is passed in."""
