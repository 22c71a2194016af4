"""Connections of clients, on which requests follow one another."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

from review import standins
from soak import checks
from soak import processes
from soak import sites
from soak import targets

DEADLINE_MS = 9_000
ROUTE_TIMEOUT_S = 5.0
RECEIVE_BUFFER_BYTES = 32 * 1024
UPLOAD_PARTS = 12


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the route.
        service: Service that runs them.
        is_idempotent: Whether they may run more than once.
        key: Key of a tenant that they carry, if any.
    """

    name: str
    service: str
    is_idempotent: bool
    key: str = standins.KEY


def make_kinds(site: sites.Site) -> list[Kind]:
    """Returns the kinds of requests that all configurations allow."""
    return [
        kind
        for service in site.services
        for kind in (
            Kind(f"{service}-read", service, True),
            Kind(f"{service}-write", service, False),
            Kind(f"{service}-call", service, True, key=""),
        )
    ]


class Connection:
    """A connection to a host, on which requests follow one another."""

    def __init__(
        self,
        record: standins.Record,
        requests: list[checks.Request],
        host: processes.Host,
    ) -> None:
        self._record = record
        self._requests = requests
        self._host = host
        self._waiting: list[checks.Request] = []
        self._process: int | None = None
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def open(self, reads_slowly: bool = False) -> bool:
        """Connects; returns whether it could."""
        ip, _, port = self._host.outbound.rpartition(":")
        sock = socket.socket()
        if reads_slowly:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        sock.setblocking(False)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(sock, (ip, int(port))),
                1.0,
            )
            self._reader, self._writer = await asyncio.open_connection(
                sock=sock, limit=RECEIVE_BUFFER_BYTES
            )
        except (OSError, TimeoutError):
            sock.close()
            return False
        running = [p for p in self._host.processes if p.is_running]
        self._process = running[0].pid if len(running) == 1 else None
        return True

    def close(self) -> None:
        """Closes the connection; gives up on requests that still wait."""
        for request in self._waiting:
            if not request.answer.ended_s:
                request.gave_up_s = request.answer.ended_s = (
                    self._record.now_s()
                )
        self._writer.close()

    def send(
        self,
        kind: Kind,
        size: int,
        body: bytes = b"",
        deadline_ms: int = DEADLINE_MS,
    ) -> checks.Request:
        """Sends a request at once."""
        request = self._make_request(kind, size, body)
        request.timeout_s = min(request.timeout_s, deadline_ms / 1000)
        self._writer.write(self._encode_head(request, kind, deadline_ms) + body)
        return request

    async def upload(
        self,
        kind: Kind,
        size: int,
        body: bytes,
        length_s: float,
        is_chunked: bool,
    ) -> checks.Request:
        """Sends a request slowly, until an answer comes."""
        request = self._make_request(kind, size, body)
        request.is_whole = False
        self._writer.write(
            self._encode_head(request, kind, DEADLINE_MS, is_chunked)
        )
        reading = asyncio.create_task(self.read(request))
        step = -(-len(body) // UPLOAD_PARTS)
        for start in range(0, len(body), step):
            await asyncio.wait({reading}, timeout=length_s / UPLOAD_PARTS)
            if reading.done():
                break
            part = body[start : start + step]
            if is_chunked:
                part = b"%x\r\n%b\r\n" % (len(part), part)
            self._writer.write(part)
        else:
            if is_chunked:
                self._writer.write(b"0\r\n\r\n")
            request.answer.sent_s = self._record.now_s()
            request.is_whole = True
        await reading
        return request

    async def read(
        self, request: checks.Request, bytes_per_s: float = 0.0
    ) -> bool:
        """Reads an answer; returns whether the connection stays."""
        answer = request.answer
        try:
            await asyncio.wait_for(
                self._read_answer(request, bytes_per_s),
                DEADLINE_MS / 1000 + 2.0,
            )
        except (OSError, TimeoutError) as error:
            answer.detail = f"no answer: {type(error).__name__}"
        answer.ended_s = self._record.now_s()
        self._waiting.remove(request)
        return (
            answer.is_complete
            and answer.head is not None
            and answer.head.get("connection").lower() != "close"
        )

    async def _read_answer(
        self, request: checks.Request, bytes_per_s: float
    ) -> None:
        answer = request.answer
        answer.head = await standins.read_head(self._reader)
        if answer.head is None:
            answer.detail = "connection ended before an answer"
            return
        request.answered_s = self._record.now_s()
        answer.status = int(answer.head.start.split(" ")[1])
        answer.expected_bytes = int(answer.head.get("content-length", "0"))
        expected = targets.make_body(request.path)
        request.is_changed = answer.expected_bytes != len(expected)
        while request.read_bytes < answer.expected_bytes:
            part = await self._reader.read(
                min(
                    answer.expected_bytes - request.read_bytes,
                    RECEIVE_BUFFER_BYTES,
                )
            )
            if not part:
                answer.detail = "connection closed inside the body"
                return
            end = request.read_bytes + len(part)
            request.is_changed |= part != expected[request.read_bytes : end]
            request.read_bytes = end
            if bytes_per_s:
                await asyncio.sleep(len(part) / bytes_per_s)
        answer.is_complete = True

    def _make_request(
        self, kind: Kind, size: int, body: bytes
    ) -> checks.Request:
        answer = standins.Answer(standins.make_id())
        answer.sent_s = self._record.now_s()
        request = checks.Request(
            answer,
            self._host.number,
            kind.is_idempotent,
            ROUTE_TIMEOUT_S,
            f"/{kind.name}/{answer.attempt_id}/{size}",
            body,
            started_s=answer.sent_s,
            process=self._process,
            is_behind=bool(self._waiting),
            key=kind.key,
            caller=self._host.service,
        )
        self._waiting.append(request)
        self._requests.append(request)
        return request

    def _encode_head(
        self,
        request: checks.Request,
        kind: Kind,
        deadline_ms: int,
        is_chunked: bool = False,
    ) -> bytes:
        lines = [
            f"{request.method} {request.path} HTTP/1.1",
            f"Host: {standins.HOST_NAME}",
            f"X-Cyclamendale-Attempt-Id: {request.answer.attempt_id}",
            f"X-Cyclamendale-Deadline-Ms: {deadline_ms}",
        ]
        if kind.key:
            lines.append(f"X-Cyclamendale-Credential: {kind.key}")
        if is_chunked:
            lines.append("Transfer-Encoding: chunked")
        elif request.body:
            lines.append(f"Content-Length: {len(request.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def exchange(
    connection: Connection, kind: Kind, deadline_ms: int = DEADLINE_MS
) -> bool:
    """Sends one request on a new connection; returns whether it was served."""
    if not await connection.open():
        return False
    try:
        request = connection.send(kind, 100, deadline_ms=deadline_ms)
        await connection.read(request)
        return request.is_done()
    finally:
        connection.close()
