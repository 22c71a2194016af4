"""Digests: their encoding, and what a node makes of them."""

from __future__ import annotations

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.fleet import digest_builder
from cyclamendale.fleet import digests
from cyclamendale.fleet import hosts
from cyclamendale.overload import retry_usage
from tests.support import digest_samples

OWN, OTHER = digest_samples.OWN, digest_samples.OTHER
AGGREGATOR = digest_samples.AGGREGATOR
upstream, report = digest_samples.upstream, digest_samples.report
entry, digest = digest_samples.entry, digest_samples.digest


class ViewCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        self.clock = clocks.ReactorClock(self.reactor)
        self.view = hosts.HostView(self.clock, OWN, "north")

    def names(self):
        return [found.upstream_id for found in self.view.candidates("wash")]

    def advance(self, duration_s):
        self.reactor.advance(duration_s)
        self.view.refresh()


class EntryTest(testtools.TestCase):
    scenarios = [
        ("idle", {"entry": entry(at_gate=0, service_time_s=0.0)}),
        ("flags", {"entry": entry(is_open=False, is_cold=True,
                                  is_leaving=True)}),
        ("large numbers", {"entry": entry(
            incarnation=2**31 - 1, sequence=2**16 - 1, profile=255,
            at_gate=255)}),
    ]  # fmt: skip

    def test_keeps_its_values(self):
        (found,) = digests.unpack_entries(digests.pack_entries([self.entry]))
        self.assertEqual(
            self.entry._replace(service_time_s=0.0),
            found._replace(service_time_s=0.0),
        )
        self.assertAlmostEqual(
            self.entry.service_time_s,
            found.service_time_s,
            delta=0.06 * self.entry.service_time_s,
        )

    def test_takes_ten_bytes(self):
        self.assertEqual(10, len(digests.pack_entries([self.entry])))


class PackingLimitTest(testtools.TestCase):
    def test_values_out_of_range_are_capped(self):
        packed = digests.pack_entries(
            [entry(sequence=2**16 + 5, profile=257, at_gate=900,
                   service_time_s=1e9)]
        )  # fmt: skip
        (found,) = digests.unpack_entries(packed + b"rest")
        self.assertEqual((5, 1, 255), (found[1], found[2], found[3]))
        self.assertGreater(found.service_time_s, 60.0)


class SequenceTest(testtools.TestCase):
    scenarios = [
        ("next", {"told": 6, "known": 5, "is_newer": True}),
        ("same", {"told": 5, "known": 5, "is_newer": False}),
        ("earlier", {"told": 4, "known": 5, "is_newer": False}),
        ("wrapped", {"told": 3, "known": 65_530, "is_newer": True}),
        ("earlier, wrapped", {
            "told": 65_530, "known": 65_539, "is_newer": False}),
        ("known is beyond a wrap", {
            "told": 4, "known": 65_539, "is_newer": True}),
    ]  # fmt: skip

    def test_order(self):
        self.assertEqual(
            self.is_newer, digests.is_newer_sequence(self.told, self.known)
        )


class ApplyTest(ViewCase):
    """Digests change what reports told, in the order of the reports."""

    scenarios = [
        (name, {"digests": told, "names": names})
        for name, told, names in [
            ("open", [digest(entry())], ["i-1"]),
            ("closed", [digest(entry(is_open=False))], []),
            ("leaving", [digest(entry(is_leaving=True))], []),
            ("closed, earlier than the report",
             [digest(entry(sequence=1, is_open=False))], ["i-1"]),
            ("closed, then open", [
                digest(entry(is_open=False)),
                digest(entry(3), sequence=2)], ["i-1"]),
            ("the same digest twice", [
                digest(entry(is_open=False)), digest(entry(3))], []),
            ("of both aggregators", [
                digest(entry(3, is_open=False)),
                digest(entry(2), incarnation=71)], []),
            ("another profile", [
                digest(entry(profile=2, is_open=False))], ["i-1"]),
            ("another process", [
                digest(entry(incarnation=2, is_open=False))], ["i-1"]),
        ]
    ]  # fmt: skip

    def test_candidates(self):
        self.view.apply_report(report())
        for each in self.digests:
            self.view.apply_digest(each)
        self.assertEqual(self.names, ViewCase.names(self))


class MissingProfileTest(ViewCase):
    def test_names_the_hosts_whose_profile_is_unknown(self):
        self.view.apply_report(report())
        told = digest(entry(), entry(incarnation=5), entry(incarnation=6))
        self.assertEqual([5, 6], self.view.apply_digest(told))
        changed = digest(entry(profile=2), sequence=2)
        self.assertEqual([1], self.view.apply_digest(changed))

    def test_the_profile_is_taken_once_it_comes(self):
        self.view.apply_digest(digest(entry()))
        self.view.apply_report(report())
        self.assertEqual(
            [], self.view.apply_digest(digest(entry(), sequence=2))
        )
        self.assertEqual(["i-1"], self.names())

    def test_an_old_digest_is_ignored(self):
        self.view.apply_digest(digest(sequence=2))
        self.assertIsNone(self.view.apply_digest(digest(entry(), sequence=1)))


class ListedTest(ViewCase):
    """Who is suspect follows the digests of a domain, not their absence."""

    def setUp(self):
        super().setUp()
        for incarnation, address in ((1, OTHER), (2, "10.0.0.3:7")):
            self.view.apply_report(report(1, incarnation, address))

    def tell(self, count, *listed):
        for _ in range(count):
            self.advance(0.5)
            self.told = getattr(self, "told", 0) + 1
            entries = [entry(self.told + 1, each) for each in listed]
            self.view.apply_digest(digest(*entries, sequence=self.told))
        self.view.refresh()

    def test_listed_hosts_are_live(self):
        self.tell(10, 1, 2)
        self.assertEqual({OTHER, "10.0.0.3:7"}, self.view.live_others())

    def test_a_host_that_is_no_longer_listed_is_suspect(self):
        self.tell(4, 1, 2)
        self.tell(4, 1)
        self.assertEqual({OTHER}, self.view.live_others())

    def test_a_missing_digest_makes_no_host_suspect(self):
        self.tell(4, 1, 2)
        self.advance(1.5)
        self.assertEqual({OTHER, "10.0.0.3:7"}, self.view.live_others())

    def test_all_hosts_of_a_silent_domain_are_suspect(self):
        self.tell(4, 1, 2)
        self.advance(2.1)
        self.assertEqual(set(), self.view.live_others())


class OwnAggregatorTest(ViewCase):
    def test_is_suspect_before_the_hosts_that_it_told_of(self):
        addresses = [f"10.0.0.{index}:7" for index in range(2, 6)]
        for index, address in enumerate(addresses):
            self.view.apply_report(
                report(1, index, address, failure_domain="north")
            )
        listed = [entry(2, index) for index in range(4)]
        self.view.apply_digest(digest(*listed, domain="north"))
        self.advance(0.8)
        self.assertEqual(set(addresses[2:]), self.view.live_others())


class SumsTest(ViewCase):
    def sums(self, count, pressure=0, refused=0):
        return [digests.ServiceSums("wash", 0, 0, 0, count, pressure, refused)]

    def test_pressure_is_the_mean_over_all_open_upstreams(self):
        self.view.apply_digest(
            digest(domain="south", services=self.sums(3, 400))
        )
        self.view.apply_digest(digest(domain="north", services=self.sums(1, 0)))
        self.assertAlmostEqual(0.3, self.view.pressure("wash"))

    # Roots were refused for upstreams that take little, although the others
    # of their service had room.
    def test_pressure_is_weighted_by_what_the_upstreams_take(self):
        sums = digests.ServiceSums("wash", 0, 0, 0, 3, 1000, 0, 30)
        self.view.apply_digest(digest(domain="south", services=[sums]))
        sums = digests.ServiceSums("wash", 0, 0, 0, 1, 0, 0, 170)
        self.view.apply_digest(digest(domain="north", services=[sums]))
        self.assertAlmostEqual(0.15, self.view.pressure("wash"))

    def test_refused_share_is_that_of_the_best_upstream(self):
        self.view.apply_digest(
            digest(domain="south", services=self.sums(3, 0, 600))
        )
        self.view.apply_digest(
            digest(domain="north", services=self.sums(1, 0, 500))
        )
        self.view.apply_digest(digest(domain="east", services=self.sums(0)))
        self.assertAlmostEqual(0.5, self.view.refused_share("wash"))

    def test_a_domain_that_fell_silent_counts_no_longer(self):
        self.view.apply_digest(digest(services=self.sums(3, 900)))
        self.advance(hosts.CANDIDATE_EXPIRY_S + 0.1)
        self.assertEqual(0.0, self.view.pressure("wash"))


class BuilderTest(ViewCase):
    def setUp(self):
        super().setUp()
        self.calls = ()
        self.builder = digest_builder.DigestBuilder(
            self.clock, self.view, OWN, "north", 70, 10.0, lambda: 4,
            lambda: self.calls, lambda: 0.0,
        )  # fmt: skip

    def receive(self, *reports):
        for each in reports:
            self.view.apply_report(each)
            self.view.record_contact(each.incarnation)
            self.builder.record(each)

    def listed(self, built):
        return [each[0] for each in digests.unpack_entries(built.entries)]

    def own(self, **more):
        return report(1, 9, OWN, failure_domain="north", **more)

    def test_lists_hosts_that_report_to_it(self):
        self.receive(
            self.own(),
            report(1, 1, OTHER, failure_domain="north"),
            report(1, 2, "10.1.0.1:7"),
        )
        self.assertEqual([9, 1], self.listed(self.builder.build()))
        self.advance(0.5)
        self.assertEqual([9], self.listed(self.builder.build()))

    def test_does_not_list_a_host_that_only_the_other_aggregator_lists(self):
        self.receive(self.own(), report(1, 1, OTHER, failure_domain="north"))
        self.advance(0.5)
        self.view.apply_digest(digest(entry(), domain="north"))
        self.assertEqual([9], self.listed(self.builder.build()))

    def test_sums_the_open_upstreams(self):
        self.receive(
            self.own(upstream=upstream(pressure=0.4, refused_share=0.2)),
            report(1, 1, OTHER, failure_domain="north",
                   upstream=upstream("i-2", pressure=0.2, refused_share=0.1)),
            report(1, 2, "10.0.0.3:7", failure_domain="north",
                   upstream=upstream("i-3", is_open=False, pressure=1.0)),
        )  # fmt: skip
        (sums,) = self.builder.build().services
        self.assertEqual(2, sums.open_count)
        self.assertAlmostEqual(0.3, sums.pressure)
        self.assertAlmostEqual(0.1, sums.refused_share)

    def test_weighs_pressures_by_slots(self):
        self.receive(
            self.own(upstream=upstream(pressure=1.0, slots=10)),
            report(1, 1, OTHER, failure_domain="north",
                   upstream=upstream("i-2", pressure=0.0, slots=90)),
        )  # fmt: skip
        (sums,) = self.builder.build().services
        self.assertAlmostEqual(0.1, sums.pressure)
        self.assertEqual(100, sums.slots)

    def test_sums_the_usage_and_keeps_repeats_of_ended_processes(self):
        def usage(*counts):
            return {"wash": retry_usage.RetryUsage(*counts)}

        self.receive(
            self.own(retries=usage(10, 9, 1)),
            report(1, 1, OTHER, failure_domain="north",
                   retries=usage(20, 8, 2)),
            report(1, 2, OTHER, failure_domain="north", retries=usage(5, 0, 4)),
        )  # fmt: skip
        (sums,) = self.builder.build().services
        self.assertEqual((15, 9), (sums.requests, sums.before))
        self.assertEqual(7, sums.repeats)

    def test_is_complete_after_a_window(self):
        self.assertFalse(self.builder.build().is_complete)
        self.advance(10.0)
        self.assertTrue(self.builder.build().is_complete)

    def test_new_calls_are_told_at_once_others_rarely(self):
        self.assertEqual((), self.builder.build().calls)
        self.assertIsNone(self.builder.build().calls)
        self.calls = (digests.DomainCall("wash", "a", "b", 1.0),)
        self.assertEqual(self.calls, self.builder.build().calls)
        told = [self.builder.build().calls for _ in range(16)]
        self.assertEqual(2, told.count(self.calls))
