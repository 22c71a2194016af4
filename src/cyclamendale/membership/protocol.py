"""The membership protocol: SWIM with Lifeguard's local health.

Each node probes one member a period, directly and then through helpers. A
member that does not answer is suspected, and declared dead unless it
refutes by raising its incarnation. Changes of entries ride on the probes
and, while there is news, on datagrams of their own.
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
from cyclamendale.membership import probe_targets
from cyclamendale.membership import prober
from cyclamendale.membership import recent_updates
from cyclamendale.membership import suspicion
from cyclamendale.membership import update_rules
from cyclamendale.membership import upstream_damper
from cyclamendale.membership import wire

TICK_S = 0.2
"""Time between two calls of `Protocol.tick`."""
PAUSE_THRESHOLD_S = 0.4
"""Delay of a tick from which on it counts as a pause of this process."""
GOSSIP_FANOUT = 3
"""Members told in each tick while there is news."""
REFUTATION_PINGS_PER_TICK = 4
DEAD_RETRY_INTERVAL_S = 10.0
"""Mean time between two attempts to reach dead members."""
DEAD_PINGS_PER_RETRY = 3
"""Dead members pinged in one attempt."""
SETTLED_SYNC_INTERVAL_S = 5.0
"""Shortest time between two exchanges while nothing changes."""
BUSY_SYNC_INTERVAL_S = 15.0
"""The same while there are more changes than updates can carry."""
CHANGING_SYNC_INTERVAL_S = 60.0
"""The same while changes still spread."""
PERSISTENT_DIVERGENCE_S = 10.0
"""Time for which no digest agreed that tells too many changes."""
RETENTION_S = 24 * 3600.0
"""Time for which dead and left members are remembered."""
PURGE_INTERVAL_S = 60.0

_Kind = wire.DatagramKind


class Protocol:
    """The protocol's state on one node.

    Attributes:
        members: The members known.
        health: The node's view of its own health.
        undecodable: Count of entries received that could not be decoded.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        own: directory.Member,
        sender: link.DatagramSender,
        on_diverged: Callable[[ids.PeerAddress], None],
    ) -> None:
        """Creates the state of a node that knows only itself.

        Args:
            clock: Time source.
            rng: Random source.
            own: The node's own entry.
            sender: Sends datagrams.
            on_diverged: Called with a member whose state differs from the
                own one, so that the two should be synchronised.
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
        self._upstream_damper = upstream_damper.UpstreamDamper(
            own.upstream, now_s
        )
        self._recent_updates = recent_updates.RecentUpdates()
        self._last_tick_s = now_s
        self._next_dead_retry_s = now_s + rng.random() * DEAD_RETRY_INTERVAL_S
        self._next_purge_s = now_s + PURGE_INTERVAL_S
        self._last_agreement_s = now_s
        self._last_sync_s = now_s - CHANGING_SYNC_INTERVAL_S
        self._queue.put(own.address, self._record(own.address).encoded, now_s)

    def tick(self) -> None:
        """Takes the steps that are due; called every `TICK_S`."""
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
        """Handles an authentic, fresh `MembershipDatagram`."""
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
        """Changes what the own entry says of the upstream."""
        self._upstream_damper.announced = upstream
        self._publish_upstream(self._clock.now_s())

    def set_leaving(self) -> None:
        """Says in the own entry that the node takes no new work."""
        if not self.members.own().leaving:
            self._rules.change_own(self._clock.now_s(), leaving=True)

    def leave(self) -> None:
        """Says that the node is gone; ticks go on spreading that."""
        left = directory.MemberState.LEFT
        if self.members.own().state is not left:
            self._rules.change_own(self._clock.now_s(), state=left)

    def apply_synced(self, updates: Iterable[bytes]) -> None:
        """Applies entries of another node's whole state."""
        now_s = self._clock.now_s()
        for encoded in updates:
            decoded = wire.decode_update(encoded)
            if decoded.is_error():
                self.undecodable += 1
                continue
            self._rules.apply(decoded.ok, update_rules.Origin.SYNC, now_s)

    def apply_joined(self, encoded: bytes) -> None:
        """Applies the own entry of a node that joins, and spreads it."""
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
            # Answers may wait unread; nobody is blamed for this time.
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
        assert record is not None  # The own entry is never forgotten.
        return record
