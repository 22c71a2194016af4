"""Load information that every answer carries back along the call path."""

from __future__ import annotations

import msgspec

from cyclamendale.overload import shed_key


class Feedback(msgspec.Struct, frozen=True):
    """Load state of an upstream's gate, as attached to an answer.

    Attributes:
        threshold: Requests with a higher shed key are refused, at this
            gate or on an onward call of this route.
        load: Requests in service and queued, relative to the current
            limit.
    """

    threshold: shed_key.ShedKey = shed_key.MAX_SHED_KEY
    load: float = 0.0
