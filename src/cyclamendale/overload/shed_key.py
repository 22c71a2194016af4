"""Shed keys: the order of load shedding, fixed at the root of a call tree."""

from __future__ import annotations

from typing import NewType

import xxhash

from cyclamendale import ids
from cyclamendale.intents import model

ShedKey = NewType("ShedKey", int)
"""Shedding order of a request; higher keys are shed first.

Bits, high to low: importance (8), whether the customer is over its fair
share (8), cohort hash (16). The entry node sets it once per root, so the
same requests are kept at every depth of the call tree.
"""

COHORT_BITS = 16
OVER_SHARE_BITS = 8
MAX_SHED_KEY = ShedKey((1 << 32) - 1)


def make_shed_key(
    importance: model.Importance, over_share: int, request: ids.RequestId
) -> ShedKey:
    """Returns the shed key of a root request.

    Args:
        importance: Importance of the root's route.
        over_share: How far its customer is over its fair share, 0 to 255.
        request: Id of the root; its hash spreads equal requests over
            cohorts.
    """
    cohort = xxhash.xxh32_intdigest(request.encode()) >> (32 - COHORT_BITS)
    importance_part = importance << (OVER_SHARE_BITS + COHORT_BITS)
    return ShedKey(importance_part | (over_share << COHORT_BITS) | cohort)
