"""Deterministic content of large bodies, for sender and receiver alike."""

from __future__ import annotations

from collections.abc import Iterator
import hashlib

BLOCK_BYTES = 64 * 1024


def generate_blocks(body_bytes: int) -> Iterator[bytes]:
    """Yields a body of the given length in blocks that all differ."""
    for offset in range(0, body_bytes, BLOCK_BYTES):
        digest = hashlib.sha256(offset.to_bytes(8, "big")).digest()
        block = digest * (BLOCK_BYTES // len(digest))
        yield block[: body_bytes - offset]


def compute_digest(body_bytes: int) -> str:
    """Returns the SHA-256 of a body of the given length."""
    digest = hashlib.sha256()
    for block in generate_blocks(body_bytes):
        digest.update(block)
    return digest.hexdigest()
