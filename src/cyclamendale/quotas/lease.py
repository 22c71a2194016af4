"""State machine of one node for the lease of one quota shard.

It does no I/O: it says which read or write is due and takes the results.
A lease is good for a fixed time from before the send of a write that is
known to have taken effect. At its lapse the holder keeps a part of its
share, which the next holder leaves out, so both may go on at once.
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
    """What this node is to the shard."""

    WATCHING = "watching"
    HELD = "held"
    LAPSED = "lapsed"
    SUPERSEDED = "superseded"
    RELEASING = "releasing"


class WritePurpose(enum.Enum):
    """Why a lease row is written."""

    CLAIM = "claim"
    RENEW = "renew"
    NARROW = "narrow"
    """Ends a change of division: only the newest still bounds."""
    RELEASE = "release"
    ACKNOWLEDGE = "acknowledge"
    """Gives this node's own retained share back."""
    RECLAIM = "reclaim"
    """Gives back what an earlier process at this address retained."""


class LeaseSettings(msgspec.Struct, frozen=True):
    """Times of the leases.

    Attributes:
        renew_s: Interval of renewals.
        lease_s: How long a renewal is good for.
        watch_factor: Leases for which a row must stay unchanged on a
            claimer's clock before it is taken over.
        rank_delay_s: Extra wait of each further claimer.
        watch_s: Interval of a claimer's reads.
        retry_s: Longest wait after a failed operation.
        retained_s: How long a lapsed holder keeps its retained share.
    """

    renewal_interval_s: float = 4.0
    lease_duration_s: float = 12.0
    takeover_factor: float = 1.25
    rank_delay_s: float = 2.0
    watch_interval_s: float = 3.0
    max_retry_wait_s: float = 1.0
    retention_s: float = 24 * 3600.0


class PlannedWrite(msgspec.Struct, frozen=True):
    """A compare-and-set to be done.

    Attributes:
        purpose: Why it is written.
        expected_version: Version that the row must still have.
        row: What to write.
        sent_s: Clock time before it is sent.
        starts_full: Whether nobody can have spent this share before.
        dropped_divisions: Divisions that no longer bound once it took effect.
    """

    purpose: WritePurpose
    expected_version: int
    row: shard_row.ShardRow
    sent_s: float
    starts_full: bool = False
    dropped_divisions: tuple[shares.DivisionDigest, ...] = ()


class ShareChange(msgspec.Struct, frozen=True):
    """The share that this node may spend from a time on."""

    at_s: float
    units: int


class ShardLease:
    """One node's view of one shard's lease.

    Attributes:
        state: What this node is to the shard.
        row: The row as last seen or written.
        version: Its version; 0 when it does not exist or is not known.
        epoch: Epoch in which this node holds or held the shard.
        divisions: Divisions whose smallest share bounds this node.
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
        """Returns whether this node may spend some of the share."""
        return self.state in (LeaseState.HELD, LeaseState.LAPSED)

    def advance(self, now_s: float) -> list[ShareChange]:
        """Lets the lease lapse when due.

        Must be called before every use of the share, since timers of a
        paused process run late.

        Returns:
            Changes of the share since the last call, oldest first.
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
        """Bounds this node by one more division, at once."""
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
        """Takes the row as read; None when absent or not understood."""
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
        """Notes a failed read; a claimer starts to watch anew."""
        self._needs_read = True
        self._unchanged_since_s = None
        self._next_read_s = now_s + self._retry_wait_s()

    def request_claim(self) -> None:
        """Lets any rank claim at once, since the lease was given back."""
        self._release_announced = True
        self._needs_read = True
        self._next_read_s = 0.0

    def request_renewal(self) -> None:
        """Makes the next renewal due, to show a new division."""
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
        """Returns a write that renews, or that also ends a change."""
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
        """Takes a write that certainly took effect."""
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
        """Takes a write that did not, or may not, have taken effect."""
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
        """Returns retained shares that their owners have dropped by now."""
        reclaim_after_s = (
            self._settings.retention_s * self._settings.takeover_factor
        )
        return [
            entry
            for entry in row.retained
            if now_s - self._retained_since_s.setdefault(entry.epoch, now_s)
            >= reclaim_after_s
        ]

    def _retry_wait_s(self) -> float:
        return self._settings.max_retry_wait_s * self._rng.uniform(0.5, 1.0)


def _is_written_by(write: PlannedWrite, row: shard_row.ShardRow | None) -> bool:
    """Returns whether a row shows that a write took effect."""
    return row is not None and row.write_id == write.row.write_id
