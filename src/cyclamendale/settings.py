"""Reads the daemon's settings from flags and environment variables."""

from __future__ import annotations

import argparse
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import _setting_definitions as definitions
from cyclamendale import _setting_values as values
from cyclamendale import ids

EXIT_INVALID_SETTINGS = 2

CLI_VARIABLES = frozenset({"CYCLAMENDALE_NODE_URL", "CYCLAMENDALE_WRITER"})
"""Variables of the command-line tool, which the daemon ignores."""

_SECRET_VARIABLE = definitions.VARIABLE_PREFIX + "FLEET_SECRET"
_EPILOG = (
    f"Each flag has a variable, {definitions.VARIABLE_PREFIX} and its name "
    f"in capitals. The fleet secret has no flag; give it in "
    f"{_SECRET_VARIABLE} or in a file."
)
_VALUE_MISSING = "\0value missing"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one node.

    Attributes:
        http_address: Listener for callers and the host's own upstream.
        peer_address: Listener for other nodes, on both TCP and UDP.
        control_address: Loopback listener for announcements of the host's
            upstream and for operators.
        failure_domain: Failure domain of the host.
        platform_url: Base URL of the platform's table and object store.
        fleet_secret: Secret shared by all nodes; without one, all
            listeners must be on loopback.
        statsd_address: Statsd server to send metrics to, if any.
        statsd_prefix: Prefix of all metric names.
        log_level: Least severe level to log.
        shutdown_timeout_s: Longest time that a graceful stop waits for
            requests in flight.
        platform_timeout_s: Longest wait for one response of the platform.
        fleet_nodes: Maximum number of concurrent nodes, which share the
            platform's capacity.
        announcement_timeout_s: Time without announcements after which the
            host's upstream gets no new requests.
        peer_connect_timeout_s: Longest wait for a connection to a node.
        http_idle_timeout_s: Idle time after which a caller's connection
            is closed.
        http_head_timeout_s: Longest time that a caller may take to send
            the head of a request.
        metrics_interval_s: Interval at which metrics are sent.
    """

    http_address: values.Address
    peer_address: values.Address
    control_address: values.Address
    failure_domain: ids.FailureDomainName
    platform_url: str
    fleet_secret: values.Secret | None
    statsd_address: values.Address | None
    statsd_prefix: str
    log_level: definitions.LogLevel
    shutdown_timeout_s: float
    platform_timeout_s: float
    fleet_nodes: int
    announcement_timeout_s: float
    peer_connect_timeout_s: float
    http_idle_timeout_s: float
    http_head_timeout_s: float
    metrics_interval_s: float


class SettingsErrors(msgspec.Struct, frozen=True):
    """All errors found in the settings."""

    errors: tuple[values.SettingError, ...]

    def __str__(self) -> str:
        return "\n".join(map(str, self.errors))


def load(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> Result[Settings, SettingsErrors]:
    """Reads the settings; a flag takes precedence over its variable.

    Args:
        arguments: Command line without the program's name.
        environment: Environment variables.

    Returns:
        The settings, or all errors found in them.

    Raises:
        SystemExit: After `--help`.
    """
    parsed, unknown = make_parser().parse_known_args(arguments)
    errors = [
        *_find_unknown_flags(unknown),
        *_find_unknown_variables(environment),
    ]
    results = {
        definition.name: _read_setting(definition, vars(parsed), environment)
        for definition in definitions.DEFINITIONS
    }
    errors.extend(
        result.error for result in results.values() if result.is_error()
    )
    valid = {
        name: result.ok for name, result in results.items() if result.is_ok()
    }
    errors.extend(_find_conflicts(valid))
    if errors:
        return Error(SettingsErrors(tuple(errors)))
    valid["fleet_secret"] = valid["fleet_secret"] or valid["fleet_secret_file"]
    del valid["fleet_secret_file"]
    return Ok(Settings(**valid))


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the daemon's command line."""
    parser = argparse.ArgumentParser(
        prog="cyclamendaled",
        description="Overload control node; one runs on each host.",
        epilog=_EPILOG,
        allow_abbrev=False,
    )
    for definition in definitions.DEFINITIONS:
        if definition.has_flag:
            parser.add_argument(
                definition.flag,
                metavar=definition.metavar,
                help=_make_help(definition),
                # A missing value is reported together with other errors.
                nargs="?",
                const=_VALUE_MISSING,
            )
    return parser


def _make_help(definition: definitions.Definition) -> str:
    if definition.default is None:
        return f"{definition.help} (required)"
    if not definition.default:
        return definition.help
    return f"{definition.help} (default: {definition.default})"


def _read_setting(
    definition: definitions.Definition,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> Result[Any, values.SettingError]:
    source, text = definition.flag, flags.get(definition.name)
    if text is None:
        source = definition.variable
        text = environment.get(definition.variable) or definition.default
    if text is None:
        return Error(_make_error(definition.flag, values.Problem.MISSING))
    if text == _VALUE_MISSING:
        return Error(_make_error(definition.flag, values.Problem.VALUE_MISSING))
    if not text and definition.default == "":
        return Ok(None)
    return definition.convert(text).map_error(
        lambda error: values.SettingError(
            source, error.problem, error.value, error.allowed
        )
    )


def _find_unknown_flags(
    unknown: Sequence[str],
) -> Iterator[values.SettingError]:
    flag = ""
    for word in unknown:
        if word.startswith("-"):
            flag, _, _ = word.partition("=")
            yield _make_error(flag, values.Problem.UNKNOWN)
        elif not flag:
            yield _make_error(word, values.Problem.UNKNOWN)
        # A word after an unknown flag may be a secret: it is not reported.


def _find_unknown_variables(
    environment: Mapping[str, str],
) -> Iterator[values.SettingError]:
    known = {definition.variable for definition in definitions.DEFINITIONS}
    for name in sorted(environment):
        if name.startswith(definitions.VARIABLE_PREFIX) and (
            name not in known | CLI_VARIABLES
        ):
            yield _make_error(name, values.Problem.UNKNOWN)


def _find_conflicts(valid: Mapping[str, Any]) -> Iterator[values.SettingError]:
    if valid.get("fleet_secret") and valid.get("fleet_secret_file"):
        yield _make_error("--fleet-secret-file", values.Problem.SECRET_TWICE)
    names = ("http_address", "peer_address", "control_address")
    addresses = {name: valid[name] for name in names if name in valid}
    if not valid.get("fleet_secret", True) and not valid.get(
        "fleet_secret_file", True
    ):
        for name, address in addresses.items():
            if not address.is_loopback():
                yield _make_not_loopback_error(name, address)
    yield from _find_duplicate_addresses(addresses)


def _make_not_loopback_error(
    name: str, address: values.Address
) -> values.SettingError:
    return _make_error(
        _flag_name(name),
        values.Problem.BEYOND_LOOPBACK,
        str(address),
        f"{_SECRET_VARIABLE} or --fleet-secret-file",
    )


def _find_duplicate_addresses(
    addresses: Mapping[str, values.Address],
) -> Iterator[values.SettingError]:
    first: dict[values.Address, str] = {}
    for name, address in addresses.items():
        other = first.setdefault(address, name)
        if other != name and address.port:
            yield _make_error(
                _flag_name(name),
                values.Problem.ADDRESS_TWICE,
                str(address),
                _flag_name(other),
            )


def _flag_name(name: str) -> str:
    return "--" + name.replace("_", "-")


def _make_error(
    setting: str, problem: values.Problem, value: str = "", allowed: str = ""
) -> values.SettingError:
    return values.SettingError(setting, problem, value, allowed)
