"""Addresses written ``ip:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Return IP number and port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)
