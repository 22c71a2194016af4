"""Digests: what an aggregator tells of its failure domain.

A digest has a few bytes for each live host, and sums for each service. What
rarely changes of a host, its profile, is sent apart.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
import math
import struct
from typing import NamedTuple

import msgspec

from cyclamendale import ids
from cyclamendale.overload import retry_usage

SEQUENCES = 1 << 16
"""Report sequences are told modulo this number."""

PROFILES = 1 << 8
"""Profile numbers are told modulo this number."""

_ENTRY = struct.Struct("<IHBBBB")
"""Incarnation, sequence, profile, requests at the gate, service time, flags."""

_MAX_BYTE = 255
_STEPS_PER_DOUBLING = 8.0
"""Steps in which a service time doubles; one step is 9%."""

_PER_MILLE = 1000.0
_OPEN_FLAG, _COLD_FLAG, _LEAVING_FLAG = 1, 2, 4


class HostEntry(NamedTuple):
    """State of one live host.

    Attributes:
        incarnation: Incarnation of its process.
        sequence: Sequence of its last report, modulo `SEQUENCES`.
        profile: Number of its profile, modulo `PROFILES`.
        at_gate: Requests in service and queued; larger counts are capped.
        service_time_s: Mean service time of a request.
        is_open: Whether its upstream accepts new requests.
        is_cold: Whether its upstream started recently.
        is_leaving: Whether its node is shutting down.
    """

    incarnation: int
    sequence: int
    profile: int
    at_gate: int
    service_time_s: float
    is_open: bool
    is_cold: bool
    is_leaving: bool


class ServiceSums(msgspec.Struct, frozen=True, array_like=True):
    """Sums over the hosts of a failure domain, for one service.

    Attributes:
        service: The service.
        requests: See `retry_usage.RetryUsage`.
        before: See `retry_usage.RetryUsage`.
        repeats: See `retry_usage.RetryUsage`.
        open_count: Upstreams of the service that accept new requests.
        pressure_per_mille: Their mean pressure, weighted by slots.
        refused_per_mille: The lowest of their refused shares.
        slots: Requests that they run concurrently, the weight of the pressure.
    """

    service: ids.ServiceName
    requests: int = 0
    before: int = 0
    repeats: int = 0
    open_count: int = 0
    pressure_per_mille: int = 0
    refused_per_mille: int = 0
    slots: int = 0

    @property
    def pressure(self) -> float:
        """Returns the mean pressure of the open upstreams."""
        return self.pressure_per_mille / _PER_MILLE

    @property
    def refused_share(self) -> float:
        """Returns the lowest refused share of the open upstreams."""
        return self.refused_per_mille / _PER_MILLE


class DomainCall(msgspec.Struct, frozen=True, array_like=True):
    """Median number of calls over the hosts of a service in the domain.

    Attributes:
        service: Service whose hosts made the calls.
        caller: Route that makes the calls.
        callee: Route that is called.
        calls: Calls per run.
    """

    service: ids.ServiceName
    caller: ids.RouteName
    callee: ids.RouteName
    calls: float


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """State of a failure domain as one of its aggregators sees it.

    Attributes:
        aggregator: Address of the aggregator.
        incarnation: Incarnation of its process.
        sequence: Increases with each digest of a process.
        failure_domain: The failure domain.
        configuration_version: Version that is active at the aggregator.
        is_complete: Whether the process has received reports for as long as
            the repeats are counted.
        entries: The packed live hosts.
        services: The sums, for services with any.
        calls: What the hosts learned of calls; None in most digests.
        store_silent_ms: Time since the aggregator had contact with the store.
    """

    aggregator: ids.PeerAddress
    incarnation: int
    sequence: int
    failure_domain: ids.FailureDomainName
    configuration_version: ids.ConfigVersion
    is_complete: bool
    entries: bytes
    services: tuple[ServiceSums, ...]
    calls: tuple[DomainCall, ...] | None = None
    store_silent_ms: int = 0

    def usage(self) -> dict[ids.ServiceName, retry_usage.RetryUsage]:
        """Returns the requests and retries by service."""
        return {
            sums.service: retry_usage.RetryUsage(
                sums.requests, sums.before, sums.repeats
            )
            for sums in self.services
        }


def to_per_mille(share: float) -> int:
    """Returns a share in thousandths."""
    return round(share * _PER_MILLE)


def pack_entries(entries: Iterable[HostEntry]) -> bytes:
    """Packs entries for a digest."""
    return b"".join(
        _ENTRY.pack(
            entry.incarnation,
            entry.sequence % SEQUENCES,
            entry.profile % PROFILES,
            min(_MAX_BYTE, entry.at_gate),
            _pack_time(entry.service_time_s),
            _OPEN_FLAG * entry.is_open
            + _COLD_FLAG * entry.is_cold
            + _LEAVING_FLAG * entry.is_leaving,
        )
        for entry in entries
    )


def unpack_entries(packed: bytes) -> Iterator[HostEntry]:
    """Yields the entries of a digest; ignores an incomplete last one."""
    usable_bytes = len(packed) - len(packed) % _ENTRY.size
    for fields in _ENTRY.iter_unpack(packed[:usable_bytes]):
        incarnation, sequence, profile, at_gate, packed_time, flags = fields
        yield HostEntry(
            incarnation,
            sequence,
            profile,
            at_gate,
            _unpack_time(packed_time),
            bool(flags & _OPEN_FLAG),
            bool(flags & _COLD_FLAG),
            bool(flags & _LEAVING_FLAG),
        )


def is_newer_sequence(told: int, known: int) -> bool:
    """Returns whether a told sequence follows a known one, modulo wrap."""
    ahead = (told - known) % SEQUENCES
    return 0 < ahead < SEQUENCES // 2


def _pack_time(time_s: float) -> int:
    steps = _STEPS_PER_DOUBLING * math.log2(1.0 + time_s * 1000.0)
    return min(_MAX_BYTE, round(steps))


def _unpack_time(steps: int) -> float:
    return _TIMES_S[steps]


_TIMES_S = tuple(
    (2.0 ** (steps / _STEPS_PER_DOUBLING) - 1.0) / 1000.0
    for steps in range(_MAX_BYTE + 1)
)
