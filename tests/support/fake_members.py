"""Fake membership cluster on a virtual clock.

Datagrams stay in memory and may be lost, duplicated, delayed or cut off.
"""

from __future__ import annotations

import heapq
import itertools
import random

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import datagram_auth
from cyclamendale.membership import directory
from cyclamendale.membership import link
from cyclamendale.membership import protocol as protocols
from cyclamendale.membership import state_sync
from cyclamendale.membership import wire
from tests.support import fake_network

SECRET = b"fleet secret of the tests"


class VirtualReactor:
    """`IReactorTime` on a heap, for many scheduled calls.

    `task.Clock` sorts all of its calls whenever one is added.
    """

    def __init__(self):
        self._now_s = 0.0
        self._count = itertools.count()
        self._heap = []

    def seconds(self):
        return self._now_s

    def callLater(self, delay, callable, *args):
        call = _DelayedCall(callable, args)
        entry = (self._now_s + delay, next(self._count), call)
        heapq.heappush(self._heap, entry)
        return call

    def advance(self, duration_s):
        """Runs the calls that fall due within a duration."""
        end_s = self._now_s + duration_s
        while self._heap and self._heap[0][0] <= end_s:
            self._now_s, _, call = heapq.heappop(self._heap)
            call.run()
        self._now_s = end_s


class _DelayedCall:
    """A scheduled call."""

    __slots__ = ("args", "function")

    def __init__(self, function, args):
        self.function = function
        self.args = args

    def cancel(self):
        self.function = None

    def active(self):
        return self.function is not None

    def run(self):
        function, self.function = self.function, None
        if function is not None:
            function(*self.args)


class FakeMember:
    """Node process with the real protocol, link and state sync.

    Attributes:
        paused: Whether the process is paused; datagrams then wait in its
            socket.
        running: Whether the process has not crashed.
    """

    def __init__(self, cluster, own):
        self.cluster = cluster
        self.address = own.address
        self.domain = own.failure_domain
        self.paused = False
        self.running = True
        self._unread = []
        rng = random.Random(cluster.rng.random())
        self.link = link.AuthenticatedLink(
            own.node,
            datagram_auth.Authenticator(
                SECRET, own.address, lambda: rng.getrandbits(62) + 1
            ),
            lambda receiver, data: cluster.transmit(self, receiver, data),
        )
        peer = cluster.network.add_peer(own.address)
        self.protocol = protocols.Protocol(
            cluster.clock,
            rng,
            own,
            self.link,
            lambda peer: self.sync.schedule(peer),
        )
        self.sync = state_sync.StateSync(self.protocol, peer)
        self.sync.serve()
        self._rng = rng
        self._discovery_interval_s = 1.0
        cluster.clock.call_later(rng.random() * protocols.TICK_S, self._tick)

    def discover(self):
        """Contacts unknown members of the platform's table, with backoff."""
        if not self.running:
            return
        self.cluster.clock.call_later(self._discovery_interval_s, self.discover)
        self._discovery_interval_s = min(300.0, self._discovery_interval_s * 2)
        if self.cluster.table_up and not self.paused:
            known = self.view()
            unknown = [
                address
                for address in self.cluster.running
                if address not in known
            ]
            self._rng.shuffle(unknown)
            for address in unknown[:3]:
                self.sync.schedule(address)

    @property
    def members(self):
        return self.protocol.members

    def view(self):
        """Returns what this member knows of each live member, by address."""
        return {
            member.address: (member.node, member.incarnation, member.upstream)
            for member in self.members.members()
        }

    def receive(self, data):
        """Receives a datagram; while paused, leaves it in the socket."""
        if self.paused:
            self._unread.append(data)
            return
        datagram = self.link.open(data)
        if datagram is not None:
            self.protocol.receive(datagram)

    def resume(self):
        """Ends a pause and receives the datagrams that waited."""
        self.paused = False
        self.protocol.tick()
        unread, self._unread = self._unread, []
        for data in unread:
            self.receive(data)

    def _tick(self):
        if not self.running:
            return
        self.cluster.clock.call_later(protocols.TICK_S, self._tick)
        if not self.paused:
            self.protocol.tick()


class FakeCluster:
    """Members and the network between them.

    Attributes:
        loss: Probability that a datagram is lost.
        duplication: Probability that a datagram arrives twice.
        max_delay_s: Maximum random delay of a datagram.
        cuts: Pairs of failure domains that can't reach each other.
        table_up: Whether the platform's table, by which new processes
            find the others, is available.
        running: Running members by address.
    """

    member_type = FakeMember

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.reactor = VirtualReactor()
        self.clock = clocks.ReactorClock(self.reactor)
        self.network = fake_network.FakeNetwork(self.clock)
        self.network.lose = self._is_request_lost
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_s = 0.003
        self.cuts = set()
        self.table_up = True
        self.running = {}
        self._domains = {}

    def run(self, duration_s):
        """Advances the virtual clock."""
        self.reactor.advance(duration_s)

    def add(self, address, domain, upstream=None):
        """Starts a process that does not know any other member yet."""
        node = ids.NodeId(f"{address}#{self.rng.getrandbits(48):012x}")
        own = directory.Member(
            node=node,
            address=ids.PeerAddress(address),
            failure_domain=ids.FailureDomainName(domain),
            incarnation=1,
            upstream=upstream,
        )
        self._domains[address] = domain
        member = self.running[address] = self.member_type(self, own)
        return member

    def restart(self, address, upstream=None):
        """Starts a new process at the address of an earlier one."""
        member = self.add(address, self._domains[address], upstream)
        member.discover()
        return member

    def cut_off(self, domain):
        """Partitions a failure domain from all others."""
        self.cuts = {(domain, other) for other in self._domains.values()}
        self.cuts.discard((domain, domain))

    def run_until(self, reached, limit_s, step_s=0.25):
        """Runs until `reached()`; returns the duration, None at the limit."""
        start_s = self.clock.now_s()
        while not reached():
            if self.clock.now_s() - start_s >= limit_s:
                return None
            self.run(step_s)
        return self.clock.now_s() - start_s

    def crash(self, member):
        """Ends a process without a leave message."""
        member.running = False
        del self.running[member.address]
        del self.network.peers[member.address]

    def transmit(self, sender, receiver, data):
        """Delivers a datagram after a delay, unless it is lost."""
        assert len(data) <= wire.MAX_DATAGRAM_BYTES
        if not sender.running or self.rng.random() < self.loss:
            return
        if self._is_cut(sender.address, receiver):
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay_s = 0.0005 + self.rng.random() * self.max_delay_s
            self.clock.call_later(delay_s, self._deliver, receiver, data)

    def agrees(self, members=None):
        """Returns whether all, or these, members know exactly each other."""
        chosen = list(members or self.running.values())
        expected = {
            member.address: member.view()[member.address] for member in chosen
        }
        return all(member.view() == expected for member in chosen)

    def _deliver(self, receiver, data):
        member = self.running.get(receiver)
        if member is not None:
            member.receive(data)

    def _is_cut(self, one, other):
        if not self.cuts:
            return False
        pair = (self._domains.get(one), self._domains.get(other))
        return pair in self.cuts or pair[::-1] in self.cuts

    def _is_request_lost(self, source, target, kind, is_reply):
        endpoints = [self.running.get(source), self.running.get(target)]
        stopped = any(member is None or member.paused for member in endpoints)
        return stopped or self._is_cut(source, target)


def announcement(service="orders", state=directory.UpstreamState.READY):
    """Returns the announcement of a fake upstream."""
    return directory.Announcement(
        service=ids.ServiceName(service),
        address="127.0.0.1:8080",
        slots=8,
        connections=100,
        state=state,
    )


def make_cluster(domains, per_domain, seed=1, upstream=None):
    """Starts members that join through the first one; waits for agreement."""
    cluster = FakeCluster(seed)
    for number in range(per_domain * len(domains)):
        address = f"10.0.{number // 250}.{number % 250}:700"
        member = cluster.add(address, domains[number % len(domains)], upstream)
        if number:
            first = next(iter(cluster.running))
            member.sync.schedule(ids.PeerAddress(first))
            cluster.run(0.01)
    cluster.run_until(cluster.agrees, 60)
    return cluster
