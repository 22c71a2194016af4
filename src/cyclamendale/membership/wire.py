"""Wire format of member entries and membership datagrams."""

from __future__ import annotations

import enum
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.peer.generated.membership import ttypes

FORMAT_VERSION = 1
"""Version of the datagram format; other versions are dropped."""

MAX_DATAGRAM_BYTES = 1_400
"""Maximum size, MAC included, that avoids IP fragmentation."""

MAX_NAME_CHARACTERS = 64
"""Maximum length of a service, address or failure domain name."""


class DatagramKind(enum.IntEnum):
    """Kind of a datagram; the values are part of the wire format."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    NACK = 4
    GOSSIP = 5
    CHALLENGE = 6


class DecodeError(msgspec.Struct, frozen=True):
    """The bytes are not a valid encoding of the expected type."""

    expected_type: str


class Update(msgspec.Struct, frozen=True):
    """A member's entry and, for a suspicion, the accusing node."""

    member: directory.Member
    accuser: ids.NodeId | None = None


_STATE_CODES = {
    directory.MemberState.ALIVE: 0,
    directory.MemberState.SUSPECT: 1,
    directory.MemberState.DEAD: 2,
    directory.MemberState.LEFT: 3,
}
_STATES = {code: state for state, code in _STATE_CODES.items()}
_UPSTREAM_CODES = {
    directory.UpstreamState.STARTING: 0,
    directory.UpstreamState.READY: 1,
    directory.UpstreamState.DRAINING: 2,
    directory.UpstreamState.STOPPED: 3,
}
_UPSTREAM_STATES = {code: state for state, code in _UPSTREAM_CODES.items()}
_PROTOCOL_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory(
    string_length_limit=MAX_DATAGRAM_BYTES,
    container_length_limit=MAX_DATAGRAM_BYTES,
)


def encode_struct(struct: Any) -> bytes:
    """Returns the thrift binary encoding of a struct."""
    buffer = TTransport.TMemoryBuffer()
    struct.write(_PROTOCOL_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode_struct(
    data: bytes, struct_type: type[Any]
) -> Result[Any, DecodeError]:
    """Decodes a thrift struct; never raises on invalid bytes."""
    struct = struct_type()
    try:
        struct.read(
            _PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer(data))
        )
    except Exception:  # The codec raises many types on invalid input.
        return Error(DecodeError(struct_type.__name__))
    return Ok(struct)


def encode_update(update: Update) -> bytes:
    """Returns the encoding of a member's entry."""
    member = update.member
    upstream = member.upstream
    entry = ttypes.MemberEntry(
        node=member.node,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        state=_STATE_CODES[member.state],
        leaving=member.leaving or None,
        accuser=update.accuser,
    )
    if upstream is not None:
        entry.upstream = ttypes.UpstreamEntry(
            service_name=upstream.service,
            address=upstream.address,
            slots=upstream.slots,
            connections=upstream.connections,
            state=_UPSTREAM_CODES[upstream.state],
        )
    return encode_struct(entry)


def decode_update(data: bytes) -> Result[Update, DecodeError]:
    """Decodes an entry; unknown states and invalid fields are errors."""
    return decode_struct(data, ttypes.MemberEntry).bind(_validate_update)


def _validate_update(entry: Any) -> Result[Update, DecodeError]:
    invalid: Result[Update, DecodeError] = Error(DecodeError("MemberEntry"))
    state = _STATES.get(entry.state)
    if state is None or not entry.node or not entry.failure_domain:
        return invalid
    if len(entry.failure_domain) > MAX_NAME_CHARACTERS:
        return invalid
    if entry.incarnation is None or entry.incarnation < 0:
        return invalid
    upstream = None
    if entry.upstream is not None:
        upstream = _validate_upstream(entry.upstream)
        if upstream is None:
            return invalid
    node = ids.NodeId(entry.node)
    return Ok(
        Update(
            directory.Member(
                node=node,
                address=ids.address_of(node),
                failure_domain=ids.FailureDomainName(entry.failure_domain),
                incarnation=entry.incarnation,
                state=state,
                upstream=upstream,
                leaving=bool(entry.leaving),
            ),
            ids.NodeId(entry.accuser) if entry.accuser else None,
        )
    )


def _validate_upstream(entry: Any) -> directory.Announcement | None:
    state = _UPSTREAM_STATES.get(entry.state)
    if state is None or not entry.service_name or not entry.address:
        return None
    if len(entry.service_name) > MAX_NAME_CHARACTERS:
        return None
    return directory.Announcement(
        service=ids.ServiceName(entry.service_name),
        address=entry.address,
        slots=entry.slots or 0,
        connections=entry.connections or 0,
        state=state,
    )
