"""Cluster of configuration controllers on one virtual clock."""

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


class DefectHandler(logging.Handler):
    """Logging handler that records defects.

    Attributes:
        messages: Messages logged at critical level, in order.
    """

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        if record.levelno >= logging.CRITICAL:
            self.messages.append(f"{record.msg}: {record.exc_info}")


@contextlib.contextmanager
def no_defects():
    """Fails if the code inside logs a defect; suppresses other logs."""
    logger = logging.getLogger("cyclamendale")
    defects = DefectHandler()
    logger.addHandler(defects)
    logger.propagate = False
    try:
        yield
    finally:
        logger.removeHandler(defects)
        logger.propagate = True
    if defects.messages:
        raise AssertionError(defects.messages)


class ClusterDirectory(directories.Directory):
    """Directory of one node that lists all nodes of the cluster."""

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
    """Successive node processes at one address.

    Attributes:
        controller: Controller of the current process.
        event_log: Event log of the current process.
        lives: Versions that each process put in force, in order.
        injector: Faults of the node's access to the platform.
    """

    def __init__(self, cluster, address, domain):
        self._cluster = cluster
        self.address = address
        self.domain = domain
        self.injector = faults.FaultInjector()
        self.lives = []
        self.controller = None
        self.event_log = None

    def start(self):
        """Starts a process without state, in place of the current one."""
        if self.controller is not None:
            self.controller.stop()
        cluster = self._cluster
        node_id = ids.NodeId(f"{self.address}#{len(self.lives)}")
        self.member = directories.Member(node_id, self.address, self.domain, 1)
        cluster.nodes[self.address] = self
        clock = cluster.platform.clock
        self.event_log = events.EventLog(
            node_id, events.HybridLogicalClock(clock)
        )
        rows, objects = cluster.platform.open_stores(self.injector)
        self.controller = configuration.make_configuration_controller(
            configuration.Dependencies(
                rows=rows,
                objects=objects,
                peers=cluster.network.add_peer(self.address),
                directory=ClusterDirectory(cluster, self.address),
                clock=clock,
                rng=random.Random(str(node_id)),
                merge=cluster.merge,
                event_log=self.event_log,
            )
        )
        life = []
        self.lives.append(life)
        self.controller.subscribe(lambda current: life.append(current.version))
        self.controller.start()

    @property
    def version(self):
        return self.controller.current.version


class Cluster:
    """Nodes, the network between them and their platform.

    Attributes:
        all: All nodes, in order of their failure domains.
        nodes: Nodes that were started, by address.
        cuts: Pairs of failure domains that can't reach each other.
        merge: Builds the configuration of nodes started afterwards.
    """

    def __init__(self, sizes, merge=fake.merge):
        """Makes the nodes without starting them.

        Args:
            sizes: Number of nodes of each failure domain.
            merge: Builds the configuration from files and version.
        """
        self.platform = fake.SharedPlatform()
        self.network = fake_network.FakeNetwork(self.platform.clock)
        self.network.lose = lambda source, target, kind, is_reply: (
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
        """Starts all nodes and gives them 1 s to become ready."""
        for node in self.all:
            node.start()
        self.advance(1.0)
        return self

    def reaches(self, source, target):
        """Returns whether messages pass between two addresses."""
        pair = {self.domains[source], self.domains[target]}
        return frozenset(pair) not in self.cuts

    def cut(self, domain):
        """Partitions a failure domain from all others."""
        others = set(self.domains.values()) - {domain}
        self.cuts |= {frozenset((domain, other)) for other in others}

    def cut_from_platform(self, *domains):
        """Makes the platform unreachable from these failure domains only."""
        for node in self.all:
            is_cut = node.domain in domains
            node.injector.set_rules([DOWN] if is_cut else [])

    def heal(self):
        """Ends all partitions, also those from the platform."""
        self.cuts.clear()
        self.cut_from_platform()

    def advance(self, duration_s):
        """Advances the virtual clock in steps of `STEP_S`."""
        steps = round(duration_s / STEP_S)
        self.platform.task_clock.pump([STEP_S] * steps)

    def seconds_until(self, condition, limit_s=60.0):
        """Advances until a condition holds.

        Returns:
            The duration, or infinity if the limit was exceeded.
        """
        start_s = self.platform.clock.now_s()
        while not condition():
            passed_s = self.platform.clock.now_s() - start_s
            if passed_s > limit_s:
                return float("inf")
            self.advance(STEP_S)
        return self.platform.clock.now_s() - start_s

    def all_have(self, version):
        """Returns whether every node has this version or a later one."""
        return all(node.version >= version for node in self.all)
