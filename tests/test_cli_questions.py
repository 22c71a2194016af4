"""Contract tests of the read-only commands."""

from __future__ import annotations

from expression import Ok
import testscenarios
import testtools
from testtools import twistedsupport
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import resource
from twisted.web import server
from twisted.web import static

from cyclamendale import events
from cyclamendale import timeline
from cyclamendale.cli import application
from cyclamendale.cli import exit_codes
from cyclamendale.cli import faults
from cyclamendale.cli import node_client
from cyclamendale.configuration import changes
from cyclamendale.intents import explain
from cyclamendale.intents import keys
from cyclamendale.intents import merge
from tests.support import fake_operator
from tests.support import heads

_NODE = "10.0.0.1:81#ab"
_REFUSED = events.RecordedEvent(
    events.HlcStamp(1_796_375_986_963, 2),
    _NODE,
    "RequestRefused",
    {
        "request": "r1",
        "customer": "masons",
        "file": "40-masons.toml",
        "reason": "quota",
        "execution": "not-run",
        "version": 7,
        "route": "shop\x1b[2J",
    },
)
_TIMELINE = timeline.MergedTimeline([_REFUSED], ["10.0.0.2:81#cd"], True)


class NodeCommandCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.operator = fake_operator.Operator()
        self.addCleanup(self.operator.close)
        self.node = self.operator.services.fake_node


class ReadOnlyCommandTest(NodeCommandCase):
    def test_check_counts_files_and_entries(self):
        code, report = self.operator.json("check", fake_operator.QUICKSTART)
        self.assertEqual((0, 14), (code, report["files"]))
        self.assertEqual(5, report["entries"]["route"])

    def test_check_reports_typed_errors(self):
        path = self.operator.file("x.toml", 'kind = "service"\nname = ""\n')
        code, fault = self.operator.json("check", path)
        self.assertEqual((1, "invalid-intents"), (code, fault["fault"]))
        [error] = fault["errors"]
        self.assertEqual(
            ("x.toml", 2, "name", "name-empty"),
            tuple(error[k] for k in ("file", "line", "field", "problem")),
        )

    def test_digest_reads_the_first_line_of_the_input(self):
        self.assertEqual(0, self.operator.run("digest", inputs="k\nmore\n"))
        self.assertEqual(keys.digest_of("k"), self.operator.output.strip())
        self.assertEqual(2, self.operator.run("digest", inputs="\n"))

    def test_the_timeline_ends_with_the_unreachable_nodes(self):
        self.node.answers["timeline"] = Ok(_TIMELINE)
        self.assertEqual(0, self.operator.run("timeline"))
        lines = self.operator.output.splitlines()
        self.assertEqual("earlier events are left out", lines[0])
        self.assertTrue(
            lines[1].startswith(
                f"2026-12-04T09:19:46.963Z+2 {_NODE} RequestRefused "
            )
        )
        self.assertEqual("not reached: 10.0.0.2:81#cd", lines[-1])
        self.assertNotIn("\x1b", self.operator.output)

    def test_the_filters_are_sent_to_the_node(self):
        self.node.answers["timeline"] = Ok(_TIMELINE)
        self.operator.services.platform.task_clock.advance(1000)
        code, report = self.operator.json(
            "timeline",
            "--request=r1",
            "--customer=masons",
            "--file=40-masons.toml",
            "--since=5m",
            "--limit=9",
        )
        expected = timeline.TimelineQuery(
            request="r1",
            customer="masons",
            file="40-masons.toml",
            since_ms=700_000,
            limit_events=9,
        )
        self.assertEqual([("timeline", expected)], self.node.requests)
        self.assertEqual(1, len(report["timeline"]["events"]))

    def test_explain_shows_file_and_version_of_a_refusal(self):
        self.node.answers["timeline"] = Ok(_TIMELINE)
        self.assertEqual(0, self.operator.run("explain", "--request=r1"))
        self.assertIn("quota, not-run", self.operator.output)
        self.assertIn("decided by 40-masons.toml@7", self.operator.output)
        self.assertIn("not reached: 10.0.0.2", self.operator.output)

    def test_an_unknown_request_lists_the_unreachable_nodes(self):
        self.node.answers["timeline"] = Ok(_TIMELINE)
        self.assertEqual(7, self.operator.run("explain", "--request=r2"))
        self.assertIn("request r2 is not known", self.operator.errors)
        self.assertIn("not reached: 10.0.0.2", self.operator.errors)

    def test_an_entry_shows_the_file_of_each_field(self):
        files = {"a.toml": b'kind = "service"\nname = "s"\n'}
        configuration = merge.merge(files, 7).ok
        entries = [
            entry
            for entry in explain.explain_entries(configuration)
            if entry.kind == "service"
        ]
        self.node.answers["configuration"] = Ok(
            timeline.ConfigurationInForce(_NODE, 7, None, entries)
        )
        self.assertEqual(0, self.operator.run("explain", "--entry=service/s"))
        self.assertEqual(
            [("configuration", "service", "s")], self.node.requests
        )
        self.assertIn('name = "s"  # a.toml', self.operator.output)
        self.assertIn("max_queue_s = 0.1  # default", self.operator.output)

    def test_explain_folder_needs_no_node(self):
        folder = f"--folder={fake_operator.QUICKSTART}"
        code, report = self.operator.json(
            "explain", folder, "--entry=customer/masons"
        )
        self.assertEqual((0, 1), (code, len(report["entries"])))
        self.assertEqual(
            7, self.operator.run("explain", folder, "--entry=customer/who")
        )

    def test_status_shows_nodes_and_failure_domains(self):
        self.node.answers["status"] = fake_operator.fleet_status(
            4, "in-force", "unknown"
        )
        self.assertEqual(0, self.operator.run("status"))
        self.assertIn("north: in-force", self.operator.output)
        self.assertIn("south: unknown", self.operator.output)
        self.assertIn("not reached: 10.0.0.9:1#a", self.operator.output)

    def test_the_node_url_comes_from_option_variable_or_default(self):
        self.node.answers["status"] = fake_operator.fleet_status(4)
        self.operator.run("status")
        self.operator.environment["CYCLAMENDALE_NODE_URL"] = "http://10.0.0.1"
        self.operator.run("status")
        self.operator.run("status", "--node=http://10.0.0.2")
        self.assertEqual(
            ["http://127.0.0.1:8082", "http://10.0.0.1", "http://10.0.0.2"],
            self.operator.services.urls,
        )

    def test_the_help_of_every_command_lists_exit_codes(self):
        for command in application.COMMANDS:
            self.assertEqual(0, self.operator.run(command.name, "--help"))
            self.assertIn("Exit codes: 0", self.operator.output)

    def test_an_internal_error_has_its_own_exit_code(self):
        self.operator.services.node = None
        self.assertEqual(70, self.operator.run("status"))

    def test_an_interrupt_has_its_own_exit_code(self):
        def interrupted(_):
            raise KeyboardInterrupt

        self.operator.services.run = interrupted
        self.assertEqual(130, self.operator.run("status"))

    def test_every_publish_error_has_an_exit_code_and_a_message(self):
        for kind in changes.PublishErrorKind:
            fault = faults.NotPublished(kind)
            self.assertNotEqual(0, fault.exit_code)
            self.assertEqual(1, len(list(fault.lines())))

    def test_the_operators_page_describes_commands_options_and_codes(self):
        page = (fake_operator.ROOT / "docs/operators/commands.md").read_text()
        for command in application.COMMANDS:
            section = page.partition(f"\n## `{command.name}`\n")[2]
            section = section.partition("\n## ")[0]
            made = command(lambda: None, {})
            with self.subTest(command=command.name):
                self.assertNotEqual("", section)
                for option in made.definition.options:
                    if option.name not in ("json", "node", "platform"):
                        self.assertIn(f"`--{option.name}", section)
        for code in exit_codes.ExitCode:
            self.assertIn(f"\n| {code.value} | ", page)


_INVALID_ARGUMENTS = {
    "since": ("timeline", "--since=yesterday"),
    "since out of range": ("timeline", "--since=9999999999d"),
    "limit": ("timeline", "--limit=0"),
    "request": ("explain", "--request="),
    "entry": ("explain", "--entry=masons"),
    "node": ("status", "--node=ftp://x"),
    "command": ("statsu",),
}


class InvalidArgumentTest(testscenarios.WithScenarios, NodeCommandCase):
    scenarios = [
        (name, {"words": words}) for name, words in _INVALID_ARGUMENTS.items()
    ]

    def test_an_invalid_argument_is_a_usage_error(self):
        self.assertEqual(2, self.operator.run(*self.words))
        self.assertNotEqual("", self.operator.errors)
        self.assertEqual([], self.node.requests)


class ClosingProtocol(protocol.Protocol):
    """Closes the connection after a part of a response."""

    def dataReceived(self, data):
        self.transport.write(self.factory.part)
        self.transport.loseConnection()


def _closing(part):
    factory = protocol.Factory.forProtocol(ClosingProtocol)
    factory.part = part
    return factory


STATUS_BODY = b'{"version":4,"nodes":[],"unreachable":[],"failure_domains":[]}'


class MalformedProtocol(protocol.Protocol):
    """Sends a response with a given status line and header line."""

    def dataReceived(self, data):
        self.transport.write(
            b"%s\r\n%s\r\ncontent-length: %d\r\n\r\n%s"
            % (*self.factory.lines, len(STATUS_BODY), STATUS_BODY)
        )


def _malformed(status_line, line):
    factory = protocol.Factory.forProtocol(MalformedProtocol)
    factory.lines = (status_line, line)
    return factory


def _site(body):
    root = resource.Resource()
    if body is not None:
        root.putChild(b"status", static.Data(body, "application/json"))
    return server.Site(root)


class NodeClientTest(testscenarios.WithScenarios, testtools.TestCase):
    run_tests_with = (
        twistedsupport.AsynchronousDeferredRunTestForBrokenTwisted.make_factory(
            timeout=20
        )
    )
    scenarios = (
        [
            (
                "not JSON",
                {"factory": _site(b"<html>"), "problem": "unreadable"},
            ),
            (
                "other JSON",
                {"factory": _site(b'{"x":1}'), "problem": "unreadable"},
            ),
            ("empty", {"factory": _site(b""), "problem": "unreadable"}),
            ("unknown path", {"factory": _site(None), "problem": "rejected"}),
            (
                "truncated",
                {
                    "factory": _closing(
                        b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{"
                    ),
                    "problem": "unreadable",
                },
            ),
        ]
        + [
            (
                f"malformed: {name}",
                {"factory": _malformed(line, b"a: b"), "problem": "unreadable"},
            )
            for name, line in heads.BROKEN_STATUSES + heads.BROKEN_VERSIONS
        ]
        + [
            (
                f"malformed: {name}",
                {
                    "factory": _malformed(heads.STATUS_LINE, line),
                    "problem": "unreadable",
                },
            )
            for name, line in heads.BROKEN_LINES
        ]
        + [
            (
                "closed without a length",
                {
                    "factory": _closing(
                        b"HTTP/1.1 200 OK\r\n\r\n" + STATUS_BODY
                    ),
                    "problem": "unreadable",
                },
            ),
            (
                "closed within a chunk",
                {
                    "factory": _closing(
                        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
                        b"\r\n9\r\n{"
                    ),
                    "problem": "unreadable",
                },
            ),
            (
                "no answer",
                {
                    "factory": protocol.Factory.forProtocol(protocol.Protocol),
                    "problem": "timeout",
                    "timeout_s": 0.05,
                },
            ),
            ("not listening", {"factory": None, "problem": "unreachable"}),
            (
                "valid",
                {
                    "factory": _site(STATUS_BODY),
                    "problem": None,
                },
            ),
        ]
    )
    timeout_s = 10.0

    @defer.inlineCallbacks
    def test_every_kind_of_answer_gives_a_typed_result(self):
        factory = self.factory or protocol.Factory()
        port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        url = f"http://127.0.0.1:{port.getHost().port}"
        if self.factory is None:
            yield port.stopListening()
        else:
            self.addCleanup(port.stopListening)
        client = node_client.make_node_client(reactor, url, self.timeout_s)
        result = yield client.status(4)
        if self.problem is None:
            self.assertEqual(4, result.ok.version)
        else:
            self.assertEqual(self.problem, result.error.problem.value)
            self.assertEqual(6, result.error.exit_code)
