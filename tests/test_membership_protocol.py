"""Tests of the membership protocol under single faults."""

from __future__ import annotations

import collections

import msgspec
import testscenarios
import testtools

from cyclamendale.membership import directory
from cyclamendale.membership import dissemination
from cyclamendale.membership import member_list
from cyclamendale.membership import wire
from tests.support import fake_members

LEAVING_BOUND_S = 3.0
CRASH_BOUND_S = 30.0
REPAIR_BOUND_S = 30.0
AGREEMENT_BOUND_S = 60.0
CONTROL_BYTES_PER_S = 6_000
"""Budget of a node for control traffic, sent and received."""
State = directory.MemberState


class ClusterCase(testtools.TestCase):
    def start(self, domains="abc", per_domain=4, loss=0.01):
        self.cluster = fake_members.make_cluster(
            list(domains), per_domain, upstream=fake_members.announcement()
        )
        self.assertTrue(self.cluster.agrees())
        self.cluster.loss = loss
        self.all = list(self.cluster.running.values())
        self.seen = collections.defaultdict(set)
        for member in self.all:
            member.members.subscribe(self.record_state)

    def record_state(self, member):
        self.seen[member.state].add(member.address)

    def count_targets(self, member):
        return len(member.members.targets("orders"))

    def fewest_targets(self, duration_s):
        """Returns the lowest target count of any member during the run."""
        fewest = len(self.all)
        for _ in range(duration_s * 10):
            self.cluster.run(0.1)
            fewest = min(fewest, *map(self.count_targets, self.all))
        return fewest

    def all_targets(self, count, excluded=()):
        return lambda: all(
            self.count_targets(member) == count
            for member in self.all
            if member not in excluded
        )


class LeavingTest(testscenarios.WithScenarios, ClusterCase):
    scenarios = [
        ("leaving", {"act": lambda protocol: protocol.set_leaving()}),
        ("left", {"act": lambda protocol: protocol.leave()}),
        (
            "draining",
            {
                "act": lambda protocol: protocol.set_upstream(
                    fake_members.announcement(
                        state=directory.UpstreamState.DRAINING
                    )
                )
            },
        ),
        ("gone", {"act": lambda protocol: protocol.set_upstream(None)}),
    ]

    def test_it_stops_being_a_target_on_all_members_in_time(self):
        self.start(per_domain=20)
        self.act(self.all[5].protocol)
        reached = self.all_targets(59)
        took_s = self.cluster.run_until(reached, LEAVING_BOUND_S)
        self.assertIsNotNone(took_s)
        self.cluster.run(30)
        self.assertTrue(reached())


class PauseTest(testscenarios.WithScenarios, ClusterCase):
    scenarios = [
        (f"{pause_s} s", {"pause_s": pause_s})
        for pause_s in (0.5, 1.0, 2.5, 10, 45)
    ]

    def test_a_paused_member_suspects_no_other_and_is_kept(self):
        self.start(loss=0)
        self.cluster.max_delay_s = 0.15
        paused = self.all[4]
        for _ in range(5):
            self.cluster.run_until(
                lambda: paused.protocol._prober._probe is not None, 60, 0.05
            )
            paused.paused = True
            self.cluster.run(self.pause_s)
            paused.resume()
            self.cluster.run(1.3)
        self.assertLessEqual(self.seen[State.SUSPECT], {paused.address})
        reached = self.cluster.run_until(self.cluster.agrees, AGREEMENT_BOUND_S)
        self.assertIsNotNone(reached)


class FaultsTest(ClusterCase):
    def test_a_pause_does_not_time_out_a_suspicion(self):
        self.start(loss=0)
        paused, suspect = self.all[4:6]
        paused.protocol._rules.accuse(
            suspect.address, self.cluster.clock.now_s()
        )
        paused.paused = True
        self.cluster.run(45)
        paused.resume()
        self.cluster.run(45)
        self.assertNotIn(suspect.address, self.seen[State.DEAD])

    def test_outdated_updates_are_not_gossiped(self):
        queue = dissemination.UpdateQueue()
        queue.put("a", b"old", 0.0, urgent=True)
        queue.put("b", b"new", 1.0)
        self.assertEqual(
            [b"new"],
            queue.take(1_000, 10, dissemination.MAX_UPDATE_AGE_S + 0.5),
        )
        self.assertFalse(queue.has_urgent())

    def test_loss_alone_removes_no_member(self):
        self.start(loss=0.05)
        self.cluster.run(180)
        self.assertEqual(set(), self.seen[State.DEAD])
        self.assertTrue(self.all_targets(12)())

    def test_all_members_detect_a_crash(self):
        self.start()
        crashed = self.all[3]
        self.cluster.crash(crashed)
        others = [m for m in self.all if m is not crashed]
        reached = self.cluster.run_until(
            lambda: self.cluster.agrees(others), CRASH_BOUND_S
        )
        self.assertIsNotNone(reached)

    def test_a_crash_does_not_degrade_the_health_of_others(self):
        self.start(loss=0)
        self.cluster.crash(self.all.pop(3))
        for _ in range(100):
            self.cluster.run(0.1)
            scores = {m.protocol.health.score for m in self.all}
            self.assertEqual({0}, scores)

    def test_all_others_detect_a_crashed_failure_domain(self):
        self.start()
        for member in self.all:
            if member.domain == "b":
                self.cluster.crash(member)
        reached = self.cluster.run_until(self.cluster.agrees, AGREEMENT_BOUND_S)
        self.assertIsNotNone(reached)

    def test_a_new_process_at_an_address_replaces_the_old_one(self):
        for before_s in (0.0, 3.0, 30.0):
            self.start(loss=0)
            self.cluster.crash(self.all[3])
            self.cluster.run(before_s)
            new = self.cluster.restart(self.all[3].address)
            reached = self.cluster.run_until(self.cluster.agrees, 20)
            self.assertIsNotNone(reached)
            self.assertTrue(
                all(
                    other.view()[new.address][0] == new.members.own().node
                    for other in self.cluster.running.values()
                )
            )

    def test_a_new_process_is_found_while_the_table_is_down(self):
        self.start(loss=0)
        self.cluster.table_up = False
        self.cluster.crash(self.all[3])
        self.cluster.restart(self.all[3].address)
        reached = self.cluster.run_until(self.cluster.agrees, AGREEMENT_BOUND_S)
        self.assertIsNotNone(reached)

    def test_new_processes_are_found_quickly_while_others_change(self):
        self.start(loss=0)
        self.cluster.table_up = False
        old = self.all.pop(3)
        for _ in range(6):
            self.mark_just_synchronised()
            self.cluster.crash(old)
            old = self.cluster.restart(old.address)
            reached = self.cluster.run_until(
                self.agreed_while_changing(old), 10, 1
            )
            self.assertIsNotNone(reached)

    def test_synchronising_with_a_new_node_sends_it_all_entries(self):
        self.start(loss=0)
        lone = self.cluster.add("10.9.9.9:700", "a")
        self.all[0].sync.schedule(lone.address)
        self.cluster.run(0.05)
        self.assertEqual(13, len(lone.view()))

    def test_a_new_process_replaces_one_that_left(self):
        self.start(loss=0)
        self.all[3].protocol.leave()
        self.cluster.run(1)
        self.cluster.crash(self.all[3])
        self.cluster.run(5)
        self.cluster.restart(self.all[3].address)
        reached = self.cluster.run_until(self.cluster.agrees, 20)
        self.assertIsNotNone(reached)

    def test_a_partition_bridged_by_a_third_domain_raises_no_suspicion(self):
        self.start(loss=0)
        self.cluster.cuts = {("a", "b")}
        self.cluster.run(120)
        self.assertEqual(set(), self.seen[State.SUSPECT])

    def test_a_healed_partition_rejoins_without_the_table(self):
        self.start()
        self.cluster.table_up = False
        self.cluster.cut_off("a")
        sides = [
            [m for m in self.all if (m.domain == "a") == is_a]
            for is_a in (True, False)
        ]
        parted = self.cluster.run_until(
            lambda: all(map(self.cluster.agrees, sides)), AGREEMENT_BOUND_S
        )
        self.assertIsNotNone(parted)
        self.cluster.run(300)
        self.cluster.cuts.clear()
        reached = self.cluster.run_until(self.cluster.agrees, AGREEMENT_BOUND_S)
        self.assertIsNotNone(reached)

    def test_a_change_during_a_partition_spreads_after_healing(self):
        self.start()
        self.cluster.cut_off("a")
        self.cluster.run(2)
        self.all[0].protocol.set_leaving()
        self.cluster.run(120)
        self.cluster.cuts.clear()
        reached = self.cluster.run_until(
            self.all_targets(11), AGREEMENT_BOUND_S
        )
        self.assertIsNotNone(reached)

    def test_a_rejoining_isolated_member_gossips_no_stale_deaths(self):
        self.start(loss=0)
        alone = self.cluster.add("10.9.9.9:700", "z")
        alone.discover()
        self.cluster.run(20)
        self.cluster.cut_off("z")
        self.cluster.run(180)
        self.seen.clear()
        self.cluster.cuts.clear()
        self.cluster.run(AGREEMENT_BOUND_S)
        self.assertTrue(self.cluster.agrees())
        held_dead = self.seen[State.DEAD] - {alone.address}
        self.assertEqual(set(), held_dead)

    def test_total_loss_degrades_the_local_health_until_it_ends(self):
        self.start(loss=0)
        isolated = self.all[0]
        self.cluster.transmit = lambda sender, receiver, data: None
        self.cluster.run(20)
        self.assertGreaterEqual(isolated.protocol.health.score, 4)
        del self.cluster.transmit
        self.cluster.run(AGREEMENT_BOUND_S)
        self.assertTrue(self.cluster.agrees())
        self.assertEqual(0, isolated.protocol.health.score)

    def test_a_false_gossiped_death_removes_no_target(self):
        self.start(loss=0)
        dead = member_list.with_state(self.all[2].members.own(), State.DEAD)
        self.all[7].protocol._apply_update(
            wire.encode_update(wire.Update(dead)), self.cluster.clock.now_s()
        )
        self.assertEqual(12, self.fewest_targets(20))

    def test_a_false_synchronised_death_removes_no_target(self):
        self.start(loss=0)
        dead = member_list.with_state(self.all[2].members.own(), State.DEAD)
        self.all[7].protocol.apply_synced(
            [wire.encode_update(wire.Update(dead))]
        )
        self.assertEqual(12, self.fewest_targets(20))

    def test_an_older_incarnation_changes_nothing(self):
        self.start(loss=0)
        old = wire.encode_update(wire.Update(self.all[2].members.own()))
        self.all[2].protocol.set_leaving()
        self.cluster.run(3)
        for member in self.all:
            member.protocol.apply_synced([old])
        self.assertTrue(self.all_targets(11)())

    def test_a_missed_update_is_recovered(self):
        self.start(per_domain=20, loss=0)
        self.cluster.loss = 1.0
        self.all[2].protocol.set_leaving()
        self.cluster.run(1)
        self.all[2].protocol._queue.remove(self.all[2].address)
        self.cluster.loss = 0.0
        reached = self.cluster.run_until(self.all_targets(59), REPAIR_BOUND_S)
        self.assertIsNotNone(reached)

    def test_a_missed_update_is_recovered_while_others_change(self):
        self.start(loss=0)
        self.cluster.loss = 1.0
        self.all[2].protocol.set_leaving()
        self.cluster.run(1)
        self.all[2].protocol._queue.remove(self.all[2].address)
        self.cluster.loss = 0.0
        self.mark_just_synchronised()
        reached = self.cluster.run_until(
            self.agreed_while_changing(self.all[2]), 40, 1
        )
        self.assertIsNotNone(reached)

    def mark_just_synchronised(self):
        for member in self.all:
            member.protocol._last_sync_s = self.cluster.clock.now_s()

    def agreed_while_changing(self, known):
        """Returns a condition that all members hold the entry of `known`.

        Each evaluation also changes the entry of another member.
        """

        def reached():
            self.all[5].protocol._rules.change_own(self.cluster.clock.now_s())
            own = known.members.own()
            return all(own in m.members.members() for m in self.all)

        return reached

    def test_leaving_overtakes_a_flood_within_the_byte_budget(self):
        self.start(loss=0)
        sent_before = [m.link.counters.sent_bytes for m in self.all]
        for member in self.all:
            for number in range(500):
                self.queue_update(member, f"10.8.{member.domain}.{number}:700")
        self.cluster.run(0.5)
        self.all[2].protocol.set_leaving()
        reached = self.cluster.run_until(self.all_targets(11), LEAVING_BOUND_S)
        self.assertIsNotNone(reached)
        self.cluster.run(60)
        for member, before in zip(self.all, sent_before, strict=True):
            sent_bytes = member.link.counters.sent_bytes - before
            self.assertLess(sent_bytes, 60 * CONTROL_BYTES_PER_S / 2)

    def queue_update(self, member, address):
        update = directory.Member(
            f"{address}#aa", address, member.domain, 1, State.LEFT
        )
        member.protocol._queue.put(
            address,
            wire.encode_update(wire.Update(update)),
            self.cluster.clock.now_s(),
        )

    def test_changes_of_a_flapping_upstream_are_damped(self):
        self.start(loss=0)
        own = self.all[2].members.own
        before = own().incarnation
        for second in range(300):
            slots = msgspec.structs.replace(
                fake_members.announcement(), slots=8 + second % 7
            )
            self.all[2].protocol.set_upstream(slots)
            self.cluster.run(1)
        self.assertLessEqual(own().incarnation - before, 5 + 300 / 10)
        self.all[2].protocol.set_upstream(None)
        self.assertIsNone(own().upstream)
        self.cluster.run(20)
        self.assertTrue(self.cluster.agrees())
