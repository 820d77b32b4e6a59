"""A call: a request with its route, organisation, size and deadlines."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import attrs

from teaseldyke.http import Request
from teaseldyke.placement import RequestIdentity, ServerState, Work, bound_to, work_left
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

FINAL_MARGIN_S = 0.03  # so that the final answer reaches the caller before its time-out
# Callers give up a stream that has no event after the longest of a minimum, a multiple
# of its target latency and a multiple of its target gap between events.
FIRST_EVENT_WAIT_MIN_S = 2.0
FIRST_EVENT_WAIT_TARGETS = 4.0
FIRST_EVENT_WAIT_GAPS = 8.0
RESEND_WITHIN_S = 0.3  # target latency of a retry after a failed send
DEFAULT_CALLER_TIMEOUT_S = 60.0  # if none is stated; the route limits it anyway


@attrs.define(eq=False)
class Call:
    """A request in progress.

    Parameters
    ----------
    request : Request
        The caller's request.
    facts : CallFacts
        What its header states.
    route, service, organisation
        What the configuration resolves it to.
    body : bytes
        Complete body.
    work : Work
        Its size and deadlines for a backend server.
    relay : Relay
        Forwards the answer to the caller.

    Attributes
    ----------
    possible_runs : int
        Number of servers that may have run it.
    sends : int
        Number of sends so far.
    avoid : set of str
        Ids of the servers that it was sent to.
    addresses : set of (str, int)
        Hosts and ports that it was sent to.
    version : int
        Version of the configuration that it was resolved with.
    last_failure : str
        Why the last send failed.
    crashes : int
        Number of servers that crashed while they had it.
    silent_since_s : float
        When a server of it last fell silent beyond patience; 0 if none did.
    is_caller_gone : bool
        Whether its caller was found to have left.
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
    addresses: set[tuple[str, int]] = attrs.field(factory=set)
    possible_runs: int = 0
    sends: int = 0
    version: int = 0
    last_failure: str = ""
    crashes: int = 0
    silent_since_s: float = 0.0
    is_caller_gone: bool = False

    def bind_to_version(self) -> None:
        """Bind a stream that has begun to the software version of its server."""
        begun_by = self.relay.begun_by
        if begun_by is not None and not self.work.version:
            self.work = bound_to(self.work, begun_by.version)

    @property
    def text_id(self) -> str:
        """The request's id as text."""
        return self.facts.request_id.decode("latin-1")

    @property
    def elapsed_s(self) -> float:
        """Time since the request was read, rounded for logs."""
        return round(boot_time_s() - self.work.arrived_at_s, 4)

    @property
    def unread_s(self) -> float:
        """Longest time that the request may have waited in the socket, for logs."""
        unread_s = self.work.arrived_at_s - self.request.unread_since_s
        return round(max(0.0, unread_s), 4)


def address_of(state: ServerState | None) -> str | None:
    """Return the address of a backend server as ``host:port``."""
    return None if state is None else f"{state.server.host}:{state.server.port}"


def organisation_of(
    table: RoutingTable, route: Route, facts: CallFacts
) -> KeyedOrganisation | None:
    """Return the organisation of a request.

    Raises
    ------
    KeyUnknown
        If the route requires the key of an organisation and there is none.
    """
    organisation = None
    if facts.key is not None:
        organisation = table.organisation_of(facts.key)
    if organisation is None and table.organisations and not route.is_open:
        raise KeyUnknown(f"no organisation has this key in version {table.version}")
    return organisation


def pick_service(
    table: RoutingTable, split: Sequence[tuple[str, float]]
) -> ServiceDescription:
    """Return a service of a route, drawn at random by weight."""
    names = [name for name, _ in split]
    weights = [weight for _, weight in split]
    name = names[0] if len(names) == 1 else random.choices(names, weights)[0]
    return table.services[name]


def work_for_resend(work: Work, route: Route, now_s: float) -> Work:
    """Return the work of a request for its retry after a failed send.

    It precedes new requests in the queue, since its caller has waited already or has
    part of the answer, and gives up after the same wait as for the first event.
    """
    return attrs.evolve(
        work,
        on_time_until_s=max(work.on_time_until_s, now_s + RESEND_WITHIN_S),
        caller_timeout_at_s=min(work.deadline_at_s, now_s + first_event_wait_s(route)),
        resubmitted=True,
    )


def work_for_resumption(work: Work, events: int, tokens_per_event: float) -> Work:
    """Return the work of a stream that its caller resumes with a new request.

    It precedes new requests of its organisation, like a retry within one answer.

    Parameters
    ----------
    events : int
        Events that the caller has received.
    tokens_per_event : float
        Output tokens in each of them; 0 if unknown.
    """
    return attrs.evolve(
        work_left(work, events, tokens_per_event),
        on_time_until_s=work.arrived_at_s + RESEND_WITHIN_S,
    )


def first_event_wait_s(route: Route) -> float:
    """Return how long a caller waits for the first event of a stream.

    Infinite for other routes.
    """
    if route.kind is not RouteKind.STREAMING:
        return math.inf
    return max(
        FIRST_EVENT_WAIT_MIN_S,
        FIRST_EVENT_WAIT_TARGETS * route.target_latency_s,
        FIRST_EVENT_WAIT_GAPS * route.event_gap_s,
    )


def deadline_of(facts: CallFacts, route: Route, waiting_since_s: float) -> float:
    """Return when a request must have its final answer.

    Parameters
    ----------
    waiting_since_s : float
        Earliest moment at which it may have arrived, on the clock of `boot_time_s`.
    """
    caller_timeout_s = facts.caller_timeout_s
    if caller_timeout_s is None:
        caller_timeout_s = DEFAULT_CALLER_TIMEOUT_S
    return waiting_since_s + min(caller_timeout_s - FINAL_MARGIN_S, route.timeout_s)


def time_limit_of(facts: CallFacts, route: Route) -> tuple[str, float]:
    """Return whose time-out bounds a request, and the time that it allows."""
    allowed_s = deadline_of(facts, route, 0.0)
    bound_by = "route" if allowed_s >= route.timeout_s else "caller"
    return bound_by, allowed_s


def work_of(
    facts: CallFacts,
    route: Route,
    organisation: KeyedOrganisation | None,
    arrived_at_s: float,
    *,
    unread_since_s: float,
    resubmitted: bool,
    identity: RequestIdentity,
) -> Work:
    """Return the size and deadlines of a request for a backend server.

    The caller's time runs from the arrival at the socket, so the deadlines count from
    the earliest moment at which that may have been.

    Parameters
    ----------
    arrived_at_s : float
        When it was read, on the clock of `boot_time_s`.
    unread_since_s : float
        Time before which it cannot have arrived.
    resubmitted : bool
        Whether the caller has resubmitted it; it then has no target latency left.
    identity : RequestIdentity
        Tells whether it is the same as an earlier one.
    """
    priority = route.priority
    if organisation is not None and organisation.priority is not None:
        priority = organisation.priority
    waiting_since_s = min(arrived_at_s, unread_since_s)
    deadline_at_s = deadline_of(facts, route, waiting_since_s)
    return Work(
        organisation=organisation.name if organisation else "",
        arrived_at_s=arrived_at_s,
        on_time_until_s=arrived_at_s + (0.0 if resubmitted else route.target_latency_s),
        caller_timeout_at_s=min(
            deadline_at_s, waiting_since_s + first_event_wait_s(route)
        ),
        deadline_at_s=deadline_at_s,
        prompt_tokens=facts.prompt_tokens,
        output_tokens=facts.output_tokens,
        parts=facts.parts,
        priority=priority,
        resubmitted=resubmitted,
        identity=identity,
    )
