"""Base class of the command-line tool's commands."""

from __future__ import annotations

import abc
from collections.abc import Callable, Mapping
from typing import Any, ClassVar, TypeAlias

from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.io import IO
from cleo.io.outputs.output import Type
from cleo.io.outputs.output import Verbosity
from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale.cli import arguments
from cyclamendale.cli import exit_codes
from cyclamendale.cli import faults
from cyclamendale.cli import reports
from cyclamendale.cli import services

CommandResult: TypeAlias = Result[reports.Report, faults.Fault]
MakeServices: TypeAlias = Callable[[], services.Services]

JSON_OPTION = option("json", description="Print one JSON document.")
NODE_OPTION = option(
    "node",
    description="URL of a node's control listener "
    f"(variable {arguments.NODE_VARIABLE}).",
    flag=False,
)
PLATFORM_OPTION = option(
    "platform",
    description="URL of the platform "
    f"(variable {arguments.PLATFORM_VARIABLE}).",
    flag=False,
)


class OperatorCommand(command.Command, abc.ABC):
    """A command that results in a report or a typed fault."""

    own_options: ClassVar[list[Option]] = []

    def __init__(
        self, make_services: MakeServices, environment: Mapping[str, str]
    ) -> None:
        self.make_services = make_services
        self._environment = environment
        super().__init__()

    def configure(self) -> None:
        """Declares the command's options."""
        super().configure()
        for declared_option in (*self.own_options, JSON_OPTION):
            self._definition.add_option(declared_option)

    @abc.abstractmethod
    def perform(self) -> CommandResult:
        """Executes the command and returns its result."""

    def execute(self, io: IO) -> int:
        """Runs the command; called by Cleo."""
        self._io = io
        try:
            return self.handle()
        except KeyboardInterrupt:
            return exit_codes.ExitCode.INTERRUPTED

    def handle(self) -> int:
        """Executes the command, prints its result, returns the exit code."""
        result = self.perform()
        if result.is_ok():
            self._print_result(result.ok, is_fault=False)
            return result.ok.exit_code
        self._print_result(result.error, is_fault=True)
        return result.error.exit_code

    def _print_result(
        self, result: reports.Report | faults.Fault, is_fault: bool
    ) -> None:
        if self.option("json"):
            document = msgspec.json.encode(result).decode()
            self._io.write_line(document, type=Type.RAW)
            return
        for line in result.lines():
            if is_fault:
                self._io.write_error_line(
                    reports.escape_unprintable(line), Verbosity.QUIET, Type.RAW
                )
            else:
                self._io.write_line(
                    reports.escape_unprintable(line), type=Type.RAW
                )

    def convert_option(
        self,
        name: str,
        convert: Callable[[str, str], arguments.ConversionResult],
        variable: str | None = None,
        default: Any = None,
    ) -> arguments.ConversionResult:
        """Returns the converted value of an option.

        Args:
            name: The option.
            convert: Called with the name to use in errors and the text.
            variable: Environment variable to read if the option is absent.
            default: Result if both are absent.
        """
        text = self.option(name)
        source = f"--{name}"
        if text is None and variable is not None:
            text, source = self._environment.get(variable) or None, variable
        if text is None:
            return arguments.Ok(default)
        return convert(source, text)

    def node_url(self, default: str | None) -> arguments.ConversionResult:
        """Returns the URL of the node to query."""
        return self.convert_option(
            "node", arguments.to_url, arguments.NODE_VARIABLE, default
        )

    def platform_url(self) -> arguments.ConversionResult:
        """Returns the URL of the platform, which is required."""
        url = self.convert_option(
            "platform", arguments.to_url, arguments.PLATFORM_VARIABLE
        )
        if url.is_ok() and url.ok is None:
            return arguments.missing_argument(
                "--platform", f"a URL, also in {arguments.PLATFORM_VARIABLE}"
            )
        return url


def query_node(
    operator_command: OperatorCommand,
    query: Callable[[services.NodeClient], defer.Deferred[Any]],
    command_services: services.Services | None = None,
) -> Result[Any, faults.Fault]:
    """Queries the node that the command line or the environment names.

    Args:
        operator_command: The command.
        query: Sends the query with a client of the node.
        command_services: Services to use; created if None.
    """
    url = operator_command.node_url(arguments.DEFAULT_NODE_URL)
    if url.is_error():
        return url
    command_services = command_services or operator_command.make_services()
    client = command_services.node(url.ok)
    return command_services.run(lambda: query(client))
