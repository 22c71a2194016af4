"""Exchange of configuration versions between nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import ids
from cyclamendale.configuration import snapshot as snapshots
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer.generated.configuration import ttypes

DIGEST_TIMEOUT_S = 0.5
FETCH_TIMEOUT_S = 1.0
PAGE_BYTES = 64 * 1024
"""File contents in one reply, which may pass it by one file."""

MAX_PAGES = 10_000
"""Pages after which a fetch is given up."""

MAX_AGE_MS = 2**31 - 1


class PeerDigest(msgspec.Struct, frozen=True):
    """What a peer has in force.

    Attributes:
        peer: The peer.
        version: Its version.
        ready: Whether it serves requests with that version.
        confirmed_age_s: Age of its last confirmation, when it replied.
    """

    peer: ids.PeerAddress
    version: ids.ConfigVersion
    ready: bool
    confirmed_age_s: float | None


class FetchFailed(msgspec.Struct, frozen=True):
    """A peer did not deliver its version."""

    peer: ids.PeerAddress


class Local(msgspec.Struct, frozen=True):
    """What this node tells its peers of itself."""

    snapshot: snapshots.Snapshot
    ready: bool
    confirmed_age_s: float


class Spread:
    """Asks peers for digests and files, and answers theirs."""

    def __init__(
        self,
        peers: network.PeerNetwork,
        address: ids.PeerAddress,
        local: Callable[[], Local],
        on_newer: Callable[[ids.PeerAddress, ids.ConfigVersion], None],
    ) -> None:
        """Initialises the exchange and serves its requests.

        Args:
            peers: Requests to other nodes.
            address: Where this node serves its peers.
            local: Returns what to tell peers of this node.
            on_newer: Called when a peer says that it has a newer version.
        """
        self._peers = peers
        self._address = address
        self._local = local
        self._on_newer = on_newer
        peers.serve(
            kinds.MessageKind.CONFIGURATION_DIGEST,
            ttypes.DigestRequest,
            self._answer_digest,
        )
        peers.serve(
            kinds.MessageKind.CONFIGURATION_FETCH,
            ttypes.FetchRequest,
            self._answer_fetch,
        )

    async def ask(
        self, peer: ids.PeerAddress
    ) -> Result[PeerDigest, network.PeerError]:
        """Tells a peer this node's version and asks for the peer's."""
        request = ttypes.DigestRequest(
            version=self._local().snapshot.version, sender=self._address
        )
        reply = await self._peers.request(
            peer,
            kinds.MessageKind.CONFIGURATION_DIGEST,
            request,
            ttypes.DigestReply,
            DIGEST_TIMEOUT_S,
        )
        return reply.map(lambda message: _digest(peer, message))

    async def fetch(
        self, peer: ids.PeerAddress, base: snapshots.Snapshot
    ) -> Result[snapshots.Snapshot, FetchFailed]:
        """Fetches a peer's version as changes to `base`.

        When the changes do not lead to the peer's manifest, all files
        are fetched once.
        """
        for start in (base, snapshots.make_empty()):
            match await self._fetch_delta(peer, start.version):
                case Result(tag="ok", ok=delta):
                    applied = start.apply(delta)
                case _:
                    return Error(FetchFailed(peer))
            if applied.is_ok():
                return Ok(applied.ok)
        return Error(FetchFailed(peer))

    async def _fetch_delta(
        self, peer: ids.PeerAddress, have: ids.ConfigVersion
    ) -> Result[snapshots.Delta, FetchFailed]:
        changes: list[snapshots.FileChange] = []
        first: ttypes.FetchReply | None = None
        for _ in range(MAX_PAGES):
            after = changes[-1].file if changes else ""
            reply = await self._peers.request(
                peer,
                kinds.MessageKind.CONFIGURATION_FETCH,
                ttypes.FetchRequest(have_version=have, after_file=after),
                ttypes.FetchReply,
                FETCH_TIMEOUT_S,
            )
            if reply.is_error():
                return Error(FetchFailed(peer))
            page = reply.ok
            first = first or page
            has_moved_on = page.manifest != first.manifest
            if has_moved_on or (page.more and not page.changes):
                return Error(FetchFailed(peer))
            changes.extend(_file_change(change) for change in page.changes)
            if not page.more:
                return Ok(_delta(page, changes))
        return Error(FetchFailed(peer))

    def _answer_digest(
        self, request: ttypes.DigestRequest
    ) -> ttypes.DigestReply:
        local = self._local()
        version = local.snapshot.version
        if request.version > version and request.sender:
            self._on_newer(
                ids.PeerAddress(request.sender),
                ids.ConfigVersion(request.version),
            )
        return ttypes.DigestReply(
            version=version,
            ready=local.ready,
            confirmed_age_ms=_age_ms(local.confirmed_age_s),
        )

    def _answer_fetch(self, request: ttypes.FetchRequest) -> ttypes.FetchReply:
        snapshot = self._local().snapshot
        have = ids.ConfigVersion(request.have_version)
        pending = (
            change
            for change in snapshot.changes_since(have)
            if change.file > request.after_file
        )
        page = [_wire_change(change) for change in _one_page(pending)]
        return ttypes.FetchReply(
            version=snapshot.version,
            manifest=bytes.fromhex(snapshot.digest),
            complete=snapshot.lacks_removals(have),
            removals_since=snapshot.folder.manifest.removals_since,
            changes=page,
            more=next(pending, None) is not None,
        )


def _one_page(
    pending: Iterator[snapshots.FileChange],
) -> Iterator[snapshots.FileChange]:
    size_bytes = 0
    while size_bytes < PAGE_BYTES:
        change = next(pending, None)
        if change is None:
            return
        size_bytes += len(change.content or b"")
        yield change


def _digest(peer: ids.PeerAddress, message: ttypes.DigestReply) -> PeerDigest:
    age_ms = message.confirmed_age_ms
    return PeerDigest(
        peer,
        ids.ConfigVersion(message.version),
        message.ready,
        None if age_ms is None else max(0, age_ms) / 1000,
    )


def _age_ms(age_s: float) -> int | None:
    if age_s * 1000 >= MAX_AGE_MS:
        return None
    # Rounded up: an age may be told as older, never as younger.
    return int(age_s * 1000) + 1


def _delta(
    page: ttypes.FetchReply, changes: Iterable[snapshots.FileChange]
) -> snapshots.Delta:
    return snapshots.Delta(
        version=ids.ConfigVersion(page.version),
        manifest=page.manifest.hex(),
        complete=page.complete,
        removals_since=ids.ConfigVersion(page.removals_since),
        changes=tuple(changes),
    )


def _file_change(change: ttypes.FileChange) -> snapshots.FileChange:
    return snapshots.FileChange(
        file=ids.IntentFileName(change.file),
        version=ids.ConfigVersion(change.version),
        change_id=ids.ChangeId(change.change_id),
        writer=change.writer,
        content=change.content,
    )


def _wire_change(change: snapshots.FileChange) -> ttypes.FileChange:
    return ttypes.FileChange(
        file=change.file,
        version=change.version,
        change_id=change.change_id,
        writer=change.writer,
        content=change.content,
    )
