"""Adapters of the platform and of endpoints to their HTTP formats."""
