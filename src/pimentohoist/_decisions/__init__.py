"""Decisions without I/O and without a clock of their own: time is passed in."""
