"""Carries out an operator's change and reports how far it came."""

from __future__ import annotations

import secrets

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.cli import faults
from cyclamendale.cli import reports
from cyclamendale.cli import services
from cyclamendale.configuration import changes
from cyclamendale.configuration import publisher as publishers
from cyclamendale.intents import folder
from cyclamendale.intents import kinds
from cyclamendale.intents import model
from cyclamendale.intents import parse
from cyclamendale.store import load_limit

ASK_AGAIN_S = 0.25
CHANGE_ID_BYTES = 12


class ChangeOptions(msgspec.Struct, frozen=True):
    """Options that all changing commands share.

    Attributes:
        platform_url: Platform to publish to.
        node_url: Node to ask how far the change came, if any.
        wait_s: Longest wait for it to be in force everywhere.
        writer: Name of the operator.
        change_id: Given when an earlier change is repeated.
        base_version: Version that the operator read, if given.
    """

    platform_url: str
    node_url: str | None
    wait_s: int
    writer: str
    change_id: ids.ChangeId | None
    base_version: ids.ConfigVersion | None


class Changer:
    """Publishes one change."""

    def __init__(
        self, world: services.Services, options: ChangeOptions
    ) -> None:
        self._clock = world.clock
        self._publisher = world.publisher(options.platform_url)
        self._node = (
            None if options.node_url is None else world.node(options.node_url)
        )
        self._options = options
        self._change_id = options.change_id or ids.ChangeId(
            secrets.token_hex(CHANGE_ID_BYTES)
        )

    async def read(self) -> Result[publishers.FolderRead, faults.Fault]:
        """Returns the files in force."""
        read = await self._publisher.read()
        return read.map_error(lambda error: not_published(error))

    async def put(
        self, files: folder.Files, prune: bool
    ) -> Result[reports.Report, faults.Fault]:
        """Puts files that differ from those in force.

        Args:
            files: The files.
            prune: Whether other files in force are removed. Those that
                withdraw a key stay, since the folder may be older.
        """
        read = await self.read()
        if read.is_error():
            return Error(read.error)
        in_force = read.ok.files
        puts = {
            file: data
            for file, data in files.items()
            if in_force.get(file) != data
        }
        others = in_force.keys() - files.keys() if prune else set()
        kept = tuple(
            sorted(name for name in others if _withdraws(name, in_force[name]))
        )
        removes = frozenset(others.difference(kept))
        if not puts and not removes:
            unchanged = reports.ChangeReport(
                read.ok.version, changed=False, kept=kept
            )
            return Ok(await self._with_spread(unchanged))
        return await self.publish(read.ok.version, puts, removes, kept)

    async def remove(
        self, files: frozenset[ids.IntentFileName]
    ) -> Result[reports.Report, faults.Fault]:
        """Removes files."""
        read = await self.read()
        if read.is_error():
            return Error(read.error)
        return await self.publish(read.ok.version, {}, files)

    async def publish(
        self,
        version_read: ids.ConfigVersion,
        puts: folder.Files,
        removes: frozenset[ids.IntentFileName],
        kept: tuple[ids.IntentFileName, ...] = (),
    ) -> Result[reports.Report, faults.Fault]:
        """Publishes a change, unless another one is in its way.

        Args:
            version_read: Version read just before; it is the base unless
                the operator gave an earlier one.
            puts: Files to write.
            removes: Files to remove.
            kept: Files to report as not removed.
        """
        base_version = self._options.base_version
        if base_version is None:
            base_version = version_read
        change = changes.Change(
            base_version, puts, removes, self._options.writer, self._change_id
        )
        published = await self._publisher.publish(change)
        if published.is_error():
            return Error(not_published(published.error, change))
        report = reports.ChangeReport(
            published.ok.version,
            changed=True,
            puts=tuple(sorted(puts)),
            removes=tuple(sorted(removes)),
            kept=kept,
            change_id=self._change_id,
        )
        return Ok(await self._with_spread(report))

    async def _with_spread(
        self, report: reports.ChangeReport
    ) -> reports.ChangeReport:
        if self._node is None:
            return report
        until_s = self._clock.now_s() + self._options.wait_s
        while True:
            status = await self._node.status(report.version)
            seen = _with_status(report, status)
            left_s = until_s - self._clock.now_s()
            if seen.exit_code == 0 or left_s <= 0:
                return seen
            await _pause(self._clock, min(ASK_AGAIN_S, left_s))


def _pause(clock: clocks.Clock, delay_s: float) -> defer.Deferred[None]:
    return load_limit.sleep(clock, delay_s)


def _withdraws(name: ids.IntentFileName, data: bytes) -> bool:
    statement = parse.parse_file(name, data).statement
    if statement is None or statement.kind is not kinds.Kind.KEY:
        return False
    state = statement.fields.get("state")
    return state is not None and state.value is model.KeyState.WITHDRAWN


def _with_status(
    report: reports.ChangeReport,
    status: Result[timeline.FleetStatus, faults.NodeFailed],
) -> reports.ChangeReport:
    if status.is_error():
        return msgspec.structs.replace(report, spread_error=status.error)
    domains = tuple(status.ok.failure_domains)
    return msgspec.structs.replace(report, spread=domains)


def not_published(
    error: changes.PublishError, change: changes.Change | None = None
) -> faults.Fault:
    """Returns the fault of a command for a publisher's error."""
    if error.kind is changes.PublishErrorKind.INVALID:
        return faults.InvalidIntents(error.invalid.errors)
    return faults.NotPublished(
        error.kind,
        None if change is None else change.change_id,
        None if change is None else change.base_version,
        error.file,
        error.other,
    )
