"""Tests of responses that other nodes pass on with a malformed head.

A node of another version, or one with a defect, may send what this one would
refuse; a node may end within its answer.
"""

from __future__ import annotations

import testscenarios
import testtools
from twisted.internet import error
from twisted.python import failure

from cyclamendale import refusals
from cyclamendale.fleet import shutdown
from cyclamendale.overload import gate_queue
from cyclamendale.peer import call_client
from cyclamendale.peer import kinds
from cyclamendale.proxy import links
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_codec
from tests.support import fake_log
from tests.support import gate_bench
from tests.support import heads
from tests.support import peer_bench
from tests.support import upstream_requests

KIND = kinds.MessageKind
LOAD = gate_queue.GateLoad(3, 1, 10, 0.1, 0.0)
LOST = (refusals.RefusalReason.LOST, refusals.Execution.UNKNOWN)
MALFORMED = [
    (f"status {status}", {"status": status, "lines": b"A: b\r\n"})
    for status in (-200, 7, 99, 101, 2000)
] + [
    (name, {"status": 200, "lines": b"A: b\r\n" + line + b"\r\n"})
    for name, line in heads.BROKEN_LINES
    if name not in heads.BROKEN_IN_HEADS_ONLY
] + [
    ("two heads", {"status": 200, "lines": b"A: b\r\n\r\nB: c\r\n"}),
    ("cut line", {"status": 200, "lines": b"A: b"}),
]  # fmt: skip
SOUND = [
    (name, {"lines": line + b"\r\n"}) for name, line in heads.SOUND_LINES
] + [("no lines", {"lines": b""})]


class LinkCase(testscenarios.TestWithScenarios, testtools.TestCase):
    """A request that the platform's path forwards to another node."""

    def setUp(self):
        super().setUp()
        self.bench = peer_bench.PeerBench()
        self.outcomes = []
        self.links = links.Links(
            self.bench.network,
            self.bench.clock,
            lambda *_: None,
            shutdown.Shutdown(self.bench.clock),
            fake_log.FakeLog(),
        )
        self.links.runner(peer_bench.PEER).run(
            upstream_requests.make_request(), self.outcomes.append
        )
        self.initiator, self.peer = self.bench.accept_outgoing()

    def reply(self, response):
        self.peer.reply(KIND.RUN, 1, run_codec.encode_outcome(response, LOAD))

    def assert_lost(self):
        (outcome,) = self.outcomes
        self.assertIsInstance(outcome, refusals.Refusal)
        self.assertEqual(LOST, (outcome.reason, outcome.execution))


class MalformedLinkHeadTest(LinkCase):
    scenarios = MALFORMED

    def test_it_may_have_run(self):
        self.reply(messages.Response(self.status, self.lines, b"whole"))
        peer_bench.pump(self.initiator, self.peer)
        self.assert_lost()


class SoundLinkHeadTest(LinkCase):
    scenarios = SOUND

    def test_it_is_passed_on(self):
        self.reply(messages.Response(200, self.lines, b"whole"))
        peer_bench.pump(self.initiator, self.peer)
        (outcome,) = self.outcomes
        self.assertEqual(
            (200, self.lines, b"whole"),
            (outcome.status, outcome.header_lines, outcome.body),
        )


class LinkEndTest(LinkCase):
    scenarios = [
        (f"{cut_bytes} bytes short, {reason.__name__}", {
            "cut_bytes": cut_bytes, "reason": reason})
        for cut_bytes in (1, 3, 100)
        for reason in (error.ConnectionDone, error.ConnectionLost)
    ]  # fmt: skip

    def test_a_cut_answer_may_have_run(self):
        self.reply(messages.Response(200, b"A: b\r\n", b"p" * 6000))
        data = self.peer.transport.value()
        self.initiator.dataReceived(data[: -self.cut_bytes])
        self.assertEqual([], self.outcomes)
        self.initiator.connectionLost(failure.Failure(self.reason()))
        self.assert_lost()


class CallCase(testscenarios.TestWithScenarios, testtools.TestCase):
    """A call that the product's own path sends to another node."""

    def events_of(self, **fields):
        """Returns what the caller gets for an answer with these fields."""
        bench = peer_bench.PeerBench()
        receiver = gate_bench.RecordingReceiver()
        call_client.RemoteCallTransport(
            bench.network, bench.clock, peer_bench.PEER
        ).open(bench.gate_bench.make_envelope(), receiver)
        initiator, peer = bench.accept_outgoing()
        peer.reply(KIND.CALL, 1, peer_bench.answer_bytes(**fields))
        peer_bench.pump(initiator, peer)
        return receiver.events


class MalformedCallHeadTest(CallCase):
    scenarios = MALFORMED

    def test_it_counts_as_lost(self):
        self.assertEqual(
            [("lost", True)],
            self.events_of(status=self.status, head=self.lines),
        )


class SoundCallHeadTest(CallCase):
    scenarios = SOUND

    def test_it_is_passed_on(self):
        self.assertEqual(
            [("answered", 200, b"")], self.events_of(head=self.lines)
        )
