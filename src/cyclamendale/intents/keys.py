"""Digests of keys."""

from __future__ import annotations

import hashlib

from cyclamendale import ids


def digest_of(key: str) -> ids.KeyDigest:
    """Returns the digest by which a key is known in the files."""
    return ids.KeyDigest(hashlib.sha256(key.encode()).hexdigest())
