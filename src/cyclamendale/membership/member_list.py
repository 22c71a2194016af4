"""The members known to a node, indexed for lookups per request."""

from __future__ import annotations

from collections.abc import Callable, Iterator
import enum

import msgspec
import xxhash

from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.membership import wire

LIVE_STATES = frozenset(
    (directory.MemberState.ALIVE, directory.MemberState.SUSPECT)
)
_PRECEDENCE = {
    directory.MemberState.ALIVE: 0,
    directory.MemberState.SUSPECT: 1,
    directory.MemberState.DEAD: 2,
    directory.MemberState.LEFT: 3,
}


class Comparison(enum.Enum):
    """Order of a received entry relative to the one held."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"


class Record:
    """A member's entry and values derived from it.

    Attributes:
        member: The entry.
        encoded: The entry in wire format.
        fingerprint: Hash of the parts by which entries are compared.
        changed_s: Clock time at which this node stored the entry.
    """

    __slots__ = ("changed_s", "encoded", "fingerprint", "member")

    def __init__(self, member: directory.Member, changed_s: float) -> None:
        self.member = member
        self.encoded = wire.encode_update(wire.Update(member))
        self.fingerprint = fingerprint(member)
        self.changed_s = changed_s


def is_live(member: directory.Member) -> bool:
    """Returns whether a member is alive or suspect."""
    return member.state in LIVE_STATES


def fingerprint(member: directory.Member) -> int:
    """Returns a 64-bit hash of node, incarnation and liveness.

    Alive and suspect members have the same fingerprint, since a suspicion
    is temporary.
    """
    state = "live" if is_live(member) else member.state.value
    return xxhash.xxh3_64_intdigest(
        f"{member.node}|{member.incarnation}|{state}".encode()
    )


def compare(
    received: directory.Member, held: directory.Member | None
) -> Comparison:
    """Compares two entries of the same address.

    The higher incarnation wins, since a process that takes over an address
    raises its incarnation above that of its predecessor. Until then, ties
    are broken by node and state, in the same way on all nodes.
    """
    if held is None:
        return Comparison.NEWER
    received_key = (
        received.incarnation,
        received.node,
        _PRECEDENCE[received.state],
    )
    held_key = (held.incarnation, held.node, _PRECEDENCE[held.state])
    if received_key == held_key:
        return Comparison.SAME
    return Comparison.NEWER if received_key > held_key else Comparison.OLDER


def accepts_requests(member: directory.Member) -> bool:
    """Returns whether a member accepts new requests."""
    upstream = member.upstream
    return (
        upstream is not None
        and upstream.state is directory.UpstreamState.READY
        and not member.leaving
        and is_live(member)
    )


class MemberList(directory.Directory):
    """The member entries known to a node, including its own.

    Attributes:
        digest: Fingerprints of all live entries, combined by XOR.
        digest_changed_s: Clock time of the last change of the digest.
    """

    def __init__(self, own: directory.Member, now_s: float) -> None:
        self._own_address = own.address
        self._records: dict[ids.PeerAddress, Record] = {}
        self._live: tuple[ids.PeerAddress, ...] | None = None
        self._accepting: dict[
            ids.ServiceName, dict[ids.PeerAddress, directory.Member]
        ] = {}
        self._targets: dict[ids.ServiceName, tuple[directory.Member, ...]] = {}
        self._listeners: list[Callable[[directory.Member], None]] = []
        self.digest = 0
        self.digest_changed_s = now_s
        self.put(own, now_s)

    def own(self) -> directory.Member:
        """See base class."""
        return self._records[self._own_address].member

    def members(self) -> Iterator[directory.Member]:
        """See base class."""
        for address in self.live_addresses():
            yield self._records[address].member

    def targets(self, service: ids.ServiceName) -> tuple[directory.Member, ...]:
        """See base class."""
        targets = self._targets.get(service)
        if targets is None:
            accepting = self._accepting.get(service, {})
            targets = self._targets[service] = tuple(accepting.values())
        return targets

    def subscribe(self, listener: Callable[[directory.Member], None]) -> None:
        """See base class."""
        self._listeners.append(listener)

    def live_addresses(self) -> tuple[ids.PeerAddress, ...]:
        """Returns the addresses of all live members, including this node."""
        if self._live is None:
            self._live = tuple(
                address
                for address, record in self._records.items()
                if is_live(record.member)
            )
        return self._live

    def record(self, address: ids.PeerAddress) -> Record | None:
        """Returns the record of the member at `address`, if there is one."""
        return self._records.get(address)

    def records(self) -> Iterator[Record]:
        """Yields all records, including those of dead and left members."""
        yield from self._records.values()

    def put(self, member: directory.Member, now_s: float) -> Record:
        """Stores an entry, updates the indexes and notifies the listeners."""
        record = Record(member, now_s)
        held = self._records.get(member.address)
        self._records[member.address] = record
        self._update_digest(held, record, now_s)
        self._update_indexes(held.member if held else None, member)
        for listener in self._listeners:
            listener(member)
        return record

    def remove(self, address: ids.PeerAddress) -> None:
        """Removes the record of a member that is dead or left."""
        del self._records[address]

    def _update_digest(
        self, held: Record | None, record: Record, now_s: float
    ) -> None:
        digest = self.digest
        if held is not None and is_live(held.member):
            digest ^= held.fingerprint
        if is_live(record.member):
            digest ^= record.fingerprint
        if digest != self.digest:
            self.digest = digest
            self.digest_changed_s = now_s

    def _update_indexes(
        self, held: directory.Member | None, member: directory.Member
    ) -> None:
        if (held is not None and is_live(held)) != is_live(member):
            self._live = None
        if held is not None and accepts_requests(held):
            self._index_to_update(held).pop(held.address, None)
        if accepts_requests(member):
            self._index_to_update(member)[member.address] = member

    def _index_to_update(
        self, member: directory.Member
    ) -> dict[ids.PeerAddress, directory.Member]:
        upstream = member.upstream
        if upstream is None:
            return {}
        self._targets.pop(upstream.service, None)
        return self._accepting.setdefault(upstream.service, {})


def with_state(
    member: directory.Member, state: directory.MemberState
) -> directory.Member:
    """Returns a copy of an entry with another state."""
    return msgspec.structs.replace(member, state=state)
