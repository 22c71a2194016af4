"""Quotas under faults: the bound holds, and service recovers."""

from __future__ import annotations

import testtools

from cyclamendale import ids
from cyclamendale.intents import model
from cyclamendale.peer import kinds
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares
from tests.support import quota_fleet

CUSTOMER = "acme"
RATE_PER_S = 100.0
BURST = 100.0
ONE_DOMAIN = [("east", 1.0)]
TWO_DOMAINS = [("east", 1.0), ("west", 1.0)]


def make_fleet(placement, domains, rates=None, shard_count=1):
    """Returns a fleet after 2 s of operation."""
    configuration = quota_fleet.make_configuration(
        customers=[(CUSTOMER, RATE_PER_S, BURST)],
        domains=domains,
        quota_shards=shard_count,
    )
    fleet = quota_fleet.QuotaFleet(configuration)
    for index, domain in enumerate(placement.split()):
        fleet.add(domain, rates[index] if rates else 1.0)
    fleet.run(2.0)
    return fleet


def row_of(fleet, domain="east", shard=0):
    key = shard_row.lease_key(domain, shard)
    return shard_row.decode_row(fleet.table.rows[key].value).ok


def holder_of(fleet, domain="east"):
    row = row_of(fleet, domain)
    return next(node for node in fleet.nodes if node.member.node == row.holder)


def overload(fleet, seconds, step_s=0.02):
    """Sends the full rate to every node; returns the number admitted."""
    before = len(fleet.admitted[CUSTOMER])
    for _ in range(round(seconds / step_s)):
        for node in fleet.nodes:
            for _ in range(round(RATE_PER_S * step_s)):
                node.ask(CUSTOMER, 0.2)
        fleet.run(step_s, step_s / 5)
    return len(fleet.admitted[CUSTOMER]) - before


def run_through_takeover(fleet, seconds=20.0):
    """Waits until leases lapse and are taken over, under load at both ends."""
    overload(fleet, 1.0)
    fleet.run(seconds - 3.0, 0.05)
    overload(fleet, 2.0)


def measured_excess(fleet, rate_per_s=RATE_PER_S, burst=BURST):
    return quota_fleet.worst_excess(fleet.admitted[CUSTOMER], rate_per_s, burst)


class StoreFaultTest(testtools.TestCase):
    """Faults of the store and of the holder, alone and combined.

    Each scenario gives the minimum fraction of the rate that the fleet must
    admit during the fault and after it.
    """

    scenarios = [
        ("store down", {"faults": ["store"], "during": 0.70, "after": 0.95}),
        ("holder cut off from store", {"faults": ["cut"], "during": 0.70}),
        ("holder paused", {"faults": ["pause"], "during": 0.20}),
        ("holder crashed", {"faults": ["crash"], "during": 0.20}),
        (
            "store down while holder paused",
            {"faults": ["store", "pause"], "during": 0.0},
        ),
        (
            "holder crashed while store down",
            {"faults": ["store", "crash"], "during": 0.0, "after": 0.20},
        ),
        (
            "holder cut off from store and peers",
            {"faults": ["cut", "peers"], "during": 0.20},
        ),
    ]

    def test_bound_holds_and_service_recovers(self):
        fleet = make_fleet("east east east", ONE_DOMAIN, [0.98, 1.0, 1.02])
        holder = holder_of(fleet)
        self.inject_faults(fleet, holder)
        run_through_takeover(fleet)
        during = overload(fleet, 5.0) / (5.0 * RATE_PER_S)
        self.clear_faults(fleet, holder)
        run_through_takeover(fleet)
        after = overload(fleet, 5.0) / (5.0 * RATE_PER_S)
        self.assertLessEqual(measured_excess(fleet), 0.0)
        self.assertGreaterEqual(during, self.during)
        self.assertGreaterEqual(after, self.expected_after)

    @property
    def expected_after(self):
        lost = "crash" in self.faults
        return getattr(self, "after", 0.20 if lost else 0.90)

    def inject_faults(self, fleet, holder):
        address = holder.member.address
        for fault in self.faults:
            if fault == "store":
                fleet.table.down = True
            elif fault == "cut":
                holder.table.cut = True
            elif fault == "pause":
                holder.clock.paused = True
            elif fault == "crash":
                holder.crash()
            elif fault == "peers":
                fleet.wires.lose = lambda source, target, kind, is_reply: (
                    address in (source, target)
                )

    def clear_faults(self, fleet, holder):
        fleet.table.down = False
        holder.table.cut = False
        fleet.wires.lose = lambda source, target, kind, is_reply: False
        holder.clock.resume()


class LostAnswerTest(testtools.TestCase):
    """Answers of table writes are lost, or writes take effect late."""

    scenarios = [
        (f"{how} {count}", {"how": how, "count": count})
        for how in ("lose_answers", "late_writes")
        for count in (1, 2, 3, 4, 6)
    ]

    def test_start_and_renewals_survive_lost_write_answers(self):
        fleet = make_fleet("", ONE_DOMAIN)
        for _ in range(2):
            setattr(fleet.add("east").table, self.how, self.count)
        run_through_takeover(fleet)
        admitted = overload(fleet, 5.0)
        self.assertLessEqual(measured_excess(fleet), 0.0)
        self.assertGreaterEqual(admitted, 0.95 * 5.0 * RATE_PER_S)
        self.assertEqual((), row_of(fleet).retained)

    def test_handover_survives_lost_write_answers(self):
        fleet = make_fleet("east east", ONE_DOMAIN)
        holder = holder_of(fleet)
        setattr(holder.table, self.how, self.count)
        holder.quotas.stop()
        run_through_takeover(fleet, 8.0)
        fleet.nodes.remove(holder)
        holder.crash()
        run_through_takeover(fleet)
        self.assertLessEqual(measured_excess(fleet), 0.0)


class LongOutageTest(testtools.TestCase):
    def test_retained_share_lasts_ten_minutes_without_the_store(self):
        fleet = make_fleet("east west", TWO_DOMAINS)
        fleet.table.down = True
        fleet.run(590.0, 0.1)
        admitted = overload(fleet, 10.0)
        self.assertGreaterEqual(admitted, 0.70 * 10.0 * RATE_PER_S)
        self.assertLessEqual(measured_excess(fleet), 0.0)
        fleet.table.down = False
        fleet.run(5.0)
        self.assertEqual(shares.SHARE_UNITS, row_of(fleet).units)
        self.assertGreaterEqual(overload(fleet, 5.0), 0.95 * 5.0 * RATE_PER_S)

    def test_partitioned_domain_keeps_its_share(self):
        fleet = make_fleet("east west west", TWO_DOMAINS)
        east = fleet.nodes[0]
        fleet.wires.lose = lambda source, target, kind, is_reply: (
            east.member.address in (source, target)
        )
        east.table.cut = True
        fleet.run(60.0, 0.1)
        before = len(fleet.admitted[CUSTOMER])
        for _ in range(500):
            east.ask(CUSTOMER)
            fleet.run(0.01, 0.005)
        admitted = len(fleet.admitted[CUSTOMER]) - before
        self.assertGreaterEqual(admitted, 0.70 * 0.5 * RATE_PER_S * 5.0)


class ChangeTest(testtools.TestCase):
    def change(self, fleet, nodes, domains, shard_count=1):
        configuration = quota_fleet.make_configuration(
            fleet.configuration.version + 1,
            [(CUSTOMER, RATE_PER_S, BURST)],
            domains,
            quota_shards=shard_count,
        )
        for node in nodes:
            node.configuration.replace(configuration)

    def test_domain_share_grows_only_after_the_others_shrink(self):
        fleet = make_fleet("east west", TWO_DOMAINS)
        east, west = fleet.nodes
        heavier = [("east", 9.0), ("west", 1.0)]
        self.change(fleet, [east], heavier)
        run_through_takeover(fleet)
        self.assertEqual(2, len(row_of(fleet).divisions))
        self.change(fleet, [west], heavier)
        run_through_takeover(fleet)
        self.assertEqual(1, len(row_of(fleet).divisions))
        self.assertLessEqual(measured_excess(fleet), 0.0)

    def test_paused_holder_with_old_weights_keeps_others_from_growing(self):
        fleet = make_fleet("east west west", TWO_DOMAINS)
        holder = holder_of(fleet, "west")
        others = [node for node in fleet.nodes if node is not holder]
        holder.table.cut = True
        self.change(fleet, others, [("east", 9.0), ("west", 1.0)])
        run_through_takeover(fleet, 30.0)
        self.assertLessEqual(measured_excess(fleet), 0.0)

    def test_customer_that_moves_to_a_new_shard_gets_no_second_burst(self):
        fleet = make_fleet("east east", ONE_DOMAIN)
        count = next(
            count
            for count in range(2, 99)
            if shares.shard_of(ids.CustomerId(CUSTOMER), count)
        )
        for shard_count in (count, 1, count):
            overload(fleet, 3.0)
            self.change(fleet, fleet.nodes, ONE_DOMAIN, shard_count)
        self.assertGreater(overload(fleet, 10.0), 5.0 * RATE_PER_S)
        self.assertLessEqual(measured_excess(fleet), 0.0)

    def test_new_domain_starts_without_a_share_of_its_own(self):
        fleet = make_fleet("east east", ONE_DOMAIN)
        fleet.configuration = quota_fleet.make_configuration(
            2, [(CUSTOMER, RATE_PER_S, BURST)], TWO_DOMAINS, quota_shards=1
        )
        fleet.add("west")
        overload(fleet, 10.0)
        fleet.replace(fleet.configuration)
        overload(fleet, 10.0)
        self.assertEqual(1, len(row_of(fleet, "west").divisions))
        self.assertLessEqual(measured_excess(fleet), 0.0)


class SuccessorTest(testtools.TestCase):
    def test_successor_of_a_gone_holder_starts_empty(self):
        fleet = make_fleet("east east", ONE_DOMAIN)
        holder = holder_of(fleet)
        overload(fleet, 1.0)
        fleet.run(1.0)
        fleet.nodes.remove(holder)
        overload(fleet, 0.1)
        holder.crash()
        configuration = model.Configuration(
            version=2,
            customers=fleet.configuration.customers,
            failure_domains=fleet.configuration.failure_domains,
            defaults=fleet.configuration.defaults,
            gone={holder.member.node: model.Gone(holder.member.node)},
        )
        fleet.replace(configuration)
        overload(fleet, 6.0)
        row = row_of(fleet)
        self.assertEqual(shares.SHARE_UNITS, row.units)
        self.assertLessEqual(measured_excess(fleet), 0.0)

    def test_graceful_successor_starts_empty(self):
        fleet = make_fleet("east east", ONE_DOMAIN)
        fleet.run(1.0)
        holder = holder_of(fleet)
        overload(fleet, 0.1)
        holder.quotas.stop()
        overload(fleet, 5.0)
        self.assertLessEqual(measured_excess(fleet), 0.0)

    def test_row_of_a_newer_format_is_not_modified(self):
        fleet = make_fleet("east east", ONE_DOMAIN)
        key = shard_row.lease_key("east", 0)
        value = shard_row.encode_row(
            shard_row.msgspec.structs.replace(row_of(fleet), format=2)
        )
        fleet.table.rows[key] = quota_fleet.table.Row(key, value, 1000)
        run_through_takeover(fleet, 30.0)
        self.assertEqual(value, fleet.table.rows[key].value)

    def test_loans_at_the_same_time_never_exceed_the_bucket(self):
        fleet = make_fleet("east west", TWO_DOMAINS)
        east, west = fleet.nodes
        want = ttypes.QuotaWant(0, CUSTOMER, 40, 40)
        answers = []
        for _ in range(3):
            west.peer.request(
                east.member.address,
                kinds.MessageKind.QUOTA_BORROW,
                ttypes.QuotaDrawRequest([want]),
                ttypes.QuotaDrawReply,
                1.0,
            ).addCallback(answers.append)
        fleet.run(0.1)
        lent = sum(
            grant.tokens for answer in answers for grant in answer.ok.grants
        )
        self.assertLessEqual(lent, BURST / 2)

    def test_return_to_another_epoch_is_not_credited(self):
        fleet = make_fleet("east east", ONE_DOMAIN)
        holder = holder_of(fleet)
        overload(fleet, 0.2)
        entries = [
            ttypes.QuotaReturn(0, epoch, grant_id, 5)
            for epoch in (0, 2)
            for grant_id in range(1, 100)
        ]
        answers = []
        fleet.nodes[0].peer.request(
            holder.member.address,
            kinds.MessageKind.QUOTA_RETURN,
            ttypes.QuotaReturnRequest(entries),
            ttypes.QuotaReturnReply,
            1.0,
        ).addCallback(answers.append)
        fleet.run(0.1)
        self.assertEqual(0, answers[0].ok.credited)
