"""Checks of addresses that another program wrote."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def is_valid(address: str) -> bool:
    """Returns whether a text is an IPv4 or IPv6 address with a port."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT
