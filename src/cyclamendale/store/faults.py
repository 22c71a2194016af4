"""Fault injection for the in-memory implementations of the platform."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import enum

import msgspec


class Operation(enum.Enum):
    """Type of an operation on the platform."""

    READ = "read"
    LIST = "list"
    INSERT = "insert"
    COMPARE_AND_SET = "compare-and-set"
    TRANSACT = "transact"
    PUT_OBJECT = "put-object"
    GET_OBJECT = "get-object"


TABLE_WRITES = frozenset(
    {Operation.INSERT, Operation.COMPARE_AND_SET, Operation.TRANSACT}
)
"""Operations that must not be resent after their response was lost."""

WRITES = TABLE_WRITES | {Operation.PUT_OBJECT}
"""Operations that the load limit counts as writes."""


class Fault(enum.Enum):
    """Fault that is injected into an operation."""

    DOWN = "down"
    """The operation is rejected with an error and has no effect."""
    SLOW = "slow"
    """The operation takes effect and is answered after a delay."""
    REQUEST_LOST = "request-lost"
    """The request is lost: no effect and no response."""
    ANSWER_LOST = "answer-lost"
    """The operation takes effect, but its response is lost."""
    CONFLICT = "conflict"
    """A table write fails with a version conflict and has no effect."""


class FaultRule(msgspec.Struct, frozen=True):
    """Selects the operations into which a fault is injected.

    Attributes:
        fault: Fault to inject.
        operations: Types of the affected operations; empty for all.
        skip: Number of matching operations that run normally first.
        count: Number of matching operations after those that are
            affected; None for all.
        delay_s: Delay of an operation with fault `SLOW`.
    """

    fault: Fault
    operations: tuple[Operation, ...] = ()
    skip: int = 0
    count: int | None = None
    delay_s: float = 0.0


class FaultInjector:
    """Selects the fault of each operation and counts the operations.

    Attributes:
        operation_counts: Number of operations received, by type.
    """

    def __init__(self) -> None:
        self._rules: list[FaultRule] = []
        self._match_counts: list[int] = []
        self.operation_counts: collections.Counter[Operation] = (
            collections.Counter()
        )

    def set_rules(self, rules: Iterable[FaultRule] = ()) -> None:
        """Replaces the active rules; without rules no faults are injected."""
        self._rules = list(rules)
        self._match_counts = [0] * len(self._rules)

    def select_rule(self, operation: Operation) -> FaultRule | None:
        """Counts an operation and returns the first rule that applies."""
        self.operation_counts[operation] += 1
        for index, rule in enumerate(self._rules):
            if rule.operations and operation not in rule.operations:
                continue
            if rule.fault is Fault.CONFLICT and operation not in TABLE_WRITES:
                continue
            position = self._match_counts[index]
            self._match_counts[index] += 1
            if _is_affected(rule, position):
                return rule
        return None


def _is_affected(rule: FaultRule, position: int) -> bool:
    if position < rule.skip:
        return False
    return rule.count is None or position < rule.skip + rule.count
