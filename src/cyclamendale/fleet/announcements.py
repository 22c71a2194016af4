"""What a host's upstream says of itself, in the right order.

Heartbeats may come late, out of order, from an earlier process at the
same address, or from a writer that is no upstream at all.
"""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import ids
from cyclamendale.membership import directory


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """One heartbeat of an upstream.

    Attributes:
        upstream_id: Id of the upstream process; may serve again after a
            restart.
        born_ms: Start of the process, Unix milliseconds; tells processes
            with one id apart.
        sequence: Rises with each heartbeat of a process.
        service: Its service.
        address: Where it listens, `ip:port`.
        slots: Requests that it runs at once.
        state: Its state.
        cold_left_s: How much longer it is slow after its start.
    """

    upstream_id: str
    born_ms: int
    sequence: int
    service: ids.ServiceName
    address: str
    slots: int
    state: directory.UpstreamState
    cold_left_s: float = 0.0


class Verdict(enum.Enum):
    """What a heartbeat changes."""

    TAKEN = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


class AnnouncedUpstream:
    """The upstream of one host, by its heartbeats.

    Attributes:
        current: The last heartbeat taken.
        has_left: Whether it said that it leaves.
    """

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self.current: Heartbeat | None = None
        self.has_left = False

    def hear(self, heartbeat: Heartbeat) -> Verdict:
        """Takes a heartbeat unless it is older than what is known."""
        if heartbeat.address.rpartition(":")[0] != self._ip:
            return Verdict.FOREIGN
        known = self.current
        if known is None or heartbeat.born_ms > known.born_ms:
            self.has_left = False
        elif heartbeat.born_ms < known.born_ms:
            return Verdict.STALE
        elif heartbeat.upstream_id != known.upstream_id:
            return Verdict.FOREIGN
        elif heartbeat.sequence <= known.sequence:
            return Verdict.STALE
        self.current = heartbeat
        if heartbeat.state is directory.UpstreamState.DRAINING:
            # A process that leaves does not come back.
            self.has_left = True
        return Verdict.TAKEN

    def leave(self, upstream_id: str, born_ms: int | None) -> Verdict:
        """Takes the word of an upstream that it leaves.

        Args:
            upstream_id: Id of the upstream process.
            born_ms: Its start, if stated.
        """
        known = self.current
        if known is None or known.upstream_id != upstream_id:
            return Verdict.FOREIGN
        if born_ms is not None and born_ms < known.born_ms:
            return Verdict.STALE
        self.has_left = True
        return Verdict.TAKEN

    @property
    def takes_requests(self) -> bool:
        """Returns whether it is ready and stays."""
        return (
            self.current is not None
            and not self.has_left
            and self.current.state is directory.UpstreamState.READY
        )
