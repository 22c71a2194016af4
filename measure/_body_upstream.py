"""Upstream that streams large bodies in constant memory.

Usage: python -m measure._body_upstream SERVICE NODE_CONTROL

The response to a GET has as many bytes as the last segment of its path says.
The response to a POST is the length and the hash of the received body.
"""

from __future__ import annotations

import hashlib
import json
import sys

from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import http

from examples import upstream as example_upstream
from measure import _body_content


class _Request(http.Request):
    """Hashes the request body; streams the requested number of bytes."""

    def gotLength(self, length: int | None) -> None:
        self._digest = hashlib.sha256()
        self._received_bytes = 0

    def handleContentChunk(self, data: bytes) -> None:
        self._digest.update(data)
        self._received_bytes += len(data)

    def requestReceived(
        self, command: bytes, path: bytes, version: bytes
    ) -> None:
        self.clientproto = version
        if command == b"GET":
            body_bytes = int(path.rpartition(b"/")[2])
            self.setHeader(b"Content-Length", b"%d" % body_bytes)
            self._blocks = _body_content.generate_blocks(body_bytes)
            self.registerProducer(self, False)
            return
        report = json.dumps(
            {
                "bytes": self._received_bytes,
                "sha256": self._digest.hexdigest(),
            }
        ).encode()
        self.setHeader(b"Content-Length", b"%d" % len(report))
        self.write(report)
        self.finish()

    def resumeProducing(self) -> None:
        block = next(self._blocks, None)
        if block is None:
            self.unregisterProducer()
            self.finish()
        else:
            self.write(block)

    def stopProducing(self) -> None:
        self._blocks = iter(())


class _Channel(http.HTTPChannel):
    requestFactory = _Request


def main(arguments: list[str]) -> None:
    """Serves until the process is terminated."""
    factory = protocol.ServerFactory()
    factory.protocol = _Channel
    factory.log = lambda request: None
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    address = f"127.0.0.1:{port.getHost().port}"
    announcer = example_upstream.Announcer(arguments[0], arguments[1], address)
    task.LoopingCall(announcer.announce).start(
        example_upstream.ANNOUNCE_INTERVAL_S
    )
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
