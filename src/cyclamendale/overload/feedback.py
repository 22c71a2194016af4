"""Load information that every answer carries back along the chain."""

from __future__ import annotations

import msgspec

from cyclamendale.overload import shed_key


class Feedback(msgspec.Struct, frozen=True):
    """What an upstream's gate says with an answer.

    Attributes:
        threshold: Requests with a higher shed key are being refused,
            here or on an onward call of this route.
        load: Requests in service and queued, over the current limit.
    """

    threshold: shed_key.ShedKey = shed_key.MAX_SHED_KEY
    load: float = 0.0
