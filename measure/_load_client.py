"""Load generator: keyed requests at a fixed rate over kept connections.

Usage: python -m measure._load_client ADDRESS PATH KEY RATE_PER_S SECONDS

Prints one JSON line: answers by status, and latencies in microseconds
from the write of a request to the last byte of its answer.
"""

from __future__ import annotations

import collections
import json
import sys
import time

from hdrh import histogram
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

CONNECTIONS = 16
WARM_UP_S = 1.0
HIGHEST_US = 60_000_000
PERCENTILES = (50, 90, 99, 99.9)


class _Client(protocol.Protocol):
    """One kept connection; it carries one request at a time."""

    def __init__(self, load: _Load) -> None:
        self._load = load
        self._received = b""
        self._sent_s = 0.0

    def send(self, request: bytes) -> None:
        self._sent_s = time.perf_counter()
        self.transport.write(request)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        self._received += data
        head, found, body = self._received.partition(b"\r\n\r\n")
        if not found:
            return
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        if len(body) >= length:
            took_s = time.perf_counter() - self._sent_s
            self._received = b""
            self._load.answered(self, head[9:12].decode(), took_s)

    def connectionLost(self, reason: object) -> None:
        self._load.lost()


class _Load:
    """Sends at the rate; a request that finds no connection is skipped."""

    def __init__(
        self, address: str, path: str, key: str, rate_per_s: float
    ) -> None:
        host, _, port = address.rpartition(":")
        self._endpoint = endpoints.TCP4ClientEndpoint(reactor, host, int(port))
        self._request = (
            f"GET {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"X-Api-Key: {key}\r\n\r\n"
        ).encode()
        self._interval_s = 1 / rate_per_s
        self._next_s = 0.0
        self._idle: collections.deque[_Client] = collections.deque()
        self.statuses: collections.Counter[str] = collections.Counter()
        self.latencies_us = histogram.HdrHistogram(1, HIGHEST_US, 3)
        self._recording = False

    async def run(self, seconds: float) -> None:
        """Warms up, then records for `seconds`."""
        for _ in range(CONNECTIONS):
            self._idle.append(
                await endpoints.connectProtocol(self._endpoint, _Client(self))
            )
        self._next_s = time.perf_counter()
        sending = task.LoopingCall(self._send_due)
        sending.start(0.001)
        await task.deferLater(reactor, WARM_UP_S)
        self.statuses.clear()
        self._recording = True
        await task.deferLater(reactor, seconds)
        sending.stop()

    def answered(self, client: _Client, status: str, took_s: float) -> None:
        """Records an answer."""
        self._idle.append(client)
        self.statuses[status] += 1
        if self._recording:
            self.latencies_us.record_value(int(took_s * 1e6))

    def lost(self) -> None:
        """Counts a connection that broke."""
        self.statuses["lost"] += 1

    def _send_due(self) -> None:
        now_s = time.perf_counter()
        while self._next_s <= now_s:
            self._next_s += self._interval_s
            if self._idle:
                self._idle.popleft().send(self._request)
            else:
                self.statuses["skipped"] += 1


async def _main(arguments: list[str]) -> None:
    address, path, key, rate_per_s, seconds = arguments
    load = _Load(address, path, key, float(rate_per_s))
    await load.run(float(seconds))
    latencies_us = {
        str(percentile): load.latencies_us.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }
    print(json.dumps({"statuses": load.statuses, "us": latencies_us}))


if __name__ == "__main__":
    task.react(lambda _: defer.Deferred.fromCoroutine(_main(sys.argv[1:])))
