"""Errors of decoding what another program wrote."""

from __future__ import annotations

import msgspec

ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors of `msgspec` for bytes that are not a valid message. The decoder
raises a `RecursionError` for deep nesting, also in fields it skips."""
