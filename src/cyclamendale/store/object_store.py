"""Interface of the platform's object store."""

from __future__ import annotations

import abc
import enum

from expression import Result
import msgspec
from twisted.internet import defer


class ObjectErrorKind(enum.Enum):
    """Why an object operation failed."""

    UNAVAILABLE = "unavailable"
    NOT_FOUND = "not-found"
    CORRUPT = "corrupt"


class ObjectError(msgspec.Struct, frozen=True):
    """A failed object store operation."""

    kind: ObjectErrorKind
    digest: str


class ObjectStore(abc.ABC):
    """Store of immutable objects named by their SHA-256 digest."""

    @abc.abstractmethod
    def put(self, data: bytes) -> defer.Deferred[Result[str, ObjectError]]:
        """Stores `data` and returns its digest; idempotent."""

    @abc.abstractmethod
    def get(self, digest: str) -> defer.Deferred[Result[bytes, ObjectError]]:
        """Reads an object and verifies its digest."""
