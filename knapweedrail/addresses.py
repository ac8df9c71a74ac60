"""Numeric addresses, as ``host:port`` or ``[v6]:port``."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def check_address(text: str, lowest_port: int = 1) -> str | None:
    """Return what is wrong with an address, or ``None`` if it is valid.

    Host names are rejected, since a name server could be slow or down.

    Args:
        text: The address.
        lowest_port: 0 if the kernel may choose the port, otherwise 1.
    """
    host, colon, port = text.rpartition(":")
    if not colon:
        return f"{text!r} has no port"
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        number = ipaddress.ip_address(bare)
    except ValueError:
        return f"{host!r} is not an IP number"
    if (number.version == 6) != host.startswith("["):
        return f"{text!r}: an IPv6 number, and only one, stands in brackets"
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return f"{port!r} is not a port"
    if not lowest_port <= int(port) <= MAX_PORT:
        return f"port {port} is not within {lowest_port} to {MAX_PORT}"
    return None


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
