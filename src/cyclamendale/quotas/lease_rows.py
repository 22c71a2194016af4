"""Pure functions that claim, renew and release lease rows."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from cyclamendale import ids
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares


class DesiredLease(msgspec.Struct, frozen=True):
    """Inputs from this node to its next lease write.

    Attributes:
        rank: Rank of this node among the claimers; None if it is not one.
        digest: Digest of the newest division.
        kept_units: Fraction of its share that a holder keeps at a lapse, in
            `shares.SHARE_UNITS`.
        gone: Nodes that an operator declared gone.
        leaving: Whether this node is shutting down.
    """

    rank: int | None
    digest: shares.DivisionDigest
    kept_units: int
    gone: frozenset[ids.NodeId] = frozenset()
    leaving: bool = False


def is_own(node: ids.NodeId, own: ids.NodeId) -> bool:
    """Returns whether a node is `own` or an earlier process it replaced.

    Comparing addresses is sufficient, because only one process can listen
    on an address. The caller must not be spending the share in question.
    """
    if node == shard_row.NO_HOLDER:
        return False
    return ids.address_of(node) == ids.address_of(own)


def is_unspent(
    row: shard_row.ShardRow, own: ids.NodeId, gone: frozenset[ids.NodeId]
) -> bool:
    """Returns whether no node spends the share of the row's holder."""
    released = row.holder == shard_row.NO_HOLDER
    return released or row.holder in gone or is_own(row.holder, own)


def claim(
    row: shard_row.ShardRow, own: ids.NodeId, desired: DesiredLease
) -> shard_row.ShardRow:
    """Returns the row with `own` as holder of the next epoch.

    A previous holder that may still run retains what it keeps at a lapse.
    """
    units = row.units
    retained = row.retained
    if not is_unspent(row, own, desired.gone):
        kept = shard_row.RetainedShare(
            row.epoch, row.holder, row.units_kept_at_lapse, row.divisions
        )
        retained = (*retained, kept)
        units -= kept.units
    divisions = row.divisions
    if desired.digest not in divisions:
        divisions = (*divisions, desired.digest)
    claimed = msgspec.structs.replace(
        row,
        epoch=ids.Epoch(row.epoch + 1),
        holder=own,
        units=units,
        kept_units=desired.kept_units,
        divisions=divisions,
        retained=retained,
    )
    gone = [entry for entry in retained if entry.owner in desired.gone]
    return _merge_retained_shares(claimed, gone)


def renew(
    row: shard_row.ShardRow,
    own: ids.NodeId,
    desired: DesiredLease,
    divisions: tuple[shares.DivisionDigest, ...],
    expired: Sequence[shard_row.RetainedShare],
) -> shard_row.ShardRow:
    """Returns the renewed row, with unspent retained shares merged in."""
    returned = [
        entry
        for entry in row.retained
        if entry in expired
        or entry.owner in desired.gone
        or is_own(entry.owner, own)
    ]
    renewed = msgspec.structs.replace(
        row, kept_units=desired.kept_units, divisions=divisions
    )
    return _merge_retained_shares(renewed, returned)


def release(row: shard_row.ShardRow) -> shard_row.ShardRow:
    """Returns the row without a holder, so that it can be claimed at once."""
    return msgspec.structs.replace(row, holder=shard_row.NO_HOLDER)


def return_retained_shares(
    row: shard_row.ShardRow, own: ids.NodeId
) -> shard_row.ShardRow:
    """Returns the row with this address's retained shares returned."""
    returned = [entry for entry in row.retained if is_own(entry.owner, own)]
    return _merge_retained_shares(row, returned)


def _merge_retained_shares(
    row: shard_row.ShardRow, returned: Sequence[shard_row.RetainedShare]
) -> shard_row.ShardRow:
    """Returns the row with retained shares merged into the holder's."""
    return msgspec.structs.replace(
        row,
        units=row.units + sum(entry.units for entry in returned),
        retained=tuple(
            entry for entry in row.retained if entry not in returned
        ),
    )
