"""Reads the settings file that the platform writes on each host."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
import enum
import math
import os
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import addresses
from cyclamendale import buffer_budget
from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.fleet import settings

PATH_VARIABLE = "CYCLAMENDALE_BOOT"
"""Environment variable that holds the path of the settings file."""

_BOUND_FIELDS = {
    "drain_s": "drain_s",
    "grace_s": "grace_s",
    "config_apply_s": "apply_s",
    "retry_budget_ratio": "retry_ratio",
    "retry_window_s": "retry_window_s",
    "retry_slack": "retry_slack",
    "quota_window_s": "quota_window_s",
    "quota_overrun": "quota_overrun",
    "quota_slack": "quota_slack",
}


class Problem(enum.Enum):
    """Why the settings file cannot be used."""

    NO_PATH = "no-path"
    UNREADABLE = "unreadable"
    MALFORMED = "malformed"


class SettingsError(msgspec.Struct, frozen=True):
    """The settings file cannot be used."""

    problem: Problem
    detail: str = ""

    def __str__(self) -> str:
        return f"settings {self.problem.value}: {self.detail}"


class _ListenAddresses(msgspec.Struct):
    outbound: str
    ready: str
    control: str


class _StoreLocation(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    memory_mb: float = buffer_budget.DEFAULT_MEMORY_BYTES / 1e6


class _SettingsFile(msgspec.Struct):
    """Contents of the settings file; the platform defines the names."""

    node_name: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _ListenAddresses
    internal_ports: tuple[int, int]
    app_addr: str
    service: str
    platform: _StoreLocation
    heartbeat_s: float = 1.5
    bounds: list[str] = []
    first_start: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read(
    environment: Mapping[str, str] = os.environ,
) -> Result[bytes, SettingsError]:
    """Reads the settings file named by the environment.

    Returns:
        The contents, or the reason why there are none.
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        return Error(SettingsError(Problem.NO_PATH, PATH_VARIABLE))
    try:
        with open(path, "rb") as file:
            return Ok(file.read())
    except OSError as error:
        return Error(SettingsError(Problem.UNREADABLE, str(error)))


def decode(data: bytes) -> Result[settings.HostSettings, SettingsError]:
    """Decodes the contents of a settings file."""
    try:
        file = msgspec.json.decode(data, type=_SettingsFile, strict=False)
        return Ok(_translate(file))
    except (*decoding.ERRORS, ValueError, OverflowError) as error:
        return Error(SettingsError(Problem.MALFORMED, str(error)))


def _translate(file: _SettingsFile) -> settings.HostSettings:
    _check_addresses(file)
    first_port, last_port = file.internal_ports
    return settings.HostSettings(
        host=file.node_name,
        ip=file.ip,
        failure_domain=ids.FailureDomainName(file.zone),
        failure_domains={
            ids.FailureDomainName(name): region
            for name, region in file.zones.items()
        },
        caller_address=file.listen.outbound,
        readiness_address=file.listen.ready,
        announcement_address=file.listen.control,
        peer_port=first_port,
        metrics_port=min(first_port + 1, last_port),
        upstream_address=file.app_addr,
        service=ids.ServiceName(file.service),
        heartbeat_interval_s=file.heartbeat_s,
        store_address=file.platform.address,
        bounds=settings.Bounds(**dict(_parse_bounds(file.bounds))),
        first_start=file.first_start,
        memory_bytes=int(file.limits.memory_mb * 1e6),
    )


def _check_addresses(file: _SettingsFile) -> None:
    """Raises ValueError if the node can't listen or connect somewhere."""
    for name, address in (
        ("listen.outbound", file.listen.outbound),
        ("listen.ready", file.listen.ready),
        ("listen.control", file.listen.control),
        ("app_addr", file.app_addr),
        ("platform.address", file.platform.address),
        *(("internal_ports", f"{file.ip}:{n}") for n in file.internal_ports),
    ):
        if not addresses.is_valid(address):
            raise ValueError(f"{name} is no address: {address!r}")


def _parse_bounds(texts: Iterable[str]) -> Iterator[tuple[str, Any]]:
    for text in texts:
        name, _, value = text.partition("=")
        field = _BOUND_FIELDS.get(name)
        if field is not None:
            number = float(value)
            if not math.isfinite(number):
                raise ValueError(f"{name} is not finite: {value!r}")
            yield field, number
