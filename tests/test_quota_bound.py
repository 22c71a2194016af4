"""Property test: no window of t seconds admits more than burst + rate * t."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cyclamendale.quotas import shard_row
from tests.support import quota_fleet

CUSTOMERS = (("large", 120.0, 60.0), ("small", 6.0, 6.0), ("single", 2.0, 1.0))
DOMAINS = ("east", "west")
CLOCK_RATES = (0.98, 1.0, 1.02)
NODES = 4
STEP_S = 0.05
TRANSITION_S = 1.0
"""Time after a change during which tokens of both settings may be spent."""

nodes = strategies.integers(0, NODES - 1)
durations = strategies.sampled_from((0.2, 1.0, 4.0, 17.0))
domains = strategies.sampled_from(DOMAINS)


class QuotaMachine(stateful.RuleBasedStateMachine):
    """Holders, claimers and nodes under faults and changes."""

    started = False

    @stateful.initialize(
        seed=strategies.integers(0, 2**16),
        rates=strategies.lists(
            strategies.sampled_from(CLOCK_RATES),
            min_size=NODES,
            max_size=NODES,
        ),
    )
    def begin(self, seed, rates):
        self.weights = [1.0, 1.0]
        self.factor = 1.0
        self.shard_count = 2
        self.cut_domain = False
        self.loss = 0.0
        self.random = random.Random(seed)
        self.fleet = quota_fleet.QuotaFleet(self.configuration(1), seed=seed)
        self.fleet.wires.lose = self.lose
        for index, rate in enumerate(rates):
            self.fleet.add(DOMAINS[index % 2], rate)
        self.meters = {
            name: quota_fleet.WindowMeter(burst) for name, _, burst in CUSTOMERS
        }
        self.factors = []
        self.note_factors()
        self.fleet.run(1.0, STEP_S)
        self.started = True

    def configuration(self, version):
        return quota_fleet.make_configuration(
            version,
            [
                (name, rate_per_s * self.factor, burst)
                for name, rate_per_s, burst in CUSTOMERS
            ],
            list(zip(DOMAINS, self.weights, strict=True)),
            quota_shards=self.shard_count,
        )

    def lose(self, source, target, kind, is_reply):
        domains = {
            node.member.address: node.member.failure_domain
            for node in self.fleet.nodes
        }
        if self.cut_domain and domains[source] != domains[target]:
            return True
        return self.random.random() < self.loss

    def change(self):
        version = self.fleet.configuration.version + 1
        self.fleet.replace(self.configuration(version))
        self.note_factors()

    @stateful.rule(seconds=durations, asked=strategies.integers(0, 6))
    def serve(self, seconds, asked):
        """Every node asks that often in each step, or not at all."""
        for _ in range(round(seconds / STEP_S)):
            for node in self.fleet.nodes:
                for name, _, _ in CUSTOMERS:
                    for _ in range(asked):
                        node.ask(name, 0.3)
            self.fleet.run(STEP_S, STEP_S / 5)

    @stateful.rule(
        domain=domains,
        how=strategies.sampled_from(("pause", "cut", "crash")),
        before=strategies.integers(0, 2),
        flood_s=strategies.sampled_from((0.2, 2.0, 5.0)),
    )
    def lose_holder_and_flood(self, domain, how, before, flood_s):
        """Lets a holder be taken over while some node goes on with it."""
        row = self.fleet.table.rows.get(shard_row.lease_key(domain, 0))
        held_by = shard_row.decode_row(row.value).ok.holder if row else ""
        for index, node in enumerate(self.fleet.nodes):
            if node.member.node != held_by:
                continue
            if how == "pause":
                node.clock.paused = True
            elif how == "cut":
                node.table.cut = True
            else:
                self.crash_and_restart(index)
        self.serve(20.0, before)
        self.serve(flood_s, 6)

    @stateful.rule(node=nodes)
    def pause_or_resume(self, node):
        clock = self.fleet.nodes[node].clock
        if clock.paused:
            clock.resume()
            self.note_factors()
        else:
            clock.paused = True

    @stateful.rule(node=nodes)
    def crash_and_restart(self, node):
        old = self.fleet.nodes[node]
        old.crash()
        self.fleet.add(
            old.member.failure_domain, old.clock.rate, old.member.address
        )
        self.fleet.nodes[node] = self.fleet.nodes.pop()
        self.note_factors()

    @stateful.rule(node=nodes)
    def restart_gracefully(self, node):
        old = self.fleet.nodes[node]
        if not old.clock.paused:
            old.quotas.stop()
            self.fleet.run(0.2, STEP_S)
            self.crash_and_restart(node)

    @stateful.rule(down=strategies.booleans())
    def store_outage(self, down):
        self.fleet.table.down = down

    @stateful.rule(node=nodes, cut=strategies.booleans())
    def cut_from_store(self, node, cut):
        self.fleet.nodes[node].table.cut = cut

    @stateful.rule(node=nodes, late=strategies.booleans())
    def lose_write_answers(self, node, late):
        table = self.fleet.nodes[node].table
        if late:
            table.late_writes = 1
        else:
            table.lose_answers = 2

    @stateful.rule(cut=strategies.booleans())
    def cut_domains(self, cut):
        self.cut_domain = cut

    @stateful.rule(loss=strategies.sampled_from((0.0, 0.3)))
    def lose_messages(self, loss):
        self.loss = loss

    @stateful.rule(delay_s=strategies.sampled_from((0.001, 0.06, 0.4)))
    def delay_messages(self, delay_s):
        self.fleet.wires.delay_s = delay_s

    @stateful.rule(east=strategies.sampled_from((0.2, 1.0, 5.0)))
    def change_weights(self, east):
        self.weights[0] = east
        self.change()

    @stateful.rule(factor=strategies.sampled_from((0.5, 1.0)))
    def change_rates(self, factor):
        self.factor = factor
        self.change()

    @stateful.rule(count=strategies.sampled_from((1, 2)))
    def change_shard_count(self, count):
        self.shard_count = count
        self.change()

    @stateful.invariant()
    def bound_holds_in_every_window(self):
        for name, rate_per_s, _ in CUSTOMERS if self.started else ():
            meter = self.meters[name]
            times = self.fleet.admitted[name]
            for at_s in times:
                meter.admit(at_s, rate_per_s * self.factor_at(at_s))
            times.clear()
            assert meter.worst <= 1e-6, f"{name} by {meter.worst}"

    def note_factors(self):
        """Notes the highest rate that some process has in force."""
        factor = max(
            node.configuration.current.customers["large"].rate_per_s
            for node in self.fleet.nodes
        )
        factor /= CUSTOMERS[0][1]
        if not self.factors or self.factors[-1][1] != factor:
            self.factors.append((self.fleet.reactor.seconds(), factor))

    def factor_at(self, at_s):
        """Returns the highest factor in force shortly before a time."""
        first = 0
        for index, (since_s, _) in enumerate(self.factors):
            if since_s + TRANSITION_S <= at_s:
                first = index
        return max(
            factor
            for since_s, factor in self.factors[first:]
            if since_s <= at_s
        )


class QuotaBoundTest(QuotaMachine.TestCase):
    """Runs the state machine."""


QuotaBoundTest.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=25,
    phases=[hypothesis.Phase.generate],
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
