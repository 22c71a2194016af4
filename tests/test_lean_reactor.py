"""Tests that an exception in a reader closes only its own connection.

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


class LeanReactorTest(testtools.TestCase):
    def test_an_exception_in_a_reader_closes_only_its_connection(self):
        done = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            capture_output=True,
            timeout=60,
            text=True,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual(
            "[b'closed', b'after', b'closed']", done.stdout.strip()
        )
