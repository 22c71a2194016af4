"""HTTP site of the control listener, with bounded request bodies.

Twisted buffers a request's body before any resource sees it, and writes long
bodies to a temporary file. Hosts have no disks, so long bodies are refused
before they are read.
"""

from __future__ import annotations

from typing import Any

from twisted.web import resource
from twisted.web import server

MAX_BODY_BYTES = 16 * 1024
"""Maximum body size; no control request needs more."""

_TOO_LARGE = (
    b"HTTP/1.1 413 Request Entity Too Large\r\n"
    b"Content-Type: application/json\r\nConnection: close\r\n\r\n"
    b'{"kind":"too-large","limit_bytes":%d}' % MAX_BODY_BYTES
)


class ControlRequest(server.Request):
    """A request that is refused if its body is too long or unbounded."""

    channel: Any
    _is_refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuses the request before any of its body is read."""
        self._is_refused = length is None or length > MAX_BODY_BYTES
        super().gotLength(0 if self._is_refused else length)
        if self._is_refused:
            self.channel.write(_TOO_LARGE)
            self.channel.loseConnection()

    def handleContentChunk(self, data: bytes) -> None:
        """Discards the remaining data of a refused body."""
        if not self._is_refused:
            super().handleContentChunk(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        """Handles the request unless it was refused."""
        if not self._is_refused:
            super().requestReceived(command, path, version)


def make_site(root: resource.Resource) -> server.Site:
    """Returns the site that serves `root`."""
    site: Any = server.Site(root, requestFactory=ControlRequest)
    site.noisy = False
    return site
