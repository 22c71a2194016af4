"""Requests that other nodes forward to a node that is about to stop."""

from __future__ import annotations

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import shutdown
from cyclamendale.overload import gate_queue
from cyclamendale.peer import codec
from cyclamendale.peer import kinds
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.proxy import run_codec
from cyclamendale.proxy import run_server
from tests.support import upstream_requests

GRACE_S = 6.0
LOAD = gate_queue.GateLoad(3, 1, 10, 0.1, 0.0)


class FakePeers:
    def __init__(self):
        self.handlers = {}

    def serve_raw(self, kind, handler):
        self.handlers[kind] = handler


class FakeConnection:
    def __init__(self):
        self.lost_listeners = set()
        self.replies = []

    def reply(self, kind, call_id, payload):
        answer = codec.decode(ttypes.RunAnswer, payload)
        self.replies.append(run_codec.decode_outcome(answer))


class FakeGate:
    def __init__(self):
        self.requests = []

    def run(self, request, receiver):
        self.requests.append(request)


class ShutdownTest(testtools.TestCase):
    scenarios = [
        ("not stopping", {
            "stopped_for_s": None, "deadline_s": 30.0, "is_run": True}),
        ("ends in time", {
            "stopped_for_s": 1.0, "deadline_s": 3.0, "is_run": True}),
        ("may end after the process", {
            "stopped_for_s": 1.0, "deadline_s": 5.0, "is_run": False}),
        ("late in the grace, ends in time", {
            "stopped_for_s": 4.0, "deadline_s": 0.8, "is_run": True}),
        ("late in the grace, may end after the process", {
            "stopped_for_s": 4.0, "deadline_s": 1.5, "is_run": False}),
    ]  # fmt: skip

    # Requests that other nodes sent late in the grace were passed on to the
    # upstream and cut off at its end.
    def test_only_requests_that_end_in_time_are_run(self):
        reactor = task.Clock()
        clock = clocks.ReactorClock(reactor)
        stopping = shutdown.Shutdown(clock)
        peers, gate = FakePeers(), FakeGate()
        run_server.RunServer(peers, clock, gate, lambda: LOAD, stopping)
        if self.stopped_for_s is not None:
            stopping.begin(GRACE_S)
            reactor.advance(self.stopped_for_s)
        connection = FakeConnection()
        now_s = clock.now_s()
        request = upstream_requests.make_request(
            deadline_s=now_s + self.deadline_s
        )
        peers.handlers[kinds.MessageKind.RUN](
            connection, 1, run_codec.encode_request(request, now_s)
        )
        self.assertEqual(self.is_run, bool(gate.requests))
        self.assertEqual(
            []
            if self.is_run
            else [
                (
                    refusals.RefusalReason.LEAVING,
                    refusals.Execution.NOT_RUN,
                )
            ],
            [(each.reason, each.execution) for each in connection.replies],
        )
