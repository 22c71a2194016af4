"""Nodes that spread configuration, on one virtual clock."""

from __future__ import annotations

import contextlib
import logging
import random

from cyclamendale import events
from cyclamendale import ids
from cyclamendale.controllers import configuration
from cyclamendale.membership import directory as directories
from cyclamendale.store import faults
from tests.support import fake_network
from tests.support import fake_platform_configuration as fake

STEP_S = 0.02
DOWN = faults.FaultRule(faults.Fault.DOWN)


class Defects(logging.Handler):
    """Keeps the defects that are logged, and nothing else.

    Attributes:
        messages: What was logged as critical.
    """

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        if record.levelno >= logging.CRITICAL:
            self.messages.append(f"{record.msg}: {record.exc_info}")


@contextlib.contextmanager
def no_defects():
    """Fails when the code inside logs a defect; hides other logs."""
    logger = logging.getLogger("cyclamendale")
    defects = Defects()
    logger.addHandler(defects)
    logger.propagate = False
    try:
        yield
    finally:
        logger.removeHandler(defects)
        logger.propagate = True
    if defects.messages:
        raise AssertionError(defects.messages)


class Members(directories.Directory):
    """All nodes of a cluster, as one of them sees them."""

    def __init__(self, cluster, address):
        self._cluster = cluster
        self._address = address

    def own(self):
        return self._cluster.nodes[self._address].member

    def members(self):
        return [node.member for node in self._cluster.nodes.values()]

    def targets(self, service):
        return ()

    def subscribe(self, listener):
        pass


class Node:
    """One node process after another at one address.

    Attributes:
        controller: The controller of the present process.
        lives: Versions that each process put in force, in order.
        ages: Ages at which each of its questions was answered.
    """

    def __init__(self, cluster, address, domain):
        self._cluster = cluster
        self.address = address
        self.domain = domain
        self.injector = faults.FaultInjector()
        self.lives = []
        self.controller = None
        self.log = None

    def start(self):
        """Starts a process that knows nothing."""
        if self.controller is not None:
            self.controller.stop()
        cluster = self._cluster
        node_id = ids.NodeId(f"{self.address}#{len(self.lives)}")
        self.member = directories.Member(node_id, self.address, self.domain, 1)
        cluster.nodes[self.address] = self
        clock = cluster.platform.clock
        self.log = events.EventLog(node_id, events.HybridLogicalClock(clock))
        rows, objects = cluster.platform.link(self.injector)
        self.controller = configuration.make_configuration_controller(
            configuration.Dependencies(
                rows=rows,
                objects=objects,
                peers=cluster.wires.peer(self.address),
                directory=Members(cluster, self.address),
                clock=clock,
                rng=random.Random(str(node_id)),
                merge=cluster.merge,
                event_log=self.log,
            )
        )
        life = []
        self.lives.append(life)
        self.controller.subscribe(lambda c: life.append(c.version))
        self.controller.start()

    @property
    def version(self):
        return self.controller.current.version


class Cluster:
    """Nodes, the wires between them and their platform.

    Attributes:
        cuts: Pairs of failure domains that do not reach each other.
    """

    def __init__(self, sizes, merge=fake.merge):
        """Makes nodes, not yet started, for each domain's size."""
        self.platform = fake.SharedPlatform()
        self.wires = fake_network.FakeNetwork(self.platform.clock)
        self.wires.lose = lambda source, target, kind, is_reply: (
            not self.reaches(source, target)
        )
        self.merge = merge
        self.cuts = set()
        self.nodes = {}
        self.all = [
            Node(self, ids.PeerAddress(f"10.{d}.{n}.1:1"), f"domain-{d}")
            for d, size in enumerate(sizes)
            for n in range(size)
        ]
        self.domains = {node.address: node.domain for node in self.all}

    def start(self):
        """Starts all nodes and lets them get ready."""
        for node in self.all:
            node.start()
        self.advance(1.0)
        return self

    def reaches(self, source, target):
        """Returns whether the wire between two addresses is whole."""
        pair = {self.domains[source], self.domains[target]}
        return frozenset(pair) not in self.cuts

    def cut(self, domain):
        """Cuts a failure domain off from all others."""
        others = set(self.domains.values()) - {domain}
        self.cuts |= {frozenset((domain, other)) for other in others}

    def cut_from_platform(self, *domains):
        """Makes the platform unreachable for whole failure domains."""
        for node in self.all:
            is_cut = node.domain in domains
            node.injector.set_rules([DOWN] if is_cut else [])

    def heal(self):
        """Mends all cuts."""
        self.cuts.clear()
        self.cut_from_platform()

    def advance(self, duration_s):
        """Lets virtual time pass in small steps."""
        steps = round(duration_s / STEP_S)
        self.platform.task_clock.pump([STEP_S] * steps)

    def seconds_until(self, condition, limit_s=60.0):
        """Advances until a condition holds; returns how long it took."""
        start_s = self.platform.clock.now_s()
        while not condition():
            passed_s = self.platform.clock.now_s() - start_s
            if passed_s > limit_s:
                return float("inf")
            self.advance(STEP_S)
        return self.platform.clock.now_s() - start_s

    def all_have(self, version):
        """Returns whether every node has at least a version."""
        return all(node.version >= version for node in self.all)
