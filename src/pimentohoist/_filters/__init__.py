"""Filters: the steps of a request, each with one job."""
