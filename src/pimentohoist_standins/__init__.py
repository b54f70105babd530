"""Stand-ins of the platform and of endpoints, for tests, the demo and measurements."""
