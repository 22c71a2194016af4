"""An operator's command line against fakes of the platform and a node."""

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
    """Answers with what a test sets.

    Attributes:
        answers: Results by the name of the question; a list is used up.
        requests: The questions, with their arguments.
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
    """A platform in memory, on a virtual clock, and one node."""

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
    """Runs commands and keeps what they printed.

    Attributes:
        services: The fakes behind the commands.
        environment: Environment variables.
        output: What the last command printed.
        errors: What it printed on standard error.
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
        """Returns the exit code of a command."""
        line = " ".join(f"'{word}'" for word in words)
        code = self._tester.execute(line, inputs=inputs, interactive=False)
        self.output = self._tester.io.fetch_output()
        self.errors = self._tester.io.fetch_error()
        return code

    def json(self, *words, inputs=None):
        """Returns the exit code of a command and its JSON."""
        code = self.run(*words, "--json", inputs=inputs)
        return code, json.loads(self.output)

    def file(self, name, text):
        """Writes a file; returns its path."""
        path = pathlib.Path(self._folder.name) / name
        path.write_text(text)
        return str(path)

    def in_force(self):
        """Returns version and configuration that the platform holds."""
        fakes = self.services
        read = fakes.run(lambda: fakes.publisher(PLATFORM_URL).read()).ok
        return read.version, merge.validate(read.files).ok


def fleet_status(version, *reaches):
    """Returns a node's answer about `north` and further failure domains."""
    names = ("north", "south", "west")
    domains = [
        timeline.FailureDomainStatus(name, timeline.Reach(reach), version)
        for name, reach in zip(names, reaches, strict=False)
    ]
    return Ok(timeline.FleetStatus(version, [], ["10.0.0.9:1#a"], domains))
