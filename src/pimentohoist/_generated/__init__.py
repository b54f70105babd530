"""Code generated from ``proto/peer.proto`` by ``make generate``."""
