"""Decodes the operator's manifest into the node's configuration model."""

from __future__ import annotations

from collections.abc import Iterator
import enum
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.intents import keys
from cyclamendale.intents import model

TABLE = "op"
KEY = "config"

MAX_VERSION = 2**63 - 1
"""Highest version that the messages between nodes can tell."""


class Problem(enum.Enum):
    """Why a manifest is rejected."""

    UNREADABLE = "unreadable"
    VERSION = "version"
    PREFIX = "prefix"
    SERVICE = "service"
    SPLIT = "split"
    NEGATIVE = "negative"
    SHARED_KEY = "shared-key"


class ManifestError(msgspec.Struct, frozen=True):
    """A manifest is rejected; the previous one stays in force."""

    problem: Problem
    detail: str = ""

    def __str__(self) -> str:
        return f"manifest {self.problem.value}: {self.detail}"


class _WeightedPart(msgspec.Struct):
    service: str
    weight: float


class _Path(msgspec.Struct):
    name: str
    prefix: str
    kind: str
    timeout_s: float
    aim_s: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    weighted_split: list[_WeightedPart] = []
    auth_exempt: bool = False


class _VirtualHost(msgspec.Struct):
    host: str
    paths: list[_Path]


class _Service(msgspec.Struct):
    name: str


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    # Takes precedence over the priority of a route.
    priority: int | None = None
    # Zero, which is the default, means no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Manifest(msgspec.Struct):
    """Contents of a manifest; the platform defines the field names."""

    version: str
    services: list[_Service]
    virtual_hosts: list[_VirtualHost]
    limits: _Limits | None = None
    tenants: list[_Tenant] = []


class _InvalidManifestError(Exception):
    def __init__(self, problem: Problem, detail: str) -> None:
        super().__init__(detail)
        self.error = ManifestError(problem, detail)


def decode(document: bytes) -> Result[model.Configuration, ManifestError]:
    """Decodes and checks a manifest.

    Returns:
        The configuration, or the first error found.
    """
    try:
        manifest = msgspec.json.decode(document, type=_Manifest)
        return Ok(_translate(manifest))
    except _InvalidManifestError as invalid:
        return Error(invalid.error)
    except decoding.ERRORS as error:
        return Error(ManifestError(Problem.UNREADABLE, str(error)))


def _translate(manifest: _Manifest) -> model.Configuration:
    version = _decode_version(manifest.version)
    services = {
        ids.ServiceName(service.name): model.Service(
            ids.ServiceName(service.name)
        )
        for service in manifest.services
    }
    source = ids.IntentFileName(f"manifest {manifest.version}")
    routes = {
        route.name: route
        for route in _translate_routes(manifest, services.keys())
    }
    customers = {
        customer.name: customer for customer in _translate_customers(manifest)
    }
    entries = [
        *(("route", name) for name in routes),
        *(("service", name) for name in services),
        *(("customer", name) for name in customers),
    ]
    return model.Configuration(
        version=version,
        services=services,
        routes=routes,
        customers=customers,
        keys=_translate_keys(manifest),
        limits=_translate_limits(manifest.limits),
        sources=dict.fromkeys(entries, source),
    )


def _decode_version(text: str) -> ids.ConfigVersion:
    try:
        version = int(text, 16)
    except ValueError:
        raise _InvalidManifestError(Problem.VERSION, text) from None
    if not 0 <= version <= MAX_VERSION:
        raise _InvalidManifestError(Problem.VERSION, text)
    return ids.ConfigVersion(version)


def _translate_routes(
    manifest: _Manifest, services: Any
) -> Iterator[model.Route]:
    for virtual_host in manifest.virtual_hosts:
        for path in virtual_host.paths:
            yield _translate_route(virtual_host.host, path, services)


def _translate_route(host: str, path: _Path, services: Any) -> model.Route:
    if not (path.prefix.startswith("/") and path.prefix.endswith("/")):
        raise _InvalidManifestError(Problem.PREFIX, path.name)
    if path.timeout_s <= 0 or path.aim_s < 0 or path.max_attempts < 1:
        raise _InvalidManifestError(Problem.NEGATIVE, path.name)
    split = tuple(_translate_split(path))
    first = split[0].service if split else ids.ServiceName(path.service)
    for service in {first, *(part.service for part in split)}:
        if service not in services:
            raise _InvalidManifestError(
                Problem.SERVICE, f"{path.name}: {service}"
            )
    if path.kind not in ("idempotent", "non_idempotent"):
        raise _InvalidManifestError(
            Problem.UNREADABLE, f"{path.name}: {path.kind}"
        )
    return model.Route(
        name=ids.RouteName(path.name),
        service=first,
        path_prefix=path.prefix,
        importance=_translate_priority(path.priority),
        idempotent=path.kind == "idempotent",
        open=path.auth_exempt,
        deadline_s=path.timeout_s,
        virtual_host=host.lower(),
        split=split,
        aim_s=path.aim_s,
        max_attempts=path.max_attempts,
    )


def _translate_split(path: _Path) -> Iterator[model.WeightedService]:
    for part in path.weighted_split:
        if part.weight < 0:
            raise _InvalidManifestError(Problem.SPLIT, path.name)
        yield model.WeightedService(ids.ServiceName(part.service), part.weight)
    if path.weighted_split and not any(
        part.weight > 0 for part in path.weighted_split
    ):
        raise _InvalidManifestError(Problem.SPLIT, path.name)


def _translate_customers(manifest: _Manifest) -> Iterator[model.Customer]:
    for tenant in manifest.tenants:
        if tenant.rate_per_s < 0 or tenant.burst < 0:
            raise _InvalidManifestError(Problem.NEGATIVE, tenant.name)
        yield model.Customer(
            ids.CustomerId(tenant.name),
            tenant.rate_per_s,
            tenant.burst,
            importance=(
                None
                if tenant.priority is None
                else _translate_priority(tenant.priority)
            ),
        )


def _translate_keys(manifest: _Manifest) -> dict[ids.KeyDigest, model.Key]:
    found: dict[ids.KeyDigest, model.Key] = {}
    for tenant in manifest.tenants:
        for key in tenant.api_keys:
            digest = keys.digest_of(key)
            other = found.get(digest)
            if other is not None and other.customer != tenant.name:
                raise _InvalidManifestError(
                    Problem.SHARED_KEY, f"{other.customer}, {tenant.name}"
                )
            found[digest] = model.Key(digest, ids.CustomerId(tenant.name))
    return found


def _translate_priority(priority: int) -> model.Importance:
    last = max(model.Importance)
    return model.Importance(min(max(priority, 0), last))


def _translate_limits(limits: _Limits | None) -> model.RequestLimits:
    if limits is None:
        return model.RequestLimits()
    return model.RequestLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
