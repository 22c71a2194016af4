"""Sizes and load of the fleets that a soak runs."""

from __future__ import annotations

import dataclasses
import enum


class Habit(enum.Enum):
    """How the clients of a service use their connections."""

    PIPELINE = "further requests before the first answer"
    POOL = "one request after the other on a kept connection"
    FRESH = "a connection for each request"


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests for one service.

    Attributes:
        service: Service that runs them.
        share: Share of all requests, in any unit.
        habit: How their clients use connections.
        calls: Service that its upstreams call while they run one, if any.
    """

    service: str
    share: float
    habit: Habit
    calls: str = ""


@dataclasses.dataclass(frozen=True)
class Site:
    """A fleet and its load.

    Attributes:
        hosts: Failure domain and service of each host.
        loads: Load by service.
        clients: Number of clients.
        requests_per_s: Requests of all these clients.
    """

    hosts: tuple[tuple[str, str], ...]
    loads: tuple[Load, ...]
    clients: int
    requests_per_s: float

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Returns the names of the failure domains."""
        return tuple(dict.fromkeys(domain for domain, _ in self.hosts))

    @property
    def services(self) -> tuple[str, ...]:
        """Returns the names of the services."""
        return tuple(load.service for load in self.loads)


_WASH_LOADS = (
    Load("pickup", 4.2, Habit.PIPELINE, "wash"),
    Load("wash", 1.7, Habit.POOL, "track"),
    Load("track", 1.7, Habit.FRESH),
    Load("drying", 1.7, Habit.POOL),
)
_REPAIR_LOADS = (
    Load("tracker", 4.7, Habit.PIPELINE, "bookings"),
    Load("bookings", 2.0, Habit.POOL, "surveys"),
    Load("surveys", 1.9, Habit.FRESH),
    Load("catalogue", 1.3, Habit.POOL),
)
_SAPPAYA_DOMAINS = ("hatyai", "pattani", "yala", "satun")
_ATABAH_DOMAINS = ("tanta", "mansoura", "zagazig")

SITES = {
    "small": Site(
        tuple(
            (domain, service)
            for domain in ("north", "south")
            for service in ("pickup", "wash", "track", "wash")
        ),
        _WASH_LOADS[:3],
        clients=60,
        requests_per_s=250.0,
    ),
    "sappaya": Site(
        tuple(
            (domain, load.service)
            for load in _WASH_LOADS
            for domain in _SAPPAYA_DOMAINS
        ),
        _WASH_LOADS,
        clients=206,
        requests_per_s=416.0,
    ),
    "atabah": Site(
        tuple(
            (domain, load.service)
            for load in _REPAIR_LOADS
            for domain in _ATABAH_DOMAINS
        )
        + (("tanta", "tracker"), ("tanta", "surveys")),
        _REPAIR_LOADS,
        clients=329,
        requests_per_s=660.0,
    ),
}


def make_crowd(processes: int) -> Site:
    """Returns a fleet of many hosts with the load of a small one."""
    domains, loads = _SAPPAYA_DOMAINS, _WASH_LOADS
    return Site(
        tuple(
            (
                domains[number % len(domains)],
                loads[number // len(domains) % len(loads)].service,
            )
            for number in range(processes)
        ),
        loads,
        clients=150,
        requests_per_s=250.0,
    )
