"""Encodes and decodes the datagrams that aggregators send.

A bulletin has digests of failure domains and the profiles that changed. A
member may be asked to pass it on, without decoding it again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec

from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.fleet import digests
from cyclamendale.fleet import host_report
from cyclamendale.fleet import report_codec

_Item = TypeVar("_Item")

_ITEM_OVERHEAD_BYTES = 4

_MAX_BODY_BYTES = report_codec.MAX_DATAGRAM_BYTES - 1_000
"""Size of the digests or profiles of a bulletin; the rest is for its envelope,
which names the hosts to pass it on to."""


class Bulletin(msgspec.Struct, frozen=True, array_like=True):
    """News of one or more failure domains.

    Attributes:
        origin: Aggregator that made it.
        failure_domain: Failure domain of the aggregator.
        digests: Digests of failure domains.
        profiles: Reports of hosts whose profile changed, as datagrams.
    """

    origin: ids.PeerAddress
    failure_domain: ids.FailureDomainName
    digests: tuple[digests.Digest, ...] = ()
    profiles: tuple[bytes, ...] = ()


class ProfileRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the profiles of hosts that a digest lists.

    Attributes:
        sender: Address for the answer.
        incarnations: Incarnations of the hosts.
    """

    sender: ids.PeerAddress
    incarnations: tuple[int, ...]


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A bulletin, and the hosts that the receiver passes it on to."""

    forward_to: tuple[ids.PeerAddress, ...]
    body: bytes


class ReceivedBulletin(msgspec.Struct, frozen=True):
    """A decoded bulletin.

    Attributes:
        bulletin: The bulletin.
        forward_to: Hosts to pass it on to.
        forwarded: The datagram to send them.
    """

    bulletin: Bulletin
    forward_to: tuple[ids.PeerAddress, ...]
    forwarded: bytes


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_bulletin_decoder = msgspec.msgpack.Decoder(Bulletin)
_request_decoder = msgspec.msgpack.Decoder(ProfileRequest)


def encode_body(bulletin: Bulletin) -> bytes:
    """Encodes a bulletin for one or more envelopes."""
    return _encoder.encode(bulletin)


def encode(body: bytes, forward_to: Sequence[ids.PeerAddress] = ()) -> bytes:
    """Encodes a datagram with an encoded bulletin.

    Args:
        body: The bulletin from `encode_body`.
        forward_to: Hosts that the receiver passes it on to.
    """
    kind = bytes((report_codec.DatagramKind.BULLETIN,))
    return kind + _encoder.encode(_Envelope(tuple(forward_to), body))


def decode(datagram: bytes) -> ReceivedBulletin | None:
    """Decodes a bulletin; returns None if the datagram is not valid."""
    try:
        envelope = _envelope_decoder.decode(datagram[1:])
        bulletin = _bulletin_decoder.decode(envelope.body)
    except decoding.ERRORS:
        return None
    forwarded = encode(envelope.body) if envelope.forward_to else b""
    return ReceivedBulletin(bulletin, envelope.forward_to, forwarded)


def encode_request(request: ProfileRequest) -> bytes:
    """Encodes a request for profiles as a datagram."""
    kind = bytes((report_codec.DatagramKind.PROFILE_REQUEST,))
    return kind + _encoder.encode(request)


def decode_request(datagram: bytes) -> ProfileRequest | None:
    """Decodes a request for profiles; None if the datagram is not valid."""
    try:
        return _request_decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None


def encode_profile(report: host_report.HostReport) -> bytes:
    """Encodes what other domains need of a report and digests do not tell."""
    return report_codec.encode_report(
        msgspec.structs.replace(
            report, retries={}, frequencies=None, is_introduction=False
        )
    )


def encode_introduction(report: host_report.HostReport) -> bytes:
    """Encodes a short report whose receiver should reply at once."""
    return report_codec.encode_report(
        msgspec.structs.replace(
            report, retries={}, frequencies=None, is_introduction=True
        )
    )


def digest_batches(
    known: Iterable[digests.Digest],
) -> Iterator[tuple[digests.Digest, ...]]:
    """Yields digests in groups that fit into one datagram each."""
    return _batches(known, lambda digest: len(_encoder.encode(digest)))


def profile_batches(profiles: Iterable[bytes]) -> Iterator[tuple[bytes, ...]]:
    """Yields profiles in groups that fit into one datagram each."""
    return _batches(profiles, len)


def _batches(
    items: Iterable[_Item], size_of: Callable[[_Item], int]
) -> Iterator[tuple[_Item, ...]]:
    batch: list[_Item] = []
    size_bytes = 0
    for item in items:
        added_bytes = size_of(item) + _ITEM_OVERHEAD_BYTES
        if batch and size_bytes + added_bytes > _MAX_BODY_BYTES:
            yield tuple(batch)
            batch, size_bytes = [], 0
        batch.append(item)
        size_bytes += added_bytes
    if batch:
        yield tuple(batch)
