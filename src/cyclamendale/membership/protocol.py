"""The membership protocol: SWIM with Lifeguard's local health awareness.

Each node probes one member per period, directly and then through helpers. A
member that does not answer becomes suspect, and is declared dead unless it
refutes the suspicion by raising its incarnation. Changes of entries are
piggybacked on probe datagrams. While updates are queued, they are also sent
in separate gossip datagrams.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
import random
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import datagram_writer
from cyclamendale.membership import directory
from cyclamendale.membership import dissemination
from cyclamendale.membership import link
from cyclamendale.membership import local_health
from cyclamendale.membership import member_list
from cyclamendale.membership import own_upstream
from cyclamendale.membership import probe_targets
from cyclamendale.membership import prober
from cyclamendale.membership import recent_updates
from cyclamendale.membership import suspicion
from cyclamendale.membership import update_rules
from cyclamendale.membership import wire

TICK_S = 0.2
"""Interval between calls of `Protocol.tick`."""
PAUSE_THRESHOLD_S = 0.4
"""Delay of a tick beyond which this process is considered paused."""
GOSSIP_FANOUT = 3
"""Members that receive gossip in each tick while updates are queued."""
REFUTATION_PINGS_PER_TICK = 4
"""Maximum number of members pinged per tick so that they can refute."""
DEAD_RETRY_INTERVAL_S = 10.0
"""Mean time between attempts to reach dead members."""
DEAD_PINGS_PER_RETRY = 3
"""Maximum number of dead members pinged per attempt."""
SETTLED_SYNC_INTERVAL_S = 5.0
"""Minimum time between state synchronisations while nothing changes."""
BUSY_SYNC_INTERVAL_S = 15.0
"""The same while gossip does not keep up with the changes."""
CHANGING_SYNC_INTERVAL_S = 60.0
"""The same while recent changes are still being gossiped."""
PERSISTENT_DIVERGENCE_S = 10.0
"""Time without a matching digest after which gossip is considered overloaded.

There are then more changes than updates can carry.
"""
RETENTION_S = 24 * 3600.0
"""Time for which the records of dead and left members are kept."""
PURGE_INTERVAL_S = 60.0

_Kind = wire.DatagramKind


class Protocol:
    """State machine of the protocol on one node.

    Attributes:
        members: The members known to the node.
        health: The local health of the node.
        undecodable: Number of received entries that could not be decoded.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        own: directory.Member,
        sender: link.DatagramSender,
        on_diverged: Callable[[ids.PeerAddress], None],
    ) -> None:
        """Creates the protocol of a node that knows no other members.

        Args:
            clock: Time source.
            rng: Random source.
            own: The node's own entry.
            sender: Sends datagrams.
            on_diverged: Called with the address of a member whose member
                list differs and should be synchronised.
        """
        now_s = clock.now_s()
        self._clock = clock
        self._rng = rng
        self._on_diverged = on_diverged
        self.members = member_list.MemberList(own, now_s)
        self.health = local_health.LocalHealth()
        self.undecodable = 0
        self._queue = dissemination.UpdateQueue()
        self._suspicions = suspicion.Suspicions(prober.PROBE_PERIOD_S)
        self._targets = probe_targets.ProbeTargets(self.members, rng)
        self._writer = datagram_writer.DatagramWriter(
            clock, self.members, self._queue, sender
        )
        self._rules = update_rules.UpdateRules(
            self.members, self._suspicions, self._queue, self.health
        )
        self._prober = prober.Prober(
            self._targets,
            self.health,
            self._writer.send,
            self._suspect,
            now_s + rng.random() * prober.PROBE_PERIOD_S,
        )
        self._upstream_damper = own_upstream.UpstreamDamper(own.upstream, now_s)
        self._recent_updates = recent_updates.RecentUpdates()
        self._last_tick_s = now_s
        self._next_dead_retry_s = now_s + rng.random() * DEAD_RETRY_INTERVAL_S
        self._next_purge_s = now_s + PURGE_INTERVAL_S
        self._last_agreement_s = now_s
        self._last_sync_s = now_s - CHANGING_SYNC_INTERVAL_S
        self._queue.put(own.address, self._record(own.address).encoded, now_s)

    def tick(self) -> None:
        """Performs the periodic work; called every `TICK_S`."""
        now_s = self._clock.now_s()
        self._detect_pause(now_s)
        self._gossip()
        if self.members.own().state is directory.MemberState.LEFT:
            return
        self._publish_upstream(now_s)
        self._prober.tick(now_s)
        for address in self._suspicions.pop_expired(now_s):
            self._rules.declare_dead(address, now_s)
        self._ping_refutation_candidates()
        self._retry_dead(now_s)
        self._purge_expired(now_s)

    def receive(self, datagram: Any) -> None:
        """Handles a verified `MembershipDatagram`."""
        now_s = self._clock.now_s()
        address = ids.address_of(ids.NodeId(datagram.sender))
        disputes_self = False
        for encoded in datagram.updates or ():
            disputes_self |= self._apply_update(encoded, now_s)
        kind = datagram.kind
        if kind == _Kind.PING:
            self._writer.send(_Kind.ACK, address, datagram.sequence)
        elif kind == _Kind.ACK:
            self._prober.handle_ack(datagram.sequence)
            self._compare_digests(datagram, address, now_s)
        elif kind == _Kind.NACK:
            self._prober.handle_nack(datagram.sequence, address)
        elif kind == _Kind.PING_REQUEST and datagram.target:
            self._prober.relay_probe(
                address,
                datagram.sequence,
                ids.PeerAddress(datagram.target),
                now_s,
            )
        if disputes_self and kind != _Kind.GOSSIP:
            self._send_own_entry(address)

    def set_upstream(self, upstream: directory.Announcement | None) -> None:
        """Sets the announcement of the own upstream."""
        self._upstream_damper.announced = upstream
        self._publish_upstream(self._clock.now_s())

    def set_leaving(self) -> None:
        """Marks the own entry as leaving, so that it gets no new requests."""
        if not self.members.own().leaving:
            self._rules.change_own(self._clock.now_s(), leaving=True)

    def leave(self) -> None:
        """Marks the own entry as left; later ticks only gossip."""
        left = directory.MemberState.LEFT
        if self.members.own().state is not left:
            self._rules.change_own(self._clock.now_s(), state=left)

    def apply_synced(self, updates: Iterable[bytes]) -> None:
        """Applies entries received by state synchronisation."""
        now_s = self._clock.now_s()
        for encoded in updates:
            decoded = wire.decode_update(encoded)
            if decoded.is_error():
                self.undecodable += 1
                continue
            self._rules.apply(decoded.ok, update_rules.Origin.SYNC, now_s)

    def apply_joined(self, encoded: bytes) -> None:
        """Applies the entry of a joining node and gossips it."""
        self._apply_update(encoded, self._clock.now_s())

    def _apply_update(self, encoded: bytes, now_s: float) -> bool:
        if encoded in self._recent_updates:
            return False
        decoded = wire.decode_update(encoded)
        if decoded.is_error():
            self.undecodable += 1
            return False
        update = decoded.ok
        self._rules.apply(update, update_rules.Origin.GOSSIP, now_s)
        own = self.members.own()
        member = update.member
        if member.address != own.address:
            self._recent_updates.add(encoded)
            return False
        return member.node != own.node or member.state is not own.state

    def _detect_pause(self, now_s: float) -> None:
        late_s = now_s - self._last_tick_s - TICK_S
        self._last_tick_s = now_s
        if late_s > PAUSE_THRESHOLD_S:
            # Answers may be waiting unread, so the pause must not count
            # against other members.
            self._prober.extend_deadlines(late_s)
            self._suspicions.extend_deadlines(late_s)
            self.health.record_degradation()

    def _publish_upstream(self, now_s: float) -> None:
        if self._upstream_damper.should_publish(
            self.members.own().upstream, now_s
        ):
            self._rules.change_own(
                now_s, upstream=self._upstream_damper.announced
            )

    def _gossip(self) -> None:
        if not self._writer.should_gossip():
            return
        for address in self._targets.sample(GOSSIP_FANOUT):
            if self._writer.should_gossip():
                self._writer.send(_Kind.GOSSIP, address, 0)

    def _ping_refutation_candidates(self) -> None:
        candidates = self._rules.refutation_candidates
        for _ in range(min(REFUTATION_PINGS_PER_TICK, len(candidates))):
            address, _ = candidates.popitem(last=False)
            self._prober.ping(address)

    def _retry_dead(self, now_s: float) -> None:
        if now_s < self._next_dead_retry_s:
            return
        self._next_dead_retry_s = now_s + DEAD_RETRY_INTERVAL_S * (
            0.5 + self._rng.random()
        )
        for address in self._targets.next_dead(DEAD_PINGS_PER_RETRY):
            self._prober.ping(address)

    def _purge_expired(self, now_s: float) -> None:
        if now_s < self._next_purge_s:
            return
        self._next_purge_s = now_s + PURGE_INTERVAL_S
        expired = [
            record.member.address
            for record in self.members.records()
            if not member_list.is_live(record.member)
            and now_s - record.changed_s > RETENTION_S
        ]
        for address in expired:
            self.members.remove(address)

    def _suspect(self, address: ids.PeerAddress) -> None:
        self._rules.accuse(address, self._clock.now_s())

    def _compare_digests(
        self, datagram: Any, address: ids.PeerAddress, now_s: float
    ) -> None:
        if datagram.digest == self._writer.own_digest():
            self._last_agreement_s = now_s
            return
        interval_s = CHANGING_SYNC_INTERVAL_S
        if datagram.settled and self._writer.is_settled():
            interval_s = SETTLED_SYNC_INTERVAL_S
        elif now_s - self._last_agreement_s >= PERSISTENT_DIVERGENCE_S:
            interval_s = BUSY_SYNC_INTERVAL_S
        if now_s - self._last_sync_s >= interval_s:
            self._last_sync_s = now_s
            self._on_diverged(address)

    def _send_own_entry(self, receiver: ids.PeerAddress) -> None:
        own = self._record(self.members.own().address)
        self._writer.send_entry(receiver, own.encoded)

    def _record(self, address: ids.PeerAddress) -> member_list.Record:
        record = self.members.record(address)
        assert record is not None  # The own entry is never removed.
        return record
