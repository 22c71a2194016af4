"""Plans transactions that create lease rows or end a change of division.

Each transaction also checks the versions of the rows that the plan relies
on. So at all times there is a division that bounds every holder, old and new.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import msgspec

from cyclamendale import ids
from cyclamendale.quotas import lease
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares
from cyclamendale.store import table

_WRITE_ID_BITS = 62
_LAYOUT_VALUE = b"{}"


class LeaseRows(msgspec.Struct, frozen=True):
    """All lease rows of the fleet.

    Attributes:
        layout_version: Version of the layout row, which guards creation.
        rows: Version and content of each lease row, by key.
    """

    layout_version: int
    rows: dict[str, tuple[int, shard_row.ShardRow]]


def decode_rows(
    layout: table.Row | None, rows: Iterable[table.Row]
) -> LeaseRows | None:
    """Decodes all lease rows; returns None if one is not readable.

    Rows of a newer format or with malformed content must not be changed.
    """
    decoded = {}
    for row in rows:
        result = shard_row.decode_row(row.value)
        if result.is_error():
            return None
        decoded[row.key] = (row.version, result.ok)
    version = layout.version if layout else table.ABSENT_VERSION
    return LeaseRows(version, decoded)


def plan_creation(
    fleet_rows: LeaseRows,
    domain: ids.FailureDomainName,
    division: shares.Division,
    kept_units: int,
    rng: random.Random,
) -> list[table.Write]:
    """Returns the writes that create missing lease rows.

    The first node of the fleet creates the rows of all failure domains.
    Rows that are created later start without tokens, and are bounded by the
    divisions that bound all existing holders.
    """
    shards = [ids.ShardId(shard) for shard in range(division.shard_count)]
    if not fleet_rows.rows:
        epoch = ids.Epoch(0)
        divisions: tuple[shares.DivisionDigest, ...] = (division.digest,)
        domains = [entry.name for entry in division.domains]
    else:
        epoch = ids.Epoch(1)
        divisions = _common_divisions(fleet_rows)
        domains = [domain]
        if not divisions:
            return []
    missing = [
        key
        for name in domains
        for shard in shards
        if (key := shard_row.lease_key(name, shard)) not in fleet_rows.rows
    ]
    if not missing:
        return []
    guard = table.Write(
        shard_row.LAYOUT_KEY, fleet_rows.layout_version, _LAYOUT_VALUE
    )
    checks = [
        table.Write(key, version)
        for key, (version, _) in fleet_rows.rows.items()
    ]
    created = [
        table.Write(
            key,
            table.ABSENT_VERSION,
            shard_row.encode_row(
                shard_row.ShardRow(
                    write_id=rng.getrandbits(_WRITE_ID_BITS),
                    epoch=epoch,
                    holder=shard_row.NO_HOLDER,
                    units=shares.SHARE_UNITS,
                    kept_units=kept_units,
                    divisions=divisions,
                )
            ),
        )
        for key in missing
    ]
    return [guard, *checks, *created]


def plan_narrowing(
    fleet_rows: LeaseRows,
    own_writes: dict[str, lease.PlannedWrite],
    digest: shares.DivisionDigest,
    gone: frozenset[ids.NodeId],
    rng: random.Random,
) -> list[table.Write] | None:
    """Returns the writes that end a change of division for the own rows.

    Args:
        fleet_rows: All lease rows.
        own_writes: Narrowing writes of the leases that this node holds.
        digest: Digest of the newest division.
        gone: Nodes that an operator declared gone.
        rng: Source of write IDs.

    Returns:
        The transaction, or None while a holder may still spend a share
        that the newest division does not bound.
    """
    writes = [table.Write(shard_row.LAYOUT_KEY, fleet_rows.layout_version)]
    for key, (version, row) in fleet_rows.rows.items():
        planned = own_writes.get(key)
        if any(
            digest not in entry.divisions and entry.owner not in gone
            for entry in row.retained
        ):
            return None
        if planned is not None:
            if planned.expected_version != version:
                return None
            value = shard_row.encode_row(planned.row)
            writes.append(table.Write(key, version, value))
        elif digest in row.divisions:
            writes.append(table.Write(key, version))
        elif row.holder == shard_row.NO_HOLDER or row.holder in gone:
            narrowed = msgspec.structs.replace(
                row,
                write_id=rng.getrandbits(_WRITE_ID_BITS),
                divisions=(digest,),
            )
            value = shard_row.encode_row(narrowed)
            writes.append(table.Write(key, version, value))
        else:
            return None
    return writes


def _common_divisions(
    fleet_rows: LeaseRows,
) -> tuple[shares.DivisionDigest, ...]:
    """Returns the divisions that bound every holder."""
    division_sets = [set(row.divisions) for _, row in fleet_rows.rows.values()]
    for _, row in fleet_rows.rows.values():
        division_sets.extend(set(entry.divisions) for entry in row.retained)
    return tuple(sorted(set.intersection(*division_sets)))
