"""Controller of the quota shard leases that this node holds or watches.

The quotas access the table only here and in private helper modules.
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
"""Interval of the checks for due reads and writes."""

STOP_TIMEOUT_S = 2.0
"""Maximum time that a shutdown waits for the release of leases."""


class QuotaLeases(base.Controller):
    """Maintains the quota leases of this node's failure domain.

    Attributes:
        domain: This node's failure domain.
        divisions: The known divisions of quotas.
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
        self._holder_map = holders
        self._settings = settings
        self.divisions = _quota_divisions.DivisionStore(
            platform_table, self._update_all_customers, self._step_leases
        )
        self._leases: dict[ids.ShardId, lease.ShardLease] = {}
        self._holders: dict[ids.ShardId, holder.ShardHolder] = {}
        self._recorded_states: dict[ids.ShardId, tuple[ids.Epoch, str]] = {}
        self._busy_shards: set[ids.ShardId] = set()
        self._known_domains = {own.failure_domain}
        self._tick_call: clocks.DelayedCall | None = None
        self._is_leaving = False
        self._stop_deferred: defer.Deferred[None] | None = None
        self._stop_timeout: clocks.DelayedCall | None = None
        self._claimers = _quota_claimers.Claimers(own, members)
        self._fleet_steps = _quota_fleet_steps.FleetSteps(
            clock,
            rng,
            self.domain,
            platform_table,
            self.divisions,
            self._leases,
            self._busy_shards,
            self._make_desired_lease,
            self._learn_rows,
            self._handle_narrowed,
        )

    def start(self) -> None:
        """See base class."""
        self._configuration.subscribe(self._apply_configuration)
        self._members.subscribe(self._handle_member_change)
        self._apply_configuration(self._configuration.current)
        self._tick()

    def stop(self) -> defer.Deferred[None]:
        """Releases all leases; see base class."""
        self._is_leaving = True
        stopped: defer.Deferred[None] = defer.Deferred()
        self._stop_deferred = stopped
        self._stop_timeout = self._clock.call_later(
            STOP_TIMEOUT_S, self._finish_stop
        )
        for shard in list(self._leases):
            self._step_lease(shard)
        self._finish_stop_if_released()
        return stopped

    def get_holder(self, shard: ids.ShardId) -> holder.ShardHolder | None:
        """Returns the holder of a shard, or None if it may not be spent.

        Call this before each use, because the lease may have lapsed.
        """
        shard_lease = self._leases.get(shard)
        if shard_lease is None or not shard_lease.is_spendable:
            return None
        self._sync_holder(shard, shard_lease)
        return self._holders.get(shard) if shard_lease.is_spendable else None

    def held_shards(self) -> list[ids.ShardId]:
        """Returns the shards that this node may spend from."""
        return [
            shard
            for shard in self._leases
            if self.get_holder(shard) is not None
        ]

    def request_claim(self, shard: ids.ShardId) -> None:
        """Reads a released lease at once, so that it can be claimed."""
        if shard in self._leases:
            self._leases[shard].request_claim()
            self._step_lease(shard)

    def list_claimers(self, shard: ids.ShardId) -> list[directory.Member]:
        """Returns the claimers of a shard, in order of rank."""
        return self._claimers.list_members(shard)

    def _tick(self) -> None:
        wait_s = TICK_S * self._rng.uniform(0.8, 1.2)
        self._tick_call = self._clock.call_later(wait_s, self._tick)
        self._step_leases()

    def _step_leases(self) -> None:
        if self.divisions.customers and not self._is_leaving:
            self._fleet_steps.run_due_step()
        for shard in list(self._leases):
            self._step_lease(shard)

    def _handle_member_change(self, member: directory.Member) -> None:
        self._claimers.update_member(member)
        if member.failure_domain not in self._known_domains:
            self._known_domains.add(member.failure_domain)
            if not self._configuration.current.failure_domains:
                self._apply_configuration(self._configuration.current)

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        """Applies the division of a new configuration.

        The own shares are bounded by it at once; the lease rows name it with
        their next renewal.
        """
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
            self._fleet_steps.handle_division_change()
            for shard_lease in self._leases.values():
                shard_lease.request_renewal()
        self._update_all_customers()

    def _update_all_customers(self) -> None:
        for shard in self._holders:
            self._update_customers(shard)

    def _update_customers(self, shard: ids.ShardId) -> None:
        shard_lease = self._leases[shard]
        shard_lease.add_division(self.divisions.digest)
        divisions = [
            self.divisions.get_or_fetch(digest)
            for digest in shard_lease.divisions
        ]
        customers = self.divisions.get_customers(shard, divisions)
        now_s = self._clock.now_s()
        self._holders[shard].apply_share_changes(shard_lease.advance(now_s))
        self._holders[shard].set_customers(customers, divisions, now_s)

    def _sync_holder(
        self, shard: ids.ShardId, shard_lease: lease.ShardLease
    ) -> None:
        """Lets the lease lapse if due and applies its share to the holder."""
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
                self._update_customers(shard)
            elif changes:
                shard_holder.apply_share_changes(changes)
        elif shard_holder is not None:
            del self._holders[shard]
        self._publish_state(shard, shard_lease)

    def _publish_state(
        self, shard: ids.ShardId, shard_lease: lease.ShardLease
    ) -> None:
        if shard_lease.row is not None:
            self._holder_map.learn(
                self.domain,
                shard,
                shard_lease.row.epoch,
                shard_lease.row.holder,
            )
        state = (shard_lease.epoch, shard_lease.state.value)
        if shard_lease.epoch and self._recorded_states.get(shard) != state:
            self._recorded_states[shard] = state
            self._event_log.record(
                events.LeaseChanged(shard=shard, epoch=state[0], state=state[1])
            )

    def _make_desired_lease(
        self, shard: ids.ShardId
    ) -> lease_rows.DesiredLease:
        configuration = self._configuration.current
        kept = configuration.defaults.retained_share * shares.SHARE_UNITS
        return lease_rows.DesiredLease(
            rank=self._claimers.get_rank(shard),
            digest=self.divisions.digest,
            kept_units=max(0, min(shares.SHARE_UNITS, int(kept))),
            gone=frozenset(configuration.gone),
            leaving=self._is_leaving,
        )

    def _step_lease(self, shard: ids.ShardId) -> None:
        """Starts the read or write that is due for a lease, if any."""
        shard_lease = self._leases[shard]
        self._sync_holder(shard, shard_lease)
        if shard in self._busy_shards:
            return
        now_s = self._clock.now_s()
        desired = self._make_desired_lease(shard)
        key = shard_row.lease_key(self.domain, shard)
        if shard_lease.is_read_due(now_s, desired):
            self._busy_shards.add(shard)
            self._table.read(key).addCallback(self._handle_read, shard)
            return
        write = shard_lease.plan_due_write(desired, now_s)
        self._sync_holder(shard, shard_lease)
        if write is not None and (
            self._is_leaving or self.divisions.ensure_stored()
        ):
            self._busy_shards.add(shard)
            writing = self._table.compare_and_set(
                key, write.expected_version, shard_row.encode_row(write.row)
            )
            writing.addCallback(self._handle_written, shard, write)

    def _handle_read(
        self,
        result: Result[table.Row | None, table.TableError],
        shard: ids.ShardId,
    ) -> None:
        self._busy_shards.discard(shard)
        now_s = self._clock.now_s()
        shard_lease = self._leases[shard]
        if result.is_ok():
            self._observe_row(shard_lease, result.ok, now_s)
        else:
            shard_lease.handle_read_failure(now_s)
        self._step_lease(shard)
        self._finish_stop_if_released()

    def _observe_row(
        self,
        shard_lease: lease.ShardLease,
        row: table.Row | None,
        now_s: float,
    ) -> None:
        if row is None:
            self._fleet_steps.handle_missing_row()
            shard_lease.handle_read(table.ABSENT_VERSION, None, now_s)
            return
        decoded = shard_row.decode_row(row.value)
        shard_lease.handle_read(
            row.version, decoded.ok if decoded.is_ok() else None, now_s
        )

    def _handle_written(
        self,
        result: Result[table.Row, table.TableError],
        shard: ids.ShardId,
        write: lease.PlannedWrite,
    ) -> None:
        self._busy_shards.discard(shard)
        now_s = self._clock.now_s()
        if result.is_ok():
            self._leases[shard].handle_write_success(
                write, result.ok.version, now_s
            )
        else:
            self._leases[shard].handle_write_failure(
                write, result.error.kind, now_s
            )
        self._step_lease(shard)
        self._finish_stop_if_released()

    def _finish_stop_if_released(self) -> None:
        if self._stop_deferred is None:
            return
        unreleased_states = (
            lease.LeaseState.RELEASING,
            lease.LeaseState.SUPERSEDED,
        )
        if not any(
            shard_lease.is_spendable or shard_lease.state in unreleased_states
            for shard_lease in self._leases.values()
        ):
            self._finish_stop()

    def _finish_stop(self) -> None:
        for call in (self._tick_call, self._stop_timeout):
            clocks.cancel(call)
        if self._stop_deferred is not None:
            stopped, self._stop_deferred = self._stop_deferred, None
            stopped.callback(None)

    def _learn_rows(self, fleet_rows: _quota_layout.LeaseRows) -> None:
        """Learns all holders and adds new leases of the own failure domain."""
        for key, (version, row) in fleet_rows.rows.items():
            location = shard_row.parse_lease_key(key)
            if location is None:
                continue
            self._holder_map.learn(*location, row.epoch, row.holder)
            if location[0] == self.domain and location[1] not in self._leases:
                new_lease = lease.ShardLease(
                    self._node, self._settings, self._rng
                )
                self._leases[location[1]] = new_lease
                new_lease.handle_read(version, row, self._clock.now_s())
                self._step_lease(location[1])

    def _handle_narrowed(self, shard: ids.ShardId) -> None:
        """Applies the result of narrowing a lease row."""
        self._sync_holder(shard, self._leases[shard])
        if shard in self._holders:
            self._update_customers(shard)
        self._finish_stop_if_released()
