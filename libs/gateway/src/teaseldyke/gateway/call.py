"""What a request asks: its route, its organisation, its work and time limits."""

from __future__ import annotations

import math
import random

import attrs

from teaseldyke.http import Request
from teaseldyke.placement import ServerState, Work
from teaseldyke.timers import boot_time_s
from teaseldyke.types import (
    KeyedOrganisation,
    Route,
    RouteKind,
    RoutingTable,
    ServiceDescription,
)

from .errors import KeyUnknown
from .interfaces import CallFacts
from .relay import Relay

FINAL_MARGIN_S = 0.03  # so that the final answer arrives while the caller waits
FIRST_EVENT_WAIT_MIN_S = 2.0  # callers leave a stream after the longest of this,
FIRST_EVENT_WAIT_TARGETS = 4.0  # so many times its target latency,
FIRST_EVENT_WAIT_GAPS = 8.0  # and so many times its longest pause
RESEND_WITHIN_S = 0.3  # in which a request whose send failed should be sent again
DEFAULT_CALLER_TIMEOUT_S = (
    60.0  # of a caller that doesn't say; the route bounds it anyway
)


@attrs.define(eq=False)
class Call:
    """A request on its way.

    Parameters
    ----------
    request : Request
        The caller's.
    facts : CallFacts
        Its header.
    route, service, organisation
        What the configuration makes of it.
    body : bytes
        Whole body.
    work : Work
        What it asks of a backend server.

    Attributes
    ----------
    possible_runs : int
        Servers that may have run it.
    sends : int
        Servers that it was sent to.
    """

    request: Request
    facts: CallFacts
    route: Route
    service: ServiceDescription
    organisation: KeyedOrganisation | None
    body: bytes
    work: Work
    relay: Relay
    avoid: set[str] = attrs.field(factory=set)
    possible_runs: int = 0
    sends: int = 0
    version: int = 0
    last_failure: str = ""

    @property
    def text_id(self) -> str:
        """The request's id as text."""
        return self.facts.request_id.decode("latin-1")

    @property
    def elapsed_s(self) -> float:
        """Time since the request was read, for logs."""
        return round(boot_time_s() - self.work.arrived_at_s, 4)

    @property
    def unread_s(self) -> float:
        """Longest time that the request may have lain unread, for logs."""
        unread_s = self.work.arrived_at_s - self.request.unread_since_s
        return round(max(0.0, unread_s), 4)


def address_of(state: ServerState | None) -> str | None:
    """Return the address of a backend server."""
    return None if state is None else f"{state.server.host}:{state.server.port}"


def organisation_of(
    table: RoutingTable, route: Route, facts: CallFacts
) -> KeyedOrganisation | None:
    """Return who asks; raises `KeyUnknown` where the route needs a known key."""
    organisation = None
    if facts.key is not None:
        organisation = table.organisation_of(facts.key)
    if organisation is None and table.organisations and not route.is_open:
        raise KeyUnknown(f"no organisation of version {table.version} holds the key")
    return organisation


def pick_service(table: RoutingTable, route: Route) -> ServiceDescription:
    """Return a service of the route, drawn by weight."""
    names = [name for name, _ in route.split]
    weights = [weight for _, weight in route.split]
    name = names[0] if len(names) == 1 else random.choices(names, weights)[0]
    return table.services[name]


def work_for_resend(work: Work, route: Route, now_s: float) -> Work:
    """Return what a request asks once a send has failed.

    It goes before new ones: its caller has waited or has a part of its answer, and
    leaves after the same pause as at the start.
    """
    return attrs.evolve(
        work,
        on_time_until_s=max(work.on_time_until_s, now_s + RESEND_WITHIN_S),
        first_due_s=min(work.deadline_at_s, now_s + first_event_wait_s(route)),
        returned=True,
    )


def first_event_wait_s(route: Route) -> float:
    """Return how long a caller waits for the first byte of its answer."""
    if route.kind is not RouteKind.STREAMING:
        return math.inf
    return max(
        FIRST_EVENT_WAIT_MIN_S,
        FIRST_EVENT_WAIT_TARGETS * route.target_latency_s,
        FIRST_EVENT_WAIT_GAPS * route.event_gap_s,
    )


def work_of(
    facts: CallFacts,
    route: Route,
    organisation: KeyedOrganisation | None,
    arrived_at_s: float,
    *,
    returned: bool,
) -> Work:
    """Return what a request asks of a backend server."""
    caller_timeout_s = facts.caller_timeout_s
    if caller_timeout_s is None:
        caller_timeout_s = DEFAULT_CALLER_TIMEOUT_S
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    deadline_at_s = arrived_at_s + min(
        caller_timeout_s - FINAL_MARGIN_S, route.timeout_s
    )
    return Work(
        organisation=organisation.name if organisation else "",
        arrived_at_s=arrived_at_s,
        on_time_until_s=arrived_at_s + (0.0 if returned else route.target_latency_s),
        first_due_s=min(deadline_at_s, arrived_at_s + first_event_wait_s(route)),
        deadline_at_s=deadline_at_s,
        prompt_tokens=facts.prompt_tokens,
        output_tokens=facts.output_tokens,
        parts=facts.parts,
        priority=priority,
        returned=returned,
    )
