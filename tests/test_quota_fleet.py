"""Quota controllers of a small fleet: admission, refusals and handover."""

from __future__ import annotations

import testtools

from cyclamendale import refusals
from cyclamendale.quotas import shard_row
from tests.support import quota_fleet

DOMAINS = [("east", 1.0), ("west", 1.0)]
CUSTOMER = "acme"
RATE_PER_S = 100.0
BURST = 100.0


def make_fleet(domains="east west", **kwargs):
    """Returns a fleet with one node per named domain."""
    configuration = quota_fleet.make_configuration(
        customers=[(CUSTOMER, RATE_PER_S, BURST)],
        domains=DOMAINS,
        quota_shards=1,
    )
    fleet = quota_fleet.QuotaFleet(configuration, **kwargs)
    for domain in domains.split():
        fleet.add(domain)
    return fleet


def send_requests(fleet, nodes, rate_per_s, seconds):
    """Sends requests at a constant rate, to the nodes in turn."""
    for index in range(round(rate_per_s * seconds)):
        nodes[index % len(nodes)].ask(CUSTOMER)
        fleet.run(1 / rate_per_s, step_s=min(0.005, 1 / rate_per_s))


class ServiceTest(testtools.TestCase):
    def test_one_node_admits_its_first_request_soon_after_start(self):
        fleet = make_fleet("east")
        fleet.nodes[0].ask(CUSTOMER)
        fleet.run(1.0)
        self.assertEqual(1, len(fleet.admitted[CUSTOMER]))

    def test_all_nodes_admit_their_first_request_soon_after_start(self):
        fleet = make_fleet("east east west west east")
        for node in fleet.nodes:
            node.ask(CUSTOMER)
        fleet.run(1.0)
        self.assertEqual(5, len(fleet.admitted[CUSTOMER]))

    def test_new_customer_is_admitted_after_one_draw(self):
        fleet = make_fleet("east east west west")
        fleet.run(5.0)
        fleet.replace(
            quota_fleet.make_configuration(
                2, [("fresh", 100.0, 100.0)], DOMAINS, quota_shards=1
            )
        )
        for node in fleet.nodes:
            node.ask("fresh")
        fleet.run(0.1, step_s=0.001)
        self.assertEqual(4, len(fleet.admitted["fresh"]))

    def test_active_customer_is_admitted_without_waiting(self):
        fleet = make_fleet("east west west")
        node = fleet.nodes[2]
        send_requests(fleet, [node], 40.0, 3.0)
        waited = 0
        for _ in range(40):
            asked = node.quotas.admit(CUSTOMER, node.clock.now_s() + 1.0)
            waited += asked is not None
            fleet.run(0.025, step_s=0.005)
        self.assertEqual(0, waited)

    def test_demand_in_one_domain_borrows_from_the_others(self):
        fleet = make_fleet()
        fleet.run(2.0)
        send_requests(fleet, fleet.nodes[:1], 80.0, 10.0)
        self.assertEqual([], fleet.refused[CUSTOMER])

    def test_refusal_names_the_deciding_file_and_when_to_retry(self):
        fleet = make_fleet()
        send_requests(fleet, fleet.nodes, 400.0, 2.0)
        _, refusal = fleet.refused[CUSTOMER][0]
        self.assertEqual(refusals.RefusalReason.QUOTA, refusal.reason)
        self.assertEqual("customer-acme.toml@1", str(refusal.decider))
        self.assertGreater(refusal.retry_after_s, 0)

    def test_refusal_reason_shows_that_no_holder_is_reachable(self):
        fleet = make_fleet()
        fleet.table.down = True
        fleet.nodes[0].ask(CUSTOMER)
        fleet.run(2.0)
        _, refusal = fleet.refused[CUSTOMER][0]
        self.assertEqual(
            refusals.RefusalReason.QUOTA_UNAVAILABLE, refusal.reason
        )

    def test_overload_is_admitted_up_to_burst_and_rate(self):
        fleet = make_fleet("east east west")
        send_requests(fleet, fleet.nodes, 500.0, 10.0)
        admitted = fleet.admitted[CUSTOMER]
        excess = quota_fleet.worst_excess(admitted, RATE_PER_S, BURST)
        self.assertEqual(0.0, excess)
        self.assertGreater(len(admitted), 0.9 * RATE_PER_S * 10.0)


class HandoverTest(testtools.TestCase):
    def test_stopped_holder_leaves_its_full_share_to_its_successor(self):
        fleet = make_fleet("east east")
        fleet.run(3.0)
        key = shard_row.lease_key("east", 0)
        before = shard_row.decode_row(fleet.table.rows[key].value).ok
        holder = next(
            node for node in fleet.nodes if node.member.node == before.holder
        )
        stopped = []
        holder.quotas.stop().addCallback(stopped.append)
        fleet.run(0.2)
        after = shard_row.decode_row(fleet.table.rows[key].value).ok
        self.assertEqual([None], stopped)
        self.assertNotIn(after.holder, (before.holder, shard_row.NO_HOLDER))
        self.assertEqual((), after.retained)
        self.assertEqual(before.units, after.units)

    def test_new_process_at_the_same_address_gets_the_full_share(self):
        fleet = make_fleet("east")
        fleet.run(3.0)
        old = fleet.nodes[0]
        old.crash()
        fleet.add("east", address=old.member.address).ask(CUSTOMER)
        fleet.run(1.0)
        self.assertEqual(1, len(fleet.admitted[CUSTOMER]))
