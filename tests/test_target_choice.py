"""Tests that leaving targets are avoided before membership reports them."""

from __future__ import annotations

import random

import testtools
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.overload import power_of_two


class OneServiceDirectory(directory.Directory):
    """A fixed list of targets in the own failure domain."""

    def __init__(self, members):
        self._members = members

    def own(self):
        return self._members[0]

    def members(self):
        return self._members

    def targets(self, service):
        return self._members

    def subscribe(self, listener):
        self.listener = listener


def member(name):
    return directory.Member(
        ids.NodeId(name),
        ids.PeerAddress(name),
        ids.FailureDomainName("north"),
        1,
        upstream=directory.Announcement(
            ids.ServiceName("shop"), name, 10, 10, directory.UpstreamState.READY
        ),
    )


class LeavingTargetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = task.Clock()
        members = (member("a"), member("b"))
        self.chooser = power_of_two.make_target_chooser(
            clocks.ReactorClock(self.reactor),
            random.Random(1),
            OneServiceDirectory(members),
        )

    def choose_nodes(self, excluded=()):
        return {
            self.chooser.choose(ids.ServiceName("shop"), excluded).node
            for _ in range(50)
        }

    def test_a_target_that_refused_as_leaving_is_not_chosen_for_a_while(self):
        self.chooser.record_leaving(ids.NodeId("a"))
        self.assertEqual({"b"}, self.choose_nodes())
        self.reactor.advance(power_of_two.LEAVING_PENALTY_S)
        self.assertEqual({"a", "b"}, self.choose_nodes())

    def test_a_leaving_target_is_still_the_last_resort(self):
        self.chooser.record_leaving(ids.NodeId("a"))
        self.assertEqual({"a"}, self.choose_nodes(excluded={ids.NodeId("b")}))
