"""Tests of links to other hosts, whose connections may break or go silent."""

from __future__ import annotations

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import shutdown
from cyclamendale.overload import gate_queue
from cyclamendale.peer import codec
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.proxy import links
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_codec
from tests.support import fake_log
from tests.support import upstream_requests

REASON = refusals.RefusalReason
NOT_RUN = refusals.Execution.NOT_RUN
UNKNOWN = refusals.Execution.UNKNOWN
LOAD = gate_queue.GateLoad(3, 1, 10, 0.1, 0.0)


class FakeConnection:
    def __init__(self):
        self.requests = []
        self.is_open = True
        self.aborted = False
        self._call_id = 0

    def next_call_id(self):
        self._call_id += 1
        return self._call_id

    def request(self, kind, call_id, payload, on_reply):
        self.requests.append((kind, call_id, payload, on_reply))

    def ignore_reply(self, kind, call_id):
        pass

    def abort(self):
        self.aborted = True
        for kind, _, _, on_reply in self.requests:
            if kind is kinds.MessageKind.RUN:
                on_reply(network.PeerErrorKind.LOST)

    def kinds(self):
        return [kind for kind, *_ in self.requests]


class FakePeers:
    """Provides a connection, none, or lets the request wait for one."""

    def __init__(self):
        self.connection = FakeConnection()
        self.is_waiting = False
        self.waiting = []

    def detach_connection(self, peer):
        detached, self.connection = self.connection, FakeConnection()
        return detached

    def with_connection(self, peer, user):
        if self.is_waiting:
            self.waiting.append(user)
        else:
            user(self.connection)


class LinksTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.peers = FakePeers()
        self.loads = []
        self.log = fake_log.FakeLog()
        self.shutdown = shutdown.Shutdown(clocks.ReactorClock(self.reactor))
        self.links = links.Links(
            self.peers,
            clocks.ReactorClock(self.reactor),
            lambda host, at_gate: self.loads.append((host, at_gate)),
            self.shutdown,
            self.log,
        )
        self.links.start()
        self.outcomes = []

    def run_request(self, **fields):
        return self.links.runner("h").run(
            upstream_requests.make_request(**fields), self.outcomes.append
        )

    def advance(self, duration_s):
        self.reactor.pump([0.1] * round(duration_s / 0.1))

    def refused(self):
        (refusal,) = self.outcomes
        return refusal.reason, refusal.execution

    def test_a_request_that_a_check_refuses_may_go_to_another_host(self):
        self.peers.is_waiting = True

        def offer_elsewhere(outcome):
            self.outcomes.append(outcome)
            self.links.runner("other").run(
                upstream_requests.make_request(), self.outcomes.append
            )

        self.links.runner("h").run(
            upstream_requests.make_request(), offer_elsewhere
        )
        self.run_request()
        self.advance(1.0)
        self.assertEqual(3, len(self.outcomes))

    def test_only_links_with_requests_are_checked(self):
        self.run_request()
        *_, on_reply = self.peers.connection.requests[0]
        response = messages.Response(200, b"", b"")
        on_reply(run_codec.encode_outcome(response, LOAD))
        self.advance(0.3)
        checked = []
        self.links.runner("h").check = checked.append
        self.advance(1.0)
        self.assertEqual([], checked)
        self.run_request()
        self.advance(0.3)
        self.assertNotEqual([], checked)

    def test_a_response_and_the_load_of_the_gate(self):
        self.run_request()
        *_, on_reply = self.peers.connection.requests[0]
        response = messages.Response(200, b"A: 1\r\n", b"whole")
        on_reply(run_codec.encode_outcome(response, LOAD))
        (outcome,) = self.outcomes
        self.assertEqual(
            (200, b"A: 1\r\n", b"whole"),
            (outcome.status, outcome.header_lines, outcome.body),
        )
        self.assertEqual([("h", 4)], self.loads)

    def test_no_connection_is_certainly_not_run(self):
        self.peers.connection = None
        self.run_request()
        self.assertEqual((REASON.NO_TARGET, NOT_RUN), self.refused())

    def test_a_slow_connect_times_out(self):
        self.peers.is_waiting = True
        self.run_request()
        self.advance(0.3)
        self.assertEqual([], self.outcomes)
        self.advance(0.2)
        self.assertEqual((REASON.NO_TARGET, NOT_RUN), self.refused())
        # If the connection opens later, nothing may be sent on it.
        connection = FakeConnection()
        self.peers.waiting[0](connection)
        self.assertEqual([], connection.requests)

    def test_a_silent_connection_is_pinged_then_aborted(self):
        connection = self.peers.connection
        self.run_request()
        self.advance(0.5)
        self.assertIn(kinds.MessageKind.PING, connection.kinds())
        self.advance(1.0)
        self.assertTrue(connection.aborted)
        self.assertEqual((REASON.LOST, UNKNOWN), self.refused())

    def answer_pings(self, connection):
        for kind, _, _, on_reply in connection.requests:
            if kind is kinds.MessageKind.PING:
                on_reply(b"")

    def test_later_requests_leave_a_connection_whose_ping_is_unanswered(self):
        # All requests of a second went to a connection that was silent.
        silent = self.peers.connection
        self.run_request()
        self.advance(0.5)
        self.run_request()
        self.assertEqual(1, silent.kinds().count(kinds.MessageKind.RUN))
        self.assertEqual([], self.outcomes)
        *_, on_reply = self.peers.connection.requests[0]
        on_reply(
            run_codec.encode_outcome(messages.Response(200, b"", b""), LOAD)
        )
        self.advance(0.6)
        self.assertTrue(silent.aborted)
        (answered, refused) = self.outcomes
        self.assertEqual(200, answered.status)
        self.assertEqual(REASON.LOST, refused.reason)

    def test_a_late_pong_keeps_the_requests_of_a_slow_peer(self):
        slow = self.peers.connection
        self.run_request()
        self.advance(0.6)
        self.answer_pings(slow)
        self.advance(2.0)
        self.assertEqual([], self.outcomes)
        self.assertFalse(slow.aborted)
        *_, on_reply = slow.requests[0]
        on_reply(
            run_codec.encode_outcome(messages.Response(200, b"", b""), LOAD)
        )
        self.assertEqual(200, self.outcomes[0].status)
        self.advance(0.1)
        self.assertTrue(slow.aborted)

    def test_a_slow_peer_gets_few_connections(self):
        used = set()
        for _ in range(40):
            connection = self.peers.connection
            used.add(connection)
            self.run_request()
            self.advance(0.5)
            self.answer_pings(connection)
        self.assertLessEqual(len(used), 11)
        self.assertEqual([], self.outcomes)

    def test_an_unsafe_request_outlasts_the_silence_of_its_peer(self):
        connection = self.peers.connection
        self.run_request(idempotent=False)
        *_, on_reply = connection.requests[0]
        self.advance(3.0)
        self.assertEqual([], self.outcomes)
        self.assertFalse(connection.aborted)
        # Later requests use another connection, and close nothing.
        self.run_request()
        *_, second_reply = self.peers.connection.requests[0]
        response = messages.Response(200, b"", b"second")
        second_reply(run_codec.encode_outcome(response, LOAD))
        response = messages.Response(200, b"", b"late")
        on_reply(run_codec.encode_outcome(response, LOAD))
        self.assertEqual(
            [b"second", b"late"], [outcome.body for outcome in self.outcomes]
        )
        self.advance(0.1)
        self.assertTrue(connection.aborted)
        self.assertFalse(self.peers.connection.aborted)

    def test_a_stopping_node_breaks_off_no_request_of_a_silent_peer(self):
        # Callers of a stopping node got 502 while an upstream was at work.
        connection = self.peers.connection
        self.run_request()
        *_, on_reply = connection.requests[0]
        self.advance(0.5)
        self.shutdown.begin(6.0)
        self.advance(2.0)
        self.assertEqual([], self.outcomes)
        response = messages.Response(200, b"", b"late")
        on_reply(run_codec.encode_outcome(response, LOAD))
        self.assertEqual([200], [outcome.status for outcome in self.outcomes])

    def test_an_unsafe_request_that_is_given_up_frees_the_connection(self):
        connection = self.peers.connection
        handle = self.run_request(idempotent=False)
        self.advance(3.0)
        handle.cancel()
        self.advance(0.1)
        self.assertTrue(connection.aborted)

    def test_a_retired_connection_that_breaks_is_an_unknown_outcome(self):
        connection = self.peers.connection
        self.run_request(idempotent=False)
        self.advance(3.0)
        connection.abort()
        self.assertEqual((REASON.LOST, UNKNOWN), self.refused())

    def test_a_slow_peer_that_answers_pings_is_waited_for(self):
        self.run_request()
        for _ in range(20):
            self.advance(0.2)
            for kind, _, _, on_reply in self.peers.connection.requests:
                if kind is kinds.MessageKind.PING:
                    on_reply(b"")
        self.assertFalse(self.peers.connection.aborted)

    def test_a_cancelled_request_is_cancelled_at_the_peer(self):
        self.run_request().cancel()
        self.assertEqual(
            [kinds.MessageKind.RUN, kinds.MessageKind.RUN_CANCEL],
            self.peers.connection.kinds(),
        )

    def test_a_malformed_reply_is_an_unknown_outcome(self):
        self.run_request()
        *_, on_reply = self.peers.connection.requests[0]
        on_reply(b"\x00\x01")
        self.assertEqual((REASON.LOST, UNKNOWN), self.refused())


class CodecTest(testtools.TestCase):
    scenarios = [
        ("not run", {"refusal": refusals.Refusal(
            REASON.QUEUE_FULL, NOT_RUN, retry_after_s=0.5)}),
        ("unknown", {"refusal": refusals.Refusal(REASON.LOST, UNKNOWN)}),
    ]  # fmt: skip

    def test_a_refusal_round_trips(self):
        data = run_codec.encode_outcome(self.refusal, LOAD)
        response = codec.decode(ttypes.RunAnswer, data)
        self.assertEqual(self.refusal, run_codec.decode_outcome(response))
