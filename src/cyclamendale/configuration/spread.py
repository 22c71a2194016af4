"""Exchange of configuration versions between nodes by anti-entropy.

Nodes compare versions by digest requests; a node with a lower version fetches
the difference from its peer, in pages.
"""

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
"""Size of file contents after which a reply takes no further file."""

MAX_PAGES = 10_000
"""Pages after which a fetch is aborted."""

MAX_AGE_MS = 2**31 - 1


class PeerDigest(msgspec.Struct, frozen=True):
    """State of a peer, from its reply to a digest request.

    Attributes:
        peer: The peer.
        version: Version in force on the peer.
        ready: Whether it serves requests with that version.
        confirmed_age_s: Age of its last confirmation at the time of the
            reply; None before the first one.
    """

    peer: ids.PeerAddress
    version: ids.ConfigVersion
    ready: bool
    confirmed_age_s: float | None


class FetchError(msgspec.Struct, frozen=True):
    """A failed fetch of a peer's version."""

    peer: ids.PeerAddress


class LocalState(msgspec.Struct, frozen=True):
    """State that this node reports to its peers."""

    snapshot: snapshots.Snapshot
    ready: bool
    confirmed_age_s: float


class PeerExchange:
    """Requests digests and files from peers, and serves their requests."""

    def __init__(
        self,
        peers: network.PeerNetwork,
        address: ids.PeerAddress,
        get_local_state: Callable[[], LocalState],
        on_newer_version: Callable[[ids.PeerAddress, ids.ConfigVersion], None],
    ) -> None:
        """Registers the handlers of the exchange's requests.

        Args:
            peers: Network for requests to and from peers.
            address: Address at which this node serves its peers.
            get_local_state: Returns the state to report to peers.
            on_newer_version: Called when a peer reports a newer version.
        """
        self._peers = peers
        self._address = address
        self._get_local_state = get_local_state
        self._on_newer_version = on_newer_version
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

    async def exchange_digests(
        self, peer: ids.PeerAddress
    ) -> Result[PeerDigest, network.PeerError]:
        """Sends this node's version to a peer and requests the peer's state."""
        request = ttypes.DigestRequest(
            version=self._get_local_state().snapshot.version,
            sender=self._address,
        )
        reply = await self._peers.request(
            peer,
            kinds.MessageKind.CONFIGURATION_DIGEST,
            request,
            ttypes.DigestReply,
            DIGEST_TIMEOUT_S,
        )
        return reply.map(lambda message: _decode_digest(peer, message))

    async def fetch(
        self, peer: ids.PeerAddress, base: snapshots.Snapshot
    ) -> Result[snapshots.Snapshot, FetchError]:
        """Fetches a peer's version as a delta to `base`.

        If the delta does not yield the peer's manifest, all files are fetched
        once.
        """
        for start in (base, snapshots.make_empty()):
            match await self._fetch_delta(peer, start.version):
                case Result(tag="ok", ok=delta):
                    applied = start.apply(delta)
                case _:
                    return Error(FetchError(peer))
            if applied.is_ok():
                return Ok(applied.ok)
        return Error(FetchError(peer))

    async def _fetch_delta(
        self, peer: ids.PeerAddress, base_version: ids.ConfigVersion
    ) -> Result[snapshots.Delta, FetchError]:
        changes: list[snapshots.FileChange] = []
        first_page: ttypes.FetchReply | None = None
        for _ in range(MAX_PAGES):
            after = changes[-1].file if changes else ""
            reply = await self._peers.request(
                peer,
                kinds.MessageKind.CONFIGURATION_FETCH,
                ttypes.FetchRequest(
                    have_version=base_version, after_file=after
                ),
                ttypes.FetchReply,
                FETCH_TIMEOUT_S,
            )
            if reply.is_error():
                return Error(FetchError(peer))
            page = reply.ok
            first_page = first_page or page
            has_changed = page.manifest != first_page.manifest
            if has_changed or (page.more and not page.changes):
                return Error(FetchError(peer))
            changes.extend(
                _decode_file_change(change) for change in page.changes
            )
            if not page.more:
                return Ok(_decode_delta(page, changes))
        return Error(FetchError(peer))

    def _answer_digest(
        self, request: ttypes.DigestRequest
    ) -> ttypes.DigestReply:
        local = self._get_local_state()
        version = local.snapshot.version
        if request.version > version and request.sender:
            self._on_newer_version(
                ids.PeerAddress(request.sender),
                ids.ConfigVersion(request.version),
            )
        return ttypes.DigestReply(
            version=version,
            ready=local.ready,
            confirmed_age_ms=_encode_age_ms(local.confirmed_age_s),
        )

    def _answer_fetch(self, request: ttypes.FetchRequest) -> ttypes.FetchReply:
        snapshot = self._get_local_state().snapshot
        base_version = ids.ConfigVersion(request.have_version)
        pending = (
            change
            for change in snapshot.changes_since(base_version)
            if change.file > request.after_file
        )
        page = [_encode_file_change(change) for change in _take_page(pending)]
        return ttypes.FetchReply(
            version=snapshot.version,
            manifest=bytes.fromhex(snapshot.digest),
            complete=snapshot.has_pruned_tombstones(base_version),
            removals_since=snapshot.folder.manifest.removals_since,
            changes=page,
            more=next(pending, None) is not None,
        )


def _take_page(
    pending: Iterator[snapshots.FileChange],
) -> Iterator[snapshots.FileChange]:
    size_bytes = 0
    while size_bytes < PAGE_BYTES:
        change = next(pending, None)
        if change is None:
            return
        size_bytes += len(change.content or b"")
        yield change


def _decode_digest(
    peer: ids.PeerAddress, message: ttypes.DigestReply
) -> PeerDigest:
    age_ms = message.confirmed_age_ms
    return PeerDigest(
        peer,
        ids.ConfigVersion(message.version),
        message.ready,
        None if age_ms is None else max(0, age_ms) / 1000,
    )


def _encode_age_ms(age_s: float) -> int | None:
    if age_s * 1000 >= MAX_AGE_MS:
        return None
    # Rounded up, so that a confirmation never appears younger than it is.
    return int(age_s * 1000) + 1


def _decode_delta(
    page: ttypes.FetchReply, changes: Iterable[snapshots.FileChange]
) -> snapshots.Delta:
    return snapshots.Delta(
        version=ids.ConfigVersion(page.version),
        manifest=page.manifest.hex(),
        complete=page.complete,
        removals_since=ids.ConfigVersion(page.removals_since),
        changes=tuple(changes),
    )


def _decode_file_change(change: ttypes.FileChange) -> snapshots.FileChange:
    return snapshots.FileChange(
        file=ids.IntentFileName(change.file),
        version=ids.ConfigVersion(change.version),
        change_id=ids.ChangeId(change.change_id),
        writer=change.writer,
        content=change.content,
    )


def _encode_file_change(change: snapshots.FileChange) -> ttypes.FileChange:
    return ttypes.FileChange(
        file=change.file,
        version=change.version,
        change_id=change.change_id,
        writer=change.writer,
        content=change.content,
    )
