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
        started_at_ms: Start of the process, Unix milliseconds; tells processes
            with one id apart.
        sequence: Rises with each heartbeat of a process.
        service: Its service.
        address: Where it listens, `ip:port`.
        slots: Requests that it runs at once.
        state: Its state.
        cold_left_s: How much longer it is slow after its start.
    """

    upstream_id: str
    started_at_ms: int
    sequence: int
    service: ids.ServiceName
    address: str
    slots: int
    state: directory.UpstreamState
    cold_left_s: float = 0.0


class Verdict(enum.Enum):
    """What a heartbeat changes."""

    ACCEPTED = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


class AnnouncedUpstream:
    """The upstream of one host, by its heartbeats.

    Attributes:
        last_heartbeat: The last heartbeat taken.
        has_departed: Whether it said that it leaves.
    """

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self.last_heartbeat: Heartbeat | None = None
        self.has_departed = False

    def apply_heartbeat(self, heartbeat: Heartbeat) -> Verdict:
        """Takes a heartbeat unless it is older than what is known."""
        if heartbeat.address.rpartition(":")[0] != self._ip:
            return Verdict.FOREIGN
        known = self.last_heartbeat
        if known is None or heartbeat.started_at_ms > known.started_at_ms:
            self.has_departed = False
        elif heartbeat.started_at_ms < known.started_at_ms:
            return Verdict.STALE
        elif heartbeat.upstream_id != known.upstream_id:
            return Verdict.FOREIGN
        elif heartbeat.sequence <= known.sequence:
            return Verdict.STALE
        self.last_heartbeat = heartbeat
        if heartbeat.state is directory.UpstreamState.DRAINING:
            # A process that leaves does not come back.
            self.has_departed = True
        return Verdict.ACCEPTED

    def record_departure(
        self, upstream_id: str, started_at_ms: int | None
    ) -> Verdict:
        """Takes the word of an upstream that it leaves.

        Args:
            upstream_id: Id of the upstream process.
            started_at_ms: Its start, if stated.
        """
        known = self.last_heartbeat
        if known is None or known.upstream_id != upstream_id:
            return Verdict.FOREIGN
        if started_at_ms is not None and started_at_ms < known.started_at_ms:
            return Verdict.STALE
        self.has_departed = True
        return Verdict.ACCEPTED

    @property
    def accepts_requests(self) -> bool:
        """Returns whether it is ready and stays."""
        return (
            self.last_heartbeat is not None
            and not self.has_departed
            and self.last_heartbeat.state is directory.UpstreamState.READY
        )
