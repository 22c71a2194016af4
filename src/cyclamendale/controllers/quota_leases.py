"""Controller of the quota shard leases that this node holds or watches.

All table access of the quotas is here and in its private helpers.
"""

from __future__ import annotations

import random

from expression import Result
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.configuration import source
from cyclamendale.controllers import _quota_claimers
from cyclamendale.controllers import _quota_divisions
from cyclamendale.controllers import _quota_fleet_steps
from cyclamendale.controllers import _quota_layout
from cyclamendale.controllers import base
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.quotas import holder
from cyclamendale.quotas import holder_map
from cyclamendale.quotas import lease
from cyclamendale.quotas import lease_rows
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares
from cyclamendale.store import table

TICK_S = 0.25
"""Interval at which due reads and writes are looked for."""

STOP_TIMEOUT_S = 2.0
"""Longest time that a shutdown waits for leases to be given back."""


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
        self._domains_seen = {own.failure_domain}
        self._ticking: clocks.DelayedCall | None = None
        self._leaving = False
        self._stopped: defer.Deferred[None] | None = None
        self._stop_timeout: clocks.DelayedCall | None = None
        self._claimers = _quota_claimers.Claimers(own, members)
        self._fleet_steps = _quota_fleet_steps.FleetSteps(
            clock,
            rng,
            self.domain,
            platform_table,
            self.divisions,
            self._leases,
            self._busy,
            self._wish,
            self._found,
            self._narrowed,
        )

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
        if shard_lease is None or not shard_lease.is_spendable:
            return None
        self._sync(shard, shard_lease)
        return self._holders.get(shard) if shard_lease.is_spendable else None

    def held_shards(self) -> list[ids.ShardId]:
        """Returns the shards that this node may spend."""
        return [
            shard for shard in self._leases if self.holder_of(shard) is not None
        ]

    def claim_soon(self, shard: ids.ShardId) -> None:
        """Looks at a shard at once, since its lease was given back."""
        if shard in self._leases:
            self._leases[shard].request_claim()
            self._step(shard)

    def claimers(self, shard: ids.ShardId) -> list[directory.Member]:
        """Returns the members that watch a shard, in order of rank."""
        return self._claimers.of(shard)

    def _tick(self) -> None:
        wait_s = TICK_S * self._rng.uniform(0.8, 1.2)
        self._ticking = self._clock.call_later(wait_s, self._tick)
        self._step_all()

    def _step_all(self) -> None:
        if self.divisions.customers and not self._leaving:
            self._fleet_steps.step()
        for shard in list(self._leases):
            self._step(shard)

    def _member_changed(self, member: directory.Member) -> None:
        self._claimers.member_changed(member)
        if member.failure_domain not in self._domains_seen:
            self._domains_seen.add(member.failure_domain)
            if not self._configuration.current.failure_domains:
                self._configured(self._configuration.current)

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
            self._fleet_steps.division_changed()
            for shard_lease in self._leases.values():
                shard_lease.request_renewal()
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
        self._holders[shard].apply_share_changes(shard_lease.advance(now_s))
        self._holders[shard].set_customers(customers, divisions, now_s)

    def _sync(self, shard: ids.ShardId, shard_lease: lease.ShardLease) -> None:
        """Lets the lease lapse when due and applies its share."""
        changes = shard_lease.advance(self._clock.now_s())
        shard_holder = self._holders.get(shard)
        if shard_lease.is_spendable:
            if shard_holder is None or shard_holder.epoch != shard_lease.epoch:
                shard_holder = self._holders[shard] = holder.ShardHolder(
                    self.domain,
                    shard,
                    shard_lease.epoch,
                    shard_lease.starts_full,
                )
                shard_holder.apply_share_changes(changes)
                self._replan(shard)
            elif changes:
                shard_holder.apply_share_changes(changes)
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

    def _wish(self, shard: ids.ShardId) -> lease_rows.DesiredLease:
        configuration = self._configuration.current
        kept = configuration.defaults.retained_share * shares.SHARE_UNITS
        return lease_rows.DesiredLease(
            rank=self._claimers.rank(shard),
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
        if shard_lease.is_read_due(now_s, wish):
            self._busy.add(shard)
            self._table.read(key).addCallback(self._on_read, shard)
            return
        write = shard_lease.plan_due_write(wish, now_s)
        self._sync(shard, shard_lease)
        if write is not None and (self._leaving or self.divisions.is_stored()):
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
            shard_lease.handle_read_failure(now_s)
        self._step(shard)
        self._check_stopped()

    def _saw(
        self,
        shard_lease: lease.ShardLease,
        row: table.Row | None,
        now_s: float,
    ) -> None:
        if row is None:
            self._fleet_steps.row_missing()
            shard_lease.handle_read(table.ABSENT_VERSION, None, now_s)
            return
        decoded = shard_row.decode_row(row.value)
        shard_lease.handle_read(
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
            self._leases[shard].handle_write_success(
                write, result.ok.version, now_s
            )
        else:
            self._leases[shard].handle_write_failure(
                write, result.error.kind, now_s
            )
        self._step(shard)
        self._check_stopped()

    def _check_stopped(self) -> None:
        if self._stopped is None:
            return
        waiting = (lease.LeaseState.RELEASING, lease.LeaseState.SUPERSEDED)
        if not any(
            shard_lease.is_spendable or shard_lease.state in waiting
            for shard_lease in self._leases.values()
        ):
            self._finish_stop()

    def _finish_stop(self) -> None:
        for call in (self._ticking, self._stop_timeout):
            clocks.cancel(call)
        if self._stopped is not None:
            stopped, self._stopped = self._stopped, None
            stopped.callback(None)

    def _found(self, found: _quota_layout.LeaseRows) -> None:
        """Learns all holders, and the leases of the own domain."""
        for key, (version, row) in found.rows.items():
            place = shard_row.parse_lease_key(key)
            if place is None:
                continue
            self._map.learn(*place, row.epoch, row.holder)
            if place[0] == self.domain and place[1] not in self._leases:
                new = lease.ShardLease(self._node, self._settings, self._rng)
                self._leases[place[1]] = new
                new.handle_read(version, row, self._clock.now_s())
                self._step(place[1])

    def _narrowed(self, shard: ids.ShardId) -> None:
        """Applies the end of a change of division."""
        self._sync(shard, self._leases[shard])
        if shard in self._holders:
            self._replan(shard)
        self._check_stopped()
