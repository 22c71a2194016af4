"""In-memory table and object store with latency and fault injection."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale.store import faults
from cyclamendale.store import object_store
from cyclamendale.store import state as states
from cyclamendale.store import table

DEFAULT_TIMEOUT_S = 1.0
"""Time after which an unanswered operation fails."""

T = TypeVar("T")
E = TypeVar("E")


class MemoryTable(table.Table):
    """In-memory table with latency and fault injection.

    Attributes:
        injector: Selects faults and counts operations.
    """

    def __init__(
        self,
        state: states.TableState,
        injector: faults.FaultInjector,
        clock: clocks.Clock,
        latency_s: float,
        timeout_s: float,
    ) -> None:
        self._state = state
        self._link = _SimulatedLink(injector, clock, latency_s, timeout_s)
        self.injector = injector

    def read(
        self, key: str
    ) -> defer.Deferred[Result[table.Row | None, table.TableError]]:
        """See base class."""
        return self._link.send(
            faults.Operation.READ,
            lambda: Ok(self._state.read(key)),
            lambda fault: self._make_error(fault, key, is_write=False),
        )

    def list_rows(
        self, prefix: str, limit: int
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        """See base class."""
        return self._link.send(
            faults.Operation.LIST,
            lambda: Ok(self._state.list_rows(prefix, limit)),
            lambda fault: self._make_error(fault, prefix, is_write=False),
        )

    def insert_if_absent(self, key: str, value: bytes) -> table.RowResult:
        """See base class."""
        write = table.Write(key, table.ABSENT_VERSION, value)
        return self._write_one(faults.Operation.INSERT, write)

    def compare_and_set(
        self, key: str, expected_version: int, value: bytes
    ) -> table.RowResult:
        """See base class."""
        write = table.Write(key, expected_version, value)
        return self._write_one(faults.Operation.COMPARE_AND_SET, write)

    def transact(
        self, writes: list[table.Write]
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        """See base class."""
        return self._write(faults.Operation.TRANSACT, writes)

    def _write_one(
        self, operation: faults.Operation, write: table.Write
    ) -> table.RowResult:
        answer = self._write(operation, [write])
        return answer.addCallback(lambda result: result.map(lambda r: r[0]))

    def _write(
        self, operation: faults.Operation, writes: list[table.Write]
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        key = writes[0].key if writes else ""
        return self._link.send(
            operation,
            lambda: self._state.transact(writes),
            lambda fault: self._make_error(fault, key, is_write=True),
        )

    def _make_error(
        self, fault: faults.Fault, key: str, *, is_write: bool
    ) -> table.TableError:
        if fault is faults.Fault.CONFLICT:
            return self._state.make_conflict(key)
        if fault is faults.Fault.DOWN or not is_write:
            return table.TableError(table.TableErrorKind.UNAVAILABLE, key)
        return table.TableError(table.TableErrorKind.OUTCOME_UNKNOWN, key)


class MemoryObjectStore(object_store.ObjectStore):
    """In-memory object store with latency and fault injection.

    Attributes:
        injector: Selects faults and counts operations.
    """

    def __init__(
        self,
        state: states.ObjectState,
        injector: faults.FaultInjector,
        clock: clocks.Clock,
        latency_s: float,
        timeout_s: float,
    ) -> None:
        self._state = state
        self._link = _SimulatedLink(injector, clock, latency_s, timeout_s)
        self.injector = injector

    def put(
        self, data: bytes
    ) -> defer.Deferred[Result[str, object_store.ObjectError]]:
        """See base class."""
        return self._link.send(
            faults.Operation.PUT_OBJECT,
            lambda: Ok(self._state.put(data)),
            lambda fault: _unavailable(states.digest_of(data)),
        )

    def get(
        self, digest: str
    ) -> defer.Deferred[Result[bytes, object_store.ObjectError]]:
        """See base class."""
        return self._link.send(
            faults.Operation.GET_OBJECT,
            lambda: self._state.get(digest),
            lambda fault: _unavailable(digest),
        )


class _SimulatedLink:
    """Runs operations with simulated latency and injected faults."""

    def __init__(
        self,
        injector: faults.FaultInjector,
        clock: clocks.Clock,
        latency_s: float,
        timeout_s: float,
    ) -> None:
        self._injector = injector
        self._clock = clock
        self._latency_s = latency_s
        self._timeout_s = timeout_s

    def send(
        self,
        operation: faults.Operation,
        run: Callable[[], Result[T, E]],
        make_error: Callable[[faults.Fault], E],
    ) -> defer.Deferred[Result[T, E]]:
        """Runs an operation, or injects the fault that applies to it."""
        rule = self._injector.select_rule(operation)
        if rule is None:
            return self._run_after(self._latency_s, run)
        fault = rule.fault
        if fault is faults.Fault.SLOW:
            return self._run_with_delay(rule.delay_s, run, make_error)
        if fault is faults.Fault.ANSWER_LOST:
            self._run_after(self._latency_s, run)
        is_unanswered = fault in (
            faults.Fault.ANSWER_LOST,
            faults.Fault.REQUEST_LOST,
        )
        wait_s = self._timeout_s if is_unanswered else self._latency_s
        return self._run_after(wait_s, lambda: Error(make_error(fault)))

    def _run_with_delay(
        self,
        delay_s: float,
        run: Callable[[], Result[T, E]],
        make_error: Callable[[faults.Fault], E],
    ) -> defer.Deferred[Result[T, E]]:
        if delay_s < self._timeout_s:
            return self._run_after(delay_s, run)
        self._run_after(delay_s, run)
        fault = faults.Fault.SLOW
        return self._run_after(
            self._timeout_s, lambda: Error(make_error(fault))
        )

    def _run_after(
        self, delay_s: float, run: Callable[[], Result[T, E]]
    ) -> defer.Deferred[Result[T, E]]:
        result: defer.Deferred[Result[T, E]] = defer.Deferred()
        if delay_s <= 0:
            result.callback(run())
        else:
            self._clock.call_later(delay_s, lambda: result.callback(run()))
        return result


def _unavailable(digest: str) -> object_store.ObjectError:
    kind = object_store.ObjectErrorKind.UNAVAILABLE
    return object_store.ObjectError(kind, digest)


def make_memory_table(
    clock: clocks.Clock,
    injector: faults.FaultInjector | None = None,
    state: states.TableState | None = None,
    latency_s: float = 0.0,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> MemoryTable:
    """Returns an in-memory table.

    Args:
        clock: Clock for latency and delays.
        injector: Fault injector; by default a new one without rules.
        state: Rows, which several tables may share; by default empty.
        latency_s: Time from an operation to its effect and response.
        timeout_s: Time after which an unanswered operation fails.
    """
    return MemoryTable(
        state if state is not None else states.TableState(),
        injector or faults.FaultInjector(),
        clock,
        latency_s,
        timeout_s,
    )


def make_memory_object_store(
    clock: clocks.Clock,
    injector: faults.FaultInjector | None = None,
    state: states.ObjectState | None = None,
    latency_s: float = 0.0,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> MemoryObjectStore:
    """Returns an in-memory object store; see `make_memory_table`."""
    return MemoryObjectStore(
        state if state is not None else states.ObjectState(),
        injector or faults.FaultInjector(),
        clock,
        latency_s,
        timeout_s,
    )
