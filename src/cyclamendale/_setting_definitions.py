"""The daemon's settings as operators see them."""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import _setting_values as values

VARIABLE_PREFIX = "CYCLAMENDALE_"

_ADDRESS = "IP:PORT"
_SECONDS = "SECONDS"


class LogLevel(enum.Enum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Definition(msgspec.Struct, frozen=True):
    """One setting as operators see it.

    Attributes:
        name: Its name; the flag and the variable follow from it.
        help: What it is for.
        convert: Turns the text into the value.
        default: Text that holds when it is not set; None when required.
        metavar: What the help shows in place of the value.
        has_flag: False for a secret, which a flag would show to all.
    """

    name: str
    help: str
    convert: values.Converter
    default: str | None
    metavar: str
    has_flag: bool = True

    @property
    def flag(self) -> str:
        """Returns its command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Returns its environment variable."""
        return VARIABLE_PREFIX + self.name.upper()


def _define_seconds(
    name: str, default: str, maximum: float, text: str, minimum: float = 0.05
) -> Definition:
    converter = values.number_between(minimum, maximum)
    return Definition(name, text, converter, default, _SECONDS)


MAX_FLEET_NODES = 10_000

DEFINITIONS: tuple[Definition, ...] = (
    Definition(
        "http_address",
        "where callers and the host's own upstream connect",
        values.to_address,
        "127.0.0.1:8080",
        _ADDRESS,
    ),
    Definition(
        "peer_address",
        "where other nodes connect, TCP and UDP; the address they use",
        values.to_peer_address,
        "127.0.0.1:8081",
        _ADDRESS,
    ),
    Definition(
        "control_address",
        "where the host's upstream announces itself and operators ask; "
        "loopback only",
        values.to_loopback_address,
        "127.0.0.1:8082",
        _ADDRESS,
    ),
    Definition(
        "failure_domain",
        "failure domain of this host",
        values.to_name,
        None,
        "NAME",
    ),
    Definition(
        "platform_url",
        "base URL of the platform's table and object store",
        values.to_url,
        None,
        "URL",
    ),
    Definition(
        "fleet_secret",
        "secret shared by all nodes, as text",
        values.to_secret,
        "",
        "TEXT",
        has_flag=False,
    ),
    Definition(
        "fleet_secret_file",
        "file that contains the secret shared by all nodes",
        values.read_secret_file,
        "",
        "FILE",
    ),
    Definition(
        "statsd_address",
        "where metrics are sent; nowhere when empty",
        values.to_address,
        "",
        _ADDRESS,
    ),
    Definition(
        "statsd_prefix",
        "put before the names of all metrics",
        values.to_name,
        "cyclamendale",
        "NAME",
    ),
    Definition(
        "log_level",
        "least severe level that is logged: debug, info, warning or error",
        values.one_of(LogLevel),
        "info",
        "LEVEL",
    ),
    _define_seconds(
        "shutdown_timeout_s",
        "30",
        3600,
        "longest time that a graceful stop waits for requests in flight",
    ),
    _define_seconds(
        "platform_timeout_s",
        "2",
        60,
        "longest wait for one answer of the platform",
    ),
    Definition(
        "fleet_nodes",
        "most nodes that run at once; each keeps its load on the platform "
        "to that part of what the platform bears",
        values.whole_number_between(1, MAX_FLEET_NODES),
        "100",
        "COUNT",
    ),
    _define_seconds(
        "announcement_timeout_s",
        "3",
        600,
        "silence after which the host's upstream gets no new work",
    ),
    _define_seconds(
        "peer_connect_timeout_s",
        "1",
        60,
        "longest wait for a connection to another node",
    ),
    _define_seconds(
        "http_idle_timeout_s",
        "60",
        3600,
        "idle time after which a caller's connection is closed",
    ),
    _define_seconds(
        "http_head_timeout_s",
        "10",
        600,
        "longest time that a caller may take for the head of a request",
    ),
    _define_seconds(
        "metrics_interval_s",
        "1",
        60,
        "time between two sends of the metrics",
    ),
)
