"""Entry point of the command-line tool `cyclamendale`."""

from __future__ import annotations

from collections.abc import Mapping
import importlib.metadata
import os
import sys

from cleo import application
from cleo import exceptions
from cleo.io.inputs.input import Input
from cleo.io.outputs.output import Output

from cyclamendale.cli import base
from cyclamendale.cli import change_commands
from cyclamendale.cli import exit_codes
from cyclamendale.cli import local_commands
from cyclamendale.cli import log_commands
from cyclamendale.cli import node_commands
from cyclamendale.cli import reactor_services

PROGRAM = "cyclamendale"

COMMANDS: tuple[type[base.OperatorCommand], ...] = (
    local_commands.CheckCommand,
    local_commands.DigestCommand,
    change_commands.PutCommand,
    change_commands.RemoveCommand,
    change_commands.WithdrawCommand,
    change_commands.HistoryCommand,
    node_commands.ExplainCommand,
    node_commands.StatusCommand,
    node_commands.TimelineCommand,
    log_commands.TraceCommand,
    log_commands.ProcessesCommand,
    log_commands.ReportCommand,
)


class OperatorApplication(application.Application):
    """Cleo application with separate exit codes for usage and defects."""

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Runs one command; returns its exit code."""
        io = self.create_io(input, output, error_output)
        try:
            return super().run(io.input, io.output, io.error_output)
        except exceptions.CleoError as error:
            self.render_error(error, io)
            return exit_codes.ExitCode.USAGE
        except Exception as error:
            self.render_error(error, io)
            return exit_codes.ExitCode.DEFECT


def make_application(
    make_services: base.MakeServices, environment: Mapping[str, str]
) -> application.Application:
    """Returns the application with all commands.

    Args:
        make_services: Called by commands that need a node, the platform
            or a clock.
        environment: Environment variables.
    """
    operator_application = OperatorApplication(PROGRAM, _version())
    operator_application.auto_exits(False)
    operator_application.catch_exceptions(False)
    for command in COMMANDS:
        operator_application.add(command(make_services, environment))
    return operator_application


def _version() -> str:
    try:
        return importlib.metadata.version(PROGRAM)
    except importlib.metadata.PackageNotFoundError:
        return "unknown"


def main() -> None:
    """Runs the command line and exits with the command's exit code."""
    operator_application = make_application(
        reactor_services.make_services, os.environ
    )
    sys.exit(operator_application.run())


if __name__ == "__main__":
    main()
