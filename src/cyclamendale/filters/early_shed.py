"""Filter that sheds root requests before any work is done for them."""

from __future__ import annotations

import random

from cyclamendale import refusals
from cyclamendale.entry import call as calls
from cyclamendale.filters import base
from cyclamendale.overload import early_shed

RETRY_AFTER_S = 1.0


class EarlyShedFilter(base.Filter):
    """Refuses root requests that an upstream of their route would shed."""

    def __init__(
        self, shed: early_shed.EarlyShedder, random_source: random.Random
    ) -> None:
        self._shed = shed
        self._random = random_source

    def apply(self, call: calls.Call) -> base.Verdict:
        """See base class."""
        assert call.route is not None
        if call.parent is not None:
            return None
        if not self._shed.should_shed(call.route.name, call.shed_key):
            return None
        return refusals.Refusal(
            refusals.RefusalReason.SHED,
            decider=call.configuration.decider(
                "route", call.route.name, "importance"
            ),
            retry_after_s=RETRY_AFTER_S * self._random.uniform(0.5, 1.5),
        )
