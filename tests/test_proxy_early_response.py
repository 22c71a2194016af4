"""Tests of responses that come while their request is still being written.

The upstream ends a real connection in several ways. How a connection ends
decides whether a body without a length is whole.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import random
import socket
import struct
import subprocess
import sys
import threading
import time

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent
WAIT_S = 60.0
UPLOADS = 150
UPLOAD_BYTES = 4_000_000
MAX_READ_BYTES = 200_000
MAX_PAUSE_S = 0.0005
"""Between the response and the end of the connection, so that the end comes
while the node writes or waits for events."""
BODY = b"p" * 6000
WHOLE = f"200 {len(BODY)}"
BROKEN = "broken"
STATUS_1_0 = b"HTTP/1.0 200 OK\r\n"
STATUS_1_1 = b"HTTP/1.1 200 OK\r\n"
CLOSE = b"Connection: close\r\n"
LENGTH = b"Content-Length: %d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNK = b"%x\r\n%s\r\n" % (len(BODY), BODY)


def receive(connection, max_bytes):
    """Returns received bytes; fails if the node has closed."""
    data = connection.recv(max_bytes)
    if not data:
        raise ConnectionError("closed by the node")
    return data


def reset(connection):
    """Discards what is unsent and sends a reset."""
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    connection.close()


def close_with_unread_data(connection):
    """Closes; the kernel sends a reset, since the upload is unread."""
    connection.close()


def finish(connection):
    """Ends the response, then reads the upload until the node closes."""
    connection.shutdown(socket.SHUT_WR)
    with contextlib.suppress(ConnectionError):
        while connection.recv(65536):
            pass
    connection.close()


class EarlyUpstream:
    """Answers each upload when it has read its head, then ends the connection.

    Attributes:
        address: Address that it listens on.
    """

    def __init__(self, head, body, end):
        self._head = head
        self._body = body
        self._end = end
        self._random = random.Random(41)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with contextlib.suppress(OSError):
                self._respond(connection)

    def _respond(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            data += receive(connection, 4096)
        own_id = next(
            line for line in data.split(b"\r\n") if b"Attempt-Id" in line
        )
        status_line, _, lines = self._head.partition(b"\r\n")
        head = b"\r\n".join([status_line, own_id, lines])
        if b"Content-Length: 0" not in data:
            left_bytes = self._random.randrange(MAX_READ_BYTES)
            while left_bytes > 0:
                left_bytes -= len(receive(connection, left_bytes))
        connection.sendall(head + b"\r\n" + self._body)
        # Sleeping takes longer than the pause.
        ends_s = time.perf_counter() + self._random.uniform(0, MAX_PAUSE_S)
        while time.perf_counter() < ends_s:
            pass
        self._end(connection)


class EarlyResponseTest(testtools.TestCase):
    scenarios = [
        # Some of these parts were passed on as whole.
        ("without length, reset", {
            "head": STATUS_1_1, "body": BODY, "end": reset,
            "outcome": BROKEN}),
        ("without length, reset, nothing to upload", {
            "head": STATUS_1_1, "body": BODY, "end": reset,
            "upload_bytes": 0, "outcome": BROKEN}),
        ("without length, reset, upload sent at once", {
            "head": STATUS_1_1, "body": BODY, "end": reset,
            "upload_bytes": 250_000, "outcome": BROKEN}),
        ("without length, reset with much unread", {
            "head": STATUS_1_1, "body": BODY * 300, "end": reset,
            "outcome": BROKEN}),
        ("without length, HTTP/1.0, reset", {
            "head": STATUS_1_0, "body": BODY, "end": reset,
            "outcome": BROKEN}),
        ("without length, closed with unread data", {
            "head": STATUS_1_1, "body": BODY, "end": close_with_unread_data,
            "outcome": BROKEN}),
        ("in chunks, reset", {
            "head": STATUS_1_1 + CHUNKED, "body": CHUNK, "end": reset,
            "outcome": BROKEN}),
        ("in chunks, reset within the trailers", {
            "head": STATUS_1_1 + CHUNKED, "body": CHUNK + b"0\r\nA: b\r\n",
            "end": reset, "outcome": BROKEN}),
        ("in chunks, finished within the trailers", {
            "head": STATUS_1_1 + CHUNKED, "body": CHUNK + b"0\r\nA: b\r\n",
            "end": finish, "outcome": BROKEN}),
        ("shorter than its length, reset", {
            "head": STATUS_1_1 + LENGTH % 6001, "body": BODY, "end": reset,
            "outcome": BROKEN}),
        ("shorter than its length, finished", {
            "head": STATUS_1_1 + LENGTH % 6001, "body": BODY, "end": finish,
            "outcome": BROKEN}),
        ("whole, without length", {
            "head": STATUS_1_1, "body": BODY, "end": finish,
            "outcome": WHOLE}),
        ("whole, without length, HTTP/1.0", {
            "head": STATUS_1_0, "body": BODY, "end": finish,
            "outcome": WHOLE}),
        ("whole, with length", {
            "head": STATUS_1_1 + CLOSE + LENGTH % 6000, "body": BODY,
            "end": finish, "outcome": WHOLE}),
        ("whole, in chunks", {
            "head": STATUS_1_1 + CLOSE + CHUNKED,
            "body": CHUNK + b"0\r\n\r\n", "end": finish,
            "outcome": WHOLE}),
    ]  # fmt: skip

    upload_bytes = UPLOAD_BYTES

    def test_only_a_whole_body_is_passed_on(self):
        upstream = EarlyUpstream(self.head, self.body, self.end)
        self.addCleanup(upstream.close)
        done = subprocess.run(
            [sys.executable, "-m", "tests.support.upload_client",
             upstream.address, str(UPLOADS), str(self.upload_bytes)],
            cwd=ROOT,
            capture_output=True,
            timeout=WAIT_S,
            text=True,
            check=False,
        )  # fmt: skip
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual({self.outcome: UPLOADS}, json.loads(done.stdout))
