"""Tests of the publisher: merges, conflicts, lost answers, other formats."""

from __future__ import annotations

import testscenarios
import testtools

from cyclamendale.configuration import changes
from cyclamendale.configuration import documents
from cyclamendale.configuration import store
from cyclamendale.store import faults
from cyclamendale.store import table
from tests.support import fake_platform_configuration as fake

KINDS = changes.PublishErrorKind
FAULT = faults.Fault
OPERATION = faults.Operation


class PublisherTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.platform = fake.SharedPlatform()


class MergeTest(PublisherTest):
    def test_a_first_change_makes_version_one(self):
        result = self.platform.publish(puts={"a": b"1", "b": b"2"})
        self.assertEqual(changes.Published(1), result.ok)
        self.assertEqual((1, {"a": b"1", "b": b"2"}), self.platform.folder())

    def test_racing_changes_of_different_files_merge(self):
        self.platform.publish(puts={"a": b"1"})
        self.platform.publish(1, {"b": b"2"})
        result = self.platform.publish(1, {"c": b"3"}, {"a"}, writer="bob")
        self.assertEqual(changes.Published(3), result.ok)
        self.assertEqual((3, {"b": b"2", "c": b"3"}), self.platform.folder())

    def test_simultaneous_changes_of_different_files_both_stay(self):
        operators = [self.platform.operator() for _ in range(4)]
        answers = [
            operator.publish(self.platform.change(puts={f"f{i}": b"x"}))
            for i, operator in enumerate(operators)
        ]
        versions = [self.platform.result(answer).ok for answer in answers]
        made = sorted(published.version for published in versions)
        self.assertEqual([1, 2, 3, 4], made)
        self.assertEqual(4, len(self.platform.folder()[1]))

    def test_a_change_committed_between_read_and_commit_is_merged(self):
        self.platform.publish(puts={"a": b"1"})
        for steps in range(6):
            change = self.platform.change(1, {f"f{steps}": b"x"})
            first = self.platform.operator().publish(change)
            self.platform.task_clock.advance(steps * fake.LATENCY_S)
            second = self.platform.publish(1, {f"g{steps}": b"x"})
            results = [self.platform.result(first), second]
            self.assertEqual([True, True], [r.is_ok() for r in results])
        self.assertEqual(13, self.platform.folder()[0])
        self.assertEqual(13, len(self.platform.folder()[1]))

    def test_a_merged_folder_that_is_invalid_changes_nothing(self):
        self.platform.publish(puts={"a": fake.EXCLUSIVE})
        before = self.platform.rows.list_rows("", 99)
        error = self.platform.publish(0, {"b": fake.EXCLUSIVE}).error
        self.assertEqual(KINDS.INVALID, error.kind)
        self.assertEqual(["a", "b"], error.invalid)
        self.assertEqual(before, self.platform.rows.list_rows("", 99))

    def test_the_history_lists_versions_newest_first(self):
        for version in range(105):
            self.platform.publish(version, {f"f{version % 3}": b"x"})
        operator = self.platform.operator()
        history = self.platform.result(operator.history(7)).ok
        self.assertEqual(
            list(range(105, 98, -1)), [entry.version for entry in history]
        )
        self.assertEqual(["f2"], list(history[0].puts))

    def test_many_files_are_read_in_few_operations(self):
        files = {f"f{i:03}": b"%d" % i for i in range(500)}
        self.platform.publish(puts=files)
        self.platform.publish(1, {"f007": b"changed"})
        injector = faults.FaultInjector()
        operator = self.platform.operator(injector)
        read = self.platform.result(operator.read()).ok
        self.assertEqual({**files, "f007": b"changed"}, dict(read.files))
        self.assertLessEqual(
            injector.operation_counts[OPERATION.GET_OBJECT],
            store.MAX_UNBUNDLED_FILES + 2,
        )


class RejectionTest(testscenarios.WithScenarios, PublisherTest):
    """Changes that are rejected after a concurrent change by bob."""

    scenarios = [
        (
            "written by another change since the base version",
            {"fields": {"puts": {"a": b"3"}}, "kind": KINDS.CONFLICT},
        ),
        (
            "removed by another change since the base version",
            {"fields": {"puts": {"gone": b"3"}}, "kind": KINDS.CONFLICT},
        ),
        (
            "removing a file that another change wrote",
            {"fields": {"removes": {"a"}}, "kind": KINDS.CONFLICT},
        ),
        ("empty", {"fields": {}, "kind": KINDS.EMPTY}),
        (
            "written and removed",
            {
                "fields": {"puts": {"n": b""}, "removes": {"n"}},
                "kind": KINDS.AMBIGUOUS,
            },
        ),
        (
            "removing an unknown file",
            {"fields": {"removes": {"n"}}, "kind": KINDS.FILE_UNKNOWN},
        ),
        (
            "base version above the version in force",
            {
                "fields": {"base": 9, "puts": {"n": b""}},
                "kind": KINDS.BASE_UNKNOWN,
            },
        ),
    ]

    def test_it_is_rejected_and_changes_nothing(self):
        self.platform.publish(puts={"a": b"1", "gone": b"1"})
        other = self.platform.change(1, {"a": b"2"}, {"gone"}, writer="bob")
        self.platform.result(self.platform.operator().publish(other))
        before = self.platform.folder()
        error = self.platform.publish(**{"base": 1, **self.fields}).error
        self.assertEqual(self.kind, error.kind)
        self.assertEqual(before, self.platform.folder())
        if self.kind is KINDS.CONFLICT:
            self.assertEqual(
                changes.ConflictingChange(
                    "bob", other.change_id, 2, error.file
                ),
                error.conflicting,
            )


class RepeatTest(PublisherTest):
    """A change repeated with the change id of an accepted one."""

    def setUp(self):
        super().setUp()
        self.change = self.platform.change(puts={"a": b"1"}, removes=())
        self.operator = self.platform.operator()
        self.platform.result(self.operator.publish(self.change))

    def repeat(self):
        return self.platform.result(self.operator.publish(self.change))

    def test_it_is_recognised_and_not_applied_again(self):
        self.assertEqual(changes.Published(1, True), self.repeat().ok)
        self.assertEqual((1, {"a": b"1"}), self.platform.folder())

    def test_it_is_recognised_also_when_another_replaced_its_file(self):
        self.platform.publish(1, {"a": b"2"})
        self.assertEqual(changes.Published(1, True), self.repeat().ok)
        self.assertEqual((2, {"a": b"2"}), self.platform.folder())

    def test_it_is_recognised_after_more_changes_than_the_head_lists(self):
        for version in range(1, documents.MAX_RECENT_CHANGES + 5):
            self.platform.publish(version, {"b": b"%d" % version})
        before = self.platform.folder()
        self.assertEqual(changes.Published(1, True), self.repeat().ok)
        self.assertEqual(before, self.platform.folder())

    def test_it_does_not_restore_contents_that_a_later_change_replaced(self):
        for version in range(1, documents.MAX_RECENT_CHANGES + 5):
            self.platform.publish(version, {"a": b"%d" % version})
        before = self.platform.folder()
        self.assertEqual(KINDS.CONFLICT, self.repeat().error.kind)
        self.assertEqual(before, self.platform.folder())

    def test_a_base_version_before_pruned_tombstones_is_rejected(self):
        names = [f"f{i}" for i in range(changes.MAX_TOMBSTONES + 1)]
        self.platform.publish(1, {name: b"" for name in names})
        self.platform.publish(2, removes=names)
        error = self.platform.publish(2, {"f0": b"back"}).error
        self.assertEqual(KINDS.BASE_TOO_OLD, error.kind)


class FaultTest(testscenarios.WithScenarios, PublisherTest):
    """One fault at each step of a publication, then a repeated change."""

    scenarios = testscenarios.multiply_scenarios(
        [
            (operation.value, {"operation": operation, "skip": 0})
            for operation in (
                OPERATION.READ,
                OPERATION.GET_OBJECT,
                OPERATION.PUT_OBJECT,
                OPERATION.TRANSACT,
            )
        ]
        + [
            ("second put", {"operation": OPERATION.PUT_OBJECT, "skip": 1}),
            ("read back", {"operation": OPERATION.READ, "skip": 1}),
        ],
        [(fault.value, {"fault": fault}) for fault in faults.Fault],
        [("once", {"count": 1}), ("for long", {"count": None})],
        [("alone", {"racing": False}), ("raced", {"racing": True})],
    )

    def test_it_is_applied_once_and_the_answer_is_true(self):
        self.platform.publish(puts={"a": b"1"})
        injector = faults.FaultInjector()
        rule = faults.FaultRule(
            self.fault, (self.operation,), self.skip, self.count, 3.0
        )
        injector.set_rules([rule])
        operator = self.platform.operator(injector)
        change = self.platform.change(1, {"a": b"2"})
        if self.racing:
            racing = self.platform.change(1, {"other": b"x"}, writer="bob")
            self.platform.operator().publish(racing)
            # This change commits between the read and the commit of the
            # change under test.
            self.platform.task_clock.advance(2.5 * fake.LATENCY_S)
        answer = operator.publish(change)
        result = self.platform.result(answer)
        self.check_answer_is_true(result, change)
        injector.set_rules()
        repeated = self.platform.result(operator.publish(change))
        self.assertTrue(repeated.is_ok())
        self.assertEqual(1, len(self.versions_of(change)))
        self.assertEqual(b"2", self.platform.folder()[1]["a"])

    def check_answer_is_true(self, result, change):
        made = self.versions_of(change)
        if result.is_ok():
            self.assertEqual([result.ok.version], made)
        elif result.error.kind is not KINDS.OUTCOME_UNKNOWN:
            self.platform.task_clock.advance(10.0)
            self.assertEqual([], self.versions_of(change))

    def versions_of(self, change):
        operator = self.platform.operator()
        history = self.platform.result(operator.history(99)).ok
        return [
            entry.version
            for entry in history
            if entry.change_id == change.change_id
        ]


class UnresolvedWriteTest(testscenarios.WithScenarios, PublisherTest):
    """A write with unknown outcome, followed by another fault.

    Guards against reporting that nothing was changed while the write may
    still take effect.
    """

    scenarios = [
        (
            "write applied, then one read back fails",
            {
                "lost": FAULT.ANSWER_LOST,
                "next": faults.FaultRule(
                    FAULT.DOWN, (OPERATION.READ,), skip=1, count=1
                ),
                "kind": None,
            },
        ),
        (
            "write applied, then every read back fails",
            {
                "lost": FAULT.ANSWER_LOST,
                "next": faults.FaultRule(FAULT.DOWN, (OPERATION.READ,), skip=1),
                "kind": KINDS.OUTCOME_UNKNOWN,
            },
        ),
        (
            "write still in flight, then the next write fails",
            {
                "lost": FAULT.SLOW,
                "next": faults.FaultRule(FAULT.DOWN, (OPERATION.TRANSACT,)),
                "kind": KINDS.OUTCOME_UNKNOWN,
            },
        ),
    ]

    def test_the_outcome_is_unknown_until_it_is_resolved(self):
        self.platform.publish(puts={"a": b"1"})
        injector = faults.FaultInjector()
        lost = faults.FaultRule(
            self.lost, (OPERATION.TRANSACT,), count=1, delay_s=100.0
        )
        injector.set_rules([lost, self.next])
        operator = self.platform.operator(injector)
        change = self.platform.change(1, {"a": b"2"})
        result = self.platform.result(operator.publish(change))
        kind = None if result.is_ok() else result.error.kind
        self.assertEqual(self.kind, kind)
        self.platform.task_clock.advance(100.0)
        self.assertEqual((2, {"a": b"2"}), self.platform.folder())


class ForgottenChangeTest(PublisherTest):
    """A lost answer, then more versions than the head remembers changes.

    Guards against reporting a conflict for a change that was applied: the
    head no longer lists its id when the publisher reads it again.
    """

    def test_an_applied_change_is_not_reported_as_a_conflict(self):
        self.platform.publish(puts={"z": b"0"})
        injector = faults.FaultInjector()
        lost = faults.FaultRule(
            FAULT.ANSWER_LOST, (OPERATION.TRANSACT,), count=1, delay_s=0.3
        )
        injector.set_rules([lost])
        change = self.platform.change(1, {"a": b"mine"})
        answer = self.platform.operator(injector).publish(change)
        # The write takes effect; its answer is lost.
        for _ in range(7):
            self.platform.task_clock.advance(fake.LATENCY_S)
        self.assertEqual((2, {"a": b"mine", "z": b"0"}), self.platform.folder())
        for version in range(2, 2 + documents.MAX_RECENT_CHANGES):
            self.platform.publish(version, {"a": b"%d" % version}, writer="bob")
        result = self.platform.result(answer)
        if result.is_error():
            self.assertEqual(KINDS.OUTCOME_UNKNOWN, result.error.kind)
        else:
            self.assertEqual(changes.Published(2, repeated=True), result.ok)


class OtherFormatTest(testscenarios.WithScenarios, PublisherTest):
    """Rows written by another version of the program."""

    scenarios = testscenarios.multiply_scenarios(
        [
            ("head", {"key": documents.HEAD_KEY}),
            ("next version", {"key": documents.version_key(2)}),
        ],
        [
            ("newer format", {"value": b'{"format": 2, "version": "x"}'}),
            ("newer, same fields", {"value": None}),
            ("not JSON", {"value": b"\xff\x00"}),
            ("fields missing", {"value": b'{"format": 1}'}),
        ],
    )

    def test_they_are_not_overwritten_and_the_error_is_typed(self):
        self.platform.publish(puts={"a": b"1"})
        row = self.platform.rows.read(self.key)
        version = row.version if row else table.ABSENT_VERSION
        known = self.platform.rows.read(documents.HEAD_KEY).value
        newer = known.replace(b'"format":1', b'"format":2')
        write = table.Write(self.key, version, self.value or newer)
        self.platform.rows.transact([write])
        before = self.platform.rows.list_rows("", 99)
        error = self.platform.publish(1, {"b": b"2"}).error
        self.assertEqual(KINDS.FORMAT_UNKNOWN, error.kind)
        self.assertEqual(before, self.platform.rows.list_rows("", 99))


class DamagedTest(PublisherTest):
    def test_a_missing_object_is_a_typed_error_and_changes_nothing(self):
        self.platform.publish(puts={"a": b"1"})
        digest = documents.digest_of(b"1")
        del self.platform.objects.objects[digest]
        before = self.platform.rows.list_rows("", 99)
        error = self.platform.publish(1, {"b": b"2"}).error
        self.assertEqual(KINDS.DAMAGED, error.kind)
        self.assertEqual(before, self.platform.rows.list_rows("", 99))
