"""Tests of the limits of the control listener."""

from __future__ import annotations

import testscenarios
import testtools
from twisted.internet import testing
from twisted.web import resource

from cyclamendale.controllers import control_site

LIMIT = control_site.MAX_BODY_BYTES


class Recorder(resource.Resource):
    """Records the bodies of the requests that reach it."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.bodies = []

    def render_POST(self, request):
        self.bodies.append(request.content.read())
        return b"taken"


class ControlSiteTest(testscenarios.WithScenarios, testtools.TestCase):
    scenarios = [
        (
            "short",
            {
                "head": b"Content-Length: 5",
                "body": b"hello",
                "is_accepted": True,
            },
        ),
        (
            "too long",
            {
                "head": b"Content-Length: %d" % (LIMIT + 1),
                "body": b"x" * (LIMIT + 1),
                "is_accepted": False,
            },
        ),
        (
            "of unknown length",
            {
                "head": b"Transfer-Encoding: chunked",
                "body": b"5\r\nhello\r\n0\r\n\r\n",
                "is_accepted": False,
            },
        ),
    ]

    def test_a_long_body_is_refused_before_it_is_read(self):
        recorder = Recorder()
        channel = control_site.make_site(recorder).buildProtocol(None)
        transport = testing.StringTransport()
        channel.makeConnection(transport)
        channel.dataReceived(
            b"POST /announce HTTP/1.1\r\nHost: x\r\n" + self.head + b"\r\n\r\n"
        )
        channel.dataReceived(self.body)
        expected = ([self.body], b"200") if self.is_accepted else ([], b"413")
        status = transport.value().split()[1]
        self.assertEqual(expected, (recorder.bodies, status))
        channel._channel.setTimeout(None)
