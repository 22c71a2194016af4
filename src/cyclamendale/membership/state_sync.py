"""Synchronisation of whole member lists between two nodes."""

from __future__ import annotations

import collections
from collections.abc import Generator, Iterable, Iterator
import struct
from typing import Any, TypeAlias, TypeVar

from expression import Ok
from expression import Result
from twisted.internet import defer

from cyclamendale import ids
from cyclamendale.membership import member_list
from cyclamendale.membership import protocol as protocols
from cyclamendale.peer import kinds
from cyclamendale.peer import network as networks
from cyclamendale.peer.generated.membership import ttypes

_T = TypeVar("_T")
_DeferredFlow: TypeAlias = Generator[defer.Deferred[Any], Any, _T]

PAGE_ENTRIES = 50
REQUEST_TIMEOUT_S = 3.0
MAX_WAITING_PEERS = 8
"""Maximum number of queued peers; requests for more are ignored."""
_BEFORE_ALL = ""
_AFTER_ALL = "~"
"""Sorts after every address, so that the reply contains no entries."""
_FINGERPRINT_BYTES = 8


class StateSync:
    """Synchronises with other nodes and answers their requests.

    The requester sends the fingerprints of its entries and receives, page
    by page, the entries that differ. Then it sends the entries that the
    other node lacks. A node joins the cluster in the same way.

    Attributes:
        bytes_sent: Approximate bytes of entries and fingerprints sent.
        failures: Number of synchronisations that ended with a failed
            request.
    """

    def __init__(
        self, protocol: protocols.Protocol, network: networks.PeerNetwork
    ) -> None:
        self._protocol = protocol
        self._network = network
        self._waiting_peers: collections.OrderedDict[ids.PeerAddress, None] = (
            collections.OrderedDict()
        )
        self._is_running = False
        self.bytes_sent = 0
        self.failures = 0

    def serve(self) -> None:
        """Registers the handler for requests of other nodes."""
        self._network.serve(
            kinds.MessageKind.MEMBERSHIP_JOIN,
            ttypes.MembershipSyncRequest,
            self.answer,
        )

    def answer(self, request: Any) -> Any:
        """Returns the reply to a `MembershipSyncRequest`."""
        self._protocol.apply_joined(request.own)
        self._protocol.apply_synced(request.pushed or ())
        known = set(_unpack(request.known or b""))
        page: list[bytes] = []
        last = request.after
        more = False
        for record in self._records_after(request.after):
            if not _should_send(record, known):
                continue
            if len(page) == PAGE_ENTRIES:
                more = True
                break
            page.append(record.encoded)
            last = record.member.address
        missing: Iterable[int] = ()
        if request.after == _BEFORE_ALL:
            held = {record.fingerprint for record in self._all_records()}
            missing = known - held
        reply = ttypes.MembershipSyncReply(
            entries=page, more=more, last=last, missing=_pack(missing)
        )
        self._count_bytes(page, reply.missing)
        return reply

    def schedule(self, peer: ids.PeerAddress) -> None:
        """Queues a synchronisation with `peer`; they run one at a time."""
        if len(self._waiting_peers) < MAX_WAITING_PEERS:
            self._waiting_peers[peer] = None
        self._run_next()

    def _run_next(self) -> None:
        if self._is_running or not self._waiting_peers:
            return
        self._is_running = True
        peer, _ = self._waiting_peers.popitem(last=False)
        self._synchronise(peer).addCallback(self._handle_finished)

    def _handle_finished(
        self, result: Result[None, networks.PeerError]
    ) -> None:
        self._is_running = False
        if result.is_error():
            self.failures += 1
        self._run_next()

    @defer.inlineCallbacks
    def _synchronise(
        self, peer: ids.PeerAddress
    ) -> _DeferredFlow[Result[None, networks.PeerError]]:
        pulled = yield self._pull(peer)
        if pulled.is_error():
            return pulled
        return (yield self._push(peer, pulled.ok))

    @defer.inlineCallbacks
    def _pull(
        self, peer: ids.PeerAddress
    ) -> _DeferredFlow[Result[set[int], networks.PeerError]]:
        after = _BEFORE_ALL
        missing = b""
        more = True
        is_newcomer = len(self._records_after(_BEFORE_ALL)) == 1
        while more:
            known = b""
            if not is_newcomer:
                known = _pack(
                    record.fingerprint for record in self._records_after(after)
                )
            result = yield self._request(peer, after, known, [])
            if result.is_error():
                return result
            reply = result.ok
            self._protocol.apply_synced(reply.entries or ())
            missing = missing or reply.missing or b""
            more = bool(reply.more) and reply.last > after
            after = reply.last
        return Ok(set(_unpack(missing)))

    @defer.inlineCallbacks
    def _push(
        self, peer: ids.PeerAddress, missing: set[int]
    ) -> _DeferredFlow[Result[None, networks.PeerError]]:
        entries_to_push = [
            record.encoded
            for record in self._all_records()
            if record.fingerprint in missing
        ]
        for start in range(0, len(entries_to_push), PAGE_ENTRIES):
            page = entries_to_push[start : start + PAGE_ENTRIES]
            result = yield self._request(peer, _AFTER_ALL, b"", page)
            if result.is_error():
                return result
        return Ok(None)

    def _request(
        self,
        peer: ids.PeerAddress,
        after: str,
        known: bytes,
        pushed: list[bytes],
    ) -> defer.Deferred[Result[Any, networks.PeerError]]:
        members = self._protocol.members
        own = members.record(members.own().address)
        assert own is not None  # The own entry is never removed.
        self._count_bytes([own.encoded, *pushed], known)
        return self._network.request(
            peer,
            kinds.MessageKind.MEMBERSHIP_JOIN,
            ttypes.MembershipSyncRequest(
                own=own.encoded, after=after, known=known, pushed=pushed
            ),
            ttypes.MembershipSyncReply,
            REQUEST_TIMEOUT_S,
        )

    def _all_records(self) -> Iterator[member_list.Record]:
        return self._protocol.members.records()

    def _records_after(self, after: str) -> list[member_list.Record]:
        return sorted(
            (
                record
                for record in self._all_records()
                if record.member.address > after
            ),
            key=lambda record: record.member.address,
        )

    def _count_bytes(self, entries: list[bytes], fingerprints: bytes) -> None:
        self.bytes_sent += len(fingerprints) + sum(map(len, entries))


def _should_send(record: member_list.Record, known: set[int]) -> bool:
    if record.fingerprint in known:
        return False
    # A joining node needs no entries of dead or left members.
    return bool(known) or member_list.is_live(record.member)


def _pack(fingerprints: Iterable[int]) -> bytes:
    return b"".join(
        fingerprint.to_bytes(_FINGERPRINT_BYTES, "big")
        for fingerprint in fingerprints
    )


def _unpack(packed: bytes) -> Iterator[int]:
    complete_bytes = len(packed) - len(packed) % _FINGERPRINT_BYTES
    for (fingerprint,) in struct.iter_unpack(">Q", packed[:complete_bytes]):
        yield fingerprint
