"""Tests of the configuration controller.

They cover spread, the order of versions, readiness and the confirmed age.
"""

from __future__ import annotations

from expression import Error
import testscenarios
import testtools

from cyclamendale.configuration import documents
from cyclamendale.peer import kinds
from cyclamendale.peer.generated.configuration import ttypes
from cyclamendale.store import faults
from cyclamendale.store import table
from tests.support import fake_platform_cluster as fake_cluster
from tests.support import fake_platform_configuration as fake

SPREAD_TARGET_S = 3.0
CONVERGENCE_TARGET_S = 14.0


class ControllerTest(testtools.TestCase):
    sizes = (3, 3)

    def setUp(self):
        super().setUp()
        watch = fake_cluster.no_defects()
        watch.__enter__()
        self.addCleanup(watch.__exit__, None, None, None)
        self.cluster = fake_cluster.Cluster(self.sizes).start()
        self.platform = self.cluster.platform
        self.node = self.cluster.all[0]

    def publish(self, *args, **kwargs):
        return self.platform.publish(*args, **kwargs).ok.version

    def settle(self, version):
        return self.cluster.seconds_until(
            lambda: self.cluster.all_have(version)
        )


class SpreadTest(testscenarios.WithScenarios, ControllerTest):
    scenarios = testscenarios.multiply_scenarios(
        [
            ("two domains of three", {"sizes": (3, 3)}),
            ("single nodes", {"sizes": (1, 1, 1, 1)}),
            ("seven domains", {"sizes": (6,) * 7}),
        ],
        [
            ("all connected", {"cut": ()}),
            ("a domain cut off from the platform", {"cut": ("domain-0",)}),
        ],
    )

    def test_a_change_is_in_force_everywhere_within_the_target(self):
        self.cluster.cut_from_platform(*self.cut)
        for version in range(5):
            self.publish(version, {"a": b"%d" % version})
            took_s = self.settle(version + 1)
            self.assertLess(took_s, SPREAD_TARGET_S)

    def test_platform_confirmations_spread_between_nodes(self):
        self.publish(0, {"a": b"1"})
        self.cluster.cut_from_platform(*self.cut)
        self.cluster.advance(30)
        for node in self.cluster.all:
            age_s = node.controller.confirmed_age_s()
            self.assertLess(age_s, CONVERGENCE_TARGET_S)


class VersionOrderTest(ControllerTest):
    def test_a_lower_version_is_never_adopted(self):
        old = self.publish(0, {"a": b"1"})
        self.settle(old)
        row = self.platform.rows.read(documents.HEAD_KEY)
        version = self.publish(1, {"a": b"2"})
        self.settle(version)
        newer = self.platform.rows.read(documents.HEAD_KEY)
        write = table.Write(documents.HEAD_KEY, newer.version, row.value)
        self.platform.rows.transact([write])
        self.cluster.advance(60)
        self.assertTrue(self.cluster.all_have(version))

    def test_a_restarted_node_cut_off_from_the_platform_asks_its_peers(self):
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        self.cluster.cut_from_platform("domain-0", "domain-1")
        self.node.start()
        self.assertFalse(self.node.controller.is_ready)
        took_s = self.cluster.seconds_until(
            lambda: self.node.controller.is_ready
        )
        self.assertLess(took_s, CONVERGENCE_TARGET_S)
        self.assertEqual(version, self.node.version)

    def test_a_node_without_any_contact_is_not_ready(self):
        self.cluster.cut_from_platform("domain-0", "domain-1")
        for node in self.cluster.all:
            node.start()
        self.cluster.advance(60)
        ready = [node.controller.is_ready for node in self.cluster.all]
        self.assertNotIn(True, ready)
        self.cluster.heal()
        self.cluster.advance(CONVERGENCE_TARGET_S)
        ready = [node.controller.is_ready for node in self.cluster.all]
        self.assertNotIn(False, ready)

    def test_a_slow_platform_does_not_delay_a_new_node(self):
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        slow = faults.FaultRule(faults.Fault.SLOW, delay_s=100.0)
        self.node.injector.set_rules([slow])
        self.node.start()
        took_s = self.cluster.seconds_until(
            lambda: self.node.controller.is_ready
        )
        self.assertLess(took_s, CONVERGENCE_TARGET_S)
        self.assertEqual(version, self.node.version)

    def test_a_node_waits_for_the_version_that_a_peer_announced(self):
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        self.cluster.cut_from_platform("domain-0", "domain-1")
        fetch = kinds.MessageKind.CONFIGURATION_FETCH
        self.cluster.network.lose = lambda _, __, kind, ___: kind is fetch
        self.check_waits_for(version)

    def test_a_node_waits_for_the_files_of_the_head(self):
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        down = faults.FaultRule(
            faults.Fault.DOWN, (faults.Operation.GET_OBJECT,)
        )
        self.node.injector.set_rules([down])
        self.cluster.network.lose = lambda *_: True
        self.check_waits_for(version)

    def test_unavailable_files_do_not_prevent_readiness(self):
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        self.publish(1, {"a": b"2"})
        down = faults.FaultRule(
            faults.Fault.DOWN, (faults.Operation.GET_OBJECT,)
        )
        for node in self.cluster.all:
            node.injector.set_rules([down])
        self.node.start()
        self.cluster.advance(CONVERGENCE_TARGET_S)
        self.assertTrue(self.node.controller.is_ready)
        self.assertEqual(version, self.node.version)
        self.assertGreater(self.node.controller.confirmed_age_s(), 10)

    def check_waits_for(self, version):
        self.node.start()
        self.cluster.advance(30)
        self.assertFalse(self.node.controller.is_ready)
        self.cluster.network.lose = lambda *_: False
        self.cluster.advance(CONVERGENCE_TARGET_S)
        self.assertTrue(self.node.controller.is_ready)
        self.assertEqual(version, self.node.version)

    def test_a_new_node_without_peers_reads_from_the_platform(self):
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        self.cluster.network.lose = lambda *_: True
        self.node.start()
        self.cluster.advance(2)
        self.assertTrue(self.node.controller.is_ready)
        self.assertEqual(version, self.node.version)


class OtherFormatTest(ControllerTest):
    def test_a_head_of_another_format_leaves_the_version_in_force(self):
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        row = self.platform.rows.read(documents.HEAD_KEY)
        newer = b'{"format": 2}'
        write = table.Write(documents.HEAD_KEY, row.version, newer)
        self.platform.rows.transact([write])
        self.cluster.advance(30)
        self.assertEqual(version, self.node.version)
        self.assertGreater(self.node.controller.confirmed_age_s(), 25)
        row = self.platform.rows.read(documents.HEAD_KEY)
        self.assertEqual(newer, row.value)

    def test_files_that_do_not_merge_leave_the_version_in_force(self):
        def merge(files, version):
            bad = b"newer syntax" in files.values()
            return Error("bad") if bad else fake.merge(files, version)

        self.cluster.merge = merge
        for node in self.cluster.all:
            node.start()
        version = self.publish(0, {"a": b"1"})
        self.settle(version)
        self.publish(1, {"a": b"newer syntax"})
        self.cluster.advance(10)
        self.assertEqual(version, self.node.version)
        later = self.publish(2, {"a": b"3"})
        self.assertLess(self.settle(later), SPREAD_TARGET_S)


class FaultyPeerTest(testscenarios.WithScenarios, ControllerTest):
    """A peer announces a version that it cannot deliver."""

    sizes = (2,)
    scenarios = [
        ("no field set", {"reply": {}}),
        ("no file", {"reply": {"version": 9, "manifest": b"x" * 32}}),
        ("endless pages", {"reply": {"version": 9, "more": True}}),
        (
            "manifest of another version",
            {"reply": {"version": 9}, "is_real": True},
        ),
        (
            "file that the manifest does not list",
            {
                "reply": {
                    "version": 9,
                    "changes": [ttypes.FileChange("b", 9, "c", "eve", b"x")],
                },
                "is_real": True,
            },
        ),
    ]
    is_real = False

    def test_the_version_in_force_stays(self):
        self.settle(self.publish(0, {"a": b"1"}))
        faulty = self.cluster.network.peers[self.cluster.all[1].address]
        digest = kinds.MessageKind.CONFIGURATION_DIGEST
        fetch = kinds.MessageKind.CONFIGURATION_FETCH
        real = faulty._handlers[fetch](ttypes.FetchRequest())

        asked = []

        def answer(request):
            asked.append(request)
            fields = dict(vars(real)) if self.is_real else {}
            return ttypes.FetchReply(**{**fields, **self.reply})

        faulty._handlers[digest] = lambda request: ttypes.DigestReply(
            version=9, ready=True, confirmed_age_ms=0
        )
        faulty._handlers[fetch] = answer
        self.cluster.advance(5)
        self.assertEqual(1, self.node.version)
        self.assertLess(len(asked), 50)


class ConfirmedAgeTest(ControllerTest):
    def test_it_is_infinite_before_the_first_confirmation(self):
        self.cluster.cut_from_platform("domain-0", "domain-1")
        self.node.start()
        age_s = self.node.controller.confirmed_age_s()
        self.assertEqual(float("inf"), age_s)

    def test_it_grows_while_all_are_cut_off_from_the_platform(self):
        self.cluster.advance(5)
        self.cluster.cut_from_platform("domain-0", "domain-1")
        self.cluster.advance(100)
        for node in self.cluster.all:
            age_s = node.controller.confirmed_age_s()
            self.assertGreaterEqual(age_s, 100)

    def test_a_delayed_reply_does_not_understate_the_age(self):
        self.cluster.advance(5)
        cut_s = self.platform.clock.now_s()
        self.cluster.cut_from_platform("domain-0", "domain-1")
        self.cluster.network.delay_s = 0.24
        for _ in range(100):
            self.cluster.advance(0.5)
            passed_s = self.platform.clock.now_s() - cut_s
            for node in self.cluster.all:
                age_s = node.controller.confirmed_age_s()
                self.assertGreaterEqual(age_s, passed_s - 0.1)

    def test_a_negative_age_counts_as_zero(self):
        peer = self.cluster.network.peers[self.cluster.all[1].address]
        digest = kinds.MessageKind.CONFIGURATION_DIGEST
        peer._handlers[digest] = lambda request: ttypes.DigestReply(
            version=0, ready=True, confirmed_age_ms=-(2**31)
        )
        self.cluster.advance(10)
        self.assertGreaterEqual(self.node.controller.confirmed_age_s(), 0)
