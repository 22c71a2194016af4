"""Encodes and decodes the reports of hosts.

`bulletin_codec` has the datagrams of aggregators, `permit_codec` those of the
quotas, `host_lists` those that tell of the hosts, `departure_reminders` those
that tell a host of its departures.
"""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.fleet import host_report
from cyclamendale.fleet import permit_codec
from cyclamendale.overload import call_frequency
from cyclamendale.overload import retry_usage

MAX_DATAGRAM_BYTES = 8_000
"""Maximum size of a datagram. A large one is sent in IP fragments; losing one
delays its news by an interval."""

_PER_MILLE = 1000.0


@enum.unique
class DatagramKind(enum.IntEnum):
    """Kind and version of a datagram, encoded as its first byte.

    Kinds 1, 2, 3 and 5 were those of earlier builds, which this one ignores.
    """

    PERMIT = permit_codec.PERMIT_DATAGRAM
    REPORT = 4
    FIGURES = 6
    CONFIRMATION = 7
    BULLETIN = 8
    PROFILE_REQUEST = 9
    HOSTS_REQUEST = 11
    HOSTS = 12
    DEPARTURES = 13


class Confirmation(msgspec.Struct, frozen=True, array_like=True):
    """States that the last report of a host still holds.

    Attributes:
        incarnation: Incarnation of the host's process.
        sequence: Sequence of the report that holds.
    """

    incarnation: int
    sequence: int


class Figures(msgspec.Struct, frozen=True, array_like=True):
    """The part of a report that changes often.

    Attributes:
        incarnation: Incarnation of the host's process.
        sequence: Sequence of the report.
        base_sequence: Sequence of an earlier report with the same other
            fields, which the receiver must have.
        is_open: See `host_report.UpstreamStatus`.
        cold_left_ms: See `host_report.UpstreamStatus`.
        at_gate: See `host_report.UpstreamStatus`.
        pressure_per_mille: See `host_report.UpstreamStatus`.
        service_time_ms: See `host_report.UpstreamStatus`.
        refused_per_mille: See `host_report.UpstreamStatus`.
        retries: Usage of each service, in the order of the earlier report.
    """

    incarnation: int
    sequence: int
    base_sequence: int
    is_open: bool
    cold_left_ms: int
    at_gate: int
    pressure_per_mille: int
    service_time_ms: int
    refused_per_mille: int
    retries: tuple[tuple[int, int, int], ...]


class _Upstream(msgspec.Struct, frozen=True, array_like=True):
    """`host_report.UpstreamStatus` in small integers."""

    upstream_id: str
    service: ids.ServiceName
    slots: int
    is_open: bool
    cold_left_ms: int
    at_gate: int
    pressure_per_mille: int
    service_time_ms: int
    refused_per_mille: int


class _Report(msgspec.Struct, frozen=True, array_like=True):
    """`host_report.HostReport` without the names of fields."""

    address: ids.PeerAddress
    incarnation: int
    sequence: int
    failure_domain: ids.FailureDomainName
    configuration_version: ids.ConfigVersion
    is_leaving: bool
    is_introduction: bool
    upstream: _Upstream | None
    retries: list[tuple[ids.ServiceName, int, int, int]]
    frequencies: list[tuple[ids.RouteName, ids.RouteName, float]] | None = None
    profile: int = 0
    departures: tuple[host_report.Departure, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(_Report)
_figures_decoder = msgspec.msgpack.Decoder(Figures)
_confirmation_decoder = msgspec.msgpack.Decoder(Confirmation)


def kind_of(datagram: bytes) -> DatagramKind | None:
    """Returns the kind of a datagram, or None if it is unknown."""
    try:
        return DatagramKind(datagram[0])
    except (IndexError, ValueError):
        return None


def encode_figures(figures: Figures) -> bytes:
    """Encodes figures as a datagram."""
    return bytes((DatagramKind.FIGURES,)) + _encoder.encode(figures)


def decode_figures(datagram: bytes) -> Figures | None:
    """Decodes figures; returns None if the datagram is not valid."""
    try:
        return _figures_decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None


def encode_confirmation(confirmation: Confirmation) -> bytes:
    """Encodes a confirmation as a datagram."""
    return bytes((DatagramKind.CONFIRMATION,)) + _encoder.encode(confirmation)


def decode_confirmation(datagram: bytes) -> Confirmation | None:
    """Decodes a confirmation; returns None if the datagram is not valid."""
    try:
        return _confirmation_decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None


def encode_report(report: host_report.HostReport) -> bytes:
    """Encodes a report as a datagram."""
    message = _Report(
        report.address,
        report.incarnation,
        report.sequence,
        report.failure_domain,
        report.configuration_version,
        report.is_leaving,
        report.is_introduction,
        _pack_upstream(report.upstream),
        [
            (name, usage.requests, usage.before, usage.repeats)
            for name, usage in report.retries.items()
        ],
        None
        if report.frequencies is None
        else [
            (each.caller, each.callee, each.calls)
            for each in report.frequencies
        ],
        report.profile,
        report.departures,
    )
    return bytes((DatagramKind.REPORT,)) + _encoder.encode(message)


def decode_report(datagram: bytes) -> host_report.HostReport | None:
    """Decodes a report; returns None if the datagram is not a valid one."""
    if kind_of(datagram) is not DatagramKind.REPORT:
        return None
    try:
        message = _report_decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None
    return host_report.HostReport(
        address=message.address,
        incarnation=message.incarnation,
        sequence=message.sequence,
        failure_domain=message.failure_domain,
        configuration_version=message.configuration_version,
        is_leaving=message.is_leaving,
        upstream=_unpack_upstream(message.upstream),
        frequencies=None
        if message.frequencies is None
        else [
            call_frequency.Frequency(caller, callee, calls)
            for caller, callee, calls in message.frequencies
        ],
        is_introduction=message.is_introduction,
        profile=message.profile,
        departures=message.departures[-host_report.MAX_DEPARTURES :],
        retries={
            name: retry_usage.RetryUsage(requests, before, repeats)
            for name, requests, before, repeats in message.retries
        },
    )


def make_figures(
    report: host_report.HostReport,
    upstream: host_report.UpstreamStatus,
    base_sequence: int,
) -> Figures:
    """Returns the figures of a report.

    Args:
        report: The report.
        upstream: Its upstream.
        base_sequence: Sequence of the report that has the other fields.
    """
    return Figures(
        report.incarnation,
        report.sequence,
        base_sequence,
        upstream.is_open,
        round(upstream.cold_left_s * _PER_MILLE),
        upstream.at_gate,
        round(upstream.pressure * _PER_MILLE),
        round(upstream.service_time_s * _PER_MILLE),
        round(upstream.refused_share * _PER_MILLE),
        tuple(
            (usage.requests, usage.before, usage.repeats)
            for usage in report.retries.values()
        ),
    )


def complete_figures(
    figures: Figures, known: host_report.HostReport
) -> host_report.HostReport | None:
    """Returns the report that figures belong to.

    Args:
        figures: The figures.
        known: The last report that was received of the same process.

    Returns:
        The report, or None if the other fields may have changed since the
        known one.
    """
    if (
        known.upstream is None
        or known.sequence < figures.base_sequence
        or len(known.retries) != len(figures.retries)
    ):
        return None
    return msgspec.structs.replace(
        known,
        sequence=figures.sequence,
        upstream=msgspec.structs.replace(
            known.upstream,
            is_open=figures.is_open,
            cold_left_s=figures.cold_left_ms / _PER_MILLE,
            at_gate=figures.at_gate,
            pressure=figures.pressure_per_mille / _PER_MILLE,
            service_time_s=figures.service_time_ms / _PER_MILLE,
            refused_share=figures.refused_per_mille / _PER_MILLE,
        ),
        retries={
            name: retry_usage.RetryUsage(*counts)
            for name, counts in zip(known.retries, figures.retries, strict=True)
        },
        frequencies=None,
        is_introduction=False,
    )


def _pack_upstream(
    upstream: host_report.UpstreamStatus | None,
) -> _Upstream | None:
    if upstream is None:
        return None
    return _Upstream(
        upstream.upstream_id,
        upstream.service,
        upstream.slots,
        upstream.is_open,
        round(upstream.cold_left_s * _PER_MILLE),
        upstream.at_gate,
        round(upstream.pressure * _PER_MILLE),
        round(upstream.service_time_s * _PER_MILLE),
        round(upstream.refused_share * _PER_MILLE),
    )


def _unpack_upstream(
    packed: _Upstream | None,
) -> host_report.UpstreamStatus | None:
    if packed is None:
        return None
    return host_report.UpstreamStatus(
        packed.upstream_id,
        packed.service,
        packed.slots,
        packed.is_open,
        packed.cold_left_ms / _PER_MILLE,
        packed.at_gate,
        packed.pressure_per_mille / _PER_MILLE,
        packed.service_time_ms / _PER_MILLE,
        packed.refused_per_mille / _PER_MILLE,
    )
