"""Batches a node's draws from shard holders and its token returns."""

from __future__ import annotations

from collections.abc import Iterable
import functools
import random

from expression import Ok
from expression import Result
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.controllers import _quota_locator
from cyclamendale.controllers import quota_holder
from cyclamendale.controllers import quota_leases
from cyclamendale.membership import directory
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer.generated.quota import ttypes
from cyclamendale.quotas import shares
from cyclamendale.quotas import token_cache

DRAW_TIMEOUT_S = 0.5
"""Timeout of a draw, including the time in which the holder borrows."""

REFILL_DELAY_S = 0.005
"""How long draws that no request waits for are collected into a batch."""

MAX_UNANSWERED_DRAWS = 4
"""Maximum number of unanswered draws per holder."""

_LOOKUP_RETRY_S = 0.05


class _Draw:
    """One draw message: the holder, its failure domain and the wants."""

    __slots__ = ("domain", "holder", "sent_s", "wants")

    def __init__(
        self, domain: ids.FailureDomainName, holder: ids.NodeId
    ) -> None:
        self.domain = domain
        self.holder = holder
        self.sent_s = 0.0
        self.wants: list[tuple[token_cache.CustomerTokens, int]] = []


class Drawer:
    """Draws tokens from shard holders, in one batched message per holder.

    Attributes:
        tokens: Cached tokens of each recently active customer.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        own: directory.Member,
        peers: network.PeerNetwork,
        leases: quota_leases.QuotaLeases,
        holder_service: quota_holder.QuotaHolderService,
        locator: _quota_locator.HolderLocator,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._node = own.node
        self._domain = own.failure_domain
        self._peers = peers
        self._leases = leases
        self._holder_service = holder_service
        self._locator = locator
        self.tokens: dict[ids.CustomerId, token_cache.CustomerTokens] = {}
        self._pending: dict[ids.CustomerId, token_cache.CustomerTokens] = {}
        self._returns: dict[ids.NodeId, list[ttypes.QuotaReturn]] = {}
        self._flush_call: clocks.DelayedCall | None = None
        self._unanswered_draws: dict[ids.NodeId, int] = {}
        self._backoff_until_s: dict[
            tuple[ids.CustomerId, ids.FailureDomainName], float
        ] = {}

    def get_tokens(
        self, customer: ids.CustomerId
    ) -> token_cache.CustomerTokens:
        """Returns a customer's token cache; creates an empty one if needed."""
        tokens = self.tokens.get(customer)
        if tokens is None:
            tokens = token_cache.CustomerTokens(customer, self._refill)
            self.tokens[customer] = tokens
        return tokens

    def draw(self, tokens: token_cache.CustomerTokens) -> None:
        """Draws at once, because a request waits."""
        self._pending[tokens.customer] = tokens
        if self._flush_call is not None:
            self._flush_call.cancel()
        self._flush()

    def tick(self, now_s: float, elapsed_s: float) -> None:
        """Measures demand, returns surplus tokens and refills the caches."""
        for customer, tokens in list(self.tokens.items()):
            tokens.update_demand(elapsed_s)
            self._queue_returns(tokens.pop_surplus(now_s))
            tokens.admit_waiters(now_s)
            if tokens.is_idle:
                del self.tokens[customer]
            elif now_s >= tokens.backoff_until_s and tokens.is_low:
                self._pending[customer] = tokens
        self._flush()
        self._send_returns()

    def return_all(self) -> defer.Deferred[None]:
        """Returns all cached tokens to their holders."""
        for tokens in self.tokens.values():
            self._queue_returns(tokens.drain())
        return self._send_returns()

    def _refill(self, tokens: token_cache.CustomerTokens) -> None:
        if tokens.backoff_until_s > self._clock.now_s():
            return
        self._pending[tokens.customer] = tokens
        if self._flush_call is None:
            self._flush_call = self._clock.call_later(
                REFILL_DELAY_S, self._flush
            )

    def _flush(self) -> None:
        self._flush_call = None
        now_s = self._clock.now_s()
        draws: dict[ids.NodeId, _Draw] = {}
        pending, self._pending = self._pending, {}
        for customer, tokens in pending.items():
            self._queue_returns(tokens.pop_expired(now_s))
            wanted = tokens.tokens_to_request()
            if wanted <= 0:
                continue
            found = self._find_holder(customer, now_s)
            if found is None:
                self._handle_no_holder(tokens, now_s)
                continue
            domain, holder = found
            if self._unanswered_draws.get(holder, 0) >= MAX_UNANSWERED_DRAWS:
                self._pending[customer] = tokens
                continue
            draw = draws.setdefault(holder, _Draw(domain, holder))
            draw.wants.append((tokens, wanted))
        for draw in draws.values():
            self._send(draw, now_s)

    def _find_holder(
        self, customer: ids.CustomerId, now_s: float
    ) -> tuple[ids.FailureDomainName, ids.NodeId] | None:
        """Returns the holder to draw from, with its failure domain.

        Prefers the holder of the own failure domain. Without one, picks a
        holder of another home domain of the customer, which lends.
        """
        division = self._leases.divisions.current
        shard = shares.shard_of(customer, division.division.shard_count)
        if self._leases.get_holder(shard) is not None:
            return self._domain, self._node
        holder = self._locator.find(self._domain, shard, now_s)
        if holder is not None and holder != self._node:
            return self._domain, holder
        home_domains = [
            domain
            for domain in division.units(customer)
            if domain != self._domain
            and self._backoff_until_s.get((customer, domain), 0.0) <= now_s
        ]
        self._rng.shuffle(home_domains)
        for domain in home_domains:
            holder = self._locator.find(domain, shard, now_s)
            if holder is not None:
                return domain, holder
        return None

    def _handle_no_holder(
        self, tokens: token_cache.CustomerTokens, now_s: float
    ) -> None:
        """Refuses requests close to their deadline; retries for the rest.

        If a lender recently granted too few tokens for this customer, the
        customer's tokens count as exhausted. Otherwise requests with at most
        two retry intervals left are refused, and the others wait for the
        next look-up.
        """
        if any(
            self._backoff_until_s.get((tokens.customer, domain), 0.0) > now_s
            for domain in self._leases.divisions.current.units(tokens.customer)
        ):
            self._handle_exhausted(tokens, now_s)
            return
        while tokens.waiters:
            waiter = tokens.waiters[0]
            if now_s < waiter.deadline_s - 2 * _LOOKUP_RETRY_S:
                break
            tokens.waiters.popleft().finish(token_cache.WaitOutcome.UNAVAILABLE)
        if tokens.waiters:
            self._pending[tokens.customer] = tokens
            if self._flush_call is None:
                self._flush_call = self._clock.call_later(
                    _LOOKUP_RETRY_S, self._flush
                )

    def _send(self, draw: _Draw, now_s: float) -> None:
        draw.sent_s = now_s
        division = self._leases.divisions.current.division
        wants = []
        for tokens, wanted in draw.wants:
            tokens.requested_tokens += wanted
            shard = shares.shard_of(tokens.customer, division.shard_count)
            awaited = len(tokens.waiters)
            wants.append(
                ttypes.QuotaWant(
                    shard,
                    tokens.customer,
                    wanted,
                    awaited if awaited < wanted else None,
                )
            )
        returns = self._returns.pop(draw.holder, None)
        request = ttypes.QuotaDrawRequest(wants, returns)
        self._unanswered_draws[draw.holder] = (
            self._unanswered_draws.get(draw.holder, 0) + 1
        )
        answer: defer.Deferred[Result[ttypes.QuotaDrawReply, network.PeerError]]
        if draw.holder == self._node:
            local = defer.maybeDeferred(self._holder_service.draw, request)
            answer = local.addCallback(Ok)
        else:
            is_own_domain = draw.domain == self._domain
            answer = self._peers.request(
                ids.address_of(draw.holder),
                kinds.MessageKind.QUOTA_DRAW
                if is_own_domain
                else kinds.MessageKind.QUOTA_BORROW,
                request,
                ttypes.QuotaDrawReply,
                DRAW_TIMEOUT_S,
            )
        answer.addCallback(functools.partial(self._handle_reply, draw))

    def _handle_reply(
        self,
        draw: _Draw,
        result: Result[ttypes.QuotaDrawReply, network.PeerError],
    ) -> None:
        now_s = self._clock.now_s()
        self._unanswered_draws[draw.holder] -= 1
        for tokens, wanted in draw.wants:
            tokens.requested_tokens -= wanted
        if result.is_error():
            self._locator.report_no_answer(draw.holder, now_s)
            self._draw_again(tokens for tokens, _ in draw.wants)
            return
        reply: ttypes.QuotaDrawReply = result.ok
        for hint in reply.hints or ():
            shard = ids.ShardId(hint.shard)
            self._locator.report_not_holder(draw.domain, shard, draw.holder)
        self._locator.learn_hints(reply.hints)
        granted = [0] * len(draw.wants)
        for grant in reply.grants:
            if not 0 <= grant.want < len(draw.wants):
                continue
            granted[grant.want] += grant.tokens
            draw.wants[grant.want][0].add(draw.holder, grant, draw.sent_s)
        not_held_shards = {hint.shard for hint in reply.hints or ()}
        for index, (tokens, wanted) in enumerate(draw.wants):
            tokens.admit_waiters(now_s)
            if granted[index] < wanted:
                self._handle_shortfall(draw, tokens, not_held_shards, now_s)
        if self._pending and self._flush_call is None:
            self._flush_call = self._clock.call_later(
                REFILL_DELAY_S, self._flush
            )

    def _handle_shortfall(
        self,
        draw: _Draw,
        tokens: token_cache.CustomerTokens,
        not_held_shards: set[int],
        now_s: float,
    ) -> None:
        """Handles a reply that granted fewer tokens than wanted."""
        shard_count = self._leases.divisions.current.division.shard_count
        if shares.shard_of(tokens.customer, shard_count) in not_held_shards:
            self._draw_again([tokens])
        elif draw.domain != self._domain:
            wait_s = token_cache.EMPTY_BACKOFF_S * self._rng.uniform(0.5, 1.0)
            self._backoff_until_s[tokens.customer, draw.domain] = now_s + wait_s
            self._draw_again([tokens])
        else:
            self._handle_exhausted(tokens, now_s)

    def _handle_exhausted(
        self, tokens: token_cache.CustomerTokens, now_s: float
    ) -> None:
        wait_s = token_cache.EMPTY_BACKOFF_S * self._rng.uniform(0.5, 1.0)
        tokens.backoff_until_s = now_s + wait_s
        tokens.refuse_long_waiters(now_s - token_cache.MAX_REFILL_WAIT_S)
        if tokens.waiters:
            self._clock.call_later(wait_s, self._retry_draw, tokens)

    def _retry_draw(self, tokens: token_cache.CustomerTokens) -> None:
        if tokens.waiters:
            self.draw(tokens)

    def _draw_again(
        self, pending: Iterable[token_cache.CustomerTokens]
    ) -> None:
        for tokens in pending:
            if tokens.waiters:
                self._pending[tokens.customer] = tokens
        if self._pending and self._flush_call is None:
            self._flush_call = self._clock.call_later(0, self._flush)

    def _queue_returns(self, batches: Iterable[token_cache.Batch]) -> None:
        for batch in batches:
            returns = self._returns.setdefault(batch.holder, [])
            returns.append(batch.make_return())

    def _send_returns(self) -> defer.Deferred[None]:
        returns, self._returns = self._returns, {}
        waits = []
        for holder, entries in returns.items():
            request = ttypes.QuotaReturnRequest(entries)
            if holder == self._node:
                self._holder_service.accept_returns(request)
                continue
            waits.append(
                self._peers.request(
                    ids.address_of(holder),
                    kinds.MessageKind.QUOTA_RETURN,
                    request,
                    ttypes.QuotaReturnReply,
                    DRAW_TIMEOUT_S,
                )
            )
        done: defer.Deferred[None] = defer.DeferredList(waits).addCallback(
            lambda _: None
        )
        return done
