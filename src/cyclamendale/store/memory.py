"""In-memory table and object store with switchable faults."""

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
"""Time after which a caller stops waiting for an answer."""

T = TypeVar("T")
E = TypeVar("E")
Answer = defer.Deferred[Result[T, E]]


class MemoryTable(table.Table):
    """Table in the memory of this process.

    Attributes:
        switch: Faults to bring about, and operation counters.
    """

    def __init__(
        self,
        state: states.TableState,
        switch: faults.FaultSwitch,
        clock: clocks.Clock,
        latency_s: float,
        timeout_s: float,
    ) -> None:
        self._state = state
        self._link = _Link(switch, clock, latency_s, timeout_s)
        self.switch = switch

    def read(
        self, key: str
    ) -> defer.Deferred[Result[table.Row | None, table.TableError]]:
        """See base class."""
        return self._link.send(
            faults.Operation.READ,
            lambda: Ok(self._state.read(key)),
            lambda fault: self._failed(fault, key, may_write=False),
        )

    def list_rows(
        self, prefix: str, limit: int
    ) -> defer.Deferred[Result[list[table.Row], table.TableError]]:
        """See base class."""
        return self._link.send(
            faults.Operation.LIST,
            lambda: Ok(self._state.list_rows(prefix, limit)),
            lambda fault: self._failed(fault, prefix, may_write=False),
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
            lambda fault: self._failed(fault, key, may_write=True),
        )

    def _failed(
        self, fault: faults.Fault, key: str, *, may_write: bool
    ) -> table.TableError:
        if fault is faults.Fault.CONFLICT:
            return self._state.conflict(key)
        if fault is faults.Fault.DOWN or not may_write:
            return table.TableError(table.TableErrorKind.UNAVAILABLE, key)
        return table.TableError(table.TableErrorKind.OUTCOME_UNKNOWN, key)


class MemoryObjectStore(object_store.ObjectStore):
    """Object store in the memory of this process.

    Attributes:
        switch: Faults to bring about, and operation counters.
    """

    def __init__(
        self,
        state: states.ObjectState,
        switch: faults.FaultSwitch,
        clock: clocks.Clock,
        latency_s: float,
        timeout_s: float,
    ) -> None:
        self._state = state
        self._link = _Link(switch, clock, latency_s, timeout_s)
        self.switch = switch

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


class _Link:
    """Carries operations to a state, with latency and faults."""

    def __init__(
        self,
        switch: faults.FaultSwitch,
        clock: clocks.Clock,
        latency_s: float,
        timeout_s: float,
    ) -> None:
        self._switch = switch
        self._clock = clock
        self._latency_s = latency_s
        self._timeout_s = timeout_s

    def send(
        self,
        operation: faults.Operation,
        run: Callable[[], Result[T, E]],
        fail: Callable[[faults.Fault], E],
    ) -> defer.Deferred[Result[T, E]]:
        """Runs an operation, or lets it meet the fault switched on."""
        rule = self._switch.meet(operation)
        if rule is None:
            return self._after(self._latency_s, run)
        fault = rule.fault
        if fault is faults.Fault.SLOW:
            return self._slow(rule.delay_s, run, fail)
        if fault is faults.Fault.ANSWER_LOST:
            self._after(self._latency_s, run)
        silent = fault in (faults.Fault.ANSWER_LOST, faults.Fault.REQUEST_LOST)
        wait_s = self._timeout_s if silent else self._latency_s
        return self._after(wait_s, lambda: Error(fail(fault)))

    def _slow(
        self,
        delay_s: float,
        run: Callable[[], Result[T, E]],
        fail: Callable[[faults.Fault], E],
    ) -> defer.Deferred[Result[T, E]]:
        if delay_s < self._timeout_s:
            return self._after(delay_s, run)
        self._after(delay_s, run)
        fault = faults.Fault.SLOW
        return self._after(self._timeout_s, lambda: Error(fail(fault)))

    def _after(
        self, delay_s: float, run: Callable[[], Result[T, E]]
    ) -> defer.Deferred[Result[T, E]]:
        answer: defer.Deferred[Result[T, E]] = defer.Deferred()
        if delay_s <= 0:
            answer.callback(run())
        else:
            self._clock.call_later(delay_s, lambda: answer.callback(run()))
        return answer


def _unavailable(digest: str) -> object_store.ObjectError:
    kind = object_store.ObjectErrorKind.UNAVAILABLE
    return object_store.ObjectError(kind, digest)


def make_memory_table(
    clock: clocks.Clock,
    switch: faults.FaultSwitch | None = None,
    state: states.TableState | None = None,
    latency_s: float = 0.0,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> MemoryTable:
    """Returns a table; give several the same state to share it.

    Args:
        clock: Clock for latency and delays.
        switch: Faults; none of its own switched on by default.
        state: Rows to serve; an empty table by default.
        latency_s: Time from an operation to its effect and answer.
        timeout_s: Time after which an operation without an answer fails.
    """
    return MemoryTable(
        state if state is not None else states.TableState(),
        switch or faults.FaultSwitch(),
        clock,
        latency_s,
        timeout_s,
    )


def make_memory_object_store(
    clock: clocks.Clock,
    switch: faults.FaultSwitch | None = None,
    state: states.ObjectState | None = None,
    latency_s: float = 0.0,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> MemoryObjectStore:
    """Returns an object store; arguments as in `make_memory_table`."""
    return MemoryObjectStore(
        state if state is not None else states.ObjectState(),
        switch or faults.FaultSwitch(),
        clock,
        latency_s,
        timeout_s,
    )
