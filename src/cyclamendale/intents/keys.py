"""Digests of customer keys."""

from __future__ import annotations

import hashlib

from cyclamendale import ids


def digest_of(key: str) -> ids.KeyDigest:
    """Returns the SHA-256 digest that stands for a key in intent files."""
    return ids.KeyDigest(hashlib.sha256(key.encode()).hexdigest())
