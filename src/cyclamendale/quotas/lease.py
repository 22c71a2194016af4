"""Sans-I/O state machine of one node for the lease of one quota shard.

It reports which read or write is due and is given the results. A lease is
valid for a fixed time after a write that is known to have taken effect,
counted from before that write was sent. When it lapses, the holder retains
part of its share. The next holder excludes that part, so both can spend
concurrently.
"""

from __future__ import annotations

import enum
import random

import msgspec

from cyclamendale import ids
from cyclamendale.quotas import lease_rows
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares
from cyclamendale.store import table

_WRITE_ID_BITS = 62


class LeaseState(enum.Enum):
    """Relation of this node to the shard."""

    WATCHING = "watching"
    HELD = "held"
    LAPSED = "lapsed"
    SUPERSEDED = "superseded"
    RELEASING = "releasing"


class WritePurpose(enum.Enum):
    """Reason for writing a lease row."""

    CLAIM = "claim"
    RENEW = "renew"
    NARROW = "narrow"
    """Completes a change of division: only the newest still applies."""
    RELEASE = "release"
    ACKNOWLEDGE = "acknowledge"
    """Returns this node's retained share to the current holder."""
    RECLAIM = "reclaim"
    """Returns the share that an earlier process at this address retained."""


class LeaseSettings(msgspec.Struct, frozen=True):
    """Intervals and durations of leases.

    Attributes:
        renewal_interval_s: Interval between renewals.
        lease_duration_s: Time for which a renewal is valid.
        takeover_factor: Safety factor of two waits. A claimer takes over a
            row that stayed unchanged on its clock for this multiple of the
            lease duration. A holder merges a retained share into its own
            after this multiple of the retention time.
        rank_delay_s: Additional wait per rank of a claimer.
        watch_interval_s: Interval between reads of a claimer.
        max_retry_wait_s: Longest wait after a failed operation.
        retention_s: Time for which a lapsed holder keeps its retained share.
    """

    renewal_interval_s: float = 4.0
    lease_duration_s: float = 12.0
    takeover_factor: float = 1.25
    rank_delay_s: float = 2.0
    watch_interval_s: float = 3.0
    max_retry_wait_s: float = 1.0
    retention_s: float = 24 * 3600.0


class PlannedWrite(msgspec.Struct, frozen=True):
    """A compare-and-set operation to execute.

    Attributes:
        purpose: Reason for the write.
        expected_version: Version that the row must still have.
        row: New row.
        sent_s: Clock time before the write is sent.
        starts_full: Whether no node can have spent this share before.
        dropped_divisions: Divisions that no longer apply after the write.
    """

    purpose: WritePurpose
    expected_version: int
    row: shard_row.ShardRow
    sent_s: float
    starts_full: bool = False
    dropped_divisions: tuple[shares.DivisionDigest, ...] = ()


class ShareChange(msgspec.Struct, frozen=True):
    """Share that this node may spend from `at_s` on."""

    at_s: float
    units: int


class ShardLease:
    """One node's view of one shard's lease.

    Attributes:
        state: Relation of this node to the shard.
        row: The row as last read or written.
        version: Version of the row; 0 if it is absent or unknown.
        epoch: Epoch in which this node holds or held the shard.
        divisions: Divisions whose smallest share limits this node.
        starts_full: Whether the buckets of this epoch start full.
    """

    def __init__(
        self, node: ids.NodeId, settings: LeaseSettings, rng: random.Random
    ) -> None:
        self._node = node
        self._settings = settings
        self._rng = rng
        self.state = LeaseState.WATCHING
        self.row: shard_row.ShardRow | None = None
        self.version = table.ABSENT_VERSION
        self.epoch = ids.Epoch(0)
        self.divisions: tuple[shares.DivisionDigest, ...] = ()
        self.starts_full = False
        self._units = 0
        self._kept_units = 0
        self._valid_until_s = 0.0
        self._lapsed_s = 0.0
        self._pending_changes: list[ShareChange] = []
        self._unresolved_write: PlannedWrite | None = None
        self._needs_read = True
        self._release_announced = False
        self._next_read_s = 0.0
        self._next_write_s = 0.0
        self._unchanged_since_s: float | None = None
        self._retained_since_s: dict[ids.Epoch, float] = {}

    @property
    def is_spendable(self) -> bool:
        """Returns whether this node may spend part of the share."""
        return self.state in (LeaseState.HELD, LeaseState.LAPSED)

    def advance(self, now_s: float) -> list[ShareChange]:
        """Lapses the lease if it has expired.

        Must be called before every use of the share, because timers of a
        suspended process fire late.

        Returns:
            Changes to the share since the last call, oldest first.
        """
        if self.state is LeaseState.HELD and now_s >= self._valid_until_s:
            self.state = LeaseState.LAPSED
            self._lapsed_s = self._valid_until_s
            kept = self._units * self._kept_units // shares.SHARE_UNITS
            self._set_units(kept, self._lapsed_s)
        retained_until_s = self._lapsed_s + self._settings.retention_s
        if self.state is LeaseState.LAPSED and now_s >= retained_until_s:
            self._set_units(0, retained_until_s)
        changes = self._pending_changes
        self._pending_changes = []
        return changes

    def add_division(self, digest: shares.DivisionDigest) -> None:
        """Limits this node by a further division, effective immediately."""
        if digest not in self.divisions:
            self.divisions = (*self.divisions, digest)

    def is_read_due(
        self, now_s: float, desired: lease_rows.DesiredLease
    ) -> bool:
        """Returns whether the row should be read now."""
        if now_s < self._next_read_s:
            return False
        if self._needs_read or self._unresolved_write is not None:
            return True
        is_claimer = desired.rank is not None and not desired.leaving
        return is_claimer and self.state is LeaseState.WATCHING

    def handle_read(
        self, version: int, row: shard_row.ShardRow | None, now_s: float
    ) -> None:
        """Processes a read row; None if it is absent or can't be decoded."""
        self._needs_read = False
        self._next_read_s = now_s + self._settings.watch_interval_s
        unresolved, self._unresolved_write = self._unresolved_write, None
        if unresolved is not None and _is_written_by(unresolved, row):
            self.handle_write_success(unresolved, version, now_s)
            return
        if version != self.version or self._unchanged_since_s is None:
            self._unchanged_since_s = now_s
        self.version = version
        self.row = row
        if self.is_spendable or self.state is LeaseState.RELEASING:
            self._verify_holder(now_s)

    def handle_read_failure(self, now_s: float) -> None:
        """Schedules a retry; a claimer restarts its takeover wait."""
        self._needs_read = True
        self._unchanged_since_s = None
        self._next_read_s = now_s + self._retry_wait_s()

    def request_claim(self) -> None:
        """Allows a claim of any rank without delay after a release."""
        self._release_announced = True
        self._needs_read = True
        self._next_read_s = 0.0

    def request_renewal(self) -> None:
        """Makes a renewal due now, so that it publishes a new division."""
        self._next_write_s = 0.0

    def plan_due_write(
        self, desired: lease_rows.DesiredLease, now_s: float
    ) -> PlannedWrite | None:
        """Returns the write that is due now, if any."""
        if desired.leaving and self.is_spendable:
            self._stop_spending(LeaseState.RELEASING, now_s)
        is_settled = not self._needs_read and self._unresolved_write is None
        row = self.row
        if not is_settled or row is None or now_s < self._next_write_s:
            return None
        returned_row = lease_rows.return_retained_shares(row, self._node)
        if self.state is LeaseState.SUPERSEDED:
            return self._plan_write(
                WritePurpose.ACKNOWLEDGE, returned_row, now_s
            )
        if self.state is LeaseState.RELEASING:
            released = lease_rows.release(row)
            return self._plan_write(WritePurpose.RELEASE, released, now_s)
        if self.is_spendable:
            return self.plan_renewal(WritePurpose.RENEW, desired, now_s)
        if returned_row != row:
            return self._plan_write(WritePurpose.RECLAIM, returned_row, now_s)
        if desired.leaving or not self._may_claim(row, desired, now_s):
            return None
        claimed = lease_rows.claim(row, self._node, desired)
        return self._plan_write(
            WritePurpose.CLAIM, claimed, now_s, row.epoch == 0
        )

    def plan_renewal(
        self,
        purpose: WritePurpose,
        desired: lease_rows.DesiredLease,
        now_s: float,
    ) -> PlannedWrite:
        """Returns a renewal, which may also complete a change of division."""
        assert self.row is not None
        self.add_division(desired.digest)
        self._kept_units = min(self._kept_units, desired.kept_units)
        returned = self._find_expired_shares(self.row, now_s)
        divisions = self.divisions
        dropped_divisions: tuple[shares.DivisionDigest, ...] = ()
        if purpose is WritePurpose.NARROW:
            divisions = (desired.digest,)
            dropped_divisions = tuple(
                digest for digest in self.divisions if digest != desired.digest
            )
        row = lease_rows.renew(
            self.row, self._node, desired, divisions, returned
        )
        return self._plan_write(
            purpose, row, now_s, dropped_divisions=dropped_divisions
        )

    def handle_write_success(
        self, write: PlannedWrite, version: int, now_s: float
    ) -> None:
        """Processes a write that certainly took effect."""
        self.version = version
        self.row = write.row
        self._release_announced = False
        self._unchanged_since_s = now_s
        if write.purpose is WritePurpose.CLAIM:
            self.epoch = write.row.epoch
            self.starts_full = write.starts_full
            self.state = LeaseState.LAPSED
            self._units = 0
            self._retained_since_s = {}
        elif write.purpose not in (WritePurpose.RENEW, WritePurpose.NARROW):
            self._stop_spending(LeaseState.WATCHING, now_s)
            return
        self._start_lease_term(write, now_s)

    def handle_write_failure(
        self, write: PlannedWrite, kind: table.TableErrorKind, now_s: float
    ) -> None:
        """Processes a write that failed or whose outcome is unknown."""
        self._next_write_s = now_s + self._retry_wait_s()
        if kind is table.TableErrorKind.OUTCOME_UNKNOWN:
            self._unresolved_write = write
        if kind is not table.TableErrorKind.UNAVAILABLE:
            self._needs_read = True
            self._next_read_s = now_s

    def _start_lease_term(self, write: PlannedWrite, now_s: float) -> None:
        valid_until_s = write.sent_s + self._settings.lease_duration_s
        self._kept_units = write.row.kept_units
        if write.purpose is WritePurpose.CLAIM:
            self.divisions = write.row.divisions
        self.divisions = tuple(
            digest
            for digest in self.divisions
            if digest not in write.dropped_divisions
        )
        self._valid_until_s = valid_until_s
        self.state = LeaseState.HELD
        self._set_units(write.row.units, now_s)
        jitter = self._rng.uniform(0.9, 1.0)
        self._next_write_s = (
            write.sent_s + self._settings.renewal_interval_s * jitter
        )

    def _verify_holder(self, now_s: float) -> None:
        row = self.row
        if row is None:
            self._stop_spending(LeaseState.WATCHING, now_s)
        elif row.epoch == self.epoch and row.holder == self._node:
            if self.state is LeaseState.HELD:
                self._set_units(row.units, now_s)
        else:
            is_retained = any(
                entry.owner == self._node and entry.epoch == self.epoch
                for entry in row.retained
            )
            state = (
                LeaseState.SUPERSEDED if is_retained else LeaseState.WATCHING
            )
            self._stop_spending(state, now_s)

    def _stop_spending(self, state: LeaseState, now_s: float) -> None:
        self._set_units(0, now_s)
        self.state = state
        self._next_write_s = now_s

    def _set_units(self, units: int, at_s: float) -> None:
        if units != self._units:
            self._units = units
            self._pending_changes.append(ShareChange(at_s, units))

    def _may_claim(
        self,
        row: shard_row.ShardRow,
        desired: lease_rows.DesiredLease,
        now_s: float,
    ) -> bool:
        if lease_rows.is_own(row.holder, self._node):
            return True
        if desired.rank is None or self._unchanged_since_s is None:
            return False
        unchanged_s = now_s - self._unchanged_since_s
        is_unspent = lease_rows.is_unspent(row, self._node, desired.gone)
        if is_unspent and self._release_announced:
            return True
        wait_s = desired.rank * self._settings.rank_delay_s
        if not is_unspent:
            wait_s += (
                self._settings.lease_duration_s * self._settings.takeover_factor
            )
        return unchanged_s >= wait_s

    def _plan_write(
        self,
        purpose: WritePurpose,
        row: shard_row.ShardRow,
        now_s: float,
        starts_full: bool = False,
        dropped_divisions: tuple[shares.DivisionDigest, ...] = (),
    ) -> PlannedWrite:
        write_id = self._rng.getrandbits(_WRITE_ID_BITS)
        row = msgspec.structs.replace(row, write_id=write_id)
        return PlannedWrite(
            purpose, self.version, row, now_s, starts_full, dropped_divisions
        )

    def _find_expired_shares(
        self, row: shard_row.ShardRow, now_s: float
    ) -> list[shard_row.RetainedShare]:
        """Returns retained shares that their owners no longer spend."""
        merge_after_s = (
            self._settings.retention_s * self._settings.takeover_factor
        )
        return [
            entry
            for entry in row.retained
            if now_s - self._retained_since_s.setdefault(entry.epoch, now_s)
            >= merge_after_s
        ]

    def _retry_wait_s(self) -> float:
        return self._settings.max_retry_wait_s * self._rng.uniform(0.5, 1.0)


def _is_written_by(write: PlannedWrite, row: shard_row.ShardRow | None) -> bool:
    """Returns whether a row is the result of a write."""
    return row is not None and row.write_id == write.row.write_id
