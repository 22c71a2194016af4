"""Unit tests of the rules on which the quota bound depends."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies
import testtools

from cyclamendale import ids
from cyclamendale.controllers import _quota_layout
from cyclamendale.intents import model
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import holder
from cyclamendale.quotas import lease
from cyclamendale.quotas import lease_rows
from cyclamendale.quotas import shard_row
from cyclamendale.quotas import shares
from cyclamendale.quotas import token_bucket
from cyclamendale.quotas import token_cache
from cyclamendale.store import table

ACME = model.Customer("acme", 10.0, 100.0)
DIVISION = shares.Division(1, (shares.DomainWeight("east", 1.0),))
DAY_S = 24 * 3600.0
OWN = "10.0.0.1:7000#me"
OTHER = "10.0.0.2:7000#other"
DESIRED = lease_rows.DesiredLease(
    0, DIVISION.digest, shares.SHARE_UNITS * 3 // 4
)


def make_row(**changes):
    row = shard_row.ShardRow(
        write_id=1,
        epoch=3,
        holder=OTHER,
        units=shares.SHARE_UNITS,
        kept_units=shares.SHARE_UNITS * 3 // 4,
        divisions=(DIVISION.digest,),
    )
    return shard_row.msgspec.structs.replace(row, **changes)


def make_lease():
    return lease.ShardLease(OWN, lease.LeaseSettings(), random.Random(0))


def make_held_lease(**changes):
    """Returns a lease claimed at time 0, from a released row."""
    held_lease = make_lease()
    changes = {"holder": shard_row.NO_HOLDER, **changes}
    held_lease.handle_read(1, make_row(**changes), 0.0)
    held_lease.handle_write_success(
        held_lease.plan_due_write(DESIRED, 0.0), 2, 0.0
    )
    return held_lease


def latest_share(changes):
    return changes[-1].units / shares.SHARE_UNITS


def make_holder():
    shard_holder = holder.ShardHolder("east", 0, 1, starts_full=True)
    shard_holder.apply_share_changes(
        [lease.ShareChange(0.0, shares.SHARE_UNITS)]
    )
    shard_holder.set_customers(
        {"acme": ACME}, [shares.DivisionIndex(DIVISION)], 0.0
    )
    return shard_holder


def make_loan(tokens, age_limit_s, born_s):
    return holder.make_loan(OTHER, make_grant(tokens, age_limit_s), born_s)


def make_grant(tokens, age_limit_s):
    return ttypes.QuotaGrant(0, 0, 1, 1, tokens, int(age_limit_s * 1e6))


class DivisionTest(testtools.TestCase):
    @hypothesis.given(
        weights=strategies.lists(
            strategies.floats(0.01, 100.0), min_size=1, max_size=7
        ),
        homes=strategies.integers(1, 7),
        customer=strategies.text(max_size=5),
    )
    def test_shares_of_a_customer_never_exceed_a_whole(
        self, weights, homes, customer
    ):
        division = shares.Division(
            8,
            tuple(
                shares.DomainWeight(f"d{index}", weight)
                for index, weight in enumerate(weights)
            ),
            (shares.CustomerHomes(customer, homes),),
        )
        units = shares.DivisionIndex(division).units(customer)
        self.assertLessEqual(sum(units.values()), shares.SHARE_UNITS)
        self.assertEqual(min(homes, len(weights)), len(units))

    def test_small_burst_has_fewer_homes(self):
        configuration = model.Configuration(
            failure_domains={
                name: model.FailureDomain(name) for name in ("a", "b", "c")
            },
            customers={
                name: model.Customer(name, 10.0, burst)
                for name, burst in (("s", 5.0), ("m", 10.0), ("l", 20.0))
            },
        )
        division = shares.make_division(configuration, ())
        counts = {entry.customer: entry.count for entry in division.homes}
        self.assertEqual({"m": 2, "l": 3}, counts)


class RowTest(testtools.TestCase):
    scenarios = [
        ("complete", {"changes": {}, "error": None}),
        (
            "newer format",
            {"changes": {"format": 2}, "error": "NEWER_FORMAT"},
        ),
        ("share missing", {"changes": {"units": 1}, "error": "MALFORMED"}),
        (
            "negative share",
            {
                "changes": {
                    "units": shares.SHARE_UNITS + 1,
                    "retained": (shard_row.RetainedShare(1, OTHER, -1, ()),),
                },
                "error": "MALFORMED",
            },
        ),
    ]

    def test_only_complete_rows_of_a_known_format_are_used(self):
        row = make_row(**self.changes)
        decoded = shard_row.decode_row(shard_row.encode_row(row))
        if self.error is None:
            self.assertEqual(row, decoded.ok)
        else:
            self.assertEqual(self.error, decoded.error.kind.name)


class LayoutTest(testtools.TestCase):
    key = shard_row.lease_key("east", 0)
    division = shares.Division(2, DIVISION.domains)

    def plan(self, rows):
        found = _quota_layout.LeaseRows(4 if rows else 0, rows)
        writes = _quota_layout.plan_creation(
            found, "east", self.division, 0, random.Random(0)
        )
        created = {
            write.key: shard_row.decode_row(write.value).ok
            for write in writes[1:]
            if write.value is not None
        }
        return writes, created

    def test_first_node_creates_all_rows_as_unspent(self):
        writes, created = self.plan({})
        self.assertEqual(shard_row.LAYOUT_KEY, writes[0].key)
        self.assertEqual([0, 0], [row.epoch for row in created.values()])

    def test_rows_created_later_start_empty_and_limited_like_others(self):
        writes, created = self.plan({self.key: (9, make_row())})
        checked = [write.expected_version for write in writes]
        self.assertEqual([4, 9, 0], checked)
        (row,) = created.values()
        self.assertEqual(1, row.epoch)
        self.assertEqual((DIVISION.digest,), row.divisions)

    def test_no_row_is_created_without_a_division_common_to_all_rows(self):
        other = make_row(divisions=(self.division.digest,))
        rows = {self.key: (9, make_row()), "quota/lease/west/0": (9, other)}
        self.assertEqual([], self.plan(rows)[0])


class LeaseTest(testtools.TestCase):
    def test_lease_time_counts_from_before_the_send(self):
        held_lease = make_lease()
        held_lease.handle_read(1, make_row(holder=shard_row.NO_HOLDER), 0.0)
        claim = held_lease.plan_due_write(DESIRED, 1.0)
        held_lease.handle_write_success(claim, 2, 9.0)
        self.assertEqual(1.0, latest_share(held_lease.advance(12.9)))
        self.assertEqual(0.75, latest_share(held_lease.advance(13.0)))

    def test_lapse_during_a_pause_is_dated_to_the_expiry(self):
        held_lease = make_held_lease()
        changes = held_lease.advance(500.0)
        self.assertEqual(12.0, changes[-1].at_s)

    def test_unchanged_row_is_taken_over_after_one_and_a_quarter_leases(self):
        claimer = make_lease()
        claimer.handle_read(7, make_row(), 0.0)
        self.assertIsNone(claimer.plan_due_write(DESIRED, 14.9))
        row = claimer.plan_due_write(DESIRED, 15.0).row
        self.assertEqual((4, OWN), (row.epoch, row.holder))
        self.assertEqual(shares.SHARE_UNITS // 4, row.units)
        self.assertEqual([OTHER], [entry.owner for entry in row.retained])

    def test_failed_read_restarts_the_takeover_wait(self):
        claimer = make_lease()
        claimer.handle_read(7, make_row(), 0.0)
        claimer.handle_read_failure(14.0)
        claimer.handle_read(7, make_row(), 14.5)
        self.assertIsNone(claimer.plan_due_write(DESIRED, 29.0))

    def test_claim_of_unknown_outcome_spends_nothing(self):
        claimer = make_lease()
        claimer.handle_read(1, make_row(holder=shard_row.NO_HOLDER), 0.0)
        claim = claimer.plan_due_write(DESIRED, 0.0)
        claimer.handle_write_failure(
            claim, table.TableErrorKind.OUTCOME_UNKNOWN, 0.1
        )
        self.assertFalse(claimer.is_spendable)
        self.assertTrue(claimer.is_read_due(1.0, DESIRED))
        claimer.handle_read(2, claim.row, 1.0)
        self.assertTrue(claimer.is_spendable)
        self.assertEqual(0.75, latest_share(claimer.advance(12.0)))

    def test_superseded_holder_stops_and_returns_its_retained_share(self):
        held_lease = make_held_lease()
        held_lease.advance(20.0)
        entry = shard_row.RetainedShare(4, OWN, 5, ())
        units = shares.SHARE_UNITS - 5
        newer = make_row(epoch=5, units=units, retained=(entry,))
        held_lease.handle_read(9, newer, 20.0)
        self.assertEqual(0.0, latest_share(held_lease.advance(20.0)))
        row = held_lease.plan_due_write(DESIRED, 20.0).row
        self.assertEqual((), row.retained)
        self.assertEqual((OTHER, shares.SHARE_UNITS), (row.holder, row.units))

    def test_owner_drops_its_retained_share_after_a_day(self):
        held_lease = make_held_lease()
        self.assertEqual(0.75, latest_share(held_lease.advance(DAY_S)))
        self.assertEqual(0.0, latest_share(held_lease.advance(DAY_S + 12.0)))

    def test_reclaimer_waits_a_quarter_longer_than_a_day(self):
        entry = shard_row.RetainedShare(1, OTHER, 5, ())
        held_lease = make_held_lease(
            units=shares.SHARE_UNITS - 5, retained=(entry,)
        )
        first = held_lease.plan_due_write(DESIRED, 10.0)
        held_lease.handle_write_success(first, 3, 10.0)
        late = held_lease.plan_due_write(DESIRED, 9.0 + 1.25 * DAY_S)
        self.assertEqual((entry,), late.row.retained)
        after = held_lease.plan_due_write(DESIRED, 11.0 + 1.25 * DAY_S)
        self.assertEqual((), after.row.retained)
        self.assertEqual(shares.SHARE_UNITS, after.row.units)

    def test_gone_node_leaves_its_full_share(self):
        claimer = make_lease()
        claimer.handle_read(7, make_row(), 0.0)
        desired = shard_row.msgspec.structs.replace(
            DESIRED, gone=frozenset([ids.NodeId(OTHER)])
        )
        claim = claimer.plan_due_write(desired, 0.0)
        self.assertEqual(shares.SHARE_UNITS, claim.row.units)
        self.assertFalse(claim.starts_full)

    def test_only_the_first_holder_starts_full(self):
        for epoch, starts_full in ((0, True), (1, False)):
            claimer = make_lease()
            row = make_row(epoch=epoch, holder=shard_row.NO_HOLDER)
            claimer.handle_read(1, row, 0.0)
            claim = claimer.plan_due_write(DESIRED, 0.0)
            self.assertEqual(starts_full, claim.starts_full)


class HolderTest(testtools.TestCase):
    def test_return_is_credited_once(self):
        shard_holder = make_holder()
        (grant,) = shard_holder.draw("acme", 40, 0.0)
        level = shard_holder.get_level("acme", 0.0)
        self.assertEqual(
            30, shard_holder.credit_return(grant.grant_id, 30, 0.0)
        )
        self.assertEqual(0, shard_holder.credit_return(grant.grant_id, 30, 0.0))
        self.assertEqual(level + 30, shard_holder.get_level("acme", 0.0))

    def test_returned_loan_is_credited_once(self):
        borrower = make_holder()
        borrower.add_loan("acme", make_loan(5, 9.0, 0.0))
        grant = borrower.draw("acme", 5, 0.0)[0]
        self.assertEqual(5, borrower.credit_return(grant.grant_id, 5, 0.0))
        self.assertEqual(0, borrower.credit_return(grant.grant_id, 5, 0.0))

    def test_return_never_replaces_what_refilled_meanwhile(self):
        shard_holder = make_holder()
        capacity = shard_holder.get_level("acme", 0.0)
        (first,) = shard_holder.draw("acme", 20, 0.0)
        shard_holder.get_level("acme", 5.0)
        (rest,) = shard_holder.draw("acme", int(capacity), 5.0)
        self.assertEqual(0, shard_holder.credit_return(first.grant_id, 20, 5.0))

    def test_loan_is_deducted_before_the_next_one(self):
        shard_holder = make_holder()
        capacity = shard_holder.get_level("acme", 0.0)
        lent = [
            grant.tokens
            for _ in range(3)
            for grant in shard_holder.lend("acme", 60, 0, 0.0)
        ]
        self.assertLessEqual(sum(lent), capacity)

    def test_lender_reserves_tokens_for_local_demand(self):
        shard_holder = make_holder()
        for at_s in range(3):
            shard_holder.draw("acme", 10, float(at_s))
        shard_holder.lend("acme", 1000, 0, 3.0)
        self.assertGreater(shard_holder.get_level("acme", 3.0), 1.0)

    def test_borrowed_tokens_keep_their_age(self):
        shard_holder = make_holder()
        shard_holder.add_loan("acme", make_loan(5, 0.5, 1.0))
        grant, _ = shard_holder.draw("acme", 6, 1.3)
        self.assertEqual(5, grant.tokens)
        self.assertGreaterEqual(grant.age_us, 300_000)
        shard_holder.add_loan("acme", make_loan(5, 0.5, 1.0))
        self.assertEqual(1, len(shard_holder.draw("acme", 1, 1.6)))

    def test_share_of_an_unknown_division_is_not_spent(self):
        shard_holder = make_holder()
        shard_holder.set_customers(
            {"acme": ACME}, [shares.DivisionIndex(DIVISION), None], 0.0
        )
        self.assertEqual([], shard_holder.draw("acme", 1, 10.0))


class TokenAgeTest(testtools.TestCase):
    def test_token_is_not_spent_past_its_age_limit_on_a_slow_clock(self):
        tokens = token_cache.CustomerTokens("acme", lambda tokens: None)
        grant = make_grant(5, 1.0)
        tokens.add(OTHER, grant, sent_s=0.0)
        self.assertTrue(tokens.spend(0.97))
        slow_s = 1.0 * (1.0 - token_bucket.MAX_CLOCK_DRIFT)
        self.assertFalse(tokens.spend(slow_s))
        self.assertEqual(
            4, next(iter(tokens.pop_expired(slow_s))).unspent_tokens
        )
        self.assertEqual(0, tokens.available)

    def test_unspent_tokens_are_returned_when_demand_ends(self):
        tokens = token_cache.CustomerTokens("acme", lambda tokens: None)
        grant = make_grant(5, 100.0)
        tokens.add(OTHER, grant, sent_s=0.0)
        returned = []
        for tick in range(10):
            tokens.update_demand(0.1)
            returned.extend(tokens.pop_surplus(tick * 0.1))
        self.assertEqual([5], [batch.unspent_tokens for batch in returned])
