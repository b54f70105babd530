"""Parsing of addresses of the form ``ip:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port."""
    host, _, port = address.rpartition(':')
    return host, int(port)
