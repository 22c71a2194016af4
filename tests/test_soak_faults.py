"""The faults that a soak plays: its TCP proxy and its store."""

from __future__ import annotations

import asyncio
import socket
import time

import testscenarios
import testtools

from review import standins
from soak import proxy
from soak import store

LIMIT_S = 10.0
SILENCE_S = 0.3
IP = "127.0.0.1"


class HttpServer:
    """Answers each request with its path; keeps what it received."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.arrived_s: list[float] = []
        self.has_seen_reset = False

    async def serve(self, reader, writer) -> None:
        try:
            while (head := await standins.read_head(reader)) is not None:
                size = int(head.get("content-length", "0"))
                await reader.readexactly(size)
                path = head.start.split(" ")[1]
                self.paths.append(path)
                self.arrived_s.append(time.monotonic())
                writer.write(
                    f"HTTP/1.1 200 OK\r\nContent-Length: {len(path)}\r\n\r\n"
                    f"{path}".encode()
                )
        finally:
            self.has_seen_reset = reader.exception() is not None
            writer.close()


class Caller:
    """A connection through the proxy."""

    def __init__(self, reader, writer) -> None:
        self._reader, self.writer = reader, writer

    async def call(self, path: str) -> str:
        """Sends a request; returns the answer's status or what came of it."""
        self.writer.write(
            f"POST {path} HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody".encode()
        )
        try:
            return await asyncio.wait_for(self.read(), SILENCE_S)
        except TimeoutError:
            return "silent"
        except ConnectionError:
            return "reset"

    async def read(self) -> str:
        head = await standins.read_head(self._reader)
        if head is None:
            if self._reader.exception() is not None:
                return "reset"
            return "closed"
        await self._reader.readexactly(int(head.get("content-length")))
        return head.start.split(" ")[1]


class Bench:
    """A server, a proxy before it, and callers."""

    def __init__(self) -> None:
        self.server = HttpServer()
        self._callers: list[Caller] = []

    async def __aenter__(self) -> Bench:
        self._listener = await asyncio.start_server(self.server.serve, IP, 0)
        address = f"{IP}:{self._listener.sockets[0].getsockname()[1]}"
        self.proxy = proxy.Proxy(f"{IP}:{free_port()}", address)
        await self.proxy.listen()
        return self

    async def __aexit__(self, *_) -> None:
        self.proxy.close()
        self._listener.close()
        for caller in self._callers:
            caller.writer.close()
        await asyncio.sleep(0.01)

    async def connect(self) -> Caller:
        ip, _, port = self.proxy.address.rpartition(":")
        caller = Caller(*await asyncio.open_connection(ip, int(port)))
        self._callers.append(caller)
        return caller


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((IP, 0))
        return probe.getsockname()[1]


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, LIMIT_S))


class ModeTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """Three calls on one connection: before, during and after a mode."""

    scenarios = [
        (name, {"mode": mode, "during": during, "after": after, "ran": ran})
        for name, mode, during, after, ran in (
            ("pass", proxy.PASS, "200", "200", ["/a", "/b", "/c"]),
            ("silent", proxy.SILENT, "silent", "200", ["/a", "/b", "/c"]),
            ("silent-to-server", proxy.SILENT_TO_SERVER, "silent", "200",
             ["/a", "/b", "/c"]),
            ("silent-to-client", proxy.SILENT_TO_CLIENT, "silent", "200",
             ["/a", "/b", "/c"]),
            ("answers-lost", proxy.ANSWERS_LOST, "silent", "silent",
             ["/a", "/b", "/c"]),
            ("performed-late", proxy.performed_late(0.5), "silent", "silent",
             ["/a", "/b", "/c"]),
            ("delayed", proxy.both_ways(delay_s=0.05), "200", "200",
             ["/a", "/b", "/c"]),
            ("too-slow", proxy.both_ways(delay_s=0.2), "silent", "200",
             ["/a", "/b", "/c"]),
            ("limited", proxy.both_ways(0, 1_000), "200", "200",
             ["/a", "/b", "/c"]),
            ("unavailable", proxy.Mode(status=503), "503", "200", ["/a", "/c"]),
            ("too-many", proxy.Mode(status=429), "429", "200", ["/a", "/c"]),
        )
    ]  # fmt: skip

    def test_calls_before_during_and_after(self):
        async def play():
            async with Bench() as bench:
                caller = await bench.connect()
                answers = [await caller.call("/a")]
                bench.proxy.set_mode(self.mode)
                answers.append(await caller.call("/b"))
                bench.proxy.set_mode(proxy.PASS)
                if self.during == "silent" and self.after != "silent":
                    # What was held arrives once the mode has changed.
                    self.assertEqual("200", await caller.read())
                answers.append(await caller.call("/c"))
                await asyncio.sleep(SILENCE_S)
                return answers, bench.server.paths

        answers, paths = run(play())
        self.assertEqual(["200", self.during, self.after], answers)
        self.assertEqual(self.ran, paths)


class ListenerTest(testtools.TestCase):
    def test_new_connections_are_refused_and_open_ones_go_on(self):
        async def play():
            async with Bench() as bench:
                caller = await bench.connect()
                bench.proxy.refuse_new()
                await self._assert_refused(bench)
                self.assertEqual("200", await caller.call("/a"))
                await bench.proxy.listen()
                self.assertEqual(
                    "200", await (await bench.connect()).call("/b")
                )

        run(play())

    def test_open_connections_are_reset_at_both_ends(self):
        async def play():
            async with Bench() as bench:
                caller = await bench.connect()
                self.assertEqual("200", await caller.call("/a"))
                bench.proxy.reset_all()
                self.assertEqual("reset", await caller.call("/b"))
                await asyncio.sleep(0.05)
                self.assertTrue(bench.server.has_seen_reset)
                self.assertEqual([], bench.proxy.connections())
                self.assertEqual(
                    "200", await (await bench.connect()).call("/c")
                )

        run(play())

    def test_one_connection_alone_is_silenced(self):
        async def play():
            async with Bench() as bench:
                first = await bench.connect()
                self.assertEqual("200", await first.call("/a"))
                (connection,) = bench.proxy.connections()
                connection.set_mode(proxy.SILENT)
                second = await bench.connect()
                self.assertEqual("silent", await first.call("/b"))
                self.assertEqual("200", await second.call("/c"))

        run(play())

    def test_a_new_connection_is_accepted_and_silent(self):
        async def play():
            async with Bench() as bench:
                bench.proxy.set_mode(proxy.SILENT)
                caller = await bench.connect()
                self.assertEqual("silent", await caller.call("/a"))
                self.assertEqual([], bench.server.paths)

        run(play())

    def test_the_client_is_reset_where_the_server_does_not_listen(self):
        async def play():
            async with Bench() as bench:
                bench.proxy.server = f"{IP}:{free_port()}"
                caller = await bench.connect()
                self.assertEqual("reset", await caller.call("/a"))

        run(play())

    async def _assert_refused(self, bench: Bench) -> None:
        try:
            await bench.connect()
        except ConnectionRefusedError:
            return
        self.fail("a connection was accepted")


class PerformedLateTest(testscenarios.TestWithScenarios, testtools.TestCase):
    """A call is performed though its caller has left."""

    scenarios = [("closed", {"resets": False}), ("reset", {"resets": True})]

    def test_the_call_arrives_later(self):
        async def play():
            async with Bench() as bench:
                bench.proxy.set_mode(proxy.performed_late(0.6))
                caller = await bench.connect()
                sent_s = time.monotonic()
                self.assertEqual("silent", await caller.call("/a"))
                if self.resets:
                    caller.writer.transport.abort()
                caller.writer.close()
                bench.proxy.set_mode(proxy.PASS)
                await asyncio.sleep(0.5)
                self.assertEqual(["/a"], bench.server.paths)
                self.assertGreaterEqual(bench.server.arrived_s[0] - sent_s, 0.6)

        run(play())


class RateTest(testtools.TestCase):
    def test_bytes_take_their_time(self):
        async def play():
            async with Bench() as bench:
                bench.proxy.set_mode(proxy.both_ways(0, 200_000))
                caller = await bench.connect()
                started_s = time.monotonic()
                caller.writer.write(
                    b"POST /a HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
                    + bytes(100_000)
                )
                self.assertEqual("200", await caller.read())
                return time.monotonic() - started_s

        self.assertGreaterEqual(run(play()), 0.5)


class StoreRateTest(testtools.TestCase):
    def test_calls_beyond_the_rate_are_refused(self):
        statuses = asyncio.run(self._call(store.WRITES_PER_S + 1))
        self.assertEqual({200}, set(statuses[:-1]))
        self.assertEqual(429, statuses[-1])

    async def _call(self, count: int) -> list[int]:
        limited = store.Store()
        self.patch(store.time, "monotonic", lambda: 1.0)
        answers = [
            await limited._answer("POST", "/-/rows-tx", b"{}")
            for _ in range(count)
        ]
        return [status for status, _ in answers]
