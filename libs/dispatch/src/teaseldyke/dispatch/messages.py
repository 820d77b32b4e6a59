"""Messages between the routers and the dispatcher of a shard."""

from __future__ import annotations

import attrs

from teaseldyke.peers import Codec

GRANT_NUMBER_BITS = 32


@attrs.frozen
class Demand:
    """Demand of one organisation at one router.

    Parameters
    ----------
    organisation : str
        Organisation that sent the requests.
    waiting : int
        Number of queued requests.
    oldest_age_s : float
        Age of the oldest queued request.
    estimate_cost : float
        Expected cost of one request.
    served_cost : float
        Cost served so far, over the whole service, since the router's start.
    elsewhere_cost : float
        Estimated cost of the router's grants in other shards of the service.
    virtual_time : float
        Largest virtual time received with a grant.
    avoid : tuple of str
        Backend servers that every queued request has to avoid.
    """

    organisation: str
    waiting: int
    oldest_age_s: float
    estimate_cost: float
    served_cost: float
    elsewhere_cost: float = 0.0
    virtual_time: float = 0.0
    avoid: tuple[str, ...] = ()


@attrs.frozen
class Holding:
    """A grant that a router holds, unused or in use."""

    grant_id: int
    organisation: str
    server: str
    estimate_cost: float
    running: bool


@attrs.frozen
class ServerCounts:
    """Cumulative results of a router's requests at one backend server."""

    server: str
    completed: int
    failed: int
    refused: int
    cold: int


@attrs.frozen
class RampState:
    """Progress of the slow start of a backend server.

    Parameters
    ----------
    server : str
        Name of the backend server.
    epoch : int
        Number of resets.
    completed : int
        Requests completed since the last reset.
    started_at_s : float, optional
        Start of the server, on its own clock, that the progress belongs to.
    """

    server: str
    epoch: int
    completed: int
    started_at_s: float | None = None


@attrs.frozen
class Report:
    """Full state of one router for one shard; supersedes all with a lower ``seq``.

    Parameters
    ----------
    shard : str
        Name of the shard.
    incarnation, seq : int
        Process of the router that sent the report, and sequence number within it.
    sent_at_s : float
        Time of sending on the router's clock, which the dispatcher echoes.
    echo_incarnation, echo_seq, echo_sent_at_s : int, int, float
        Last message of the dispatcher on which the router renewed its lease; the
        incarnation is 0 before the first.
    seen_seq : int
        Last message of that dispatcher that the router has handled.
    members : int
        Members that the router sees; 0 if its fraction must not be counted.
    promise_changes : int
        Number of changes of the dispatcher that holds the router's lease.
    held_for_s : float
        Time for which earlier leases of the router's fraction may be valid.
    predecessors_gone : bool
        Whether the process of every dispatcher with an earlier lease has ended.
    joined : bool
        Whether the router may use grants.
    wants_release : bool
        Whether the router asks the dispatcher to release its lease.
    term : int
        Largest term of a dispatcher that the router has seen.
    running : tuple of int
        Numbers (`grant_number`) of the echoed dispatcher's grants that are in use.
    holdings : tuple of Holding
        All other grants that the router holds.
    """

    shard: str
    incarnation: int
    seq: int
    sent_at_s: float
    echo_incarnation: int
    echo_seq: int
    echo_sent_at_s: float
    seen_seq: int
    members: int
    promise_changes: int
    held_for_s: float
    predecessors_gone: bool
    joined: bool
    wants_release: bool
    term: int
    demand: tuple[Demand, ...] = ()
    running: tuple[int, ...] = ()
    holdings: tuple[Holding, ...] = ()
    counts: tuple[ServerCounts, ...] = ()
    ramps: tuple[RampState, ...] = ()


@attrs.frozen
class Grant:
    """Permission to send one request of an organisation to a backend server.

    Parameters
    ----------
    grant_id : int
        Unique in the fleet.
    organisation, server : str
        Organisation that sent the request, and backend server to send it to.
    estimate_cost : float
        Charged until the actual cost is known.
    virtual_time : float
        Virtual time of the organisation, without its outstanding grants.
    ttl_s : float
        Lifetime, counted from the sending of the report that the batch echoes.
    """

    grant_id: int
    organisation: str
    server: str
    estimate_cost: float
    virtual_time: float
    ttl_s: float


@attrs.frozen
class GrantBatch:
    """Grants and revocations of a dispatcher for one router, with its state.

    Parameters
    ----------
    shard : str
        Name of the shard.
    incarnation, seq : int
        Process of the dispatcher that sent the batch, and sequence number within it.
    sent_at_s : float
        Time of sending on the dispatcher's clock, which the router echoes.
    echo_incarnation, echo_seq, echo_sent_at_s : int, int, float
        Last report of the router that the dispatcher has handled.
    term : int
        Grows with each change of the dispatcher.
    members : int
        Members of the fleet that the router may rely on; 0 if unconfirmed.
    active : bool
        Whether the shard has requests, so that routers keep renewing their leases.
    released : bool
        Whether the dispatcher releases the router's lease.
    draining : bool
        Whether the dispatcher's process is about to stop.
    list_all : bool
        Whether the router has to list its grants in full, because some are unknown to
        the dispatcher.
    """

    shard: str
    incarnation: int
    seq: int
    sent_at_s: float
    echo_incarnation: int
    echo_seq: int
    echo_sent_at_s: float
    term: int
    members: int
    active: bool
    released: bool = False
    draining: bool = False
    list_all: bool = False
    grants: tuple[Grant, ...] = ()
    revoked: tuple[int, ...] = ()
    ramps: tuple[RampState, ...] = ()


def grant_id_of(incarnation: int, number: int) -> int:
    """Return the identifier of a dispatcher's grant."""
    return (incarnation << GRANT_NUMBER_BITS) | number


def grant_number(grant_id: int) -> int:
    """Return the number of a grant within its dispatcher's process."""
    return grant_id & ((1 << GRANT_NUMBER_BITS) - 1)


@attrs.frozen
class Probe:
    """Liveness probe of a silent peer, or the answer to one."""

    is_answer: bool


MESSAGE_TYPES = (Report, GrantBatch, Probe)


def dispatch_codec() -> Codec:
    """Return the codec for the messages of this library."""
    return Codec(MESSAGE_TYPES)
