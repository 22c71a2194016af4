"""Commands that change the configuration or list its changes."""

from __future__ import annotations

import abc
from collections.abc import Coroutine, Generator
import getpass
import os
import pathlib
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from expression import effect
from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import defer

from cyclamendale import ids
from cyclamendale.cli import arguments
from cyclamendale.cli import base
from cyclamendale.cli import change_publisher
from cyclamendale.cli import faults
from cyclamendale.cli import local_commands
from cyclamendale.cli import reports
from cyclamendale.cli import services
from cyclamendale.cli import withdrawal
from cyclamendale.configuration import publisher as publishers
from cyclamendale.intents import folder
from cyclamendale.intents import keys
from cyclamendale.intents import parse

DEFAULT_WAIT_S = 15
MAX_WAIT_S = 3600
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 1000
MAX_VERSION = 10**17

_EXIT_CODE_HELP = (
    "Exit codes: 0 accepted, 1 refused by the checks, 2 usage, 3 conflict, "
    "4 platform unavailable (nothing changed), 5 outcome unknown, 7 not "
    "known, 8 accepted but not known to be in force everywhere (only with "
    "--node), 9 platform not readable."
)


_KEY_SOURCE_ERROR = faults.WrongArgument(
    "--key",
    faults.ArgumentProblem.EXCLUSIVE,
    allowed="--key-input, --key and --digest",
)


class ChangeCommand(base.OperatorCommand):
    """Base class of commands that publish a change."""

    own_options: ClassVar[list[Option]] = [
        base.PLATFORM_OPTION,
        base.NODE_OPTION,
        option(
            "wait-s",
            description="With --node: longest wait, in seconds, for the "
            f"change to be in force everywhere (default {DEFAULT_WAIT_S}).",
            flag=False,
        ),
        option(
            "writer",
            description="Name for the history (variable "
            f"{arguments.WRITER_VARIABLE}; default is the login name).",
            flag=False,
        ),
        option(
            "base-version",
            description="Version that the change was made from; a file "
            "changed since is a conflict (default is the latest).",
            flag=False,
        ),
        option(
            "change-id",
            description="Id of an earlier change, to repeat it safely.",
            flag=False,
        ),
    ]

    @abc.abstractmethod
    def prepare(self) -> Result[Any, faults.Fault]:
        """Reads the input of the change before anything is sent."""

    @abc.abstractmethod
    def publish(
        self, publisher: change_publisher.ChangePublisher, prepared: Any
    ) -> Coroutine[Any, Any, base.CommandResult]:
        """Publishes the change."""

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        prepared = yield from self.prepare()
        options = yield from self._change_options()
        command_services = self.make_services()

        def publish_change() -> defer.Deferred[base.CommandResult]:
            publisher = change_publisher.ChangePublisher(
                command_services, options
            )
            return defer.Deferred.fromCoroutine(
                self.publish(publisher, prepared)
            )

        report = yield from command_services.run(publish_change)
        return report

    @effect.result[change_publisher.ChangeOptions, faults.Fault]()
    def _change_options(
        self,
    ) -> Generator[Any, Any, change_publisher.ChangeOptions]:
        platform_url = yield from self.platform_url()
        node_url = yield from self.node_url(default=None)
        wait_s = yield from self.convert_option(
            "wait-s",
            arguments.integer_between(0, MAX_WAIT_S),
            default=DEFAULT_WAIT_S,
        )
        writer = yield from self.convert_option(
            "writer", arguments.to_short_text, arguments.WRITER_VARIABLE
        )
        change_id = yield from self.convert_option(
            "change-id", arguments.to_short_text
        )
        base_version = yield from self.convert_option(
            "base-version", arguments.integer_between(0, MAX_VERSION)
        )
        return change_publisher.ChangeOptions(
            platform_url,
            node_url,
            wait_s,
            writer or _login_name(),
            change_id,
            base_version,
        )


class PutCommand(ChangeCommand):
    """`put`: puts intent files in force."""

    name = "put"
    description = "Puts intent files in force."
    help = (
        "Sends the files that differ from those in force; other operators' "
        "files stay. All files are checked together; if there is any fault, "
        "nothing is changed.\n" + _EXIT_CODE_HELP
    )
    arguments: ClassVar[list[Argument]] = [
        argument("paths", "Folders or .toml files.", multiple=True)
    ]
    own_options: ClassVar[list[Option]] = [
        *ChangeCommand.own_options,
        option(
            "prune",
            description="Also remove files in force that are not among these.",
        ),
    ]

    @effect.result[folder.Files, faults.Fault]()
    def prepare(self) -> Generator[Any, Any, folder.Files]:
        """See base class."""
        files = yield from local_commands.read_paths(self.argument("paths"))
        # Errors within a single file can be reported without the platform.
        errors = tuple(
            error
            for name, data in sorted(files.items())
            for error in parse.parse_file(name, data).errors
        )
        if errors:
            yield from Error(faults.InvalidIntents(errors))
        return files

    def publish(
        self,
        publisher: change_publisher.ChangePublisher,
        prepared: folder.Files,
    ) -> Coroutine[Any, Any, base.CommandResult]:
        """See base class."""
        return publisher.put(prepared, self.option("prune"))


class RemoveCommand(ChangeCommand):
    """`remove`: removes intent files that are in force."""

    name = "remove"
    description = "Removes intent files; entries they overrode apply again."
    help = (
        "Names the files as in force; a path before the name is ignored.\n"
        + _EXIT_CODE_HELP
    )
    arguments: ClassVar[list[Argument]] = [
        argument("files", "Names of files in force.", multiple=True)
    ]

    def prepare(self) -> Result[Any, faults.Fault]:
        """See base class."""
        return Ok(
            frozenset(
                ids.IntentFileName(pathlib.PurePath(path).name)
                for path in self.argument("files")
            )
        )

    def publish(
        self,
        publisher: change_publisher.ChangePublisher,
        prepared: frozenset[ids.IntentFileName],
    ) -> Coroutine[Any, Any, base.CommandResult]:
        """See base class."""
        return publisher.remove(prepared)


class WithdrawCommand(ChangeCommand):
    """`withdraw`: withdraws a customer's key."""

    name = "withdraw"
    description = "Withdraws a key with a file that overrides all others."
    help = (
        "Give the key, preferably in the input, or its digest. "
        "To grant the key again, remove the file.\n" + _EXIT_CODE_HELP
    )
    own_options: ClassVar[list[Option]] = [
        *ChangeCommand.own_options,
        local_commands.KEY_INPUT_OPTION,
        option(
            "key",
            description="The key itself; visible to other users of this host.",
            flag=False,
        ),
        option("digest", description="Digest of the key.", flag=False),
    ]

    @effect.result[ids.KeyDigest, faults.Fault]()
    def prepare(self) -> Generator[Any, Any, ids.KeyDigest]:
        """See base class."""
        key = yield from self.convert_option("key", local_commands.to_key)
        digest = yield from self.convert_option(
            "digest", local_commands.to_digest
        )
        from_input = self.option("key-input")
        if [key is not None, digest is not None, from_input].count(True) != 1:
            yield from Error(_KEY_SOURCE_ERROR)
        if from_input:
            key = yield from local_commands.read_key(self.io)
        return digest or keys.digest_of(key)

    def publish(
        self,
        publisher: change_publisher.ChangePublisher,
        prepared: ids.KeyDigest,
    ) -> Coroutine[Any, Any, base.CommandResult]:
        """See base class."""
        return withdrawal.withdraw(publisher, prepared)


class HistoryCommand(base.OperatorCommand):
    """`history`: lists the latest changes."""

    name = "history"
    description = "Lists the latest versions, their files and writers."
    help = (
        "Exit codes: 0 done, 2 usage, 4 platform unavailable, 9 platform "
        "not readable."
    )
    own_options: ClassVar[list[Option]] = [
        base.PLATFORM_OPTION,
        option(
            "limit",
            description=f"Versions to list (default {DEFAULT_HISTORY_LIMIT}).",
            flag=False,
        ),
    ]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        platform_url = yield from self.platform_url()
        limit = yield from self.convert_option(
            "limit",
            arguments.integer_between(1, MAX_HISTORY_LIMIT),
            default=DEFAULT_HISTORY_LIMIT,
        )
        command_services = self.make_services()
        versions = yield from command_services.run(
            lambda: _read_history(command_services, platform_url, limit)
        )
        return reports.HistoryReport(tuple(versions))


def _read_history(
    command_services: services.Services, platform_url: str, limit: int
) -> defer.Deferred[Any]:
    publisher: publishers.Publisher = command_services.publisher(platform_url)
    pending = publisher.history(limit)
    return pending.addCallback(
        lambda result: result.map_error(change_publisher.make_publish_fault)
    )


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return f"uid-{os.getuid()}"
