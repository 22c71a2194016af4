"""Finds listening addresses that can't be used yet."""

from __future__ import annotations

import errno
import socket

import msgspec

from cyclamendale.fleet import settings as settings_module


class Obstacle(msgspec.Struct, frozen=True):
    """A listening address that can't be used.

    Attributes:
        address: The address.
        error: What the system says.
        is_in_use: Whether another process uses it.
    """

    address: str
    error: str
    is_in_use: bool


def find_obstacle(settings: settings_module.HostSettings) -> Obstacle | None:
    """Returns a listening address of the node that can't be used, if any."""
    streams = (
        settings.peer_address,
        settings.announcement_address,
        settings.readiness_address,
        f"{settings.ip}:{settings.metrics_port}",
        settings.caller_address,
    )
    for address in streams:
        obstacle = _probe(address, socket.SOCK_STREAM)
        if obstacle is not None:
            return obstacle
    return _probe(settings.peer_address, socket.SOCK_DGRAM)


def _probe(address: str, kind: socket.SocketKind) -> Obstacle | None:
    try:
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind is socket.SOCK_STREAM:
                # As the listening socket: connections of an earlier process
                # that still end are no obstacle.
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(settings_module.split_address(address))
    except OSError as error:
        return Obstacle(address, str(error), error.errno == errno.EADDRINUSE)
    return None
