"""Rules by which received entries change the member list."""

from __future__ import annotations

import collections
import enum

import msgspec

from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.membership import dissemination
from cyclamendale.membership import local_health
from cyclamendale.membership import member_list
from cyclamendale.membership import suspicion
from cyclamendale.membership import wire

MAX_INCARNATION = 2**31 - 2
"""Highest accepted incarnation.

A refutation raises it by 1, which must fit into a signed 32-bit integer on the
wire.
"""

_State = directory.MemberState


class Origin(enum.Enum):
    """How an entry was received."""

    GOSSIP = "gossip"
    """Received as a recent change; gossiped further."""
    SYNC = "sync"
    """From state synchronisation; may be outdated."""


class UpdateRules:
    """Applies entries to the member list and queues changes for gossip.

    Attributes:
        refutation_candidates: Live members that another node considers
            dead, to be pinged so that they can refute.
    """

    def __init__(
        self,
        members: member_list.MemberList,
        suspicions: suspicion.Suspicions,
        queue: dissemination.UpdateQueue,
        health: local_health.LocalHealth,
    ) -> None:
        self._members = members
        self._suspicions = suspicions
        self._queue = queue
        self._health = health
        self._own_node = members.own().node
        self.refutation_candidates: collections.OrderedDict[
            ids.PeerAddress, None
        ] = collections.OrderedDict()

    def apply(
        self, update: wire.Update, origin: Origin, now_s: float
    ) -> member_list.Comparison:
        """Applies one entry.

        Args:
            update: The entry.
            origin: How it was received.
            now_s: Clock time.

        Returns:
            How it compares to the entry held before.
        """
        member = update.member
        if member.incarnation > MAX_INCARNATION:
            return member_list.Comparison.OLDER
        record = self._members.record(member.address)
        held = record.member if record else None
        comparison = member_list.compare(member, held)
        if member.address == self._members.own().address:
            self._apply_to_self(member, now_s)
        elif comparison is member_list.Comparison.NEWER:
            self._apply_newer(update, held, origin, now_s)
        elif member.state is _State.SUSPECT and held == member:
            self._accuse(member, update.accuser, origin, now_s)
        return comparison

    def change_own(self, now_s: float, **changes: object) -> None:
        """Changes the own entry and raises its incarnation."""
        own = self._members.own()
        changes.setdefault("incarnation", own.incarnation + 1)
        self._store(msgspec.structs.replace(own, **changes), None, True, now_s)

    def accuse(self, address: ids.PeerAddress, now_s: float) -> None:
        """Suspects a member that this node could not reach."""
        record = self._members.record(address)
        if record is not None and member_list.is_live(record.member):
            suspect = member_list.with_state(record.member, _State.SUSPECT)
            self._accuse(suspect, self._own_node, Origin.GOSSIP, now_s)

    def declare_dead(self, address: ids.PeerAddress, now_s: float) -> None:
        """Declares a member dead that has not refuted its suspicion."""
        record = self._members.record(address)
        if record is not None and record.member.state is _State.SUSPECT:
            dead = member_list.with_state(record.member, _State.DEAD)
            self._store(dead, None, True, now_s)

    def _apply_newer(
        self,
        update: wire.Update,
        held: directory.Member | None,
        origin: Origin,
        now_s: float,
    ) -> None:
        member = update.member
        if member.state is _State.SUSPECT:
            self._accuse(member, update.accuser, origin, now_s)
            return
        if member.state is _State.DEAD and self._is_refutable(
            member, held, now_s
        ):
            # A member is considered dead only after it had time to refute.
            suspect = member_list.with_state(member, _State.SUSPECT)
            self._accuse(suspect, update.accuser, origin, now_s)
            if origin is Origin.SYNC:
                self.refutation_candidates[member.address] = None
            return
        self._suspicions.remove(member.address)
        self._store(member, None, origin is Origin.GOSSIP, now_s)

    def _is_refutable(
        self,
        dead: directory.Member,
        held: directory.Member | None,
        now_s: float,
    ) -> bool:
        if held is None or not member_list.is_live(held):
            return False
        was_suspect = (held.node, held.incarnation, held.state) == (
            dead.node,
            dead.incarnation,
            _State.SUSPECT,
        )
        return not was_suspect or not self._suspicions.has_had_refutation_time(
            dead.address, len(self._members.live_addresses()), now_s
        )

    def _accuse(
        self,
        suspect: directory.Member,
        accuser: ids.NodeId | None,
        origin: Origin,
        now_s: float,
    ) -> None:
        record = self._members.record(suspect.address)
        if record is None or record.member != suspect:
            self._suspicions.remove(suspect.address)
        is_new_evidence = self._suspicions.accuse(
            suspect.address,
            accuser,
            len(self._members.live_addresses()),
            now_s,
        )
        if is_new_evidence:
            self._store(suspect, accuser, origin is Origin.GOSSIP, now_s)

    def _apply_to_self(self, member: directory.Member, now_s: float) -> None:
        own = self._members.own()
        if member.incarnation < own.incarnation or member == own:
            return
        agrees = member.node == own.node and member.state is own.state
        if agrees and member.incarnation == own.incarnation:
            return
        if member.node == own.node and member.state is not _State.ALIVE:
            self._health.record_degradation()
        self.change_own(now_s, incarnation=member.incarnation + 1)

    def _store(
        self,
        member: directory.Member,
        accuser: ids.NodeId | None,
        should_gossip: bool,
        now_s: float,
    ) -> None:
        previous = record = self._members.record(member.address)
        if record is None or record.member != member:
            record = self._members.put(member, now_s)
        if not should_gossip:
            return
        encoded = record.encoded
        if accuser is not None:
            encoded = wire.encode_update(wire.Update(member, accuser))
        held = previous.member if previous else None
        urgent = _is_urgent(member, held)
        self._queue.put(member.address, encoded, now_s, urgent)


def _is_urgent(member: directory.Member, held: directory.Member | None) -> bool:
    """Returns whether an update is exempt from the rate limit.

    These are refutations and members that stop accepting requests. Deaths
    are not urgent, since a node that sends to a dead member detects it.
    """
    if held is None or member.state is _State.DEAD:
        return False
    refutes = held.state is _State.SUSPECT and member.state is _State.ALIVE
    accepts_requests = member_list.accepts_requests
    return refutes or (accepts_requests(held) and not accepts_requests(member))
