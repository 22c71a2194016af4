"""Contract tests of the table and the object store.

The same tests with the same injected faults run against the in-memory
implementation and against the HTTP client connected to the stand-in
server over loopback.
"""

from __future__ import annotations

import testscenarios
from twisted.internet import defer
from twisted.trial import unittest

from cyclamendale.store import faults
from cyclamendale.store import object_store
from cyclamendale.store import table
from tests.support import fake_platform

KINDS = table.TableErrorKind
FAULTS = faults.Fault
PLATFORMS = [
    ("memory", {"make_platform": fake_platform.MemoryPlatform}),
    ("http", {"make_platform": fake_platform.LoopbackPlatform}),
]


class ContractTest(testscenarios.WithScenarios, unittest.TestCase):
    timeout = 10
    scenarios = PLATFORMS

    def setUp(self):
        super().setUp()
        self.platform = self.make_platform()
        self.table = self.platform.table
        self.addCleanup(lambda: self.platform.close())

    def result_of(self, answer):
        return self.platform.result(answer)

    def inject_fault(self, fault, **fields):
        delay_s = fake_platform.SLOW_S
        rule = faults.FaultRule(fault, delay_s=delay_s, **fields)
        self.platform.injector.set_rules([rule])


class TableTest(ContractTest):
    @defer.inlineCallbacks
    def test_a_missing_row_reads_as_none(self):
        self.assertIsNone((yield self.result_of(self.table.read("k"))).ok)

    @defer.inlineCallbacks
    def test_an_inserted_row_has_version_one(self):
        yield self.result_of(self.table.insert_if_absent("k", b"\x00a"))
        row = (yield self.result_of(self.table.read("k"))).ok
        self.assertEqual(table.Row("k", b"\x00a", 1), row)

    @defer.inlineCallbacks
    def test_a_second_insert_conflicts_and_returns_the_existing_row(self):
        yield self.result_of(self.table.insert_if_absent("k", b"a"))
        error = (
            yield self.result_of(self.table.insert_if_absent("k", b"b"))
        ).error
        self.assertEqual(KINDS.CONFLICT, error.kind)
        self.assertEqual(table.Row("k", b"a", 1), error.current)

    @defer.inlineCallbacks
    def test_compare_and_set_requires_the_current_version(self):
        yield self.result_of(self.table.insert_if_absent("k", b"a"))
        second = yield self.result_of(self.table.compare_and_set("k", 1, b"b"))
        stale = yield self.result_of(self.table.compare_and_set("k", 1, b"c"))
        self.assertEqual(table.Row("k", b"b", 2), second.ok)
        self.assertEqual(KINDS.CONFLICT, stale.error.kind)

    @defer.inlineCallbacks
    def test_a_transaction_applies_all_or_nothing(self):
        yield self.result_of(self.table.insert_if_absent("a", b"1"))
        failed = yield self.result_of(
            self.table.transact(
                [table.Write("b", 0, b"2"), table.Write("a", 9, b"2")]
            )
        )
        rows = (yield self.result_of(self.table.list_rows("", 9))).ok
        self.assertEqual((KINDS.CONFLICT, "a"), _kind_and_key(failed))
        self.assertEqual([table.Row("a", b"1", 1)], rows)

    @defer.inlineCallbacks
    def test_a_transaction_sets_deletes_and_checks(self):
        for key in "abc":
            yield self.result_of(self.table.insert_if_absent(key, b"1"))
        writes = [
            table.Write("a", 1, b"2"),
            table.Write("b", 1, delete=True),
            table.Write("c", 1),
        ]
        written = (yield self.result_of(self.table.transact(writes))).ok
        rows = (yield self.result_of(self.table.list_rows("", 9))).ok
        self.assertEqual([table.Row("a", b"2", 2)], written)
        self.assertEqual(["a", "c"], [row.key for row in rows])

    @defer.inlineCallbacks
    def test_a_transaction_with_a_duplicate_key_is_malformed(self):
        writes = [table.Write("a", 0, b"1"), table.Write("a", 0, b"2")]
        result = yield self.result_of(self.table.transact(writes))
        self.assertEqual(KINDS.MALFORMED, result.error.kind)

    @defer.inlineCallbacks
    def test_versions_keep_increasing_after_a_deletion(self):
        yield self.result_of(self.table.insert_if_absent("k", b"a"))
        deletion = [table.Write("k", 1, delete=True)]
        yield self.result_of(self.table.transact(deletion))
        row = (yield self.result_of(self.table.insert_if_absent("k", b"b"))).ok
        self.assertEqual(2, row.version)

    @defer.inlineCallbacks
    def test_a_list_has_prefix_and_limit_and_is_in_key_order(self):
        for key in ("p/3", "q/1", "p/1", "p/2"):
            yield self.result_of(self.table.insert_if_absent(key, b""))
        rows = (yield self.result_of(self.table.list_rows("p/", 2))).ok
        self.assertEqual(["p/1", "p/2"], [row.key for row in rows])


class TableFaultTest(ContractTest):
    """Checks the error and the effect of each fault at each operation."""

    scenarios = testscenarios.multiply_scenarios(
        PLATFORMS,
        [
            ("insert", {"operation": "insert"}),
            ("compare-and-set", {"operation": "compare-and-set"}),
            ("transact", {"operation": "transact"}),
        ],
        [
            ("down", {"fault": FAULTS.DOWN, "kind": KINDS.UNAVAILABLE}),
            ("slow", {"fault": FAULTS.SLOW, "kind": KINDS.OUTCOME_UNKNOWN}),
            (
                "request lost",
                {"fault": FAULTS.REQUEST_LOST, "kind": KINDS.OUTCOME_UNKNOWN},
            ),
            (
                "answer lost",
                {"fault": FAULTS.ANSWER_LOST, "kind": KINDS.OUTCOME_UNKNOWN},
            ),
            ("conflict", {"fault": FAULTS.CONFLICT, "kind": KINDS.CONFLICT}),
        ],
    )

    def write(self):
        if self.operation == "insert":
            return self.table.insert_if_absent("new", b"x")
        if self.operation == "compare-and-set":
            return self.table.compare_and_set("old", 1, b"x")
        return self.table.transact([table.Write("old", 1, b"x")])

    @defer.inlineCallbacks
    def test_the_error_kind_is_correct_and_no_write_is_resent(self):
        yield self.result_of(self.table.insert_if_absent("old", b"a"))
        self.platform.injector.operation_counts.clear()
        self.inject_fault(self.fault)
        result = yield self.result_of(self.write())
        self.platform.injector.set_rules()
        rows = (yield self.result_of(self.table.list_rows("", 9))).ok
        ran = any(row.value == b"x" for row in rows)
        self.assertEqual(self.kind, result.error.kind)
        self.assertEqual(self.fault is FAULTS.ANSWER_LOST, ran)
        if self.kind is not KINDS.UNAVAILABLE:
            sent = self.platform.injector.operation_counts
            self.assertEqual(1, sent[faults.Operation(self.operation)])


class DelayedWriteTest(ContractTest):
    """A write that takes effect after its caller's timeout."""

    @defer.inlineCallbacks
    def test_it_does_not_overwrite_a_newer_write(self):
        yield self.result_of(self.table.insert_if_absent("k", b"a"))
        self.inject_fault(FAULTS.SLOW, count=1)
        yield self.result_of(self.table.compare_and_set("k", 1, b"late"))
        yield self.result_of(self.table.compare_and_set("k", 1, b"b"))
        self.platform.complete_slow_operations()
        row = (yield self.result_of(self.table.read("k"))).ok
        self.assertEqual(table.Row("k", b"b", 2), row)

    @defer.inlineCallbacks
    def test_it_may_take_effect_after_it_failed(self):
        self.inject_fault(FAULTS.SLOW, count=1)
        yield self.result_of(self.table.insert_if_absent("k", b"late"))
        before = (yield self.result_of(self.table.read("k"))).ok
        self.platform.complete_slow_operations()
        after = (yield self.result_of(self.table.read("k"))).ok
        self.assertIsNone(before)
        self.assertEqual(b"late", after.value)


class ReadFaultTest(ContractTest):
    scenarios = testscenarios.multiply_scenarios(
        PLATFORMS,
        [
            (fault.value, {"fault": fault})
            for fault in FAULTS
            if fault is not FAULTS.CONFLICT
        ],
    )

    @defer.inlineCallbacks
    def test_a_failed_read_is_unavailable(self):
        self.inject_fault(self.fault)
        answers = [self.table.read("k"), self.table.list_rows("", 1)]
        for answer in answers:
            error = (yield self.result_of(answer)).error
            self.assertEqual(KINDS.UNAVAILABLE, error.kind)

    @defer.inlineCallbacks
    def test_failed_object_operations_are_unavailable(self):
        self.inject_fault(self.fault)
        unavailable = object_store.ObjectErrorKind.UNAVAILABLE
        put = yield self.result_of(self.platform.objects.put(b"data"))
        get = yield self.result_of(self.platform.objects.get("0" * 64))
        kinds = [put.error.kind, get.error.kind]
        self.assertEqual([unavailable, unavailable], kinds)


class ObjectStoreTest(ContractTest):
    @defer.inlineCallbacks
    def test_an_object_can_be_read_by_its_digest_even_if_put_twice(self):
        for data in (b"", bytes(range(256)), b"x" * 300_000):
            first = yield self.result_of(self.platform.objects.put(data))
            second = yield self.result_of(self.platform.objects.put(data))
            found = yield self.result_of(self.platform.objects.get(first.ok))
            self.assertEqual(first.ok, second.ok)
            self.assertEqual(data, found.ok)

    @defer.inlineCallbacks
    def test_an_unknown_object_is_not_found(self):
        result = yield self.result_of(self.platform.objects.get("0" * 64))
        not_found = object_store.ObjectErrorKind.NOT_FOUND
        self.assertEqual(not_found, result.error.kind)


def _kind_and_key(result):
    return result.error.kind, result.error.key
