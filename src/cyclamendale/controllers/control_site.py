"""HTTP site of the control listener, with bounded requests.

The library keeps a request's body, in a file if it is long, before any
resource sees it; hosts have no disks.
"""

from __future__ import annotations

from typing import Any

from twisted.web import resource
from twisted.web import server

MAX_BODY_BYTES = 16 * 1024
"""Longest body that any control request needs."""

_TOO_LARGE = (
    b"HTTP/1.1 413 Request Entity Too Large\r\n"
    b"Content-Type: application/json\r\nConnection: close\r\n\r\n"
    b'{"kind":"too-large","limit_bytes":%d}' % MAX_BODY_BYTES
)


class ControlRequest(server.Request):
    """A request whose body is refused when it is long, or of no length."""

    channel: Any
    _is_refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuses before any of the body is read."""
        self._is_refused = length is None or length > MAX_BODY_BYTES
        super().gotLength(0 if self._is_refused else length)
        if self._is_refused:
            self.channel.write(_TOO_LARGE)
            self.channel.loseConnection()

    def handleContentChunk(self, data: bytes) -> None:
        """Drops what still arrives of a refused body."""
        if not self._is_refused:
            super().handleContentChunk(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles a request that was not refused."""
        if not self._is_refused:
            super().requestReceived(command, path, version)


def make_site(root: resource.Resource) -> server.Site:
    """Returns the site that serves `root`."""
    site: Any = server.Site(root, requestFactory=ControlRequest)
    site.noisy = False
    return site
