"""Commands that need neither a node nor the platform."""

from __future__ import annotations

import collections
from collections.abc import Generator
import pathlib
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.io import IO
from expression import effect
from expression import Error
from expression import Ok
from expression import Result

from cyclamendale import ids
from cyclamendale.cli import arguments
from cyclamendale.cli import base
from cyclamendale.cli import faults
from cyclamendale.cli import reports
from cyclamendale.intents import explain
from cyclamendale.intents import folder
from cyclamendale.intents import keys
from cyclamendale.intents import kinds
from cyclamendale.intents import merge
from cyclamendale.intents import model

MAX_KEY_CHARS = 4096
KEY_INPUT_OPTION = option(
    "key-input",
    description="Read the key from the input, which keeps it out of the "
    "process list.",
)


class CheckCommand(base.OperatorCommand):
    """`check`: checks a folder of intent files as the fleet would."""

    name = "check"
    description = "Checks a folder of intent files; changes nothing."
    help = (
        "Merges the files in the order of their names and reports every "
        "fault with its file and line.\n"
        "Exit codes: 0 valid, 1 faults found, 2 folder not readable."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("folder", "Folder of .toml files.")
    ]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        files = yield from read_paths([self.argument("folder")])
        configuration = yield from check_files(files)
        entries = explain.explain_entries(configuration)
        counts = collections.Counter(entry.kind for entry in entries)
        return reports.CheckReport(len(files), dict(counts))


class DigestCommand(base.OperatorCommand):
    """`digest`: prints the digest that identifies a key in intent files."""

    name = "digest"
    description = "Prints the digest of a key, for a file of kind key."
    help = (
        "The key is the first line of the input.\nExit codes: 0 done, 2 no key."
    )

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        key = yield from read_key(self.io)
        return reports.DigestReport(keys.digest_of(key))


def read_paths(
    paths: list[str],
) -> Result[folder.Files, faults.Fault]:
    """Reads files and folders that the operator named."""
    return folder.read(map(pathlib.Path, paths)).map_error(
        faults.UnreadablePath
    )


def check_files(
    files: folder.Files,
) -> Result[model.Configuration, faults.Fault]:
    """Merges and checks a whole folder."""
    return merge.validate(files).map_error(
        lambda invalid: faults.InvalidIntents(invalid.errors)
    )


def read_key(io: IO) -> Result[Any, faults.Fault]:
    """Reads a key from the first line of the input."""
    # Cleo's own prompt returns nothing unless the input is a terminal.
    return to_key("the input", io.input.stream.readline(MAX_KEY_CHARS + 1))


def to_key(name: str, text: str) -> Result[Any, faults.Fault]:
    """Checks the length of a key."""
    key = text.rstrip("\r\n")
    if not key or len(key) > MAX_KEY_CHARS:
        return arguments.missing_argument(
            name, f"a key of up to {MAX_KEY_CHARS} characters"
        )
    return Ok(key)


def to_digest(name: str, text: str) -> Result[Any, faults.Fault]:
    """Checks a digest given on the command line."""
    if not kinds.DIGEST_PATTERN.fullmatch(text):
        problem = faults.ArgumentProblem.MALFORMED
        # The value may be the key itself, so the error does not repeat it.
        return Error(
            faults.WrongArgument(name, problem, "...", "64 digits 0-9a-f")
        )
    return Ok(ids.KeyDigest(text))
