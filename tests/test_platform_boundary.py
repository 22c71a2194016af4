"""Tests that only the adapter's folder contains names of the platform."""

from __future__ import annotations

import pathlib
import re

import testtools

SOURCES = pathlib.Path(__file__).resolve().parent.parent / "src/cyclamendale"

PLATFORM_IDENTIFIERS = re.compile(
    r"rows-(tx|get|feed|parts)|Instances\.|CYCLAMENDALE_BOOT|X-Cyclamendale-"
    r"|virtual_hosts|weighted_split|api_keys|auth_exempt|internal_ports"
    r"|heartbeat_addr|record_version"
)
PLATFORM_TERMS = re.compile(
    r"\b(tenants?|sidecars?|geos?|payoffs?|boots?)\b", re.I
)


def files_outside_the_adapter():
    for path in sorted(SOURCES.rglob("*.py")):
        parts = path.relative_to(SOURCES).parts
        if parts[0] != "platform" and "generated" not in parts:
            yield path


class BoundaryTest(testtools.TestCase):
    scenarios = [
        ("identifiers on the wire", {"pattern": PLATFORM_IDENTIFIERS}),
        ("terms of its documentation", {"pattern": PLATFORM_TERMS}),
    ]

    def test_no_file_outside_the_adapter_contains_platform_names(self):
        found = [
            f"{path.name}: {match.group()}"
            for path in files_outside_the_adapter()
            for match in self.pattern.finditer(path.read_text())
            # This prefix is also that of the product's own headers.
            if match.group() != "X-Cyclamendale-"
        ]
        self.assertEqual([], found)
