"""Messages between the routers and the dispatcher of a shard."""

from __future__ import annotations

import attrs

from teaseldyke.peers import Codec

GRANT_NUMBER_BITS = 32


@attrs.frozen
class Demand:
    """What one organisation waits for at one router.

    Parameters
    ----------
    organisation : str
        Who waits.
    waiting : int
        Requests in the queue.
    oldest_age_s : float
        Age of the oldest of them.
    estimate_cost : float
        Expected cost of one request.
    served_cost : float
        Cumulative over the whole service, since the router's start.
    elsewhere_cost : float
        Estimates of the router's grants of other shards of the service.
    virtual_time : float
        Largest virtual time that came with a grant.
    avoid : tuple of str
        Backend servers that none of the waiting requests may go to.
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
    """A grant that a router holds unused or runs a request under."""

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
    """How far the slow start of a backend server has come."""

    server: str
    epoch: int
    completed: int


@attrs.frozen
class Report:
    """Full state of one router for one shard; supersedes all with a lower ``seq``.

    Parameters
    ----------
    shard : str
        Shard that the report is about.
    incarnation, seq : int
        Which process of the router sent it, and in which order.
    sent_at_s : float
        On the router's clock; the dispatcher echoes it.
    echo_incarnation, echo_seq, echo_sent_at_s : int, int, float
        Last message of the dispatcher that the router renewed its promise on; the
        incarnation is 0 before the first.
    seen_seq : int
        Last message of that dispatcher that the router took in.
    members : int
        Members that the router sees; 0 when its part may not be counted.
    promise_changes : int
        Grows when the router promises its part to another dispatcher.
    held_for_s : float
        Older promises bind the router's part for so long.
    predecessors_gone : bool
        Whether every dispatcher with an older promise is proven gone.
    joined : bool
        Whether the router may use grants.
    wants_release : bool
        Whether the router asks the dispatcher to hand its part back.
    term : int
        Largest term of a dispatcher that the router has seen.
    running : tuple of int
        Grants of the echoed dispatcher that are in use, by `grant_number`.
    holdings : tuple of Holding
        All other grants that the router has.
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
        Unique over the fleet.
    organisation, server : str
        Whose request, and where to.
    estimate_cost : float
        Charged until the real cost is known.
    virtual_time : float
        Of the organisation, without its outstanding grants.
    ttl_s : float
        Usable for so long after the sending of the report that the batch echoes.
    """

    grant_id: int
    organisation: str
    server: str
    estimate_cost: float
    virtual_time: float
    ttl_s: float


@attrs.frozen
class GrantBatch:
    """What a dispatcher tells one router.

    Parameters
    ----------
    shard : str
        Shard that the batch is about.
    incarnation, seq : int
        Which process of the dispatcher sent it, and in which order.
    sent_at_s : float
        On the dispatcher's clock; the router echoes it.
    echo_incarnation, echo_seq, echo_sent_at_s : int, int, float
        Last report of the router that the dispatcher took in.
    term : int
        Grows with each change of the dispatcher.
    members : int
        Members that the dispatcher sees; 0 when it is not sure of them.
    active : bool
        Whether the shard has work, so that routers renew their promises.
    released : bool
        Whether the router's part is handed back.
    draining : bool
        Whether the dispatcher's process will stop.
    list_all : bool
        Whether the router should list its grants in full, because the dispatcher
        does not know some of them.
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
    """Return the part of a grant's identifier that its dispatcher counts."""
    return grant_id & ((1 << GRANT_NUMBER_BITS) - 1)


@attrs.frozen
class Probe:
    """Asks a silent peer for a sign of life, or answers."""

    is_answer: bool


MESSAGE_TYPES = (Report, GrantBatch, Probe)


def dispatch_codec() -> Codec:
    """Return the codec that knows every message of this library."""
    return Codec(MESSAGE_TYPES)
