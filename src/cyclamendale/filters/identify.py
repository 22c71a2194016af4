"""Filter that identifies the customer by key or context token."""

from __future__ import annotations

import hashlib

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.configuration import source
from cyclamendale.entry import call as calls
from cyclamendale.filters import base
from cyclamendale.intents import model
from cyclamendale.upstream import contexts

KEY_HEADER = b"X-Api-Key"
AUTHORIZATION_HEADER = b"Authorization"
CONTEXT_HEADER = b"X-Cyclamendale-Context"

_BEARER = b"bearer"


class IdentifyFilter(base.Filter):
    """Sets the customer of a request and removes the key and the token.

    A valid context token identifies the customer whose request runs on this
    node's upstream, because only that upstream knows the token. Otherwise the
    key identifies the customer. The refusal of a key takes effect in
    `MatchRouteFilter`, since the route may be open to all.
    """

    def __init__(
        self,
        context_table: contexts.ContextTable,
        configuration: source.ConfigurationSource,
    ) -> None:
        self._contexts = context_table
        self._configuration = configuration

    def apply(self, call: calls.Call) -> base.Verdict:
        """See base class."""
        key = _take_key(call)
        token = call.take_header(CONTEXT_HEADER)
        if token is not None:
            call.parent = self._contexts.find(token.decode("latin-1"))
            if call.parent is None:
                return refusals.Refusal(refusals.RefusalReason.CONTEXT_INVALID)
            call.customer = call.parent.customer
            return None
        if key is not None:
            call.key_refusal = self._check_key(call, key)
        else:
            call.key_refusal = refusals.Refusal(
                refusals.RefusalReason.KEY_MISSING
            )
        return None

    def _check_key(
        self, call: calls.Call, key: bytes
    ) -> refusals.Refusal | None:
        """Sets the customer of a valid key, or returns a refusal."""
        digest = ids.KeyDigest(hashlib.sha256(key).hexdigest())
        entry = call.configuration.keys.get(digest)
        if entry is None:
            return refusals.Refusal(refusals.RefusalReason.KEY_UNKNOWN)
        if entry.state is model.KeyState.WITHDRAWN:
            return refusals.Refusal(
                refusals.RefusalReason.KEY_WITHDRAWN,
                decider=call.configuration.decider("key", digest, "state"),
            )
        if entry.when_cut_off is model.WhenCutOff.REFUSE:
            age_s = self._configuration.confirmed_age_s()
            if age_s > entry.refuse_after_s:
                return refusals.Refusal(
                    refusals.RefusalReason.KEY_STALE,
                    decider=call.configuration.decider(
                        "key", digest, "when_cut_off"
                    ),
                )
        call.customer = entry.customer
        return None


def _take_key(call: calls.Call) -> bytes | None:
    """Removes every key from the headers.

    Returns:
        The first `X-Api-Key`, or else the first bearer credentials.
    """
    key = call.take_header(KEY_HEADER)
    if call.get_header(AUTHORIZATION_HEADER) is None:
        return key
    kept = []
    for pair in call.headers:
        bearer = (
            _parse_bearer_key(pair[1])
            if pair[0] == AUTHORIZATION_HEADER
            else None
        )
        if bearer is None:
            kept.append(pair)
        elif key is None:
            key = bearer
    call.headers = kept
    return key


def _parse_bearer_key(authorization: bytes) -> bytes | None:
    """Returns the key in bearer credentials, or None for other schemes."""
    scheme, *rest = authorization.split(None, 1)[:2] or [b""]
    if scheme.lower() != _BEARER:
        return None
    return rest[0].strip() if rest else b""
