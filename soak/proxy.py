"""TCP proxies that impair connections between processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
import struct
import time

CHUNK_BYTES = 64 * 1024
MAX_QUEUED_CHUNKS = 64
RATE_STEP_S = 0.05

_HEAD_END = b"\r\n\r\n"
_NO_LINGER = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Flow:
    """How the bytes of one direction are passed on.

    Attributes:
        delay_s: Time that each byte takes.
        bytes_per_s: Rate; 0 if it is not limited.
        is_held: Whether bytes wait until the mode changes, as on a link that
            loses all packets.
        is_lost: Whether bytes never arrive, nor any later ones of the
            connection, also after the mode has changed.
    """

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    is_held: bool = False
    is_lost: bool = False


@dataclasses.dataclass(frozen=True)
class Mode:
    """How a connection is impaired.

    Attributes:
        to_server: The direction from the client to the server.
        to_client: The direction from the server to the client.
        status: If not 0, HTTP requests that start are not passed on and get
            this status; those that were passed on are answered.
    """

    to_server: Flow = Flow()
    to_client: Flow = Flow()
    status: int = 0


_HELD = Flow(is_held=True)
_LOST = Flow(is_lost=True)

PASS = Mode()
SILENT = Mode(_HELD, _HELD)
SILENT_TO_SERVER = Mode(to_server=_HELD)
SILENT_TO_CLIENT = Mode(to_client=_HELD)
ANSWERS_LOST = Mode(to_client=_LOST)


def both_ways(delay_s: float = 0.0, bytes_per_s: float = 0.0) -> Mode:
    """Returns a mode with a delay or a rate in each direction."""
    flow = Flow(delay_s, bytes_per_s)
    return Mode(flow, flow)


def performed_late(delay_s: float) -> Mode:
    """Returns a mode in which requests arrive late and answers are lost."""
    return Mode(Flow(delay_s), _LOST)


class Proxy:
    """Listens at an address and passes connections on to a server.

    Attributes:
        address: Where it listens, `ip:port`.
        server: Where the server listens.
        mode: Mode of new connections.
    """

    def __init__(self, address: str, server: str) -> None:
        """Creates a proxy that does not listen yet."""
        self.address = address
        self.server = server
        self.mode = PASS
        self._listener: asyncio.Server | None = None
        self._connections: set[Connection] = set()

    async def listen(self) -> None:
        """Takes new connections."""
        if self._listener is None:
            ip, _, port = self.address.rpartition(":")
            self._listener = await asyncio.start_server(
                self._serve, ip, int(port)
            )

    def refuse_new(self) -> None:
        """Refuses new connections; open ones go on."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def set_mode(self, mode: Mode) -> None:
        """Sets the mode of all connections, open and new ones."""
        self.mode = mode
        for connection in self._connections:
            connection.set_mode(mode)

    def connections(self) -> list[Connection]:
        """Returns the open connections."""
        return list(self._connections)

    def reset_all(self) -> None:
        """Resets all open connections, at both ends."""
        for connection in self.connections():
            connection.reset()

    def close(self) -> None:
        """Refuses new connections and resets open ones."""
        self.refuse_new()
        self.reset_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(self.mode, reader, writer)
        self._connections.add(connection)
        try:
            await connection.run(self.server)
        finally:
            self._connections.discard(connection)


_Chunk = tuple[float, bytes | None]
"""When bytes were read, and the bytes: none at the end, None at a reset."""


class Connection:
    """A connection of a client, and the one to the server."""

    def __init__(
        self,
        mode: Mode,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._mode = mode
        self._mode_changed = asyncio.Event()
        self._reader = reader
        self._writer = writer
        self._server_writer: asyncio.StreamWriter | None = None
        self._tasks: list[asyncio.Task] = []
        self._is_idle = True
        self._rejected = b""
        self._has_lost = {True: False, False: False}

    def set_mode(self, mode: Mode) -> None:
        """Sets the mode; what was lost stays lost."""
        self._mode = mode
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

    def reset(self) -> None:
        """Resets the connection at both ends."""
        for writer in (self._writer, self._server_writer):
            if writer is not None:
                _reset(writer)
        for task in self._tasks:
            task.cancel()

    async def run(self, server: str) -> None:
        """Passes bytes on until both ends have closed or one has reset."""
        ip, _, port = server.rpartition(":")
        try:
            server_reader, self._server_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            _reset(self._writer)
            return
        self._tasks = [
            asyncio.create_task(
                self._pump(self._reader, self._server_writer, True)
            ),
            asyncio.create_task(self._pump(server_reader, self._writer, False)),
        ]
        done, _ = await asyncio.wait(
            self._tasks, return_when=asyncio.FIRST_EXCEPTION
        )
        if any(task.cancelled() or task.exception() for task in done):
            self.reset()
            await asyncio.wait(self._tasks)
            return
        self._writer.close()
        self._server_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_server: bool,
    ) -> None:
        """Passes one direction on.

        Raises:
            ConnectionResetError: If the reading end has reset the
                connection, once all earlier bytes have been passed on.
        """
        chunks: asyncio.Queue[_Chunk] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        reading = asyncio.create_task(self._read(reader, chunks))
        try:
            while True:
                at_s, chunk = await chunks.get()
                await self._wait_for_passage(to_server, at_s)
                if not chunk:
                    # A reset would take with it what the server has not read
                    # yet, and a lost answer may belong to a call that is
                    # performed all the same.
                    if chunk is None and not self._has_lost[False]:
                        raise ConnectionResetError
                    if not self._has_lost[to_server]:
                        with contextlib.suppress(OSError):
                            writer.write_eof()
                    return
                if to_server and self._is_rejected(chunk):
                    continue
                await self._write(chunk, writer, to_server)
        finally:
            reading.cancel()

    async def _read(
        self,
        reader: asyncio.StreamReader,
        chunks: asyncio.Queue[_Chunk],
    ) -> None:
        chunk: bytes | None = b"-"
        while chunk:
            try:
                chunk = await reader.read(CHUNK_BYTES)
            except OSError:
                chunk = None
            await chunks.put((time.monotonic(), chunk))

    async def _wait_for_passage(self, to_server: bool, at_s: float) -> None:
        while True:
            changed = self._mode_changed
            flow = self._mode.to_server if to_server else self._mode.to_client
            self._has_lost[to_server] |= flow.is_lost
            # Also the answer that is made once the mode has changed.
            self._has_lost[False] |= self._mode.to_client.is_lost
            left_s = at_s + flow.delay_s - time.monotonic()
            if not flow.is_held:
                # Late also if the mode changes meanwhile.
                await asyncio.sleep(max(0.0, left_s))
                return
            await changed.wait()

    async def _write(
        self, chunk: bytes, writer: asyncio.StreamWriter, to_server: bool
    ) -> None:
        if self._has_lost[to_server]:
            return
        self._is_idle = not to_server
        mode = self._mode
        rate = (mode.to_server if to_server else mode.to_client).bytes_per_s
        step = max(1, int(rate * RATE_STEP_S)) if rate else len(chunk)
        for first in range(0, len(chunk), step):
            writer.write(chunk[first : first + step])
            await writer.drain()
            if rate:
                await asyncio.sleep(step / rate)

    def _is_rejected(self, chunk: bytes) -> bool:
        """Returns whether bytes of a client are kept from the server."""
        if not self._rejected and not (self._mode.status and self._is_idle):
            return False
        self._rejected += chunk
        while (size := _request_size(self._rejected)) is not None:
            self._rejected = self._rejected[size:]
            self._writer.write(
                f"HTTP/1.1 {self._mode.status or 503} Status\r\n"
                "Content-Type: application/json\r\n"
                "Content-Length: 2\r\n\r\n{}".encode()
            )
        return True


def _request_size(data: bytes) -> int | None:
    """Returns the size of the first request, or None if it isn't complete."""
    head, separator, rest = data.partition(_HEAD_END)
    if not separator:
        return None
    body_size = 0
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            body_size = int(value)
    if len(rest) < body_size:
        return None
    return len(head) + len(separator) + body_size


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()
