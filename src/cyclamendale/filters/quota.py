"""Filter that spends one quota token for a root request."""

from __future__ import annotations

from twisted.internet import defer

from cyclamendale.entry import call as calls
from cyclamendale.filters import base
from cyclamendale.quotas import gate


class QuotaFilter(base.Filter):
    """Admits root requests within the rate and burst of their customer."""

    def __init__(self, quota_gate: gate.QuotaGate) -> None:
        self._gate = quota_gate

    def apply(
        self, call: calls.Call
    ) -> base.Verdict | defer.Deferred[base.Verdict]:
        """See base class."""
        if call.parent is not None or not call.customer:
            return None
        return self._gate.admit(call.customer, call.deadline_s)
