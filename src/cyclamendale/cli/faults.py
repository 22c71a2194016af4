"""Typed failures of commands, with their exit codes and messages."""

from __future__ import annotations

import abc
from collections.abc import Iterator
import enum

import msgspec

from cyclamendale import ids
from cyclamendale.cli import exit_codes
from cyclamendale.configuration import changes
from cyclamendale.intents import errors
from cyclamendale.intents import folder


class Fault(msgspec.Struct, frozen=True, tag_field="fault"):
    """Why a command failed; one subclass for each kind of failure."""

    @property
    @abc.abstractmethod
    def exit_code(self) -> exit_codes.ExitCode:
        """Returns the exit code of the command."""

    @abc.abstractmethod
    def lines(self) -> Iterator[str]:
        """Yields the lines of the message for the operator."""


class ArgumentProblem(enum.Enum):
    """What is wrong with an argument."""

    MISSING = "missing"
    MALFORMED = "malformed"
    EXCLUSIVE = "exclusive"


_ARGUMENT_MESSAGES = {
    ArgumentProblem.MISSING: "{name} is required: {allowed}",
    ArgumentProblem.MALFORMED: "{name} is {value!r}, expected {allowed}",
    ArgumentProblem.EXCLUSIVE: "give exactly one of {allowed}",
}


class WrongArgument(Fault, frozen=True, tag="wrong-argument"):
    """An argument is missing or malformed."""

    name: str
    problem: ArgumentProblem
    value: str = ""
    allowed: str = ""

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.USAGE

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield _ARGUMENT_MESSAGES[self.problem].format(
            name=self.name, value=self.value, allowed=self.allowed
        )


class UnreadablePath(Fault, frozen=True, tag="unreadable-path"):
    """A file or folder could not be read."""

    error: folder.FolderError

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.USAGE

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield str(self.error)


class InvalidIntents(Fault, frozen=True, tag="invalid-intents"):
    """The checks found errors in intent files."""

    errors: tuple[errors.IntentError, ...]

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.REFUSED

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield from map(str, self.errors)
        count = len(self.errors)
        yield f"{count} fault{'s' if count != 1 else ''}, nothing was changed"


_PUBLISH_EXIT_CODES = {
    changes.PublishErrorKind.EMPTY: exit_codes.ExitCode.USAGE,
    changes.PublishErrorKind.AMBIGUOUS: exit_codes.ExitCode.USAGE,
    changes.PublishErrorKind.CONFLICT: exit_codes.ExitCode.CONFLICT,
    changes.PublishErrorKind.INVALID: exit_codes.ExitCode.REFUSED,
    changes.PublishErrorKind.FILE_UNKNOWN: exit_codes.ExitCode.NOT_FOUND,
    changes.PublishErrorKind.BASE_UNKNOWN: exit_codes.ExitCode.USAGE,
    changes.PublishErrorKind.BASE_TOO_OLD: exit_codes.ExitCode.CONFLICT,
    changes.PublishErrorKind.CONTENTION: exit_codes.ExitCode.CONFLICT,
    changes.PublishErrorKind.UNAVAILABLE: (
        exit_codes.ExitCode.PLATFORM_UNAVAILABLE
    ),
    changes.PublishErrorKind.OUTCOME_UNKNOWN: (
        exit_codes.ExitCode.OUTCOME_UNKNOWN
    ),
    changes.PublishErrorKind.FORMAT_UNKNOWN: (
        exit_codes.ExitCode.PLATFORM_UNREADABLE
    ),
    changes.PublishErrorKind.DAMAGED: exit_codes.ExitCode.PLATFORM_UNREADABLE,
}

_PUBLISH_MESSAGES = {
    changes.PublishErrorKind.EMPTY: "the change names no file",
    changes.PublishErrorKind.AMBIGUOUS: "{file} is both put and removed",
    changes.PublishErrorKind.CONFLICT: (
        "{file} was changed by {writer} in version {version} (change "
        "{change}) since the base version; nothing was changed"
    ),
    changes.PublishErrorKind.INVALID: "the checks refused the change",
    changes.PublishErrorKind.FILE_UNKNOWN: "{file} is not in force",
    changes.PublishErrorKind.BASE_UNKNOWN: (
        "the base version is newer than the version in force"
    ),
    changes.PublishErrorKind.BASE_TOO_OLD: (
        "the base version is too old to tell whether {file} was removed "
        "since; nothing was changed"
    ),
    changes.PublishErrorKind.CONTENTION: (
        "other changes kept coming first; nothing was changed, try again"
    ),
    changes.PublishErrorKind.UNAVAILABLE: (
        "the platform did not answer; nothing was changed"
    ),
    changes.PublishErrorKind.OUTCOME_UNKNOWN: (
        "the change may have been accepted; repeat the command with "
        "--change-id {own_change} --base-version {base}"
    ),
    changes.PublishErrorKind.FORMAT_UNKNOWN: (
        "the platform holds a configuration of an unknown format"
    ),
    changes.PublishErrorKind.DAMAGED: (
        "the platform holds a damaged configuration"
    ),
}


class NotPublished(Fault, frozen=True, tag="not-published"):
    """The platform or its configuration does not allow the operation.

    Attributes:
        kind: Kind of the error.
        change_id: Id of the operator's change, if there is one.
        base_version: Version that the change was based on.
        file: The file concerned, if there is one.
        other: For a conflict, the change that was published first.
    """

    kind: changes.PublishErrorKind
    change_id: ids.ChangeId | None = None
    base_version: ids.ConfigVersion | None = None
    file: ids.IntentFileName | None = None
    other: changes.ConflictingChange | None = None

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return _PUBLISH_EXIT_CODES[self.kind]

    def lines(self) -> Iterator[str]:
        """See base class."""
        other = self.other
        yield _PUBLISH_MESSAGES[self.kind].format(
            file=self.file,
            own_change=self.change_id,
            base=self.base_version,
            writer=other and other.writer,
            version=other and other.version,
            change=other and other.change_id,
        )


class NodeProblem(enum.Enum):
    """Why a query to a node failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REJECTED = "rejected"
    UNREADABLE = "unreadable"


_NODE_MESSAGES = {
    NodeProblem.UNREACHABLE: "no connection to the node at {url}",
    NodeProblem.TIMEOUT: "the node at {url} did not answer in time",
    NodeProblem.REJECTED: "the node at {url} answered with status {status}",
    NodeProblem.UNREADABLE: "cannot decode the answer of the node at {url}",
}


class NodeFailed(Fault, frozen=True, tag="node-failed"):
    """A node did not answer or its answer could not be decoded."""

    problem: NodeProblem
    url: str
    status: int | None = None

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.NODE_UNAVAILABLE

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield _NODE_MESSAGES[self.problem].format(
            url=self.url, status=self.status
        )


class Sought(enum.Enum):
    """Kind of object that a command looked for."""

    ENTRY = "entry"
    KEY = "key"
    REQUEST = "request"


class NotFound(Fault, frozen=True, tag="not-found"):
    """The object that the operator asked for is not known.

    Attributes:
        sought: Kind of the object.
        name: Name of the object.
        unreachable: Nodes that may know it but were not reachable.
    """

    sought: Sought
    name: str
    unreachable: tuple[ids.NodeId, ...] = ()

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.NOT_FOUND

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield f"{self.sought.value} {self.name} is not known"
        for node in self.unreachable:
            yield f"not reached: {node}"


class StillGranted(Fault, frozen=True, tag="still-granted"):
    """A withdrawal was accepted, but the key may still be granted.

    Attributes:
        digest: Digest of the key.
        file: Later file that grants it; None if the files are not valid.
    """

    digest: ids.KeyDigest
    file: ids.IntentFileName | None

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        return exit_codes.ExitCode.CONFLICT

    def lines(self) -> Iterator[str]:
        """See base class."""
        if self.file is None:
            yield f"key {self.digest}: the files are not valid"
        else:
            yield f"key {self.digest} is still granted, by {self.file}"
