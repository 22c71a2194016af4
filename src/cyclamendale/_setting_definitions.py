"""Definitions of the daemon's settings: names, defaults and help texts."""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import _setting_values as values

VARIABLE_PREFIX = "CYCLAMENDALE_"

_ADDRESS = "IP:PORT"
_SECONDS = "SECONDS"


class LogLevel(enum.Enum):
    """Least severe level to log."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Definition(msgspec.Struct, frozen=True):
    """Definition of one setting.

    Attributes:
        name: Name from which the flag and the variable are derived.
        help: Help text of the flag.
        convert: Converts the text to the value.
        default: Text that is used if the setting is absent; None if the
            setting is required.
        metavar: Placeholder for the value in the help.
        has_flag: False for a secret, since the flags of a process are
            visible to other users of the host.
    """

    name: str
    help: str
    convert: values.Converter
    default: str | None
    metavar: str
    has_flag: bool = True

    @property
    def flag(self) -> str:
        """Returns the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Returns the name of the environment variable."""
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
        "address for callers and the host's own upstream",
        values.to_address,
        "127.0.0.1:8080",
        _ADDRESS,
    ),
    Definition(
        "peer_address",
        "address for other nodes, TCP and UDP; they must be able to reach it",
        values.to_peer_address,
        "127.0.0.1:8081",
        _ADDRESS,
    ),
    Definition(
        "control_address",
        "address for announcements of the host's upstream and for operators; "
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
        "statsd server to send metrics to; none if empty",
        values.to_address,
        "",
        _ADDRESS,
    ),
    Definition(
        "statsd_prefix",
        "prefix of all metric names",
        values.to_name,
        "cyclamendale",
        "NAME",
    ),
    Definition(
        "log_level",
        "least severe level to log: debug, info, warning or error",
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
        "longest wait for one response of the platform",
    ),
    Definition(
        "fleet_nodes",
        "maximum number of concurrent nodes; each limits its load on the "
        "platform to an equal share of the platform's capacity",
        values.whole_number_between(1, MAX_FLEET_NODES),
        "100",
        "COUNT",
    ),
    _define_seconds(
        "announcement_timeout_s",
        "3",
        600,
        "time without announcements after which the host's upstream gets no "
        "new requests",
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
        "longest time that a caller may take to send the head of a request",
    ),
    _define_seconds(
        "metrics_interval_s",
        "1",
        60,
        "interval at which metrics are sent",
    ),
)
