"""HTTP clients of the platform's interfaces and of endpoints."""
