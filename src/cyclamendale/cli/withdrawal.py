"""Withdrawal of a key by a file that overrides all others."""

from __future__ import annotations

from collections.abc import Mapping

from expression import Error
from expression import Ok
from expression import Result

from cyclamendale import ids
from cyclamendale.cli import changing
from cyclamendale.cli import faults
from cyclamendale.cli import reports
from cyclamendale.intents import kinds
from cyclamendale.intents import merge
from cyclamendale.intents import model
from cyclamendale.intents import parse

NAME_DIGEST_CHARS = 16
_FIRST = "99"
_LATER = "z"


async def withdraw(
    changer: changing.Changer, digest: ids.KeyDigest
) -> Result[reports.Report, faults.Fault]:
    """Withdraws a key and makes sure that it is withdrawn.

    Args:
        changer: Publishes the change.
        digest: Digest of the key.
    """
    read = await changer.read()
    if read.is_error():
        return Error(read.error)
    stating = tuple(_files_stating(read.ok.files, digest))
    if not stating:
        return Error(faults.NotFound(faults.Sought.KEY, digest))
    if _granting_file(read.ok.files, digest).is_ok():
        return Ok(reports.ChangeReport(read.ok.version, changed=False))
    file = file_name_after(max(stating), digest)
    puts = {file: withdrawal_text(digest).encode()}
    published = await changer.publish(read.ok.version, puts, frozenset())
    # The same withdrawal may have come first or be the one whose answer was
    # lost; a later file that grants the key may have come at the same time.
    read = await changer.read()
    if read.is_error():
        return published
    still = _granting_file(read.ok.files, digest)
    if still.is_error():
        return published if published.is_error() else Error(still.error)
    if published.is_error():
        return Ok(reports.ChangeReport(read.ok.version, changed=False))
    return published


def withdrawal_text(digest: ids.KeyDigest) -> str:
    """Returns the content of a file that withdraws a key."""
    state = model.KeyState.WITHDRAWN.value
    return (
        f'kind = "{kinds.Kind.KEY.value}"\n'
        f'digest = "{digest}"\n'
        f'state = "{state}"\n'
    )


def file_name_after(
    last: ids.IntentFileName, digest: ids.KeyDigest
) -> ids.IntentFileName:
    """Returns a file name that comes after `last`."""
    prefix = _FIRST
    while True:
        name = f"{prefix}-withdraw-{digest[:NAME_DIGEST_CHARS]}.toml"
        if name >= last:
            return ids.IntentFileName(name)
        prefix = _LATER if prefix == _FIRST else prefix + _LATER


def _files_stating(
    files: Mapping[ids.IntentFileName, bytes], digest: ids.KeyDigest
) -> list[ids.IntentFileName]:
    return [
        name
        for name, data in files.items()
        if _states(parse.parse_file(name, data), digest)
    ]


def _states(parsed: parse.ParsedFile, digest: ids.KeyDigest) -> bool:
    statement = parsed.statement
    return (
        statement is not None
        and statement.kind is kinds.Kind.KEY
        and statement.name == digest
    )


def _granting_file(
    files: Mapping[ids.IntentFileName, bytes], digest: ids.KeyDigest
) -> Result[None, faults.StillGranted]:
    merged = merge.validate(files)
    if merged.is_error():
        # Not to be seen as withdrawn because it cannot be read.
        return Error(faults.StillGranted(digest, None))
    key = merged.ok.keys.get(digest)
    if key is None or key.state is model.KeyState.WITHDRAWN:
        return Ok(None)
    decider = merged.ok.decider(kinds.Kind.KEY.value, digest, "state")
    return Error(faults.StillGranted(digest, decider.file if decider else None))
