"""Tests of the merged time line, the fleet status and their resources."""

from __future__ import annotations

import json
import pathlib

import msgspec
import testscenarios
import testtools
from thrift import TSerialization
from thrift.protocol import TBinaryProtocol
from twisted.internet import task
from twisted.web import resource
from twisted.web.test import requesthelper

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import explanation as explanations
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.configuration import source
from cyclamendale.controllers import _timeline_codec
from cyclamendale.controllers import timeline as timelines
from cyclamendale.controllers import timeline_site
from cyclamendale.intents import merge
from cyclamendale.membership import directory
from cyclamendale.peer.generated.timeline import ttypes
from tests.support import fake_network

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_NODES = 3
_DOMAIN = 'kind = "failure_domain"\nname = "{}"'


class Members(directory.Directory):
    """A directory whose members the test sets."""

    def __init__(self, own, others):
        self._own, self.others, self.listeners = own, others, []

    def own(self):
        return self._own

    def members(self):
        return [self._own, *self.others]

    def targets(self, service):
        return ()

    def subscribe(self, listener):
        self.listeners.append(listener)


def member(number, domain="north", state=directory.MemberState.ALIVE, run=""):
    address = ids.PeerAddress(f"10.0.0.{number}:81")
    return directory.Member(
        ids.NodeId(f"{address}#{number}{run}"), address, domain, 1, state
    )


class FleetCase(testtools.TestCase):
    """Three nodes; queries go to the first one."""

    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        clock = clocks.ReactorClock(self.reactor)
        self.wires = fake_network.FakeNetwork(clock)
        self.all = [member(0), member(1, "south"), member(2, "south")]
        self.versions = dict.fromkeys(self.all, 4)
        self.logs, self.directories, self.controllers = [], [], []
        configuration = merge.merge(
            {
                f"{name}.toml": _DOMAIN.format(name).encode()
                for name in ("north", "south", "west")
            },
            ids.ConfigVersion(4),
        ).ok
        for own in self.all:
            log = events.EventLog(own.node, events.HybridLogicalClock(clock))
            others = [other for other in self.all if other != own]
            self.directories.append(Members(own, others))
            controller = timelines.make_timeline_controller(
                clock,
                self.directories[-1],
                self.wires.add_peer(own.address),
                log,
                lambda own=own: timeline.NodeStatus(
                    node=own.node,
                    failure_domain=own.failure_domain,
                    version=self.versions[own],
                ),
                source.FixedConfiguration(configuration),
            )
            controller.start()
            self.logs.append(log)
            self.controllers.append(controller)

    def finish(self, deferred):
        """Advances the clock and returns the Deferred's result."""
        results = []
        deferred.addCallback(results.append)
        self.reactor.pump([0.001] * 3000)
        return results[0]

    def cut(self, number):
        address = self.all[number].address
        self.wires.lose = lambda source, target, kind, is_reply: (
            address in (source, target)
        )

    def record(self, number, count, **fields):
        for version in range(count):
            self.logs[number].record(
                events.ConfigurationInForce(version=version, **fields)
            )

    def gather(self, **query):
        wanted = timeline.TimelineQuery(**query)
        return self.finish(self.controllers[0].gather_timeline(wanted))

    def get(self, path, **arguments):
        """Returns the status and body of a GET from the control site."""
        root = resource.Resource()
        timeline_site.add_resources(root, self.controllers[0])
        request = requesthelper.DummyRequest([])
        request.args = {k.encode(): v for k, v in arguments.items()}
        child = root.children[path]
        answer = child.render(request)
        if isinstance(answer, int):
            self.reactor.pump([0.001] * 3000)
            answer = b"".join(request.written)
        return request.responseCode or 200, json.loads(answer)


class FleetTest(FleetCase):
    def test_events_of_all_nodes_are_merged_in_order(self):
        for number in (2, 0, 1):
            self.reactor.advance(0.01)
            self.record(number, 2)
        merged = self.gather()
        self.assertEqual(
            [self.all[number].node for number in (2, 2, 0, 0, 1, 1)],
            [event.node for event in merged.events],
        )
        self.assertEqual([], merged.unreachable)

    def test_filters_must_all_match(self):
        self.record(1, 1, customer="masons", request="r", file="a.toml")
        self.record(2, 1, customer="masons", request="s", file="b.toml")
        self.reactor.advance(5)
        self.record(0, 1, customer="masons", request="r", file="b.toml")
        for query, expected in (
            ({"customer": "masons"}, 3),
            ({"request": "r"}, 2),
            ({"file": "b.toml"}, 2),
            ({"file": "b.toml", "request": "r"}, 1),
            ({"since_ms": 2000}, 1),
            ({"customer": "others"}, 0),
        ):
            self.assertEqual(expected, len(self.gather(**query).events))

    def test_a_node_that_does_not_answer_is_listed_as_unreachable(self):
        self.cut(2)
        self.record(1, 1)
        merged = self.gather()
        self.assertEqual([self.all[2].node], merged.unreachable)
        self.assertEqual(1, len(merged.events))

    def test_a_dead_node_is_listed_until_its_address_is_reused(self):
        own = self.directories[0]
        for state, run, expected in (
            (directory.MemberState.DEAD, "", [self.all[2].node]),
            (directory.MemberState.LEFT, "f", [self.all[2].node]),
            (directory.MemberState.ALIVE, "f", []),
        ):
            own.others = [self.all[1]]
            own.listeners[0](member(2, "south", state, run))
            self.assertEqual(expected, self.gather().unreachable)

    def test_a_node_with_an_undecodable_reply_counts_as_unreachable(self):
        for body in (b"?", b"[{}]", None):
            reply = ttypes.TimelineReply("n", body, False)
            self.wires.peers[self.all[1].address].serve(
                50, None, lambda _, reply=reply: reply
            )
            self.assertEqual([self.all[1].node], self.gather().unreachable)

    def test_a_request_without_limits_gets_no_events(self):
        self.record(1, 5)
        replies = []
        handled = self.controllers[1]._serve_timeline(ttypes.TimelineRequest())
        handled.addCallback(replies.append)
        self.reactor.pump([0.001] * 10)
        self.assertEqual(
            (b"[]", True), (replies[0].events, replies[0].truncated)
        )

    def test_the_newest_events_are_kept_and_truncation_is_reported(self):
        self.record(1, 50)
        self.record(2, 40)
        merged = self.gather(limit_events=30)
        kept = [event.fields["version"] for event in merged.events]
        self.assertEqual((30, True), (len(kept), merged.truncated))
        self.assertEqual(49, max(kept))
        self.assertFalse(self.gather(limit_events=90).truncated)

    def test_a_reply_is_bounded_in_bytes(self):
        self.record(1, 4000, file="x" * 200)
        replies = []
        handled = self.controllers[1]._serve_timeline(
            ttypes.TimelineRequest(
                since_ms=0, limit_events=10**6, limit_bytes=10**9
            )
        )
        handled.addCallback(replies.append)
        self.reactor.pump([0.001] * 1000)
        factory = TBinaryProtocol.TBinaryProtocolAcceleratedFactory()
        wire = TSerialization.serialize(replies[0], factory)
        self.assertLess(len(wire), _timeline_codec.MAX_REPLY_BYTES + 200)
        reply = TSerialization.deserialize(
            ttypes.TimelineReply(), wire, factory
        )
        kept = json.loads(reply.events)
        self.assertEqual(3999, kept[-1]["fields"]["version"])
        self.assertTrue(reply.truncated)

    def status(self, wanted=None):
        status = self.finish(self.controllers[0].gather_status(wanted))
        return status, {
            domain.failure_domain: domain.reach.value
            for domain in status.failure_domains
        }

    def test_a_version_is_in_force_where_all_nodes_have_it(self):
        self.versions[self.all[2]] = 3
        status, reach = self.status()
        self.assertEqual(
            {"north": "in-force", "south": "not-yet-reached"},
            {name: reach[name] for name in ("north", "south")},
        )
        self.assertEqual("unknown", reach["west"])
        self.assertEqual(3, len(status.nodes))

    def test_an_unreachable_node_makes_its_failure_domain_unknown(self):
        self.cut(1)
        status, reach = self.status()
        self.assertEqual("unknown", reach["south"])
        self.assertEqual([self.all[1].node], status.unreachable)

    def test_a_wanted_version_that_no_node_has_is_not_yet_reached(self):
        _, reach = self.status(wanted=5)
        self.assertEqual("not-yet-reached", reach["north"])

    def test_a_refusal_is_explained_with_reason_and_file(self):
        self.logs[1].record(
            events.RequestRefused(
                request="r7",
                reason="quota",
                execution="not-run",
                file="40-masons.toml",
                version=4,
            )
        )
        self.record(2, 1, request="r7")
        explained = explanations.explain_request(self.gather(), "r7")
        self.assertEqual(
            [("quota", "not-run", "40-masons.toml", 4)],
            [
                (
                    outcome.reason,
                    outcome.execution,
                    outcome.file,
                    outcome.version,
                )
                for outcome in explained.outcomes
            ],
        )

    def test_the_resources_answer_with_json(self):
        self.record(1, 2, customer="masons")
        code, merged = self.get(b"timeline", customer=[b"masons"])
        self.assertEqual((200, 2), (code, len(merged["events"])))
        _, status = self.get(b"status", version=[b"9"])
        self.assertEqual(9, status["version"])
        _, entries = self.get(b"configuration", name=[b"west"])
        self.assertEqual(
            ["west.toml"], [entry["file"] for entry in entries["entries"]]
        )


class ParameterTest(testscenarios.WithScenarios, FleetCase):
    scenarios = [
        ("unknown", {"given": {"colour": [b"1"]}, "problem": "unknown"}),
        ("repeated", {"given": {"file": [b"1", b"2"]}, "problem": "repeated"}),
        (
            "not a number",
            {"given": {"since_ms": [b"x"]}, "problem": "malformed"},
        ),
        (
            "not utf-8",
            {"given": {"request": [b"\xff"]}, "problem": "malformed"},
        ),
    ]

    def test_an_invalid_parameter_is_reported(self):
        code, error = self.get(b"timeline", **self.given)
        expected = {
            "parameter": next(iter(self.given)),
            "problem": self.problem,
        }
        self.assertEqual((400, expected), (code, error))


class PageTest(testtools.TestCase):
    def test_the_operators_page_describes_every_event(self):
        page = (_ROOT / "docs/operators/events.md").read_text()
        for kind in events.Event.__subclasses__():
            with self.subTest(kind=kind.__name__):
                row = page.partition(f"\n| `{kind.__name__}` |")[2]
                row = row.partition("\n")[0]
                self.assertNotEqual("", row)
                for field in msgspec.structs.fields(kind):
                    if field.name not in ("request", "customer", "file"):
                        self.assertIn(f"`{field.name}`", row)
