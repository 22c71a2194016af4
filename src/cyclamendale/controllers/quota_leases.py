"""Controller of the quota shard leases that this node holds or watches.

All table access of the quotas is here and in its private helpers.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import random

from expression import Result
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.configuration import source
from cyclamendale.controllers import _quota_divisions
from cyclamendale.controllers import _quota_layout
from cyclamendale.controllers import base
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.platform import table
from cyclamendale.quotas import holder
from cyclamendale.quotas import holder_map
from cyclamendale.quotas import lease
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares

TICK_S = 0.25
"""Interval at which due reads and writes are looked for."""

CLAIMERS = 2
"""Nodes of a failure domain that watch each of its shards."""

STOP_TIMEOUT_S = 2.0
"""Longest time that a shutdown waits for leases to be given back."""

MAX_ROWS = 65536
"""Most lease rows read at once."""

_LIST_RETRY_S = 1.0
_CREATE_RETRY_S = 0.05
_NARROW_RETRY_S = 1.0
_MAX_NARROW_RETRY_S = 8.0


class QuotaLeases(base.Controller):
    """Keeps the leases of this node's failure domain.

    Attributes:
        domain: This node's failure domain.
        divisions: The divisions known here.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        own: directory.Member,
        members: directory.Directory,
        platform_table: table.Table,
        configuration: source.ConfigurationSource,
        event_log: events.EventLog,
        holders: holder_map.HolderMap,
        settings: lease.LeaseSettings,
    ) -> None:
        self.domain = own.failure_domain
        self._node = own.node
        self._address = own.address
        self._clock = clock
        self._rng = rng
        self._members = members
        self._table = platform_table
        self._configuration = configuration
        self._event_log = event_log
        self._map = holders
        self._settings = settings
        self.divisions = _quota_divisions.DivisionStore(
            platform_table, self._replan_all, self._step_all
        )
        self._leases: dict[ids.ShardId, lease.ShardLease] = {}
        self._holders: dict[ids.ShardId, holder.ShardHolder] = {}
        self._recorded: dict[ids.ShardId, tuple[ids.Epoch, str]] = {}
        self._busy: set[ids.ShardId] = set()
        self._ranks: dict[ids.ShardId, int | None] = {}
        self._may_claim: dict[ids.PeerAddress, bool] = {}
        self._domains_seen = {own.failure_domain}
        self._ticking: clocks.DelayedCall | None = None
        self._leaving = False
        self._stopped: defer.Deferred[None] | None = None
        self._stop_timeout: clocks.DelayedCall | None = None
        self._listed = False
        self._fleet_busy = False
        self._next_list_s = 0.0
        self._next_narrow_s = 0.0
        self._narrow_wait_s = _NARROW_RETRY_S

    def start(self) -> None:
        """See base class."""
        self._configuration.subscribe(self._configured)
        self._members.subscribe(self._member_changed)
        self._configured(self._configuration.current)
        self._tick()

    def stop(self) -> defer.Deferred[None]:
        """Gives all leases back; see base class."""
        self._leaving = True
        stopped: defer.Deferred[None] = defer.Deferred()
        self._stopped = stopped
        self._stop_timeout = self._clock.call_later(
            STOP_TIMEOUT_S, self._finish_stop
        )
        for shard in list(self._leases):
            self._step(shard)
        self._check_stopped()
        return stopped

    def holder_of(self, shard: ids.ShardId) -> holder.ShardHolder | None:
        """Returns the holder of an own shard while it may be spent.

        Must be asked for before each use, as the lease may have lapsed.
        """
        shard_lease = self._leases.get(shard)
        if shard_lease is None or not shard_lease.spends:
            return None
        self._sync(shard, shard_lease)
        return self._holders.get(shard) if shard_lease.spends else None

    def held_shards(self) -> list[ids.ShardId]:
        """Returns the shards that this node may spend."""
        return [
            shard for shard in self._leases if self.holder_of(shard) is not None
        ]

    def claim_soon(self, shard: ids.ShardId) -> None:
        """Looks at a shard at once, since its lease was given back."""
        if shard in self._leases:
            self._leases[shard].claim_soon()
            self._step(shard)

    def claimers(self, shard: ids.ShardId) -> list[directory.Member]:
        """Returns the members that watch a shard, in order of rank."""
        own = self._members.own()
        members = {
            member.address: member
            for member in (*self._members.members(), own)
            if member.failure_domain == self.domain
            and (not member.leaving or member.address == own.address)
        }
        key = shard_row.lease_key(self.domain, shard)
        ranked = sorted(
            members.values(),
            key=lambda member: shares.rendezvous_score(key, member.address),
            reverse=True,
        )
        return ranked[:CLAIMERS]

    def _tick(self) -> None:
        wait_s = TICK_S * self._rng.uniform(0.8, 1.2)
        self._ticking = self._clock.call_later(wait_s, self._tick)
        self._step_all()

    def _step_all(self) -> None:
        if self.divisions.customers:
            self._fleet_step()
        for shard in list(self._leases):
            self._step(shard)

    def _member_changed(self, member: directory.Member) -> None:
        """Ranks claimers anew if the change can concern them."""
        if member.failure_domain not in self._domains_seen:
            self._domains_seen.add(member.failure_domain)
            if not self._configuration.current.failure_domains:
                self._configured(self._configuration.current)
        if member.failure_domain != self.domain:
            return
        claims = not member.leaving and member.state in (
            directory.MemberState.ALIVE,
            directory.MemberState.SUSPECT,
        )
        if self._may_claim.get(member.address) != claims:
            self._may_claim[member.address] = claims
            self._ranks.clear()

    def _configured(self, configuration: model.Configuration) -> None:
        """Bounds own shares by the new division at once, then shows it."""
        names = sorted(
            {
                self.domain,
                *(member.failure_domain for member in self._members.members()),
            }
        )
        division = shares.make_division(configuration, names)
        changed = self.divisions.set_current(division)
        if not changed and configuration.customers == self.divisions.customers:
            return
        self.divisions.set_customers(configuration.customers)
        if changed:
            self._listed = False
            self._next_narrow_s = 0.0
            self._narrow_wait_s = _NARROW_RETRY_S
            for shard_lease in self._leases.values():
                shard_lease.renew_soon()
        self._replan_all()

    def _replan_all(self) -> None:
        for shard in self._holders:
            self._replan(shard)

    def _replan(self, shard: ids.ShardId) -> None:
        shard_lease = self._leases[shard]
        shard_lease.add_division(self.divisions.digest)
        divisions = [
            self.divisions.find(digest) for digest in shard_lease.divisions
        ]
        customers = self.divisions.customers_of(shard, divisions)
        now_s = self._clock.now_s()
        self._holders[shard].apply(shard_lease.advance(now_s))
        self._holders[shard].set_plan(customers, divisions, now_s)

    def _sync(self, shard: ids.ShardId, shard_lease: lease.ShardLease) -> None:
        """Lets the lease lapse when due and applies its share."""
        changes = shard_lease.advance(self._clock.now_s())
        shard_holder = self._holders.get(shard)
        if shard_lease.spends:
            if shard_holder is None or shard_holder.epoch != shard_lease.epoch:
                shard_holder = self._holders[shard] = holder.ShardHolder(
                    self.domain,
                    shard,
                    shard_lease.epoch,
                    shard_lease.starts_full,
                )
                shard_holder.apply(changes)
                self._replan(shard)
            elif changes:
                shard_holder.apply(changes)
        elif shard_holder is not None:
            del self._holders[shard]
        self._record(shard, shard_lease)

    def _record(
        self, shard: ids.ShardId, shard_lease: lease.ShardLease
    ) -> None:
        if shard_lease.row is not None:
            self._map.learn(
                self.domain,
                shard,
                shard_lease.row.epoch,
                shard_lease.row.holder,
            )
        state = (shard_lease.epoch, shard_lease.state.value)
        if shard_lease.epoch and self._recorded.get(shard) != state:
            self._recorded[shard] = state
            self._event_log.record(
                events.LeaseChanged(shard=shard, epoch=state[0], state=state[1])
            )

    def _wish(self, shard: ids.ShardId) -> lease.Wish:
        configuration = self._configuration.current
        if shard not in self._ranks:
            addresses = [member.address for member in self.claimers(shard)]
            self._ranks[shard] = (
                addresses.index(self._address)
                if self._address in addresses
                else None
            )
        kept = configuration.defaults.retained_share * shares.SHARE_UNITS
        return lease.Wish(
            rank=self._ranks[shard],
            digest=self.divisions.digest,
            kept_units=max(0, min(shares.SHARE_UNITS, int(kept))),
            gone=frozenset(configuration.gone),
            leaving=self._leaving,
        )

    def _step(self, shard: ids.ShardId) -> None:
        """Starts the read or write that is due for one lease."""
        shard_lease = self._leases[shard]
        self._sync(shard, shard_lease)
        if shard in self._busy:
            return
        now_s = self._clock.now_s()
        wish = self._wish(shard)
        key = shard_row.lease_key(self.domain, shard)
        if shard_lease.read_due(now_s, wish):
            self._busy.add(shard)
            self._table.read(key).addCallback(self._on_read, shard)
            return
        if not self.divisions.is_stored() and not self._leaving:
            return
        write = shard_lease.write_due(wish, now_s)
        self._sync(shard, shard_lease)
        if write is not None:
            self._busy.add(shard)
            writing = self._table.compare_and_set(
                key, write.expected_version, shard_row.encode_row(write.row)
            )
            writing.addCallback(self._on_written, shard, write)

    def _on_read(
        self,
        result: Result[table.Row | None, table.TableError],
        shard: ids.ShardId,
    ) -> None:
        self._busy.discard(shard)
        now_s = self._clock.now_s()
        shard_lease = self._leases[shard]
        if result.is_ok():
            self._saw(shard_lease, result.ok, now_s)
        else:
            shard_lease.read_failed(now_s)
        self._step(shard)
        self._check_stopped()

    def _saw(
        self,
        shard_lease: lease.ShardLease,
        row: table.Row | None,
        now_s: float,
    ) -> None:
        if row is None:
            self._listed = False
            shard_lease.saw(table.ABSENT_VERSION, None, now_s)
            return
        decoded = shard_row.decode_row(row.value)
        shard_lease.saw(
            row.version, decoded.ok if decoded.is_ok() else None, now_s
        )

    def _on_written(
        self,
        result: Result[table.Row, table.TableError],
        shard: ids.ShardId,
        write: lease.PlannedWrite,
    ) -> None:
        self._busy.discard(shard)
        now_s = self._clock.now_s()
        if result.is_ok():
            self._leases[shard].took_effect(write, result.ok.version, now_s)
        else:
            self._leases[shard].failed(write, result.error.kind, now_s)
        self._step(shard)
        self._check_stopped()

    def _check_stopped(self) -> None:
        if self._stopped is None:
            return
        waiting = (lease.LeaseState.RELEASING, lease.LeaseState.SUPERSEDED)
        if not any(
            shard_lease.spends or shard_lease.state in waiting
            for shard_lease in self._leases.values()
        ):
            self._finish_stop()

    def _finish_stop(self) -> None:
        for call in (self._ticking, self._stop_timeout):
            if call is not None and call.active():
                call.cancel()
        if self._stopped is not None:
            stopped, self._stopped = self._stopped, None
            stopped.callback(None)

    def _fleet_step(self) -> None:
        """Lists all lease rows when rows are missing or a change ends."""
        now_s = self._clock.now_s()
        if self._fleet_busy or self._leaving:
            return
        if not self.divisions.is_stored():
            return
        if not self._listed and now_s >= self._next_list_s:
            self._next_list_s = now_s + _LIST_RETRY_S * self._rng.uniform(
                0.5, 1.0
            )
            self._list(self._on_listed)
        elif now_s >= self._next_narrow_s and self._to_narrow():
            wait_s = self._narrow_wait_s
            self._narrow_wait_s = min(2 * wait_s, _MAX_NARROW_RETRY_S)
            self._next_narrow_s = now_s + wait_s * self._rng.uniform(0.5, 1.0)
            self._list(self._narrow)

    def _list(
        self, use: Callable[[_quota_layout.LeaseRows | None], None]
    ) -> None:
        """Reads the layout row, then all lease rows, in this order."""
        self._fleet_busy = True
        reading = self._table.read(shard_row.LAYOUT_KEY)
        reading.addCallback(self._list_rows, use)

    def _list_rows(
        self,
        layout: Result[table.Row | None, table.TableError],
        use: Callable[[_quota_layout.LeaseRows | None], None],
    ) -> None:
        if layout.is_error():
            self._fleet_busy = False
            return
        listing = self._table.list_rows(shard_row.LEASE_PREFIX, MAX_ROWS)
        listing.addCallback(self._listed_rows, layout.ok, use)

    def _listed_rows(
        self,
        result: Result[list[table.Row], table.TableError],
        layout: table.Row | None,
        use: Callable[[_quota_layout.LeaseRows | None], None],
    ) -> None:
        self._fleet_busy = False
        if result.is_ok():
            use(_quota_layout.decode_rows(layout, result.ok))

    def _on_listed(self, found: _quota_layout.LeaseRows | None) -> None:
        if found is None:
            return
        now_s = self._clock.now_s()
        for key, (version, row) in found.rows.items():
            place = shard_row.parse_lease_key(key)
            if place is None:
                continue
            self._map.learn(*place, row.epoch, row.holder)
            if place[0] == self.domain and place[1] not in self._leases:
                new = lease.ShardLease(self._node, self._settings, self._rng)
                self._leases[place[1]] = new
                new.saw(version, row, now_s)
                self._step(place[1])
        writes = _quota_layout.plan_creation(
            found,
            self.domain,
            self.divisions.current.division,
            self._wish(ids.ShardId(0)).kept_units,
            self._rng,
        )
        if not writes:
            self._listed = True
            return
        self._fleet_busy = True
        self._table.transact(writes).addCallback(self._created)

    def _created(
        self, result: Result[list[table.Row], table.TableError]
    ) -> None:
        self._fleet_busy = False
        self._next_list_s = 0.0
        wait_s = self._rng.uniform(0.0, _CREATE_RETRY_S)
        self._clock.call_later(wait_s, self._fleet_step)

    def _to_narrow(self) -> list[ids.ShardId]:
        digest = self.divisions.digest
        return [
            shard
            for shard, shard_lease in self._leases.items()
            if shard_lease.state is lease.LeaseState.HELD
            and shard not in self._busy
            and shard_lease.divisions != (digest,)
            and shard_lease.row is not None
            and digest in shard_lease.row.divisions
        ]

    def _narrow(self, found: _quota_layout.LeaseRows | None) -> None:
        """Ends a change of division once all rows show the newest."""
        if found is None:
            return
        now_s = self._clock.now_s()
        digest = self.divisions.digest
        planned = {
            shard: self._leases[shard].plan_renewal(
                lease.Purpose.NARROW, self._wish(shard), now_s
            )
            for shard in self._to_narrow()
        }
        by_key = {
            shard_row.lease_key(self.domain, shard): write
            for shard, write in planned.items()
        }
        gone = frozenset(self._configuration.current.gone)
        writes = _quota_layout.plan_narrowing(
            found, by_key, digest, gone, self._rng
        )
        if writes is None or not planned:
            return
        self._fleet_busy = True
        self._busy.update(planned)
        narrowing = self._table.transact(writes)
        narrowing.addCallback(functools.partial(self._narrowed, planned))

    def _narrowed(
        self,
        planned: dict[ids.ShardId, lease.PlannedWrite],
        result: Result[list[table.Row], table.TableError],
    ) -> None:
        self._fleet_busy = False
        now_s = self._clock.now_s()
        versions: dict[str, int] = {}
        if result.is_ok():
            versions = {row.key: row.version for row in result.ok}
        for shard, write in planned.items():
            self._busy.discard(shard)
            shard_lease = self._leases[shard]
            key = shard_row.lease_key(self.domain, shard)
            if result.is_ok():
                shard_lease.took_effect(write, versions[key], now_s)
            else:
                shard_lease.failed(write, result.error.kind, now_s)
            self._sync(shard, shard_lease)
            if shard in self._holders:
                self._replan(shard)
        self.divisions.forget_except(
            digest
            for shard_lease in self._leases.values()
            for digest in shard_lease.divisions
        )
        self._check_stopped()
