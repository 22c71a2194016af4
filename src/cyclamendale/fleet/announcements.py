"""Orders and validates the heartbeats of a host's upstream.

Heartbeats may arrive late, out of order, from an earlier process at the
same address, or from a sender that is not the host's upstream.
"""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import ids
from cyclamendale.membership import directory


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """One heartbeat of an upstream.

    Attributes:
        upstream_id: Id of the upstream process; a restarted process may
            reuse it.
        started_at_ms: Start time of the process, Unix milliseconds;
            distinguishes processes with the same id.
        sequence: Increases with each heartbeat of a process.
        service: Service that the upstream runs.
        address: Listening address, `ip:port`.
        slots: Requests that it runs concurrently.
        state: Whether it is ready or draining.
        cold_left_s: Remaining time of its cold start.
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
    """Outcome of a heartbeat or a departure.

    Attributes:
        ACCEPTED: It was applied.
        STALE: It is older than what is known.
        FOREIGN: It does not come from the host's known upstream.
    """

    ACCEPTED = "taken"
    STALE = "stale"
    FOREIGN = "foreign"


class AnnouncedUpstream:
    """State of one host's upstream, derived from its heartbeats.

    Attributes:
        last_heartbeat: The last heartbeat accepted.
        has_departed: Whether the upstream announced its departure.
    """

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self.last_heartbeat: Heartbeat | None = None
        self.has_departed = False

    def apply_heartbeat(self, heartbeat: Heartbeat) -> Verdict:
        """Applies a heartbeat unless it is stale or foreign."""
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
            # A process never returns from draining.
            self.has_departed = True
        return Verdict.ACCEPTED

    def record_departure(
        self, upstream_id: str, started_at_ms: int | None
    ) -> Verdict:
        """Records that the upstream announced its departure.

        Args:
            upstream_id: Id of the upstream process.
            started_at_ms: Start time of the process, if given.
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
        """Returns whether it is ready and has not departed."""
        return (
            self.last_heartbeat is not None
            and not self.has_departed
            and self.last_heartbeat.state is directory.UpstreamState.READY
        )
