"""Clients that keep their connections until the node closes them."""

from __future__ import annotations

import asyncio
import collections
import random
import socket
import urllib.parse

from review import standins
from soak import checks

DEADLINE_MS = 9_000
ROUTE_TIMEOUT_S = 5.0
PIPELINE_LENGTH = 12
"""Requests without a pause of a client that keeps its pipeline full."""

IN_AFTER_S = 1.0
"""Interval of the readiness checks that decide where new work goes."""

SLOW_BYTES_PER_S = 900_000
LARGE_BYTES = (800_000, 2_500_000)
RECEIVE_BUFFER_BYTES = 32 * 1024


def make_body(path: str) -> bytes:
    """Returns the answer to a path, which names its id and its size."""
    _, _, attempt_id, size = urllib.parse.urlsplit(path).path.split("/")
    line = f"{attempt_id}\n".encode()
    return (line * (int(size) // len(line) + 1))[: int(size)]


class Domain:
    """Where the clients of a failure domain send new work.

    A host is out after two failed readiness checks, unless fewer than half
    of the hosts are in (PROTOCOL.md, Ingress).
    """

    def __init__(self, nodes: list[standins.Node]) -> None:
        self._nodes = nodes
        self._misses = {node.number: 0 for node in nodes}

    async def watch(self) -> None:
        """Checks the readiness of all hosts until it is cancelled."""
        while True:
            results = await asyncio.gather(
                *(node.is_ready() for node in self._nodes)
            )
            for node, is_ready in zip(self._nodes, results, strict=True):
                misses = self._misses[node.number]
                self._misses[node.number] = 0 if is_ready else misses + 1
            await asyncio.sleep(IN_AFTER_S)

    def choose(self, rng: random.Random) -> standins.Node:
        """Returns the host for a new connection."""
        nodes = [node for node in self._nodes if self._misses[node.number] < 2]
        if 2 * len(nodes) < len(self._nodes):
            nodes = self._nodes
        return rng.choice(nodes)


class Client:
    """A client; at times it pipelines, sends bodies or reads slowly."""

    def __init__(
        self,
        rng: random.Random,
        record: standins.Record,
        domain: Domain,
        prefixes: list[tuple[str, bool]],
        requests: list[checks.Request],
    ) -> None:
        self._rng = rng
        self._record = record
        self._domain = domain
        self._prefixes = prefixes
        self._requests = requests
        self._reads_slowly = rng.random() < 0.15
        self._depth = rng.choice((1, 1, 1, 1, 3, 3))
        self._keeps_pipeline_full = rng.random() < 0.5
        self._pause_s = rng.uniform(0.05, 0.3)

    async def run(self, stopped: asyncio.Event) -> None:
        """Sends requests until told to stop."""
        while not stopped.is_set():
            node = self._domain.choose(self._rng)
            try:
                reader, writer = await self._connect(node.outbound)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                while not stopped.is_set() and await self._exchange(
                    node, reader, writer
                ):
                    await asyncio.sleep(self._pause_s)
            finally:
                writer.close()

    async def _connect(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        ip, _, port = address.rpartition(":")
        sock = socket.socket()
        if self._reads_slowly:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        sock.setblocking(False)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(sock, (ip, int(port))),
                1.0,
            )
            return await asyncio.open_connection(
                sock=sock, limit=RECEIVE_BUFFER_BYTES
            )
        except (OSError, TimeoutError):
            sock.close()
            raise

    async def _exchange(
        self,
        node: standins.Node,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends some requests at once; returns whether to go on."""
        waiting = collections.deque(
            self._send(node.number, writer) for _ in range(self._depth)
        )
        for number in range(PIPELINE_LENGTH):
            request = waiting.popleft()
            await self._read(request, reader)
            answer = request.answer
            answer.ended_s = self._record.now_s()
            if (
                not answer.is_complete
                or answer.head is None
                or answer.head.get("connection") == "close"
            ):
                for later in waiting:
                    later.answer.ended_s = answer.ended_s
                    later.answer.detail = "behind the last answer"
                return False
            if self._keeps_pipeline_full and number + self._depth < (
                PIPELINE_LENGTH
            ):
                waiting.append(self._send(node.number, writer))
            if not waiting:
                break
        return True

    def _send(self, host: int, writer: asyncio.StreamWriter) -> checks.Request:
        request, data = self._make_request(host)
        request.answer.sent_s = self._record.now_s()
        self._requests.append(request)
        writer.write(data)
        return request

    async def _read(
        self, request: checks.Request, reader: asyncio.StreamReader
    ) -> None:
        answer = request.answer
        try:
            await asyncio.wait_for(
                self._read_answer(request, reader), DEADLINE_MS / 1000 + 2.0
            )
        except (OSError, TimeoutError) as error:
            answer.detail = f"no answer: {type(error).__name__}"

    async def _read_answer(
        self, request: checks.Request, reader: asyncio.StreamReader
    ) -> None:
        answer = request.answer
        answer.head = await standins.read_head(reader)
        if answer.head is None:
            answer.detail = "connection ended before an answer"
            return
        answer.status = int(answer.head.start.split(" ")[1])
        answer.expected_bytes = int(answer.head.get("content-length", "0"))
        left_bytes = answer.expected_bytes
        parts = []
        while left_bytes:
            part = await reader.read(min(left_bytes, RECEIVE_BUFFER_BYTES))
            if not part:
                answer.detail = "connection closed inside the body"
                break
            parts.append(part)
            left_bytes -= len(part)
            if self._reads_slowly:
                await asyncio.sleep(len(part) / SLOW_BYTES_PER_S)
        request.received = b"".join(parts)
        answer.is_complete = not left_bytes

    def _make_request(self, host: int) -> tuple[checks.Request, bytes]:
        prefix, is_idempotent = self._rng.choice(self._prefixes)
        size = self._rng.randint(20, 2_000)
        if self._rng.random() < (0.5 if self._reads_slowly else 0.03):
            size = self._rng.randint(*LARGE_BYTES)
        answer = standins.Answer(standins.make_id())
        path = f"{prefix}{answer.attempt_id}/{size}"
        body = b"" if is_idempotent else self._rng.randbytes(30)
        data = standins.encode_request(
            "GET" if is_idempotent else "POST",
            path,
            answer.attempt_id,
            DEADLINE_MS,
            body,
        )
        return (
            checks.Request(
                answer, host, is_idempotent, make_body(path), ROUTE_TIMEOUT_S
            ),
            data,
        )
