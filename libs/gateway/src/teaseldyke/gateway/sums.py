"""Messages with which instances exchange totals, and the sums of those received."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from functools import lru_cache

import attrs
import msgspec

from teaseldyke.placement import REQUEST_DEPTH, SuspectReport
from teaseldyke.telemetry import log_decision
from teaseldyke.types import StoreVersion

from .interfaces import KnownVersions, Peer
from .membership import Membership
from .rollout_sums import RolloutSums, add_up_rollouts

DEMAND_UNITS = 100  # in a request; datagrams hold whole numbers
NumberedLimit = tuple[int, float, float]
AccusedPart = tuple[str, int, float, dict[str, float]]
# In a message, before the key of a crash at which no request with the part was known
# to be about to begin.
UNBEGUN_MARK = "?"
AccusedRequest = tuple[str, float, dict[str, float], int, float, int]


class Sums(msgspec.Struct, array_like=True):
    """Totals of one instance or of several.

    Attributes
    ----------
    loads : dict
        By backend server's number: prompt tokens to prefill, requests in flight,
        tokens that they occupy in memory when they end.
    waiting : dict
        By organisation: cost in tokens of queued requests.
    usage : dict or None
        By organisation: recent usage in tokens; None in most rounds of a large fleet.
    demand : dict
        By service: recent requests of callers, in hundredths.
    rollouts : dict or None
        By order of a roll-out: stage, age and answers, as in `Rollouts.sums`.
    """

    loads: dict[int, tuple[int, int, int]] = {}
    waiting: dict[str, int] = {}
    usage: dict[str, int] | None = None
    demand: dict[str, int] = {}
    rollouts: dict[str, RolloutSums] | None = None


class TotalsMessage(msgspec.Struct, array_like=True, frozen=True, tag="totals"):
    """Totals that one instance sends another.

    Attributes
    ----------
    name, host, port
        The sender.
    born_s : float
        Start of its process, to tell restarts apart.
    number : int
        Sequence number, which grows with each round of a process.
    versions : tuple of int
        Numbers of the newest changes known to it of the operator's and of the servers'
        entries, within ``era``.
    neighbourhood : tuple of int
        Index of the neighbourhood that the sums cover and number of neighbourhoods;
        both 0 for the sender's own totals.
    members : list of tuple
        Instances that the sums cover, as name, host and port.
    mentions : list of tuple
        Sample of live instances, as name, host and port.
    sums : Sums
        The totals.
    era : int
        Newest era of the store known to it.
    configuration : int
        The operator's number of the newest configuration known to it.
    kept_evacuated : list of str
        Failure domains that it keeps evacuated although a restored store lost the
        entries.
    accused_parts : list of tuple
        Parts of prompts that crashes accuse: key, depth, time since the last clearance
        and since each crash, as in `SuspectReport`; empty in most rounds without a
        change.
    stated_limits : list of tuple
        What servers said of their limits, to the sender or, in sums, to its neighbours:
        number of the server's start, requests a second (-1 for no limit), and the time
        in seconds since.
    said_leaving : list of int
        Numbers of the starts of servers whose answers said that they leave, to any
        instance.
    accused_requests : list of tuple
        Requests that crashes accuse: key, time since the last clearance and since each
        crash, trials, time since the last trial, and sequels.
    begun_streams : list of tuple
        Streams that have begun lately: service, software version, and joined keys.
        Empty unless streams may be of several versions.
    listed_versions : list of tuple
        Services and software versions that the store lists, at the same times.
    lost_calls : tuple or None
        Calls of the store that the sender has lately found to be lost: since when in
        seconds, and whether the store was away, as in `LostCalls`.
    """

    name: str
    host: str
    port: int
    born_s: float
    number: int
    versions: tuple[int, int]
    neighbourhood: tuple[int, int]
    members: list[tuple[str, str, int]]
    mentions: list[tuple[str, str, int]]
    sums: Sums
    era: int = 0
    configuration: int = -1
    kept_evacuated: list[str] = []
    accused_parts: list[AccusedPart] = []
    stated_limits: list[NumberedLimit] = []
    said_leaving: list[int] = []
    accused_requests: list[AccusedRequest] = []
    begun_streams: list[tuple[str, str, bytes]] = []
    listed_versions: list[tuple[str, str]] = []
    lost_calls: tuple[float, bool] | None = None

    @property
    def known_versions(self) -> KnownVersions:
        """Newest versions that the sender knows of the store's entries."""
        operator, servers = self.versions
        return KnownVersions(
            StoreVersion(self.era, operator),
            StoreVersion(self.era, servers),
            self.configuration,
        )

    def suspects(self) -> list[SuspectReport]:
        """Return the accused parts and requests."""
        reports = [_part_report(*fields) for fields in self.accused_parts]
        for request in self.accused_requests:
            key, cleared_age_s, crash_ages_s, trials, tried_age_s, sequels = request
            reports.append(
                SuspectReport(
                    key,
                    REQUEST_DEPTH,
                    cleared_age_s,
                    crash_ages_s,
                    trials,
                    tried_age_s,
                    sequels,
                )
            )
        return reports


def encoded_versions(known: KnownVersions) -> tuple[tuple[int, int], int]:
    """Return the numbers of a message's ``versions``, and their era.

    The number of a table that was not read in that era yet is 0.
    """
    era = max(known.operator.era, known.servers.era)
    operator, servers = (
        version.number if version.era == era else 0
        for version in (known.operator, known.servers)
    )
    return (operator, servers), era


class RelayedChanges(msgspec.Struct, array_like=True, frozen=True, tag="table"):
    """Changes of the store's entries, as the directory encodes them."""

    data: bytes


@attrs.frozen
class _Received:
    message: TotalsMessage
    at_s: float

    def is_newer_than(self, other: _Received | None) -> bool:
        """Return whether a message supersedes an earlier one of the same sender."""
        if other is None:
            return True
        last, this = other.message, self.message
        return (last.born_s, last.number) < (this.born_s, this.number)


class FleetTotals:
    """Keeps the newest totals received from each instance and neighbourhood.

    Parameters
    ----------
    membership : Membership
        Instances of the fleet; updated from the messages.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self._by_instance: dict[str, _Received] = {}
        self._by_neighbourhood: dict[tuple[int, int], _Received] = {}

    def receive(self, message: TotalsMessage, now_s: float) -> bool:
        """Store a message; return whether it is newer than the last of its sender.

        Without usage, the usage of the last message stays.
        """
        received = _Received(message, now_s)
        key = message.neighbourhood
        is_own = key == (0, 0)
        last = self._last(key, message.name)
        if last is not None and last.message.name != message.name:
            last = None  # numbers of two senders can't be compared
        if not received.is_newer_than(last):
            return False
        if message.sums.usage is None:
            known = self._last(key, message.name)
            message.sums.usage = known.message.sums.usage if known else None
        if is_own:
            self._by_instance[message.name] = received
        else:
            self._by_neighbourhood[key] = received
        sender = (message.name, message.host, message.port)
        for peer in (sender, *message.members):
            if self.membership.record_alive(*peer, now_s):
                log_decision("peer_found", peer=peer[0])
        for peer in message.mentions:
            if self.membership.knows(*peer):
                continue
            if self.membership.add(Peer(*peer), now_s):
                log_decision("peer_found", peer=peer[0], by=message.name)
        return True

    def _last(self, key: tuple[int, int], sender: str) -> _Received | None:
        if key == (0, 0):
            return self._by_instance.get(sender)
        return self._by_neighbourhood.get(key)

    def neighbour_sums(self, now_s: float) -> list[Sums]:
        """Return the totals of the other instances in the own neighbourhood."""
        neighbourhood_of = self.membership.neighbourhood_of
        own = neighbourhood_of(self.membership.own.name)
        self._by_instance = {
            name: received
            for name, received in self._by_instance.items()
            if now_s - received.at_s <= self.membership.alive_s
        }
        return [
            received.message.sums
            for name, received in self._by_instance.items()
            if neighbourhood_of(name) == own
        ]

    def neighbour_limits(self, now_s: float) -> list[NumberedLimit]:
        """Return what servers told the other instances in the own neighbourhood."""
        neighbourhood_of = self.membership.neighbourhood_of
        own = neighbourhood_of(self.membership.own.name)
        return [
            (number, per_s, age_s + now_s - received.at_s)
            for name, received in self._by_instance.items()
            if neighbourhood_of(name) == own
            for number, per_s, age_s in received.message.stated_limits
        ]

    def demand_of_neighbours(self, service: str, now_s: float) -> dict[str, float]:
        """Return the requests at each other live instance of the neighbourhood."""
        neighbourhood_of = self.membership.neighbourhood_of
        own = neighbourhood_of(self.membership.own.name)
        return {
            name: received.message.sums.demand.get(service, 0) / DEMAND_UNITS
            for name, received in self._by_instance.items()
            if neighbourhood_of(name) == own
            and now_s - received.at_s <= self.membership.alive_s
        }

    def demand_of_neighbourhoods(self, service: str, now_s: float) -> dict[str, float]:
        """Return the requests in each other neighbourhood."""
        count = self.membership.neighbourhoods
        own = self.membership.neighbourhood_of(self.membership.own.name)
        return {
            str(number): received.message.sums.demand.get(service, 0) / DEMAND_UNITS
            for (number, of), received in self._by_neighbourhood.items()
            if of == count
            and number != own
            and now_s - received.at_s <= self.membership.alive_s
        }

    def oldest_age_s(self, now_s: float) -> float:
        """Return the age in seconds of the oldest totals still in use."""
        received = [*self._by_instance.values(), *self._by_neighbourhood.values()]
        ages_s = [now_s - part.at_s for part in received]
        return max((s for s in ages_s if s <= self.membership.alive_s), default=0.0)

    def other_neighbourhood_sums(self, now_s: float) -> list[Sums]:
        """Return the sums of the other neighbourhoods."""
        count = self.membership.neighbourhoods
        own = (self.membership.neighbourhood_of(self.membership.own.name), count)
        return [
            received.message.sums
            for key, received in self._by_neighbourhood.items()
            if key != own
            and key[1] == count
            and now_s - received.at_s <= self.membership.alive_s
        ]


@lru_cache(maxsize=4096)
def server_number(server_id: str) -> int:
    """Return a hash of a backend server's id, which is shorter in datagrams."""
    return zlib.crc32(server_id.encode())


@lru_cache(maxsize=4096)
def start_number(server_id: str, started: int) -> int:
    """Return a hash of one start of a backend server."""
    return zlib.crc32(f"{server_id}:{started}".encode())


def accused_parts(reports: Iterable[SuspectReport]) -> list[AccusedPart]:
    """Return the parts among the suspects, as messages hold them."""
    return [
        (report.key, report.depth, report.cleared_age_s, _marked_ages(report))
        for report in reports
        if not report.is_request
    ]


def _marked_ages(report: SuspectReport) -> dict[str, float]:
    """Return the time since each crash, by its key as messages hold it."""
    return {
        UNBEGUN_MARK + crash if crash in report.unbegun else crash: age_s
        for crash, age_s in report.crash_ages_s.items()
    }


def _part_report(
    key: str, depth: int, cleared_age_s: float, marked_ages_s: dict[str, float]
) -> SuspectReport:
    ages_s = {
        crash.removeprefix(UNBEGUN_MARK): age_s
        for crash, age_s in marked_ages_s.items()
    }
    unbegun = frozenset(
        crash.removeprefix(UNBEGUN_MARK)
        for crash in marked_ages_s
        if crash.startswith(UNBEGUN_MARK)
    )
    return SuspectReport(key, depth, cleared_age_s, ages_s, unbegun=unbegun)


def accused_requests(reports: Iterable[SuspectReport]) -> list[AccusedRequest]:
    """Return the requests among the suspects, as messages hold them."""
    return [
        (
            report.key,
            report.cleared_age_s,
            report.crash_ages_s,
            report.trials,
            report.tried_age_s,
            report.sequels,
        )
        for report in reports
        if report.is_request
    ]


def newest_limits(limits: Iterable[NumberedLimit]) -> list[NumberedLimit]:
    """Return the newest statement of each server."""
    newest: dict[int, NumberedLimit] = {}
    for limit in limits:
        known = newest.get(limit[0])
        if known is None or limit[2] < known[2]:
            newest[limit[0]] = limit
    return list(newest.values())


def add_up(parts: Iterable[Sums]) -> Sums:
    """Return the sum of several totals."""
    loads: dict[int, tuple[int, int, int]] = {}
    usage: dict[str, int] = {}
    waiting: dict[str, int] = {}
    demand: dict[str, int] = {}
    parts = list(parts)
    rollouts = add_up_rollouts(part.rollouts for part in parts if part.rollouts)
    for part in parts:
        for number, (pending, running, memory) in part.loads.items():
            known = loads.get(number, (0, 0, 0))
            loads[number] = (known[0] + pending, known[1] + running, known[2] + memory)
        for name, tokens in (part.usage or {}).items():
            usage[name] = usage.get(name, 0) + tokens
        for name, tokens in part.waiting.items():
            waiting[name] = waiting.get(name, 0) + tokens
        for name, requests in part.demand.items():
            demand[name] = demand.get(name, 0) + requests
    return Sums(loads, waiting, usage, demand, rollouts or None)
