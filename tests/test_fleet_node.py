"""Two complete nodes in one process, from discovery to served requests."""

from __future__ import annotations

import json

from twisted.internet import defer

from tests.support import fleet_nodes


class FleetNodeTest(fleet_nodes.FleetNodeCase):
    def test_a_start_says_at_which_address_others_name_the_node(self):
        # Lines of other nodes name hosts by address; no line told whose it is.
        starts = [
            fields for event, fields in self.log.lines if event == "start"
        ]
        self.assertEqual(
            [f"{self.block}.1:9004", f"{self.block}.2:9004"],
            [fields["address"] for fields in starts],
        )

    @defer.inlineCallbacks
    def test_a_request_is_served_by_the_upstream_of_another_host(self):
        status, _ = yield self.get_readiness(1)
        self.assertEqual(503, status)
        status, _ = yield self.send_read()
        self.assertEqual(503, status)
        self.publish(fleet_nodes.manifest_bytes())
        for index in (1, 2):
            yield self.until_status(
                lambda index=index: self.get_readiness(index), 200
            )
        status, _ = yield self.announce()
        self.assertEqual(200, status)
        body = yield self.until_status(self.send_read, 200)
        lines = json.loads(body)
        self.assertIn("X-Cyclamendale-Tenant-Id: big", lines)
        self.assertIn("X-Cyclamendale-Caller-Service: wash", lines)
        self.assertIn("X-Cyclamendale-Expected-Instance: i-1", lines)
        self.assertNotIn("k1", body.decode())
        status, _ = yield self.send_read(key="other")
        self.assertEqual(401, status)
        _, metrics = yield self.send(1, 9005, "GET", "/metrics")
        self.assertIn(b'outcome="answered",why="2xx"', metrics)

    @defer.inlineCallbacks
    def test_a_draining_upstream_gets_no_request_once_confirmed(self):
        self.publish(fleet_nodes.manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        status, _ = yield self.announce("draining", 2)
        self.assertEqual(200, status)
        status, _ = yield self.send_read()
        self.assertEqual(503, status)

    @defer.inlineCallbacks
    def test_a_valid_change_is_applied_and_an_invalid_one_is_not(self):
        self.publish(fleet_nodes.manifest_bytes())
        yield self.announce()
        yield self.until_status(self.send_read, 200)
        self.publish(fleet_nodes.manifest_bytes(9)[:-9])
        self.publish(fleet_nodes.manifest_bytes(8, service="dry"))
        # No upstream of the other service was announced.
        yield self.until_status(self.send_read, 503)
        self.assertIn("configuration-invalid", self.log.events())
        self.assertNotIn("defect", self.log.events())
