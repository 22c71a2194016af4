"""Order in which requests are shed, fixed at the root of a call tree."""

from __future__ import annotations

from typing import NewType

import xxhash

from cyclamendale import ids
from cyclamendale.intents import model

ShedKey = NewType("ShedKey", int)
"""Orders requests; the higher is shed first.

Bits, high to low: importance (8), whether the customer is over its fair
share (8), cohort hash (16). The root's node sets it once, so the same
requests survive at every depth of the call tree.
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
        request: Identifies the root; spreads equals into cohorts.
    """
    cohort = xxhash.xxh32_intdigest(request.encode()) >> (32 - COHORT_BITS)
    importance_part = importance << (OVER_SHARE_BITS + COHORT_BITS)
    return ShedKey(importance_part | (over_share << COHORT_BITS) | cohort)
