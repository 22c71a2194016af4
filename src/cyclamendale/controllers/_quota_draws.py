"""Batched draws and returns of one node's tokens."""

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
"""Longest wait for a holder's answer, its own borrowing included."""

REFILL_DELAY_S = 0.005
"""How long draws that nobody waits for are collected."""

MAX_DRAWS = 4
"""Most unanswered draws from one holder."""

_RETRY_S = 0.05


class _Draw:
    """One message: who is asked, in which way, for what."""

    __slots__ = ("domain", "holder", "sent_s", "wants")

    def __init__(
        self, domain: ids.FailureDomainName, holder: ids.NodeId
    ) -> None:
        self.domain = domain
        self.holder = holder
        self.sent_s = 0.0
        self.wants: list[tuple[token_cache.CustomerTokens, int]] = []


class Drawer:
    """Asks holders for tokens, one batched message for each holder.

    Attributes:
        tokens: The tokens of each customer seen lately.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        own: directory.Member,
        peers: network.PeerNetwork,
        leases: quota_leases.QuotaLeases,
        service: quota_holder.QuotaHolders,
        locator: _quota_locator.HolderLocator,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._node = own.node
        self._domain = own.failure_domain
        self._peers = peers
        self._leases = leases
        self._service = service
        self._locator = locator
        self.tokens: dict[ids.CustomerId, token_cache.CustomerTokens] = {}
        self._needy: dict[ids.CustomerId, token_cache.CustomerTokens] = {}
        self._returns: dict[ids.NodeId, list[ttypes.QuotaReturn]] = {}
        self._flush_call: clocks.DelayedCall | None = None
        self._unanswered: dict[ids.NodeId, int] = {}
        self._dry_until_s: dict[
            tuple[ids.CustomerId, ids.FailureDomainName], float
        ] = {}

    def tokens_of(self, customer: ids.CustomerId) -> token_cache.CustomerTokens:
        """Returns the tokens of a customer, empty at first."""
        tokens = self.tokens.get(customer)
        if tokens is None:
            tokens = token_cache.CustomerTokens(customer, self._refill)
            self.tokens[customer] = tokens
        return tokens

    def draw(self, tokens: token_cache.CustomerTokens) -> None:
        """Draws now, since a request waits."""
        self._needy[tokens.customer] = tokens
        if self._flush_call is not None:
            self._flush_call.cancel()
        self._flush()

    def tick(self, now_s: float, elapsed_s: float) -> None:
        """Measures demand, gives surplus back and refills."""
        for customer, tokens in list(self.tokens.items()):
            tokens.update_demand(elapsed_s)
            self._give_back(tokens.pop_surplus(now_s))
            tokens.admit_waiters(now_s)
            if tokens.is_idle:
                del self.tokens[customer]
            elif now_s >= tokens.backoff_until_s and tokens.is_low:
                self._needy[customer] = tokens
        self._flush()
        self._send_returns()

    def return_all(self) -> defer.Deferred[None]:
        """Gives all tokens back."""
        for tokens in self.tokens.values():
            self._give_back(tokens.drain())
        return self._send_returns()

    def _refill(self, tokens: token_cache.CustomerTokens) -> None:
        if tokens.backoff_until_s > self._clock.now_s():
            return
        self._needy[tokens.customer] = tokens
        if self._flush_call is None:
            self._flush_call = self._clock.call_later(
                REFILL_DELAY_S, self._flush
            )

    def _flush(self) -> None:
        self._flush_call = None
        now_s = self._clock.now_s()
        draws: dict[ids.NodeId, _Draw] = {}
        needy, self._needy = self._needy, {}
        for customer, tokens in needy.items():
            self._give_back(tokens.pop_expired(now_s))
            wanted = tokens.tokens_to_request()
            if wanted <= 0:
                continue
            found = self._locate(customer, now_s)
            if found is None:
                self._not_found(tokens, now_s)
                continue
            domain, holder = found
            if self._unanswered.get(holder, 0) >= MAX_DRAWS:
                self._needy[customer] = tokens
                continue
            draw = draws.setdefault(holder, _Draw(domain, holder))
            draw.wants.append((tokens, wanted))
        for draw in draws.values():
            self._send(draw, now_s)

    def _locate(
        self, customer: ids.CustomerId, now_s: float
    ) -> tuple[ids.FailureDomainName, ids.NodeId] | None:
        """Returns the own failure domain's holder, else a lender."""
        division = self._leases.divisions.current
        shard = shares.shard_of(customer, division.division.shard_count)
        if self._leases.holder_of(shard) is not None:
            return self._domain, self._node
        holder = self._locator.find(self._domain, shard, now_s)
        if holder is not None and holder != self._node:
            return self._domain, holder
        homes = [
            domain
            for domain in division.units(customer)
            if domain != self._domain
            and self._dry_until_s.get((customer, domain), 0.0) <= now_s
        ]
        self._rng.shuffle(homes)
        for domain in homes:
            holder = self._locator.find(domain, shard, now_s)
            if holder is not None:
                return domain, holder
        return None

    def _not_found(
        self, tokens: token_cache.CustomerTokens, now_s: float
    ) -> None:
        """Refuses those who waited in vain; others wait for a look-up."""
        if any(
            self._dry_until_s.get((tokens.customer, domain), 0.0) > now_s
            for domain in self._leases.divisions.current.units(tokens.customer)
        ):
            self._dry(tokens, now_s)
            return
        while tokens.waiters:
            waiter = tokens.waiters[0]
            if now_s < waiter.deadline_s - 2 * _RETRY_S:
                break
            tokens.waiters.popleft().finish(token_cache.WaitOutcome.UNAVAILABLE)
        if tokens.waiters:
            self._needy[tokens.customer] = tokens
            if self._flush_call is None:
                self._flush_call = self._clock.call_later(_RETRY_S, self._flush)

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
        self._unanswered[draw.holder] = self._unanswered.get(draw.holder, 0) + 1
        answer: defer.Deferred[Result[ttypes.QuotaDrawReply, network.PeerError]]
        if draw.holder == self._node:
            local = defer.maybeDeferred(self._service.draw, request)
            answer = local.addCallback(Ok)
        else:
            own = draw.domain == self._domain
            answer = self._peers.request(
                ids.address_of(draw.holder),
                kinds.MessageKind.QUOTA_DRAW
                if own
                else kinds.MessageKind.QUOTA_BORROW,
                request,
                ttypes.QuotaDrawReply,
                DRAW_TIMEOUT_S,
            )
        answer.addCallback(functools.partial(self._answered, draw))

    def _answered(
        self,
        draw: _Draw,
        result: Result[ttypes.QuotaDrawReply, network.PeerError],
    ) -> None:
        now_s = self._clock.now_s()
        self._unanswered[draw.holder] -= 1
        for tokens, wanted in draw.wants:
            tokens.requested_tokens -= wanted
        if result.is_error():
            self._locator.no_answer(draw.holder, now_s)
            self._again(tokens for tokens, _ in draw.wants)
            return
        reply: ttypes.QuotaDrawReply = result.ok
        for hint in reply.hints or ():
            shard = ids.ShardId(hint.shard)
            self._locator.not_holder(draw.domain, shard, draw.holder)
        self._locator.take_hints(reply.hints)
        granted = [0] * len(draw.wants)
        for grant in reply.grants:
            if not 0 <= grant.want < len(draw.wants):
                continue
            granted[grant.want] += grant.tokens
            draw.wants[grant.want][0].add(draw.holder, grant, draw.sent_s)
        not_held = {hint.shard for hint in reply.hints or ()}
        for index, (tokens, wanted) in enumerate(draw.wants):
            tokens.admit_waiters(now_s)
            if granted[index] < wanted:
                self._missing(draw, tokens, not_held, now_s)
        if self._needy and self._flush_call is None:
            self._flush_call = self._clock.call_later(
                REFILL_DELAY_S, self._flush
            )

    def _missing(
        self,
        draw: _Draw,
        tokens: token_cache.CustomerTokens,
        not_held: set[int],
        now_s: float,
    ) -> None:
        """Handles an answer with fewer tokens than wanted."""
        count = self._leases.divisions.current.division.shard_count
        if shares.shard_of(tokens.customer, count) in not_held:
            self._again([tokens])
        elif draw.domain != self._domain:
            wait_s = token_cache.EMPTY_BACKOFF_S * self._rng.uniform(0.5, 1.0)
            self._dry_until_s[tokens.customer, draw.domain] = now_s + wait_s
            self._again([tokens])
        else:
            self._dry(tokens, now_s)

    def _dry(self, tokens: token_cache.CustomerTokens, now_s: float) -> None:
        wait_s = token_cache.EMPTY_BACKOFF_S * self._rng.uniform(0.5, 1.0)
        tokens.backoff_until_s = now_s + wait_s
        tokens.refuse_long_waiters(now_s - token_cache.MAX_REFILL_WAIT_S)
        if tokens.waiters:
            self._clock.call_later(wait_s, self._ask_again, tokens)

    def _ask_again(self, tokens: token_cache.CustomerTokens) -> None:
        if tokens.waiters:
            self.draw(tokens)

    def _again(self, needy: Iterable[token_cache.CustomerTokens]) -> None:
        for tokens in needy:
            if tokens.waiters:
                self._needy[tokens.customer] = tokens
        if self._needy and self._flush_call is None:
            self._flush_call = self._clock.call_later(0, self._flush)

    def _give_back(self, batches: Iterable[token_cache.Batch]) -> None:
        for batch in batches:
            returns = self._returns.setdefault(batch.holder, [])
            returns.append(batch.make_return())

    def _send_returns(self) -> defer.Deferred[None]:
        returns, self._returns = self._returns, {}
        waits = []
        for holder, entries in returns.items():
            request = ttypes.QuotaReturnRequest(entries)
            if holder == self._node:
                self._service.take_back(request)
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
