"""Registry of dead members that have not returned or been replaced."""

from __future__ import annotations

from collections.abc import Iterator

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory

RETENTION_S = 3600.0
"""How long a dead member is reported."""

MAX_LOST_MEMBERS = 2000


class LostMembers:
    """Remembers dead members, so that reports can list them as unreachable.

    The membership directory drops dead members. A report without them would
    look complete even while a whole failure domain is cut off.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lost: dict[ids.PeerAddress, tuple[directory.Member, float]] = {}

    def update_member(self, member: directory.Member) -> None:
        """Adds a member that died; removes one that is back or replaced."""
        lost = self._lost.get(member.address)
        if member.state is directory.MemberState.DEAD:
            if lost is None and len(self._lost) >= MAX_LOST_MEMBERS:
                del self._lost[next(iter(self._lost))]
            self._lost[member.address] = (member, self._clock.now_s())
        elif lost is not None and not (
            # A late update about an earlier process at the same address.
            member.state is directory.MemberState.LEFT
            and member.node != lost[0].node
        ):
            del self._lost[member.address]

    def iter_nodes(self) -> Iterator[tuple[ids.NodeId, ids.FailureDomainName]]:
        """Yields the members that died within the last `RETENTION_S`.

        Older entries are removed.
        """
        oldest_s = self._clock.now_s() - RETENTION_S
        for address, (member, lost_at_s) in tuple(self._lost.items()):
            if lost_at_s < oldest_s:
                del self._lost[address]
            else:
                yield member.node, member.failure_domain
