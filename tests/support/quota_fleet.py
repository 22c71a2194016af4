"""Small fleet of quota controllers on one virtual clock, with faults."""

from __future__ import annotations

import collections
import random

from expression import Error
from expression import Ok
from twisted.internet import defer
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.configuration import source
from cyclamendale.controllers import quotas
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.store import table
from tests.support import fake_network


class ProcessCall:
    """Scheduled call that a pause may delay; cancellable until it runs."""

    def __init__(self, function, args):
        self.function = function
        self.args = args
        self.ended = False

    def cancel(self):
        assert not self.ended
        self.ended = True

    def active(self):
        return not self.ended

    def run(self):
        if not self.ended:
            self.ended = True
            self.function(*self.args)


class PausableClock(clocks.ReactorClock):
    """Clock of one process; calls due during a pause run after it.

    Attributes:
        paused: Whether the process is paused.
        dead: Whether the process crashed; its calls then never run.
    """

    def __init__(self, reactor, rate=1.0):
        super().__init__(reactor, rate)
        self.paused = False
        self.dead = False
        self._postponed = collections.deque()

    def call_later(self, delay_s, function, *args):
        call = ProcessCall(function, args)
        super().call_later(delay_s, self.run_when_active, call.run)
        return call

    def run_when_active(self, function, *args):
        """Calls now, or after the pause; never after a crash."""
        if self.dead:
            return
        if self.paused:
            self._postponed.append((function, args))
        else:
            function(*args)

    def resume(self):
        """Ends a pause and runs the calls that it delayed."""
        self.paused = False
        while self._postponed and not self.paused:
            function, args = self._postponed.popleft()
            function(*args)


class MemoryTable:
    """Rows shared by the views of all nodes; `down` fails all operations."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.down = False
        self.writes = 0
        self.reads = 0
        self.delay_s = 0.002

    def apply(self, writes):
        """Applies all writes or none; returns a Result."""
        for write in writes:
            current = self.rows.get(write.key)
            version = current.version if current else table.ABSENT_VERSION
            if version != write.expected_version:
                return Error(
                    table.TableError(
                        table.TableErrorKind.CONFLICT, write.key, current
                    )
                )
        written = []
        for write in writes:
            if write.delete:
                self.rows.pop(write.key, None)
            elif write.value is not None:
                row = table.Row(
                    write.key, write.value, write.expected_version + 1
                )
                self.rows[write.key] = row
                written.append(row)
        return Ok(written)


class TableView(table.Table):
    """Access of one node to the table.

    Attributes:
        cut: Whether the node can't reach the table.
        lose_answers: Number of next writes that take effect but whose
            answers are lost.
        late_writes: Number of next writes that time out and take effect
            later.
    """

    def __init__(self, memory_table, clock):
        self._memory_table = memory_table
        self._clock = clock
        self.cut = False
        self.lose_answers = 0
        self.late_writes = 0

    def read(self, key):
        return self._schedule(
            lambda: Ok(self._memory_table.rows.get(key)), False
        )

    def list_rows(self, prefix, limit):
        def find():
            rows = sorted(self._memory_table.rows.items())
            found = [row for key, row in rows if key.startswith(prefix)]
            return Ok(found[:limit])

        return self._schedule(find, False)

    def insert_if_absent(self, key, value):
        return self.compare_and_set(key, table.ABSENT_VERSION, value)

    def compare_and_set(self, key, expected_version, value):
        done = self.transact([table.Write(key, expected_version, value)])
        return done.addCallback(
            lambda result: Ok(result.ok[0]) if result.is_ok() else result
        )

    def transact(self, writes):
        return self._schedule(lambda: self._memory_table.apply(writes), True)

    def _schedule(self, operation, is_write):
        answer = defer.Deferred()
        self._memory_table.clock.callLater(
            self._memory_table.delay_s,
            self._execute,
            answer,
            operation,
            is_write,
        )
        return answer

    def _execute(self, answer, operation, is_write):
        if self._memory_table.down or self.cut:
            self._fail(answer, table.TableErrorKind.UNAVAILABLE)
            return
        if is_write and self.late_writes:
            self.late_writes -= 1
            self._fail(answer, table.TableErrorKind.OUTCOME_UNKNOWN)
            self._memory_table.clock.callLater(3.0, operation)
            return
        if is_write:
            self._memory_table.writes += 1
        else:
            self._memory_table.reads += 1
        result = operation()
        if is_write and self.lose_answers:
            self.lose_answers -= 1
            self._fail(answer, table.TableErrorKind.OUTCOME_UNKNOWN)
            return
        self._clock.run_when_active(answer.callback, result)

    def _fail(self, answer, kind):
        self._clock.run_when_active(
            answer.callback, Error(table.TableError(kind))
        )


class FleetPeer(fake_network.FakePeer):
    """Fake peer whose process may be paused."""

    def __init__(self, network, address, clock):
        super().__init__(network, address)
        self._clock = clock
        network.peers[address] = self

    def serve(self, kind, message_type, handler):
        def handle_when_active(message):
            handled = defer.Deferred()
            self._clock.run_when_active(
                lambda: defer.maybeDeferred(handler, message).chainDeferred(
                    handled
                )
            )
            return handled

        super().serve(kind, message_type, handle_when_active)

    def request(self, peer, kind, message, reply_type, timeout_s):
        answer = defer.Deferred()
        asked = super().request(peer, kind, message, reply_type, timeout_s)
        asked.addCallback(
            lambda result: self._clock.run_when_active(answer.callback, result)
        )
        return answer


class FleetDirectory(directory.Directory):
    """Directory of one node; all nodes share one member list."""

    def __init__(self, own, members):
        self._own = own
        self._members = members
        self._listeners = []

    def own(self):
        return self._own

    def members(self):
        return list(self._members.values())

    def targets(self, service):
        return ()

    def subscribe(self, listener):
        self._listeners.append(listener)


class FleetNode:
    """Node process with the real quota controller."""

    def __init__(self, fleet, address, domain, rate):
        self.fleet = fleet
        self.clock = PausableClock(fleet.reactor, rate)
        fleet.process_count += 1
        own = directory.Member(
            ids.NodeId(f"{address}#{fleet.process_count}"),
            address,
            domain,
            incarnation=1,
        )
        self.member = own
        fleet.members[address] = own
        self.table = TableView(fleet.table, self.clock)
        self.peer = FleetPeer(fleet.wires, address, self.clock)
        self.configuration = source.FixedConfiguration(fleet.configuration)
        hlc = events.HybridLogicalClock(self.clock)
        self.event_log = events.EventLog(own.node, hlc)
        self.quotas = quotas.make_quota_controller(
            self.clock,
            random.Random(fleet.rng.random()),
            FleetDirectory(own, fleet.members),
            self.table,
            self.peer,
            self.configuration,
            self.event_log,
            fleet.settings,
        )
        self.quotas.start()

    def crash(self):
        """Ends the process without a handover."""
        self.clock.dead = True
        self.fleet.members.pop(self.member.address, None)
        self.fleet.wires.peers.pop(self.member.address, None)

    def ask(self, customer, timeout_s=1.0):
        """Requests admission; the fleet records the result."""
        if self.clock.paused or self.clock.dead:
            return
        now_s = self.clock.now_s()
        result = self.quotas.admit(customer, now_s + timeout_s)
        if isinstance(result, defer.Deferred):
            result.addCallback(self._record, customer)
        else:
            self._record(result, customer)

    def _record(self, refusal, customer):
        now_s = self.fleet.reactor.seconds()
        if refusal is None:
            self.fleet.admitted[customer].append(now_s)
        else:
            self.fleet.refused[customer].append((now_s, refusal))


class QuotaFleet:
    """Nodes, their table and network, and the results of requests.

    Attributes:
        wires: Network between the nodes. QuotaMachine uses this name, and
            its source seeds its test runs.
        members: Members by address.
        process_count: Number of processes started.
        admitted: Times of the admitted requests, by customer.
        refused: Times and refusals of the refused requests, by customer.
    """

    def __init__(self, configuration, settings=None, seed=0, delay_s=0.001):
        self.rng = random.Random(seed)
        self.reactor = task.Clock()
        self.configuration = configuration
        self.settings = settings
        self.table = MemoryTable(self.reactor)
        self.wires = fake_network.FakeNetwork(
            clocks.ReactorClock(self.reactor), delay_s
        )
        self.members = {}
        self.nodes = []
        self.process_count = 0
        self.admitted = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)

    def add(self, domain, rate=1.0, address=None):
        """Starts a node; `rate` is that of its clock."""
        address = address or f"10.0.0.{len(self.nodes) + 1}:7000"
        node = FleetNode(self, address, domain, rate)
        self.nodes.append(node)
        return node

    def run(self, duration_s, step_s=0.01):
        """Advances the virtual clock in steps."""
        for _ in range(round(duration_s / step_s)):
            self.reactor.advance(step_s)

    def replace(self, configuration):
        """Replaces the configuration of all nodes."""
        self.configuration = configuration
        for node in self.nodes:
            node.clock.run_when_active(
                node.configuration.replace, configuration
            )


def make_configuration(version=1, customers=(), domains=(), **defaults):
    """Returns a configuration of (name, rate, burst) and (name, weight)."""
    return model.Configuration(
        version=version,
        customers={
            name: model.Customer(name, rate_per_s, burst)
            for name, rate_per_s, burst in customers
        },
        failure_domains={
            name: model.FailureDomain(name, weight) for name, weight in domains
        },
        defaults=model.Defaults(**defaults),
        sources={
            ("customer", name): f"customer-{name}.toml"
            for name, _, _ in customers
        },
    )


class WindowMeter:
    """Maximum excess of any window over burst + rate * t so far."""

    def __init__(self, burst):
        self.burst = burst
        self.worst = 0.0
        self._level = 0.0
        self._last_s = 0.0

    def admit(self, at_s, rate_per_s):
        """Counts a request; the rate applies since the previous one."""
        self._level -= (at_s - self._last_s) * rate_per_s
        self._level = max(0.0, self._level) + 1
        self._last_s = at_s
        self.worst = max(self.worst, self._level - self.burst)


def worst_excess(times, rate_per_s, burst):
    """Returns the maximum excess of any window over burst + rate * t."""
    meter = WindowMeter(burst)
    for at_s in times:
        meter.admit(at_s, rate_per_s)
    return meter.worst
