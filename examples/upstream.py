"""Example upstream that announces itself, serves and makes onward calls.

Usage: python examples/upstream.py SERVICE NODE_HTTP NODE_CONTROL [CALL]

NODE_HTTP and NODE_CONTROL are the addresses of the node on the same host.
CALL is the path of an onward call, which is sent through the node with the
context token of the request that caused it. SIGTERM drains the upstream.
"""

from __future__ import annotations

import io
import json
import signal
import sys

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers
from twisted.web import resource
from twisted.web import server

ANNOUNCE_INTERVAL_S = 1.0
DRAIN_DURATION_S = 2.0
SLOTS = 20
CONNECTIONS = 200
CONTEXT_HEADER = "X-Cyclamendale-Context"


class Upstream(resource.Resource):
    """Answers every path, after an onward call if one is configured.

    The query `?delay_s=N` delays the answer, for experiments with deadlines.
    """

    isLeaf = True

    def __init__(self, service: str, node_http: str, onward_path: str | None):
        super().__init__()
        self._service = service
        self._node_http = node_http
        self._onward_path = onward_path
        self._agent = client.Agent(
            reactor, pool=client.HTTPConnectionPool(reactor)
        )

    def render(self, request: server.Request) -> int:
        """Answers one request asynchronously."""
        self._answer(request)
        return server.NOT_DONE_YET

    @defer.inlineCallbacks
    def _answer(self, request: server.Request):
        disconnects = []
        request.notifyFinish().addErrback(disconnects.append)
        delay_s = float(request.args.get(b"delay_s", [b"0"])[0])
        yield task.deferLater(reactor, delay_s)
        answer = {"service": self._service}
        if self._onward_path is not None:
            answer["onward"] = yield self._call_onward(request)
        if not disconnects:
            request.setHeader("Content-Type", "application/json")
            request.write(json.dumps(answer).encode())
            request.finish()

    @defer.inlineCallbacks
    def _call_onward(self, request: server.Request):
        token = request.getHeader(CONTEXT_HEADER)
        response = yield self._agent.request(
            b"GET",
            f"http://{self._node_http}{self._onward_path}".encode(),
            http_headers.Headers({CONTEXT_HEADER: [token]}),
        )
        body = yield client.readBody(response)
        return json.loads(body)


class Announcer:
    """Announces the upstream to its node and deregisters it at the end."""

    def __init__(self, service: str, node_control: str, address: str):
        self._url = f"http://{node_control}/announce".encode()
        self._announcement = {
            "service": service,
            "address": address,
            "slots": SLOTS,
            "connections": CONNECTIONS,
            "state": "ready",
        }
        self._agent = client.Agent(reactor)

    def announce(self) -> defer.Deferred:
        """Sends one announcement; failures are ignored, as another follows."""
        response = self._agent.request(
            b"POST",
            self._url,
            http_headers.Headers({"Content-Type": ["application/json"]}),
            client.FileBodyProducer(_encode_body(self._announcement)),
        )
        response.addCallback(client.readBody)
        response.addErrback(lambda _: None)
        return response

    @defer.inlineCallbacks
    def leave(self):
        """Drains the upstream, announces its stop and ends the process."""
        self._announcement["state"] = "draining"
        yield self.announce()
        yield task.deferLater(reactor, DRAIN_DURATION_S)
        self._announcement["state"] = "stopped"
        yield self.announce()
        reactor.stop()


def _encode_body(announcement: dict) -> io.BytesIO:
    return io.BytesIO(json.dumps(announcement).encode())


def main(arguments: list[str]) -> None:
    """Runs the upstream until SIGTERM has drained it."""
    service, node_http, node_control = arguments[:3]
    onward_path = arguments[3] if len(arguments) > 3 else None
    site = server.Site(Upstream(service, node_http, onward_path))
    port = reactor.listenTCP(0, site, interface="127.0.0.1")
    address = f"127.0.0.1:{port.getHost().port}"
    announcer = Announcer(service, node_control, address)
    announce_loop = task.LoopingCall(announcer.announce)
    announce_loop.start(ANNOUNCE_INTERVAL_S)

    def leave(*_):
        announce_loop.stop()
        reactor.callFromThread(announcer.leave)

    reactor.callWhenRunning(lambda: signal.signal(signal.SIGTERM, leave))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(sys.argv[1:])
