"""Schema of the intent files: kinds, their fields and allowed values."""

from __future__ import annotations

import enum
import re
from typing import Any

import msgspec

from cyclamendale.intents import model

DEFAULTS_NAME = "defaults"
"""Name of the only entry of kind `defaults`."""

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NODE_PATTERN = re.compile(r"[0-9a-fA-F.:\[\]]+:[0-9]{1,5}#[0-9a-f]{1,32}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
PREFIX_PATTERN = re.compile(r"/[!-~]{0,255}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}")
REGION_PATTERN = re.compile(r"[A-Za-z0-9._-]{0,64}")


class Kind(enum.Enum):
    """Kind of an intent, as written in the files."""

    FAILURE_DOMAIN = "failure_domain"
    SERVICE = "service"
    ROUTE = "route"
    CUSTOMER = "customer"
    KEY = "key"
    GONE = "gone"
    DEFAULTS = "defaults"


class Range(msgspec.Struct, frozen=True):
    """Range of a number, with both bounds included."""

    minimum: float
    maximum: float

    def __contains__(self, value: float) -> bool:
        return self.minimum <= value <= self.maximum

    def __str__(self) -> str:
        return f"{self.minimum:.15g} to {self.maximum:.15g}"


class KindSpec(msgspec.Struct, frozen=True):
    """Schema of one kind, and its place in the merged configuration.

    Attributes:
        entry_type: Struct of its entries.
        name_field: Field that identifies an entry; None for a kind with a
            single entry.
        name_pattern: Pattern of the name.
        collection: Field of the configuration that holds the entries.
        ranges: Ranges of number fields.
        patterns: Patterns of text fields.
        not_in_files: Fields that intent files cannot set, since the
            product's own request path ignores them; other sources set them.
    """

    entry_type: type[msgspec.Struct]
    name_field: str | None
    name_pattern: re.Pattern[str]
    collection: str
    ranges: dict[str, Range] = {}
    patterns: dict[str, re.Pattern[str]] = {}
    not_in_files: frozenset[str] = frozenset()


SPECS: dict[Kind, KindSpec] = {
    Kind.FAILURE_DOMAIN: KindSpec(
        entry_type=model.FailureDomain,
        name_field="name",
        name_pattern=NAME_PATTERN,
        collection="failure_domains",
        ranges={"weight": Range(0.001, 1000)},
        patterns={"region": REGION_PATTERN},
    ),
    Kind.SERVICE: KindSpec(
        entry_type=model.Service,
        name_field="name",
        name_pattern=NAME_PATTERN,
        collection="services",
        ranges={
            "max_queue_s": Range(0, 60),
            "slow_start_s": Range(0, 3600),
        },
    ),
    Kind.ROUTE: KindSpec(
        entry_type=model.Route,
        name_field="name",
        name_pattern=NAME_PATTERN,
        collection="routes",
        ranges={
            "deadline_s": Range(0.001, 3600),
            "max_body_bytes": Range(0, 1 << 40),
        },
        patterns={
            "service": NAME_PATTERN,
            "path_prefix": PREFIX_PATTERN,
            "methods": METHOD_PATTERN,
        },
        not_in_files=frozenset(
            {"virtual_host", "split", "aim_s", "max_attempts"}
        ),
    ),
    Kind.CUSTOMER: KindSpec(
        entry_type=model.Customer,
        name_field="name",
        name_pattern=NAME_PATTERN,
        collection="customers",
        ranges={
            "rate_per_s": Range(0.001, 10_000_000),
            "burst": Range(1, 100_000_000),
            "weight": Range(0.001, 1000),
        },
        not_in_files=frozenset({"importance"}),
    ),
    Kind.KEY: KindSpec(
        entry_type=model.Key,
        name_field="digest",
        name_pattern=DIGEST_PATTERN,
        collection="keys",
        ranges={"refuse_after_s": Range(1, 86_400)},
        patterns={"customer": NAME_PATTERN},
    ),
    Kind.GONE: KindSpec(
        entry_type=model.Gone,
        name_field="node",
        name_pattern=NODE_PATTERN,
        collection="gone",
    ),
    Kind.DEFAULTS: KindSpec(
        entry_type=model.Defaults,
        name_field=None,
        name_pattern=NAME_PATTERN,
        collection="defaults",
        ranges={
            "retry_budget": Range(0, 100),
            "max_depth": Range(1, 64),
            "quota_shards": Range(1, 1024),
            "retained_share": Range(0, 0.99),
        },
    ),
}


class FieldSpec(msgspec.Struct, frozen=True):
    """One field of a kind.

    Attributes:
        name: Name in the files and in the model.
        type: Type in the model.
        required: Whether at least one file must state the field.
        default: Value if no file states the field.
    """

    name: str
    type: Any
    required: bool
    default: Any


def _field_specs(spec: KindSpec) -> dict[str, FieldSpec]:
    return {
        field.name: FieldSpec(
            field.name, field.type, field.required, field.default
        )
        for field in msgspec.structs.fields(spec.entry_type)
        if field.name not in spec.not_in_files
    }


FIELDS: dict[Kind, dict[str, FieldSpec]] = {
    kind: _field_specs(spec) for kind, spec in SPECS.items()
}


def to_file_value(value: Any) -> Any:
    """Converts a model value to its representation in the files."""
    if isinstance(value, enum.IntEnum):
        return value.name.lower()
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value
