"""Load generator: keyed requests at a fixed rate over persistent connections.

Usage: python -m measure._load_client ADDRESS PATH KEY RATE_PER_S SECONDS

Prints one JSON line: the number of answers by status, and latency percentiles
in microseconds, from the write of a request to the last byte of its answer.
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
MAX_LATENCY_US = 60_000_000
PERCENTILES = (50, 90, 99, 99.9)


class _Connection(protocol.Protocol):
    """Persistent connection that carries one request at a time."""

    def __init__(self, generator: _LoadGenerator) -> None:
        self._generator = generator
        self._received = b""
        self._sent_s = 0.0

    def send(self, request: bytes) -> None:
        self._sent_s = time.perf_counter()
        self.transport.write(request)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        if not separator:
            return
        content_length = int(
            head.lower().partition(b"content-length:")[2].split()[0]
        )
        if len(body) >= content_length:
            latency_s = time.perf_counter() - self._sent_s
            self._received = b""
            self._generator.record_answer(self, head[9:12].decode(), latency_s)

    def connectionLost(self, reason: object) -> None:
        self._generator.record_lost_connection()


class _LoadGenerator:
    """Sends at a fixed rate; skips a request if no connection is idle."""

    def __init__(
        self, address: str, path: str, key: str, rate_per_s: float
    ) -> None:
        host, _, port = address.rpartition(":")
        self._endpoint = endpoints.TCP4ClientEndpoint(reactor, host, int(port))
        self._request = (
            f"GET {path} HTTP/1.1\r\nHost: {address}\r\n"
            f"X-Api-Key: {key}\r\n\r\n"
        ).encode()
        self._send_interval_s = 1 / rate_per_s
        self._next_send_s = 0.0
        self._idle_connections: collections.deque[_Connection] = (
            collections.deque()
        )
        self.statuses: collections.Counter[str] = collections.Counter()
        self.latencies_us = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self._recording = False

    async def run(self, duration_s: float) -> None:
        """Warms up, then records for `duration_s`."""
        for _ in range(CONNECTIONS):
            self._idle_connections.append(
                await endpoints.connectProtocol(
                    self._endpoint, _Connection(self)
                )
            )
        self._next_send_s = time.perf_counter()
        send_loop = task.LoopingCall(self._send_due_requests)
        send_loop.start(0.001)
        await task.deferLater(reactor, WARM_UP_S)
        self.statuses.clear()
        self._recording = True
        await task.deferLater(reactor, duration_s)
        send_loop.stop()

    def record_answer(
        self, connection: _Connection, status: str, latency_s: float
    ) -> None:
        """Counts an answer; records its latency after the warm-up."""
        self._idle_connections.append(connection)
        self.statuses[status] += 1
        if self._recording:
            self.latencies_us.record_value(int(latency_s * 1e6))

    def record_lost_connection(self) -> None:
        """Counts a connection that was lost."""
        self.statuses["lost"] += 1

    def _send_due_requests(self) -> None:
        now_s = time.perf_counter()
        while self._next_send_s <= now_s:
            self._next_send_s += self._send_interval_s
            if self._idle_connections:
                self._idle_connections.popleft().send(self._request)
            else:
                self.statuses["skipped"] += 1


async def _main(arguments: list[str]) -> None:
    address, path, key, rate_per_s, duration_s = arguments
    generator = _LoadGenerator(address, path, key, float(rate_per_s))
    await generator.run(float(duration_s))
    latencies_us = {
        str(percentile): generator.latencies_us.get_value_at_percentile(
            percentile
        )
        for percentile in PERCENTILES
    }
    print(json.dumps({"statuses": generator.statuses, "us": latencies_us}))


if __name__ == "__main__":
    task.react(lambda _: defer.Deferred.fromCoroutine(_main(sys.argv[1:])))
