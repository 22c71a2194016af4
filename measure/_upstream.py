"""Minimal upstream for cost measurements: a constant answer, no policy.

Usage: python -m measure._upstream SERVICE [NODE_CONTROL]

Prints its address on one line. Announces itself to the node if one is given.
"""

from __future__ import annotations

import sys

from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import http

from examples import upstream as example_upstream

BODY = b'{"price": 12, "currency": "EGP"}\n'
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
)


class _Request(http.Request):
    """Writes the constant response, head and body, in one piece."""

    def process(self) -> None:
        self.startedWriting = 1
        self.channel.write(RESPONSE)
        self.finish()


class _Channel(http.HTTPChannel):
    requestFactory = _Request


def main(arguments: list[str]) -> None:
    """Serves until the process is terminated."""
    factory = protocol.ServerFactory()
    factory.protocol = _Channel
    factory.timeOut = None
    factory.log = lambda request: None
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    address = f"127.0.0.1:{port.getHost().port}"
    print(address, flush=True)
    if len(arguments) > 1:
        announcer = example_upstream.Announcer(
            arguments[0], arguments[1], address
        )
        task.LoopingCall(announcer.announce).start(
            example_upstream.ANNOUNCE_INTERVAL_S
        )
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
