"""State machine test with racing operators, lost answers and node restarts.

Versions only increase, no accepted change is lost or applied twice, rejected
changes are reported, and all nodes converge once partitions have healed.

Hypothesis derives its inputs from the names of rules and of their arguments:
renaming one changes the runs that the test makes.
"""

from __future__ import annotations

import collections

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from cyclamendale.configuration import changes
from cyclamendale.configuration import documents
from cyclamendale.store import faults
from tests.support import fake_platform_cluster as fake_cluster

CONVERGENCE_TARGET_S = 14.0
OPERATORS = 3
SIZES = (2, 2, 1)
FILES = ("a", "b", "c", "d")
KINDS = changes.PublishErrorKind
OPERATION = faults.Operation
UNEXPECTED_ERRORS = {KINDS.FORMAT_UNKNOWN, KINDS.DAMAGED, KINDS.BASE_UNKNOWN}
DOMAINS = tuple(f"domain-{d}" for d in range(len(SIZES)))

files = st.sampled_from(FILES)
operators = st.integers(0, OPERATORS - 1)
fault_rules = st.builds(
    faults.FaultRule,
    st.sampled_from(list(faults.Fault)),
    st.sampled_from(
        [(), (OPERATION.READ,), (OPERATION.TRANSACT,), (OPERATION.PUT_OBJECT,)]
    ),
    skip=st.integers(0, 2),
    count=st.sampled_from([1, 2, None]),
    delay_s=st.sampled_from([0.3, 1.5, 4.0]),
)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.defect_guard = fake_cluster.no_defects()
        self.defect_guard.__enter__()
        self.cluster = fake_cluster.Cluster(SIZES).start()
        self.platform = self.cluster.platform
        self.injectors = [faults.FaultInjector() for _ in range(OPERATORS)]
        self.bases = [0] * OPERATORS
        self.changes = {}
        self.sent = collections.Counter()
        self.results = {}
        self.contents = 0

    @stateful.rule(
        operator=operators,
        puts=st.sets(files, min_size=1, max_size=2),
        removes=st.one_of(st.just(set()), st.sets(files, max_size=1)),
        reads_first=st.booleans(),
    )
    def publish(self, operator, puts, removes, reads_first):
        if reads_first:
            self.read(operator)
        self.contents += 1
        change = self.platform.change(
            self.bases[operator],
            {file: b"%d" % self.contents for file in puts},
            removes - puts,
            f"operator-{operator}",
        )
        self.changes[change.change_id] = change
        self.send(operator, change)

    @stateful.rule(
        rule=fault_rules,
        file=files,
        apart_s=st.sampled_from([0.0, 0.02, 0.04]),
        duration_s=st.sampled_from([0.0, 0.5]),
    )
    def race(self, rule, file, apart_s, duration_s):
        """All operators publish concurrently, one of them with a fault."""
        for operator in range(OPERATORS):
            self.mend_operator(operator)
        self.faults_of_operator(0, [rule])
        for operator in range(OPERATORS):
            puts = {file} if operator < 2 else {FILES[0]}
            self.publish(operator, puts, set(), True)
            self.cluster.advance(apart_s)
        self.cluster.advance(duration_s)

    def read(self, operator):
        row = self.platform.rows.read(documents.HEAD_KEY)
        if row is not None:
            head = documents.decode(row.value, documents.Head).ok
            self.bases[operator] = head.version

    @stateful.precondition(lambda self: self.results)
    @stateful.rule(operator=operators, data=st.data())
    def repeat(self, operator, data):
        known = st.sampled_from(sorted(self.results))
        self.send(operator, self.changes[data.draw(known)])

    def send(self, operator, change):
        self.sent[change.change_id] += 1
        publisher = self.platform.operator(self.injectors[operator])
        answer = publisher.publish(change)
        results = self.results.setdefault(change.change_id, [])
        answer.addCallback(results.append)

    @stateful.rule(operator=operators, rules=st.lists(fault_rules, max_size=2))
    def faults_of_operator(self, operator, rules):
        self.injectors[operator].set_rules(rules)

    @stateful.rule(operator=operators)
    def mend_operator(self, operator):
        self.injectors[operator].set_rules()

    @stateful.rule(duration_s=st.sampled_from([0.02, 0.06, 0.5, 3.0]))
    def advance(self, duration_s):
        self.cluster.advance(duration_s)

    @stateful.rule(domain=st.sampled_from(DOMAINS))
    def cut(self, domain):
        self.cluster.cut(domain)

    @stateful.rule(domains=st.sets(st.sampled_from(DOMAINS), min_size=1))
    def cut_from_platform(self, domains):
        self.cluster.cut_from_platform(*domains)

    @stateful.rule()
    def heal(self):
        self.cluster.heal()

    @stateful.rule(index=st.integers(0, sum(SIZES) - 1))
    def restart(self, index):
        node = self.cluster.all[index]
        newest = max(
            (
                peer.version
                for peer in self.cluster.all
                if peer is not node
                and peer.controller.is_ready
                and self.cluster.reaches(peer.address, node.address)
            ),
            default=0,
        )
        node.start()
        self.cluster.seconds_until(
            lambda: node.controller.is_ready, CONVERGENCE_TARGET_S
        )
        if node.controller.is_ready:
            assert node.version >= newest, "older than a reachable peer"

    @stateful.invariant()
    def versions_increase_in_each_life(self):
        for node in self.cluster.all:
            for life in node.lives:
                assert life == sorted(set(life)), life

    def teardown(self):
        self.cluster.heal()
        for injector in self.injectors:
            injector.set_rules()
        took_s = self.cluster.seconds_until(self.is_every_change_answered, 60.0)
        assert took_s < 60.0, "a change was never answered"
        history = self.history()
        self.check_answers(history)
        self.check_no_change_is_lost(history)
        version = len(history)
        took_s = self.cluster.seconds_until(
            lambda: self.has_converged(version), CONVERGENCE_TARGET_S
        )
        assert took_s <= CONVERGENCE_TARGET_S, "no convergence"
        self.check_nodes(version)
        self.defect_guard.__exit__(None, None, None)

    def is_every_change_answered(self):
        answered = (len(results) for results in self.results.values())
        return sum(answered) == self.sent.total()

    def has_converged(self, version):
        ready = (node.controller.is_ready for node in self.cluster.all)
        return self.cluster.all_have(version) and all(ready)

    def history(self):
        operator = self.platform.operator()
        entries = self.platform.result(operator.history(999)).ok
        assert [e.version for e in entries] == list(range(len(entries), 0, -1))
        return entries[::-1]

    def check_answers(self, history):
        """Checks the answers given to operators against the history."""
        made = [entry.change_id for entry in history]
        for change_id, results in self.results.items():
            assert made.count(change_id) <= 1, "applied twice"
            for result in results:
                if result.is_ok():
                    version = result.ok.version
                    assert made[version - 1] == change_id
            if change_id not in made:
                assert all(result.is_error() for result in results), "lost"
            elif len(results) == 1 and results[0].is_error():
                kind = results[0].error.kind
                assert kind is KINDS.OUTCOME_UNKNOWN, "refused and applied"

        errors = (
            result.error.kind
            for results in self.results.values()
            for result in results
            if result.is_error()
        )
        assert not UNEXPECTED_ERRORS & set(errors)

    def check_no_change_is_lost(self, history):
        """Checks that no change overwrote one newer than its base version."""
        folder = {}
        changed_in = {}
        for entry in history:
            change = self.changes[entry.change_id]
            for file in change.files():
                seen = changed_in.get(file, 0) <= change.base_version
                assert seen, f"{file} overwritten unseen"
                changed_in[file] = entry.version
                folder.pop(file, None)
            folder.update(change.puts)
        assert self.platform.folder() == (len(history), folder)

    def check_nodes(self, version):
        for node in self.cluster.all:
            assert node.version == version
            assert node.controller.is_ready
            sources = set(node.controller.current.sources)
            expected = {(file,) for file in self.platform.folder()[1]}
            assert version == 0 or sources == expected


class ConfigurationMachineTest(ConfigurationMachine.TestCase):
    settings = settings(max_examples=100, stateful_step_count=40)
