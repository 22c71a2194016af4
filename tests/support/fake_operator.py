"""Operator commands run against a fake platform and a fake node."""

from __future__ import annotations

import json
import pathlib
import random
import tempfile

from cleo.testers import application_tester
from expression import Ok
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import timeline
from cyclamendale.cli import application
from cyclamendale.cli import services
from cyclamendale.configuration import publisher
from cyclamendale.intents import merge
from tests.support import fake_platform

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
QUICKSTART = str(ROOT / "examples/quickstart")
PLATFORM_URL = "http://127.0.0.1:9"
NODE_URL = "http://127.0.0.1:8082"


class FakeNode(services.NodeClient):
    """Node client with scripted answers.

    Attributes:
        answers: Result by request name; each request takes the next item
            of a list.
        requests: Name and arguments of each request, in order.
    """

    def __init__(self):
        self.answers = {}
        self.requests = []

    def _answer(self, name, *arguments):
        self.requests.append((name, *arguments))
        answer = self.answers[name]
        if isinstance(answer, list):
            answer = answer.pop(0)
        return defer.succeed(answer)

    def status(self, version=None):
        return self._answer("status", version)

    def merged_timeline(self, query):
        return self._answer("timeline", query)

    def configuration(self, kind, name):
        return self._answer("configuration", kind, name)


class FakeServices(services.Services):
    """Services with an in-memory platform, a virtual clock and one node.

    Attributes:
        urls: Platform and node URLs that the commands used, in order.
    """

    def __init__(self):
        self.platform = fake_platform.MemoryPlatform()
        self.fake_node = FakeNode()
        self.urls = []

    @property
    def clock(self):
        return clocks.ReactorClock(self.platform.task_clock)

    def run(self, flow):
        results = []
        finished = flow().addBoth(results.append)
        self.platform.result(finished)
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def publisher(self, platform_url):
        self.urls.append(platform_url)
        return publisher.make_publisher(
            self.platform.table,
            self.platform.objects,
            self.clock,
            random.Random(1),
            merge.validate,
        )

    def node(self, url):
        self.urls.append(url)
        return self.fake_node


class Operator:
    """Runs commands and records their output.

    Attributes:
        services: Fake services that the commands use.
        environment: Environment variables of the commands.
        output: Standard output of the last command.
        errors: Standard error of the last command.
        close: Removes the temporary folder of `file`.
    """

    def __init__(self):
        self.services = FakeServices()
        self.environment = {
            "CYCLAMENDALE_PLATFORM_URL": PLATFORM_URL,
            "CYCLAMENDALE_WRITER": "malee",
        }
        made = application.make_application(
            lambda: self.services, self.environment
        )
        self._tester = application_tester.ApplicationTester(made)
        self._folder = tempfile.TemporaryDirectory()
        self.close = self._folder.cleanup

    def run(self, *words, inputs=None):
        """Runs a command; returns its exit code."""
        line = " ".join(f"'{word}'" for word in words)
        code = self._tester.execute(line, inputs=inputs, interactive=False)
        self.output = self._tester.io.fetch_output()
        self.errors = self._tester.io.fetch_error()
        return code

    def json(self, *words, inputs=None):
        """Runs a command with `--json`; returns exit code and report."""
        code = self.run(*words, "--json", inputs=inputs)
        return code, json.loads(self.output)

    def file(self, name, text):
        """Writes a temporary file; returns its path."""
        path = pathlib.Path(self._folder.name) / name
        path.write_text(text)
        return str(path)

    def in_force(self):
        """Returns the version and the configuration on the platform."""
        fakes = self.services
        read = fakes.run(lambda: fakes.publisher(PLATFORM_URL).read()).ok
        return read.version, merge.validate(read.files).ok


def fleet_status(version, *reaches):
    """Returns a fleet status; `reaches` are those of north, south, west."""
    names = ("north", "south", "west")
    domains = [
        timeline.FailureDomainStatus(name, timeline.Reach(reach), version)
        for name, reach in zip(names, reaches, strict=False)
    ]
    return Ok(timeline.FleetStatus(version, [], ["10.0.0.9:1#a"], domains))
