"""The lives of processes, as their logs tell them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import enum

import msgspec

from cyclamendale import ids
from cyclamendale.diagnosis import log_lines

_WAITS = frozenset(
    {
        log_lines.Event.SETTINGS_UNUSABLE,
        log_lines.Event.ADDRESSES_IN_USE,
        log_lines.Event.START_FAILED,
    }
)
"""Events of a process that waits until it can start."""


class End(enum.Enum):
    """How the life of a process ended, as far as its log tells."""

    STOPPED = "stopped"
    """It logged that it stopped."""
    CUT_IN_STOP = "cut-in-stop"
    """It began to stop; the next process of the host started instead of the
    line that it stopped."""
    BY_ITSELF = "by-itself"
    """The next process of the host started, and it had not begun to stop: it
    was killed, or failed."""
    OPEN = "open"
    """No line tells of an end."""


class State(enum.Enum):
    """What a process does at a time."""

    NOT_STARTED = "not started"
    RUNNING = "running"
    STOPPING = "stopping"
    PERHAPS_ENDED = "perhaps down"
    """After the last line of a process that ended by itself."""
    ENDED = "down"


class Wait(msgspec.Struct, frozen=True):
    """What a process waited for before it started.

    Attributes:
        event: Event that says it.
        detail: Address, path or error.
        begin_s: Time since which it waited.
    """

    event: str
    detail: str
    begin_s: float


class Life(msgspec.Struct, kw_only=True):
    """One process of a host; times are in seconds since the epoch.

    Attributes:
        node: Name of the node; empty if its settings were never usable.
        pid: The process; 0 if its lines don't say.
        log: File that contains its first line.
        first_s: Its first line.
        last_s: Its last line that was read.
        address: Address at which other nodes reach it.
        service: Service of its upstream.
        failure_domain: Its failure domain.
        waits: What it waited for before it started.
        start_s: When it had opened its ports.
        ready_s: When a configuration was in force first.
        store_s: When it reached the store first.
        reload_count: Changes of its settings.
        stop_s: When it was told to stop.
        stopped_s: When it had nothing more in work, or no more time.
        in_work: Requests in work when it was told to stop.
        left_in_work: Requests in work when it stopped.
        next_s: First line of the host's next process, if there is one.
    """

    node: ids.NodeId
    pid: int
    log: str
    first_s: float
    last_s: float
    address: ids.PeerAddress | None = None
    service: ids.ServiceName | None = None
    failure_domain: ids.FailureDomainName | None = None
    waits: list[Wait] = []
    start_s: float | None = None
    ready_s: float | None = None
    store_s: float | None = None
    reload_count: int = 0
    stop_s: float | None = None
    stopped_s: float | None = None
    in_work: int | None = None
    left_in_work: int | None = None
    next_s: float | None = None

    @property
    def end(self) -> End:
        """Returns how it ended."""
        if self.stopped_s is not None:
            return End.STOPPED
        if self.next_s is None:
            return End.OPEN
        return End.BY_ITSELF if self.stop_s is None else End.CUT_IN_STOP

    @property
    def waited_s(self) -> float:
        """Returns the time that it waited before it started."""
        if not self.waits:
            return 0.0
        until_s = self.last_s if self.start_s is None else self.start_s
        return max(0.0, until_s - self.waits[0].begin_s)

    def add(self, line: log_lines.LogLine) -> None:
        """Takes account of a line; lines come in the order of their times."""
        self.last_s = max(self.last_s, line.time_s)
        if line.event in _WAITS:
            self._add_wait(line)
        elif line.event == log_lines.Event.START:
            self.start_s = line.time_s
            self.address = ids.PeerAddress(line.text("address")) or None
            self.service = ids.ServiceName(line.text("service")) or None
            self.failure_domain = (
                ids.FailureDomainName(line.text("failure_domain")) or None
            )
        elif line.event == log_lines.Event.CONFIGURATION_IN_FORCE:
            self.ready_s = line.time_s if self.ready_s is None else self.ready_s
        elif line.event == log_lines.Event.STORE_REACHABLE:
            self.store_s = line.time_s if self.store_s is None else self.store_s
        elif line.event == log_lines.Event.RELOAD:
            self.reload_count += 1
        elif line.event == log_lines.Event.STOP:
            self.stop_s = line.time_s
            self.in_work = _integer(line.number("in_work"))
        elif line.event == log_lines.Event.STOPPED:
            self.stopped_s = line.time_s
            self.left_in_work = _integer(line.number("in_work"))

    def state_at(self, at_s: float) -> State:
        """Returns what it did at a time, as far as its log tells."""
        if self.start_s is None or at_s < self.start_s:
            return State.NOT_STARTED
        if self.stopped_s is not None and at_s > self.stopped_s:
            return State.ENDED
        is_after_next = self.next_s is not None and at_s >= self.next_s
        if self.stopped_s is None and is_after_next:
            return State.ENDED
        if self.stop_s is not None and at_s >= self.stop_s:
            return State.STOPPING
        if self.end is End.BY_ITSELF and at_s > self.last_s:
            return State.PERHAPS_ENDED
        return State.RUNNING

    def may_have_ended_within(self, begin_s: float, end_s: float) -> bool:
        """Returns whether its end may lie between two times."""
        if self.end is End.OPEN:
            return False
        if self.end is End.STOPPED:
            assert self.stopped_s is not None
            return begin_s <= self.stopped_s <= end_s
        assert self.next_s is not None
        return self.last_s <= end_s and self.next_s >= begin_s

    def _add_wait(self, line: log_lines.LogLine) -> None:
        detail = line.text("address") or line.text("path")
        detail = f"{detail} {line.text('error')}".strip()
        if self.waits and self.waits[-1].event == line.event:
            return
        waited_s = line.number("waited_s") or 0.0
        begin_s = line.time_s if self.waits else line.time_s - waited_s
        self.waits = [*self.waits, Wait(line.event, detail, begin_s)]


def _integer(number: float | None) -> int | None:
    return None if number is None else int(number)


class LifeCollector:
    """Assigns lines to the processes that wrote them."""

    def __init__(self) -> None:
        self._lives: list[Life] = []
        self._current: dict[tuple[object, ...], Life] = {}

    def add(self, line: log_lines.LogLine) -> None:
        """Takes account of a line; those of a process come in order."""
        key = _process_key(line)
        life = self._current.get(key)
        if life is None and line.node:
            # It logs under no name until its settings can be used.
            life = self._current.pop((line.log, line.pid), None)
            if life is not None:
                life.node = line.node
                self._current[key] = life
        if life is None or _begins_another(life, line):
            life = Life(
                node=line.node,
                pid=line.pid,
                log=line.log,
                first_s=line.time_s,
                last_s=line.time_s,
            )
            self._lives.append(life)
            self._current[key] = life
        life.add(line)

    def lives(self) -> list[Life]:
        """Returns all lives, by host and time."""
        ordered = sorted(
            self._lives, key=lambda life: (life.node, life.first_s)
        )
        for earlier, later in zip(ordered, ordered[1:], strict=False):
            if earlier.node and earlier.node == later.node:
                earlier.next_s = later.first_s
        return ordered


def _process_key(line: log_lines.LogLine) -> tuple[object, ...]:
    if not line.node:
        return line.log, line.pid
    if line.pid:
        return line.node, line.pid
    return line.node, line.pid, line.log


def _begins_another(life: Life, line: log_lines.LogLine) -> bool:
    """Returns whether a line is of a later process with the same number."""
    is_start = line.event == log_lines.Event.START or line.event in _WAITS
    return is_start and life.start_s is not None


def collect_lives(lines: Iterable[log_lines.LogLine]) -> list[Life]:
    """Returns the lives of all processes, by host and time.

    Args:
        lines: Lines of all logs, in any order.
    """
    collector = LifeCollector()
    for line in sorted(lines, key=lambda line: line.time_s):
        collector.add(line)
    return collector.lives()


def ended_within(
    lives: Iterable[Life], begin_s: float, end_s: float
) -> Iterator[Life]:
    """Yields the lives that may have ended between two times."""
    return (
        life for life in lives if life.may_have_ended_within(begin_s, end_s)
    )
