"""Filter that initialises root requests and links onward calls to them."""

from __future__ import annotations

import xxhash

from cyclamendale import refusals
from cyclamendale.entry import call as calls
from cyclamendale.entry import retry_budget
from cyclamendale.filters import base
from cyclamendale.overload import early_shed
from cyclamendale.overload import shed_key as shed_keys
from cyclamendale.upstream import contexts


class ContextFilter(base.Filter):
    """Sets the depth, shed key and retry budget of a call.

    An onward call also takes over the request id of its root request.
    """

    def __init__(self, fair_use: early_shed.FairUseTracker) -> None:
        self._fair_use = fair_use

    def apply(self, call: calls.Call) -> base.Verdict:
        """See base class."""
        if call.parent is None:
            self._begin_root(call)
            return None
        return _inherit(call, call.parent)

    def _begin_root(self, call: calls.Call) -> None:
        assert call.route is not None
        call.budget = retry_budget.RetryBudget(
            call.configuration.defaults.retry_budget
        )
        over_share = self._fair_use.record_request(
            call.customer, call.route.name
        )
        call.shed_key = shed_keys.make_shed_key(
            call.route.importance, over_share, call.request
        )


def _inherit(call: calls.Call, parent: contexts.Context) -> base.Verdict:
    call.request = parent.request
    call.shed_key = parent.shed_key
    call.budget = parent.budget
    call.depth = parent.depth + 1
    if call.depth > call.configuration.defaults.max_depth:
        return refusals.Refusal(
            refusals.RefusalReason.DEPTH,
            decider=call.configuration.decider(
                "defaults", "defaults", "max_depth"
            ),
        )
    # A call identical to an earlier one of the same parent is a retry, even
    # if the upstream does not treat it as one.
    digest = _call_digest(call)
    if digest in parent.onward_digests:
        if not parent.budget.spend():
            return refusals.Refusal(
                refusals.RefusalReason.RETRY_BUDGET,
                decider=call.configuration.decider(
                    "defaults", "defaults", "retry_budget"
                ),
            )
    else:
        parent.onward_digests.add(digest)
    return None


def _call_digest(call: calls.Call) -> int:
    assert call.route is not None
    digest = xxhash.xxh3_64(call.method)
    digest.update(call.path)
    # A long body has not arrived yet; only its length is known.
    digest.update(b"\n%d\n" % call.body_bytes)
    digest.update(call.body)
    return digest.intdigest()
