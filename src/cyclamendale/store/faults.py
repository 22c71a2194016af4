"""Switchable faults of the platform's stand-ins."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import enum

import msgspec


class Operation(enum.Enum):
    """One kind of operation on the platform."""

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
"""Operations that must not be sent again when their answer is lost."""

WRITES = TABLE_WRITES | {Operation.PUT_OBJECT}
"""Operations that count as writes for the load on the platform."""


class Fault(enum.Enum):
    """What goes wrong with an operation."""

    DOWN = "down"
    """Refused without effect, and the caller is told so."""
    SLOW = "slow"
    """Takes effect, and is answered, after a delay."""
    REQUEST_LOST = "request-lost"
    """Has no effect and no answer."""
    ANSWER_LOST = "answer-lost"
    """Takes effect but has no answer."""
    CONFLICT = "conflict"
    """A table write meets a conflict and has no effect."""


class FaultRule(msgspec.Struct, frozen=True):
    """Which operations select_rule a fault.

    Attributes:
        fault: What goes wrong.
        operations: The operations concerned; empty for all.
        skip: Matching operations to let through first.
        count: Matching operations that then fail; None for all.
        delay_s: Delay of a slow operation.
    """

    fault: Fault
    operations: tuple[Operation, ...] = ()
    skip: int = 0
    count: int | None = None
    delay_s: float = 0.0


class FaultInjector:
    """The faults switched on, and counts of the operations seen."""

    def __init__(self) -> None:
        self._rules: list[FaultRule] = []
        self._match_counts: list[int] = []
        self.operation_counts: collections.Counter[Operation] = (
            collections.Counter()
        )

    def set_rules(self, rules: Iterable[FaultRule] = ()) -> None:
        """Replaces the rules in force; without any, all is well."""
        self._rules = list(rules)
        self._match_counts = [0] * len(self._rules)

    def select_rule(self, operation: Operation) -> FaultRule | None:
        """Counts an operation; returns the first rule that hits it."""
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
