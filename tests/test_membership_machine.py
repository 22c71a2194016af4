"""Random faults in the membership protocol, on a virtual clock."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cyclamendale.membership import directory
from tests.support import fake_members

DOMAINS = ["a", "b", "c"]
PER_DOMAIN = 2
AGREEMENT_S = 60.0
"""Maximum time from the end of all faults until all members agree."""

pairs = strategies.sampled_from([("a", "b"), ("a", "c"), ("b", "c")])
numbers = strategies.integers(0, len(DOMAINS) * PER_DOMAIN - 1)


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Injects faults in any order; after their end, all live members agree."""

    @stateful.initialize(seed=strategies.integers(0, 1_000))
    def start(self, seed):
        self.cluster = fake_members.make_cluster(
            DOMAINS, PER_DOMAIN, seed, fake_members.announcement()
        )
        self.addresses = list(self.cluster.running)

    def _running(self, number):
        return self.cluster.running.get(self.addresses[number])

    @stateful.rule(duration_s=strategies.sampled_from([0.1, 0.7, 3, 12, 40]))
    def run(self, duration_s):
        self.cluster.run(duration_s)

    @stateful.rule(pair=pairs)
    def cut(self, pair):
        self.cluster.cuts.add(pair)

    @stateful.rule(domain=strategies.sampled_from(DOMAINS))
    def cut_off(self, domain):
        self.cluster.cut_off(domain)

    @stateful.rule()
    def heal(self):
        self.cluster.cuts.clear()

    @stateful.rule(
        loss=strategies.sampled_from([0, 0.01, 0.3]),
        duplication=strategies.sampled_from([0, 0.3]),
        max_delay_s=strategies.sampled_from([0.003, 0.3]),
    )
    def disturb(self, loss, duplication, max_delay_s):
        self.cluster.loss = loss
        self.cluster.duplication = duplication
        self.cluster.max_delay_s = max_delay_s

    @stateful.rule(number=numbers)
    def crash(self, number):
        member = self._running(number)
        if member is not None and len(self.cluster.running) > 1:
            self.cluster.crash(member)

    @stateful.rule(number=numbers)
    def start_again(self, number):
        if self._running(number) is not None:
            self.cluster.crash(self._running(number))
        self.cluster.restart(
            self.addresses[number], fake_members.announcement()
        )

    @stateful.rule(number=numbers)
    def pause(self, number):
        member = self._running(number)
        if member is not None:
            member.paused = True

    @stateful.rule(number=numbers)
    def resume(self, number):
        member = self._running(number)
        if member is not None and member.paused:
            member.resume()

    @stateful.rule(
        number=numbers,
        state=strategies.sampled_from(directory.UpstreamState),
    )
    def announce(self, number, state):
        member = self._running(number)
        if member is not None and not member.paused:
            member.protocol.set_upstream(fake_members.announcement(state=state))

    @stateful.rule(number=numbers)
    def leave(self, number):
        member = self._running(number)
        if member is not None and len(self.cluster.running) > 1:
            member.protocol.leave()
            self.cluster.run(1)
            self.cluster.crash(member)

    @stateful.invariant()
    def no_member_considers_itself_dead(self):
        for member in self.cluster.running.values():
            own = member.members.own()
            assert own.state is directory.MemberState.ALIVE
            assert own in member.members.members()

    @stateful.invariant()
    def targets_are_the_ready_members(self):
        for member in self.cluster.running.values():
            ready = {
                other.address
                for other in member.members.members()
                if other.upstream is not None
                and other.upstream.state is directory.UpstreamState.READY
                and not other.leaving
            }
            targets = member.members.targets("orders")
            assert {target.address for target in targets} == ready

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.cuts.clear()
        self.disturb(0, 0, 0.003)
        for member in list(self.cluster.running.values()):
            if member.paused:
                member.resume()
        took_s = self.cluster.run_until(self.cluster.agrees, AGREEMENT_S, 1)
        assert took_s is not None, {
            address: member.view()
            for address, member in self.cluster.running.items()
        }


MembershipMachineTest = MembershipMachine.TestCase
MembershipMachineTest.settings = hypothesis.settings(
    max_examples=40, stateful_step_count=30
)
