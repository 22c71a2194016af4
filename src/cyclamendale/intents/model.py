"""Model of the configuration that is merged from the intent files."""

from __future__ import annotations

from collections.abc import Mapping
import enum

import msgspec

from cyclamendale import ids
from cyclamendale import refusals

DEFAULT_RETRY_BUDGET = 3
DEFAULT_DEADLINE_S = 5.0
DEFAULT_QUOTA_SHARDS = 8
DEFAULT_RETAINED_SHARE = 0.75
DEFAULT_MAX_BODY_BYTES = 256 * 1024 * 1024


class Importance(enum.IntEnum):
    """Importance of a route's requests; a lower value is shed later."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    BACKGROUND = 3


class KeyState(enum.Enum):
    """Whether a key may be used."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"


class WhenCutOff(enum.Enum):
    """Handling of a key on a node that cannot confirm its configuration."""

    SERVE = "serve"
    REFUSE = "refuse"


class Once(enum.Enum):
    """Deduplication of repeated non-idempotent requests."""

    NONE = "none"
    TABLE = "table"


class FailureDomain(msgspec.Struct, frozen=True):
    """A failure domain and its weight in the division of quotas."""

    name: ids.FailureDomainName
    weight: float = 1.0
    region: str = ""


class Service(msgspec.Struct, frozen=True):
    """A service and the limits of each of its upstreams.

    Attributes:
        name: Name under which upstreams announce themselves.
        max_queue_s: Maximum queueing time of an ordinary request at an
            upstream; a critical one may wait four times as long.
        slow_start_s: Ramp-up time of a cold upstream.
    """

    name: ids.ServiceName
    max_queue_s: float = 0.1
    slow_start_s: float = 5.0


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route's traffic split, with its weight."""

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route: the requests it matches and how they are handled.

    Attributes:
        name: Unique name.
        service: Service that serves its requests.
        path_prefix: Path prefix; the longest matching prefix wins.
        methods: HTTP methods; empty for all.
        importance: Importance of the root requests of this route.
        idempotent: Whether a request may safely be executed twice.
        open: Whether requests are served without a key.
        hedge: Whether slow requests are hedged (idempotent routes only).
        once: Deduplication of repeated non-idempotent requests.
        deadline_s: Time allowed for a root request.
        max_body_bytes: Maximum size of a request body.
        virtual_host: Host header that selects the route; empty for any.
        split: Services that share its requests, in place of `service`.
        aim_s: Target response time, within which an answer is worth most;
            0 if not stated.
        max_attempts: Maximum number of upstreams to which one request is
            sent.
    """

    name: ids.RouteName
    service: ids.ServiceName
    path_prefix: str
    methods: tuple[str, ...] = ()
    importance: Importance = Importance.NORMAL
    idempotent: bool = False
    open: bool = False
    hedge: bool = False
    once: Once = Once.NONE
    deadline_s: float = DEFAULT_DEADLINE_S
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    virtual_host: str = ""
    split: tuple[WeightedService, ...] = ()
    aim_s: float = 0.0
    max_attempts: int = 1 + DEFAULT_RETRY_BUDGET


class Customer(msgspec.Struct, frozen=True):
    """A customer and its quota, which all hosts share.

    Attributes:
        name: Unique name.
        rate_per_s: Root requests admitted per second.
        burst: Root requests admitted at once.
        weight: Weight of its share of a congested upstream, relative to
            other customers.
        importance: Overrides the importance of the route, if stated.
    """

    name: ids.CustomerId
    rate_per_s: float
    burst: float
    weight: float = 1.0
    importance: Importance | None = None


class Key(msgspec.Struct, frozen=True):
    """A key, which is stored only as its digest.

    Attributes:
        digest: SHA-256 of the key, hexadecimal.
        customer: Customer whose requests it authorises.
        state: Granted or withdrawn.
        when_cut_off: Handling on nodes that cannot confirm their
            configuration.
        refuse_after_s: Age of the last confirmation from which a key
            with `WhenCutOff.REFUSE` is refused.
    """

    digest: ids.KeyDigest
    customer: ids.CustomerId
    state: KeyState = KeyState.GRANTED
    when_cut_off: WhenCutOff = WhenCutOff.SERVE
    refuse_after_s: float = 30.0


class Gone(msgspec.Struct, frozen=True):
    """A node process that an operator declares to be permanently gone."""

    node: ids.NodeId


class Defaults(msgspec.Struct, frozen=True):
    """Settings of the whole fleet.

    Attributes:
        retry_budget: Total of retries and hedges of one root request.
        max_depth: Maximum depth of a call tree.
        quota_shards: Quota shards per failure domain.
        retained_share: Share of its quota that a holder keeps after its
            lease has lapsed.
    """

    retry_budget: int = DEFAULT_RETRY_BUDGET
    max_depth: int = 16
    quota_shards: int = DEFAULT_QUOTA_SHARDS
    retained_share: float = DEFAULT_RETAINED_SHARE


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the duration of a caller's input.

    Attributes:
        max_head_bytes: Maximum size of request line and headers together.
        max_body_bytes: Maximum size of a request body.
        head_timeout_s: Maximum time from the first to the last byte of a
            request head.
        idle_timeout_s: Maximum time that a connection may be idle between
            two requests.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


Entry = FailureDomain | Service | Route | Customer | Key | Gone | Defaults


class Configuration(msgspec.Struct, frozen=True):
    """The merged configuration, with the deciding file of each field.

    Attributes:
        version: Version in the platform's table; 0 before the first change.
        sources: For each entry, as `(kind, name)`, and each of its
            fields, as `(kind, name, field)`, the deciding file.
    """

    version: ids.ConfigVersion = ids.ConfigVersion(0)
    failure_domains: Mapping[ids.FailureDomainName, FailureDomain] = {}
    services: Mapping[ids.ServiceName, Service] = {}
    routes: Mapping[ids.RouteName, Route] = {}
    customers: Mapping[ids.CustomerId, Customer] = {}
    keys: Mapping[ids.KeyDigest, Key] = {}
    gone: Mapping[ids.NodeId, Gone] = {}
    defaults: Defaults = Defaults()
    limits: RequestLimits = RequestLimits()
    sources: Mapping[tuple[str, ...], ids.IntentFileName] = {}

    def decider(
        self, kind: str, name: str, field: str | None = None
    ) -> refusals.Decider | None:
        """Returns the file that decided an entry or one of its fields.

        Args:
            kind: Entry kind as written in the files, such as "customer".
            name: Name of the entry.
            field: Field of the entry. If it is None or no file states it,
                the file of the entry is returned.
        """
        file = None
        if field is not None:
            file = self.sources.get((kind, name, field))
        if file is None:
            file = self.sources.get((kind, name))
        return refusals.Decider(file, self.version) if file else None
