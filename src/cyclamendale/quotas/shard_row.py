"""Lease row of a quota shard, as stored in the platform's table."""

from __future__ import annotations

import enum

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.quotas import shares

ROW_FORMAT = 1
"""Newest lease row format that this version can read."""

LEASE_PREFIX = "quota/lease/"
DIVISION_PREFIX = "quota/division/"
LAYOUT_KEY = "quota/layout"

NO_HOLDER = ids.NodeId("")


class RetainedShare(msgspec.Struct, frozen=True):
    """Share that an earlier holder may still be spending.

    Attributes:
        epoch: The earlier holder's epoch.
        owner: The earlier holder.
        units: Its share, in `shares.SHARE_UNITS`.
        divisions: Divisions that limit what it spends.
    """

    epoch: ids.Epoch
    owner: ids.NodeId
    units: int
    divisions: tuple[shares.DivisionDigest, ...]


class ShardRow(msgspec.Struct, frozen=True, kw_only=True):
    """Lease of one shard of one failure domain.

    Attributes:
        format: Format of the row.
        write_id: Random id that shows whether a write of unknown outcome
            took effect.
        epoch: Incremented by every claim; 0 before the first.
        holder: The holder, or `NO_HOLDER` after a release.
        units: The holder's share, in `shares.SHARE_UNITS`.
        kept_units: Fraction of its share that the holder keeps when its
            lease lapses, in `shares.SHARE_UNITS`.
        divisions: Divisions whose smallest share limits the holder.
        retained: Shares retained by earlier holders.
    """

    format: int = ROW_FORMAT
    write_id: int
    epoch: ids.Epoch
    holder: ids.NodeId
    units: int
    kept_units: int
    divisions: tuple[shares.DivisionDigest, ...]
    retained: tuple[RetainedShare, ...] = ()

    @property
    def units_kept_at_lapse(self) -> int:
        """Returns the share that the holder keeps when its lease lapses."""
        return self.units * self.kept_units // shares.SHARE_UNITS


class RowErrorKind(enum.Enum):
    """Reason why a lease row can't be used."""

    NEWER_FORMAT = "newer-format"
    MALFORMED = "malformed"


class RowError(msgspec.Struct, frozen=True):
    """Error for a lease row that this version must not modify."""

    kind: RowErrorKind


class _Header(msgspec.Struct):
    format: int


def lease_key(domain: ids.FailureDomainName, shard: ids.ShardId) -> str:
    """Returns the key of a lease row."""
    return f"{LEASE_PREFIX}{domain}/{shard}"


def parse_lease_key(
    key: str,
) -> tuple[ids.FailureDomainName, ids.ShardId] | None:
    """Returns the failure domain and shard of a lease key, if valid."""
    domain, _, shard = key.removeprefix(LEASE_PREFIX).rpartition("/")
    if not key.startswith(LEASE_PREFIX) or not domain or not shard.isdigit():
        return None
    return ids.FailureDomainName(domain), ids.ShardId(int(shard))


def division_key(digest: shares.DivisionDigest) -> str:
    """Returns the key of a division's row."""
    return DIVISION_PREFIX + digest


def encode_row(row: ShardRow) -> bytes:
    """Encodes a lease row."""
    return msgspec.json.encode(row)


def decode_row(value: bytes) -> Result[ShardRow, RowError]:
    """Decodes a lease row and checks that its units sum to a full share."""
    try:
        header = msgspec.json.decode(value, type=_Header)
        if header.format > ROW_FORMAT:
            return Error(RowError(RowErrorKind.NEWER_FORMAT))
        row = msgspec.json.decode(value, type=ShardRow)
    except decoding.ERRORS:
        return Error(RowError(RowErrorKind.MALFORMED))
    parts = [row.units, *(entry.units for entry in row.retained)]
    is_whole = sum(parts) == shares.SHARE_UNITS and min(parts) >= 0
    if not is_whole or not 0 <= row.kept_units <= shares.SHARE_UNITS:
        return Error(RowError(RowErrorKind.MALFORMED))
    return Ok(row)
