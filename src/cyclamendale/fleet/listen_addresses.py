"""Finds listening addresses that another process still uses."""

from __future__ import annotations

import errno
import socket

from cyclamendale.fleet import settings as settings_module


def find_in_use(settings: settings_module.HostSettings) -> str | None:
    """Returns a listening address of the node that is in use, if any."""
    streams = (
        settings.peer_address,
        settings.announcement_address,
        settings.readiness_address,
        f"{settings.ip}:{settings.metrics_port}",
        settings.caller_address,
    )
    for address in streams:
        if _is_in_use(address, socket.SOCK_STREAM):
            return address
    if _is_in_use(settings.peer_address, socket.SOCK_DGRAM):
        return settings.peer_address
    return None


def _is_in_use(address: str, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        if kind is socket.SOCK_STREAM:
            # As the listening socket: connections of an earlier process that
            # still end are no obstacle.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(settings_module.split_address(address))
        except OSError as error:
            return error.errno == errno.EADDRINUSE
    return False
