"""Contract tests of the platform's settings file."""

from __future__ import annotations

import copy

import msgspec
import testtools

from cyclamendale.platform import settings

FILE = {
    "node_name": "side-north-1",
    "ip": "10.1.0.26",
    "zone": "north",
    "zones": {"north": "r", "south": "r"},
    "listen": {
        "inbound": "10.1.0.26:1",
        "outbound": "10.1.0.26:2",
        "ready": "10.1.0.26:3",
        "control": "10.1.0.26:4",
    },
    "internal_ports": [7000, 7015],
    "first_start": True,
    "heartbeat_s": 1.5,
    "bounds": ["drain_s=2.5", "retry_slack=49", "revoke_everywhere=false"],
    "app_addr": "10.1.0.26:9",
    "service": "wash",
    "platform": {"address": "10.200.1.7:8545", "form": "table"},
    "a_field_of_tomorrow": {"x": 1},
}


def encoded(**changes):
    file = copy.deepcopy(FILE)
    file.update(changes)
    return msgspec.json.encode(file)


class SettingsTest(testtools.TestCase):
    def test_platform_names_are_translated(self):
        loaded = settings.decode(encoded()).ok
        self.assertEqual(
            ("side-north-1", "north", "10.1.0.26:2", "10.1.0.26:7000", "wash"),
            (
                loaded.host,
                loaded.failure_domain,
                loaded.caller_address,
                loaded.peer_address,
                loaded.service,
            ),
        )

    def test_bounds_are_converted_and_unknown_ones_ignored(self):
        bounds = settings.decode(encoded()).ok.bounds
        self.assertEqual(
            (2.5, 49.0, 6.0),
            (bounds.drain_s, bounds.retry_slack, bounds.grace_s),
        )


class MalformedSettingsTest(testtools.TestCase):
    scenarios = [
        ("not JSON", {"data": b"{"}),
        ("no address", {"data": encoded(ip=None)}),
        ("bound without a number", {"data": encoded(bounds=["drain_s=x"])}),
        ("one port", {"data": encoded(internal_ports=[1])}),
        # The node started and was never ready, with a defect as only hint.
        (
            "empty address of the store",
            {"data": encoded(platform={"address": ""})},
        ),
        ("port out of range", {"data": encoded(app_addr="10.1.0.26:70000")}),
        (
            "internal port out of range",
            {"data": encoded(internal_ports=[70000, 70001])},
        ),
        # They raised, so that no log told why nothing started.
        ("endless memory", {"data": encoded(limits={"memory_mb": "inf"})}),
        ("endless bound", {"data": encoded(bounds=["grace_s=inf"])}),
        ("bound that is no number", {"data": encoded(bounds=["grace_s=nan"])}),
        ("host without an IP address", {"data": encoded(ip="host-1")}),
    ]

    def test_gives_a_typed_error(self):
        loaded = settings.decode(self.data)
        self.assertEqual(settings.Problem.MALFORMED, loaded.error.problem)


class PathTest(testtools.TestCase):
    scenarios = [
        ("no variable", {"environment": {},
                         "problem": settings.Problem.NO_PATH}),
        ("no file", {"environment": {settings.PATH_VARIABLE: "/none/x"},
                     "problem": settings.Problem.UNREADABLE}),
    ]  # fmt: skip

    def test_gives_a_typed_error(self):
        loaded = settings.read(self.environment)
        self.assertEqual(self.problem, loaded.error.problem)
