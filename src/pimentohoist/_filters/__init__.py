"""Filters: the steps of the request chain, each with one task."""
