"""Upstreams that call others, leave, crash and come back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import json
import random
import urllib.parse

from review import standins
from soak import processes
from soak import proxy

CLOSE_SHARE = 0.02
"""Share of answers with `Connection: close` of an upstream that stays."""

CONFIRM_TIMEOUT_S = 3.0
DROP_INTERVAL_S = 0.05
FAULTS = ("rejects", "is silent", "cuts", "garbles", "repeats")
"""What an upstream does to a request, or to its answer, if it is faulty."""

FAULT_SHARE = 0.1
SILENT_S = 20.0
CHUNK_END = b"\r\n"

Call = Callable[[], Awaitable[bool]]


def make_body(path: str) -> bytes:
    """Returns the answer to a path, which names its id and its size."""
    _, _, attempt_id, size = urllib.parse.urlsplit(path).path.split("/")
    line = f"{attempt_id}\n".encode()
    return (line * (int(size) // len(line) + 1))[: int(size)]


class Run(standins.Run):
    """One request that an upstream began to work on.

    Attributes:
        host: Number of the host of the upstream.
        service: Service of the upstream.
        head: Head of the request.
        arrived_s: When its head had arrived.
        status: Status that it was answered with, once it was.
        is_broken_off: Whether the upstream ended before its answer.
        is_dropped: Whether it was dropped as its caller had left.
    """

    def __init__(
        self,
        target: Target,
        head: standins.Head,
        body: bytes,
        arrived_s: float,
        at_s: float,
    ) -> None:
        super().__init__(head.get("x-cyclamendale-attempt-id"), at_s, body)
        self.target = target
        self.host = target.host
        self.service = target.service
        self.head = head
        self.arrived_s = arrived_s
        self.status = 0
        self.is_broken_off = False
        self.is_dropped = False


class Target(standins.Target):
    """An upstream of a host.

    Attributes:
        left_s: When it was first confirmed that it leaves, if it was.
        is_faulty: Whether some of its answers are wrong.
    """

    def __init__(
        self,
        record: standins.Record,
        target_id: str,
        host: int,
        service: str,
        rng: random.Random,
        work_s: float,
        call: Call | None,
    ) -> None:
        super().__init__(record, target_id, service, work_s)
        self.host = host
        self.service = service
        self.work_s = work_s
        self.left_s: float | None = None
        self.is_faulty = False
        self.own_runs: list[Run] = []
        self._rng = rng
        self._call = call
        self._state = "ready"
        self._is_leaving = False
        self._last_answer = b""
        self._zone = ""
        self._app = ""
        self._link: proxy.Proxy | None = None

    async def start_on(self, host: processes.Host) -> None:
        """Listens and sends heartbeats."""
        self._zone = host.domain
        self._app = host.app
        self._link = host.upstream_link
        await self.start(host.upstream_address, host.control)
        if self._link is not None:
            await self._link.listen()
        self._record.line("target-start", target=self.id, host=self.host)

    def next_heartbeat(self, state: str = "") -> bytes:
        """See base class."""
        beat = json.loads(super().next_heartbeat(state or self._state))
        return json.dumps(
            beat | {"zone": self._zone, "address": self._app}
        ).encode()

    async def leave(self, says_draining: bool, lingers_s: float = 0.0) -> None:
        """Leaves as planned and exits (PROTOCOL.md, Service discovery).

        Args:
            says_draining: Whether it reports `draining` before it deregisters.
            lingers_s: How much longer it goes on.
        """
        self._is_leaving = True
        if says_draining:
            self._state = "draining"
            await self._confirm(
                lambda: self.post_heartbeat(self.next_heartbeat())
            )
        else:
            self.stop_heartbeats()
            await self._confirm(self.deregister)
        stays_s = standins.DRAIN_S + self._rng.uniform(0.1, 1.5)
        await asyncio.sleep(stays_s + lingers_s)
        if says_draining:
            self.stop_heartbeats()
            await self.deregister()
        await self.exit()

    async def exit(self) -> None:
        """See base class; requests in work are broken off."""
        await super().exit()
        if self._link is not None:
            self._link.refuse_new()
        for run in self.own_runs:
            if run.ended_s is None or not run.is_done:
                run.is_broken_off = True

    async def _confirm(self, announce: Callable[[], Awaitable[int]]) -> None:
        ends_s = self._record.now_s() + CONFIRM_TIMEOUT_S
        while self._record.now_s() < ends_s:
            if 200 <= await announce() < 300:
                self.left_s = self._record.now_s()
                self._record.line("target-leaves", target=self.id)
                return
            await asyncio.sleep(0.3)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        # An answer counts as given once the system's buffers have it.
        writer.transport.set_write_buffer_limits(high=0)
        try:
            while not self.has_exited:
                head = await standins.read_head(reader)
                if head is None:
                    return
                arrived_s = self._record.now_s()
                body = await read_body(head, reader)
                run = Run(self, head, body, arrived_s, self._record.now_s())
                if not await self._respond(run, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection stays."""
        path = run.head.start.split(" ")[1]
        attempt_id = run.attempt_id
        expected = run.head.get("x-cyclamendale-expected-instance")
        if path == "/health":
            status = "503 Leaving" if self._is_leaving else "200 OK"
            writer.write(self._make_head(status, b"", attempt_id))
            return True
        if expected and expected != self.id:
            writer.write(self._make_head("421 Misdirected", b"", attempt_id))
            return True
        fault = ""
        if self.is_faulty and self._rng.random() < FAULT_SHARE:
            fault = self._rng.choice(FAULTS)
            self._record.line("target-fault", name=fault, id=attempt_id)
        if fault == "rejects":
            line = "X-Cyclamendale-Not-Executed: 1\r\n"
            writer.write(self._make_head("503 Full", b"", attempt_id, line))
            return True
        if fault == "is silent":
            await asyncio.sleep(SILENT_S)
            return False
        self.own_runs.append(run)
        self._record.line(
            "run", target=self.id, host=self.host, id=attempt_id, path=path
        )
        is_served = await self._work(run, reader, writer)
        if is_served is None:
            return False
        if self.has_exited:
            run.is_broken_off = True
            return False
        run.ended_s = self._record.now_s()
        run.status = 200 if is_served else 500
        closes = self._is_leaving or self._rng.random() < CLOSE_SHARE
        answer = make_body(path)
        data = self._make_head(
            f"{run.status} Done",
            answer,
            attempt_id,
            f"X-Cyclamendale-Server-Stamp: {self.id}.{attempt_id}\r\n"
            + "Connection: close\r\n" * closes,
        )
        data += answer
        self._last_answer, earlier = data, self._last_answer
        if fault == "repeats":
            data += earlier
        if fault in ("cuts", "garbles"):
            closes = run.is_broken_off = True
            data = data[: self._rng.randrange(len(data))]
            if fault == "garbles":
                data = self._rng.randbytes(len(data))
        writer.write(data)
        await writer.drain()
        run.is_done = not self.has_exited
        return not closes

    async def _run(self) -> bool:
        await asyncio.sleep(self.work_s)
        return self._call is None or await self._call()

    async def _work(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Returns whether a request was served; None if its caller left."""
        work = asyncio.create_task(self._run())
        while not (await asyncio.wait({work}, timeout=DROP_INTERVAL_S))[0]:
            if reader.at_eof() or writer.is_closing():
                work.cancel()
                run.is_dropped = not self.has_exited
                run.is_broken_off = self.has_exited
                run.ended_s = self._record.now_s()
                return None
        return work.result()

    def _make_head(
        self, status: str, body: bytes, attempt_id: str, lines: str = ""
    ) -> bytes:
        return (
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n"
            f"X-Cyclamendale-Attempt-Id: {attempt_id}\r\n"
            f"X-Cyclamendale-Instance-Id: {self.id}\r\n{lines}\r\n"
        ).encode()


async def read_body(head: standins.Head, reader: asyncio.StreamReader) -> bytes:
    """Reads the body of a request, with a length or in chunks."""
    if head.get("transfer-encoding").lower() != "chunked":
        return await reader.readexactly(int(head.get("content-length", "0")))
    parts: list[bytes] = []
    while True:
        size = int((await reader.readuntil(CHUNK_END)).split(b";")[0], 16)
        data = await reader.readexactly(size + len(CHUNK_END))
        if not size:
            return b"".join(parts)
        parts.append(data[:size])


class Targets:
    """The upstreams of all hosts, one after the other on each.

    Attributes:
        all: All upstreams that there were.
    """

    def __init__(
        self,
        record: standins.Record,
        hosts: list[processes.Host],
        rng: random.Random,
        make_call: Callable[[int, str], Call | None],
        work_s: tuple[float, float],
        long_work_s: float,
        faulty_share: float,
    ) -> None:
        self.all: list[Target] = []
        self._record = record
        self._hosts = hosts
        self._rng = rng
        self._make_call = make_call
        self._work_s = work_s
        self._long_work_s = long_work_s
        self._faulty_share = faulty_share
        self._current: dict[int, Target] = {}
        self._busy: set[int] = set()

    async def start(self) -> None:
        """Starts an upstream on each host."""
        for host in self._hosts:
            await self._start_on(host.number, self._make_id())

    @property
    def idle(self) -> list[int]:
        """Returns the hosts whose upstream no action works on."""
        return [n for n in self._current if n not in self._busy]

    def current(self, host: int) -> Target:
        """Returns the upstream that was started last on a host."""
        return self._current[host]

    async def leave(
        self, host: int, says_draining: bool, lingers_s: float = 0.0
    ) -> None:
        """Lets an upstream leave, as `Target.leave`; another one follows."""
        with self._claimed(host) as target:
            await target.leave(says_draining, lingers_s)
            await self._follow(host, self._make_id())

    async def crash(self, host: int, keeps_id: bool) -> None:
        """Ends an upstream at once; it comes back, at times under its id."""
        with self._claimed(host) as target:
            await target.exit()
            await self._follow(host, target.id if keeps_id else self._make_id())

    async def replace(
        self, host: int, leaves: bool, replace_host: Awaitable[None]
    ) -> None:
        """Takes an upstream and its host away; others follow."""
        with self._claimed(host) as target:
            await (target.leave(True) if leaves else target.exit())
            await replace_host
            await self._start_on(host, self._make_id())

    @contextlib.contextmanager
    def _claimed(self, host: int) -> Iterator[Target]:
        """Keeps other actions from working on the upstream of a host."""
        self._busy.add(host)
        try:
            yield self._current[host]
        finally:
            self._busy.discard(host)

    async def exit(self) -> None:
        """Ends all upstreams."""
        for target in self._current.values():
            if not target.has_exited:
                await target.exit()

    async def _follow(self, host: int, target_id: str) -> None:
        await asyncio.sleep(self._rng.uniform(0.05, 2.5))
        await self._start_on(host, target_id)

    async def _start_on(self, number: int, target_id: str) -> None:
        host = self._hosts[number]
        work_s = self._rng.uniform(*self._work_s)
        if self._rng.random() < 0.1:
            work_s = self._long_work_s
        target = Target(
            self._record,
            target_id,
            number,
            host.service,
            random.Random(self._rng.random()),
            work_s,
            self._make_call(number, host.service),
        )
        target.is_faulty = self._rng.random() < self._faulty_share
        await target.start_on(host)
        self._current[number] = target
        self.all.append(target)

    def _make_id(self) -> str:
        return f"i-{self._rng.getrandbits(32):08x}"
