"""Tests of the reactor: failures of readers, and how connections end.

The reactor calls readers without Twisted's log context and must still
handle their failures.
"""

from __future__ import annotations

import os
import pathlib
import subprocess
import sys
import textwrap

import testtools

ROOT = pathlib.Path(__file__).resolve().parent.parent

PROGRAM = textwrap.dedent(
    """
    from cyclamendale import lean_reactor

    reactor = lean_reactor.install()
    from twisted.internet import protocol

    heard = []

    class Server(protocol.Protocol):
        def dataReceived(self, data):
            if data == b"fail":
                raise ValueError(data)
            self.transport.write(data)

    class Client(protocol.Protocol):
        def __init__(self, word):
            self.word = word

        def connectionMade(self):
            self.transport.write(self.word)

        def dataReceived(self, data):
            heard.append(data)
            self.transport.loseConnection()

        def connectionLost(self, reason=None):
            heard.append(b"closed")
            if self.word == b"fail":
                connect(b"after")
            else:
                reactor.stop()

    def connect(word):
        factory = protocol.ClientFactory()
        factory.protocol = lambda: Client(word)
        reactor.connectTCP("127.0.0.1", port.getHost().port, factory)

    port = reactor.listenTCP(
        0, protocol.Factory.forProtocol(Server), interface="127.0.0.1"
    )
    connect(b"fail")
    reactor.run()
    print(heard)
    """
)

# The kernel may report the end of a connection before the input.
END_PROGRAM = textwrap.dedent(
    """
    import select
    import socket
    import struct
    import sys

    from cyclamendale import lean_reactor

    reactor = lean_reactor.install()
    from twisted.internet import protocol

    class Poller:
        def __init__(self, poller):
            self._poller = poller

        def __getattr__(self, name):
            return getattr(self._poller, name)

        def poll(self, timeout, max_events):
            ends = select.EPOLLERR | select.EPOLLHUP
            return [
                (descriptor, event & ~select.EPOLLIN if event & ends else event)
                for descriptor, event in self._poller.poll(timeout, max_events)
            ]

    class Client(protocol.Protocol):
        def dataReceived(self, data):
            if sys.argv[1] == "reset":
                linger = struct.pack("ii", 1, 0)
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            else:
                # Both directions have to be closed.
                self.transport.socket.shutdown(socket.SHUT_WR)
            peer.close()

        def connectionLost(self, reason):
            print(reason.type.__name__)
            reactor.stop()

    class Factory(protocol.ClientFactory):
        protocol = Client

    def accept():
        global peer
        peer = listener.accept()[0]
        peer.send(b"x")

    reactor._poller = Poller(reactor._poller)
    listener = socket.create_server(("127.0.0.1", 0))
    reactor.connectTCP("127.0.0.1", listener.getsockname()[1], Factory())
    reactor.callInThread(accept)
    reactor.run()
    """
)


def run(program, *arguments):
    return subprocess.run(
        [sys.executable, "-c", program, *arguments],
        env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        capture_output=True,
        timeout=60,
        text=True,
        check=False,
    )


class ConnectionEndTest(testtools.TestCase):
    scenarios = [
        ("reset", {"end": "reset", "reason": "ConnectionLost"}),
        ("closed", {"end": "close", "reason": "ConnectionDone"}),
    ]

    def test_a_reset_reported_without_input_is_no_clean_end(self):
        done = run(END_PROGRAM, self.end)
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual(self.reason, done.stdout.strip())


class LeanReactorTest(testtools.TestCase):
    def test_an_exception_in_a_reader_closes_only_its_connection(self):
        done = run(PROGRAM)
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual(
            "[b'closed', b'after', b'closed']", done.stdout.strip()
        )
