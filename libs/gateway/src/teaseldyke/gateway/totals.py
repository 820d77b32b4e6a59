"""Exchange of totals between the instances of a fleet, by datagrams.

Each datagram holds complete totals, so lost, late and repeated ones do no harm, and
there is no connection that can stall. `pynng` is not used: its connections need a
keep-alive of their own, and a round trip costs about 290 us of processor time.
"""

from __future__ import annotations

import math
import socket
from typing import Protocol

import attrs
import msgspec

from teaseldyke.placement import (
    CrashEvidence,
    FairShares,
    Load,
    SuspectReport,
)
from teaseldyke.telemetry import log_decision
from teaseldyke.timers import boot_time_s

from .interfaces import Directory, KnownVersions, LostCalls, Peer
from .membership import ALIVE_TIMEOUT_S, Membership
from .placing import Placer
from .rollouts import Rollouts
from .sums import (
    DEMAND_UNITS,
    FleetTotals,
    RelayedChanges,
    Sums,
    TotalsMessage,
    accused_parts,
    accused_requests,
    add_up,
    encoded_versions,
    newest_limits,
    server_number,
)
from .view import FleetView

EXCHANGE_INTERVAL_S = 0.1  # between two rounds; an engine's load changes about as fast
# Above it, rounds are further apart: traffic between failure domains was the largest
# cost of a large fleet at low load.
DATAGRAMS_PER_S = 100
TOTALS_TTL_ROUNDS = 4.0  # totals that were not renewed for so many rounds expire
DATAGRAM_BYTES = 65536
DATAGRAMS_PER_READ_MAX = 512  # several seconds' worth in the largest fleet
SAMPLE_ROUNDS = 16  # suspects that aren't held are told in one of so many rounds
SUSPECTS_SAMPLE = 32  # of them, at a time
USAGE_ROUNDS = 4  # a large fleet sends usage in one of so many rounds
# Rounds until all instances know of a send: one to the neighbours, one to the others.
PROPAGATION_ROUNDS = 2
ERROR_MAX = 200  # characters in a log line
# Longer than between two messages of an idle instance.
PAUSE_SETTLE_S = 0.4
IDLE_SKIP_MAX = 2  # rounds skipped in a row; an idle instance still counts as alive


class SharedStreams(Protocol):
    """What instances tell each other of streams and their software versions."""

    def news(self, *, is_far: bool) -> list[tuple[str, str, bytes]]:
        """Return the streams to tell others next."""
        ...

    def has_news(self, *, has_far: bool) -> bool:
        """Return whether there are streams to tell others about."""
        ...

    def listed(self) -> list[tuple[str, str]]:
        """Return the versions that the store lists, to tell others."""
        ...

    def merge(
        self,
        streams: list[tuple[str, str, bytes]],
        listed: list[tuple[str, str]],
        *,
        is_neighbour: bool,
    ) -> None:
        """Add what another instance has told; raises `ValueError` if it is odd."""
        ...


class TotalsExchange:
    """Sends this instance's totals and sums up those of the others.

    Parameters
    ----------
    own : Peer
        This instance.
    view, directory
        What this instance knows of the fleet and of the store's entries.
    evidence : CrashEvidence
        What crashed servers say of requests, exchanged like the totals.

    Attributes
    ----------
    peer_ahead : tuple or None
        Peer that knows newer entries than this instance, with its versions.
    streams : SharedStreams or None
        What instances tell each other of streams.
    rollouts : Rollouts or None
        What instances tell each other of roll-outs.
    """

    def __init__(
        self,
        own: Peer,
        view: FleetView,
        directory: Directory,
        evidence: CrashEvidence,
    ) -> None:
        self.own = own
        self.peer_ahead: tuple[Peer, KnownVersions] | None = None
        self.streams: SharedStreams | None = None
        self.rollouts: Rollouts | None = None
        self._view = view
        self._directory = directory
        self._evidence = evidence
        self._membership = Membership(own)
        self._totals = FleetTotals(self._membership)
        self._born_s = boot_time_s()
        self._number = 0
        self._skipped = 0
        self._next_round_at_s = 0.0
        self._read_at_s = self._born_s
        self._arrived_after_s = self._born_s  # datagrams of the last read
        self._paused_until_s = -math.inf
        self._versions_ahead: KnownVersions | None = None
        self._round_s = EXCHANGE_INTERVAL_S
        self._send_round_at_s = 0.0
        self._summed_at_s = self._born_s
        self._oldest_age_s = 0.0
        self._last_content: tuple[object, ...] = ()
        # Versions of a message that were found to be known here, as nearly all are.
        self._versions_known: tuple[object, ...] = ()
        self._decoder = msgspec.msgpack.Decoder(TotalsMessage | RelayedChanges)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.own.name

    @property
    def neighbourhood(self) -> str:
        """Name of this instance's neighbourhood."""
        return str(self._membership.neighbourhood_of(self.own.name))

    @property
    def instances(self) -> int:
        """Number of instances that share the fleet's limits, this one included."""
        return self._membership.instances

    def demand_of_neighbours(self, service: str) -> dict[str, float]:
        """Return recent requests at each other instance of the neighbourhood."""
        return self._totals.demand_of_neighbours(service, boot_time_s())

    def demand_of_neighbourhoods(self, service: str) -> dict[str, float]:
        """Return recent requests in each other neighbourhood."""
        return self._totals.demand_of_neighbourhoods(service, boot_time_s())

    @property
    def lag_s(self) -> float:
        """Time until the other instances know of a send, at the current interval."""
        rounds = PROPAGATION_ROUNDS if self._membership.neighbourhoods > 1 else 1
        return rounds * self._round_s if self._membership.instances > 1 else 0.0

    @property
    def totals_age_s(self) -> float:
        """Age of the oldest totals of other instances in use."""
        return boot_time_s() - self._summed_at_s + self._oldest_age_s

    @property
    def alive(self) -> int:
        """Number of instances heard of lately, this one included."""
        return self._membership.alive

    def rank(self, key: str) -> int:
        """Return this instance's rendezvous rank in the fleet for a key, from 0."""
        return self._membership.rank(key)

    @property
    def in_touch_as_of_s(self) -> float:
        """Since when most instances were heard of; -inf if one knows newer entries.

        After a pause of this instance, old datagrams are read first.
        """
        ahead = self._versions_ahead
        if ahead is not None and self._directory.is_behind(ahead):
            return -math.inf
        if boot_time_s() - self._paused_until_s < PAUSE_SETTLE_S:
            return -math.inf
        return min(self._membership.majority_heard_at_s, self._arrived_after_s)

    def neighbour_names(self) -> list[str]:
        """Return the live instances of the neighbourhood, this one included."""
        return [peer.name for peer in self._membership.neighbours()]

    def open(self) -> None:
        """Bind the socket."""
        self._socket.bind((self.own.host, self.own.port))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def add_peers(self, peers: list[Peer]) -> None:
        """Add listed instances to the exchange."""
        self._membership.add_all(peers, boot_time_s())

    def read(self) -> None:
        """Read all datagrams that have arrived; called before each round.

        A wake-up for each datagram would cost more than the datagram itself, and its
        totals are used in the next round only.
        """
        as_of_s, read_at_s = self._read_at_s, boot_time_s()
        self._arrived_after_s = as_of_s
        if read_at_s - as_of_s > ALIVE_TIMEOUT_S:
            self._paused_until_s = read_at_s
        try:
            for _ in range(DATAGRAMS_PER_READ_MAX):
                self._read_datagram(as_of_s)
        except BlockingIOError:
            self._read_at_s = read_at_s
        except OSError as exc:
            log_decision("totals_not_received", error=str(exc))

    def _read_datagram(self, as_of_s: float) -> None:
        data, address = self._socket.recvfrom(DATAGRAM_BYTES)
        try:
            self._handle_datagram(data, as_of_s)
        except Exception as exc:
            # An instance of another build, or a stray sender, must not end this one.
            error = f"{type(exc).__name__}: {exc}"[:ERROR_MAX]
            log_decision("totals_unreadable", sender=address, error=error)

    def _handle_datagram(self, data: bytes, as_of_s: float) -> None:
        """Handle a datagram that arrived after `as_of_s`.

        Raises
        ------
        msgspec.DecodeError, ValueError
            If it can't be decoded.
        """
        message = self._decoder.decode(data)
        if isinstance(message, RelayedChanges):
            self._directory.apply_changes(message.data, as_of_s)
            return
        if not self._totals.receive(message, boot_time_s()):
            return
        self._view.keep_evacuated_for_peer(message.kept_evacuated)
        self._view.merge_limits(message.stated_limits, message.name)
        self._view.merge_said_leaving(message.said_leaving, message.name)
        if message.accused_parts or message.accused_requests:
            self._evidence.merge(message.suspects(), boot_time_s())
        if self.streams is not None:
            self.streams.merge(
                message.begun_streams,
                message.listed_versions,
                is_neighbour=message.neighbourhood == (0, 0),
            )
        if message.lost_calls is not None:
            age_s, was_away = message.lost_calls
            lost = LostCalls(boot_time_s() - age_s, was_away)
            self._directory.note_lost_calls(lost)
        stated = (message.era, message.versions, message.configuration)
        if stated == self._versions_known:
            return
        versions = message.known_versions
        if self._directory.is_behind(versions):
            sender = Peer(message.name, message.host, message.port)
            self.peer_ahead = (sender, versions)
            self._versions_ahead = versions
            return
        self._versions_known = stated

    def send(self, placer: Placer) -> None:
        """Apply the others' totals, and send this instance's if a round is due."""
        now_s = boot_time_s()
        self._membership.refresh(now_s)
        rank, pollers = self._membership.poll_rank()
        self._directory.take_place(self._membership.feed_role(), rank, pollers)
        neighbours = self._totals.neighbour_sums(now_s)
        if now_s - self._summed_at_s >= self._round_s / 2.0:
            others = self._totals.other_neighbourhood_sums(now_s)
            self._oldest_age_s = self._totals.oldest_age_s(now_s)
            self._summed_at_s = now_s
            self._apply_totals(add_up([*neighbours, *others]), placer.fair_shares)
        self._start_send_round(placer, now_s)
        own = self._own_sums(placer, now_s)
        if self._may_skip_round([own, *neighbours], now_s):
            return
        near, far = self._membership.receivers(now_s)
        round_s = max(EXCHANGE_INTERVAL_S, (len(near) + len(far)) / DATAGRAMS_PER_S)
        self._round_s = round_s
        self._next_round_at_s = now_s + round_s - EXCHANGE_INTERVAL_S / 2.0
        self._membership.alive_s = max(ALIVE_TIMEOUT_S, TOTALS_TTL_ROUNDS * round_s)
        self._number += 1
        self._send_to(near, own, (0, 0), [])
        if far:
            number = self._membership.neighbourhood_of(self.own.name)
            key = (number, self._membership.neighbourhoods)
            members = self._membership.neighbours()
            self._send_to(far, add_up([own, *neighbours]), key, members)

    def _may_skip_round(self, sums: list[Sums], now_s: float) -> bool:
        """Return whether no round is due, or nothing has changed since the last."""
        if now_s < self._next_round_at_s:
            return True
        has_far = self._membership.neighbourhoods > 1
        if self.streams is not None and self.streams.has_news(has_far=has_far):
            return False
        # Usage is not compared: it changes all the time, and fair shares tolerate old
        # values.
        loads = [(part.loads, part.waiting, part.rollouts) for part in sums]
        content = (
            self._directory.versions,
            self._membership.instances,
            self._evidence.changed_at_s,
            self._view.limits_changed_at_s,
            self._view.said_leaving(),
            self._directory.polls.lost,
            loads,
        )
        may_skip = (
            self._skipped < IDLE_SKIP_MAX
            and (self._skipped + 2) * self._round_s <= ALIVE_TIMEOUT_S
        )
        if content == self._last_content and may_skip:
            self._skipped += 1
            return True
        self._skipped = 0
        self._last_content = content
        return False

    def _own_sums(self, placer: Placer, now_s: float) -> Sums:
        loads = {}
        for state in self._view.all_states():
            own = state.own_load
            if own.running:
                loads[server_number(state.server.id)] = (
                    int(own.pending_tokens),
                    own.running,
                    int(own.memory_tokens),
                )
        usage = placer.fair_shares.own_usage(now_s)
        return Sums(
            loads,
            {name: int(value) for name, value in placer.queued_tokens().items()},
            {name: int(value) for name, value in usage.items() if value >= 1.0},
            {
                name: int(DEMAND_UNITS * value)
                for name, value in placer.limits.demand.own(now_s).items()
            },
            self.rollouts.sums() or None if self.rollouts is not None else None,
        )

    async def relay(self, data: bytes) -> None:
        """Send the neighbours changes of the store's entries."""
        others = [peer for peer in self._membership.neighbours() if peer != self.own]
        self._send_data(others, msgspec.msgpack.encode(RelayedChanges(data)))

    def _send_to(
        self,
        peers: list[Peer],
        sums: Sums,
        neighbourhood: tuple[int, int],
        members: list[Peer],
    ) -> None:
        if self._number % USAGE_ROUNDS and self._membership.neighbourhoods > 1:
            sums = Sums(sums.loads, sums.waiting, None, sums.demand, sums.rollouts)
        known = self._directory.versions
        versions, era = encoded_versions(known)
        suspects = self._evidence_to_send(is_far=bool(members))
        begun: list[tuple[str, str, bytes]] = []
        listed: list[tuple[str, str]] = []
        if self.streams is not None:
            begun = self.streams.news(is_far=bool(members))
            listed = self.streams.listed()
        limits = self._view.limits_to_report()
        if members:
            limits += self._totals.neighbour_limits(boot_time_s())
        data = msgspec.msgpack.encode(
            TotalsMessage(
                self.own.name,
                self.own.host,
                self.own.port,
                self._born_s,
                self._number,
                versions,
                neighbourhood,
                [attrs.astuple(peer) for peer in members],
                [attrs.astuple(peer) for peer in self._membership.gossip_sample()],
                sums,
                era,
                known.configuration,
                self._view.kept_evacuated,
                accused_parts(suspects),
                newest_limits(limits),
                self._view.said_leaving(),
                accused_requests(suspects),
                begun,
                listed,
                self._directory.polls.loss_to_tell(boot_time_s()),
            )
        )
        self._send_data(peers, data)

    def _evidence_to_send(self, *, is_far: bool) -> list[SuspectReport]:
        """Return the suspects that changed, and now and then some for newcomers.

        Neighbours hear of each change from the instance that found it.
        """
        now_s = boot_time_s()
        reports = self._evidence.news(now_s, relayed=is_far)
        if self._number % USAGE_ROUNDS:
            return reports
        known = {report.key for report in reports}
        is_long = self._number % SAMPLE_ROUNDS == 0
        sample = self._evidence.sample(now_s, SUSPECTS_SAMPLE if is_long else 0)
        return reports + [report for report in sample if report.key not in known]

    def _send_data(self, peers: list[Peer], data: bytes) -> None:
        for peer in peers:
            try:
                self._socket.sendto(data, (peer.host, peer.port))
            except OSError as exc:
                log_decision("totals_not_sent", peer=peer.name, error=str(exc))

    def _start_send_round(self, placer: Placer, now_s: float) -> None:
        """Start a new round of sends once the others know of the last round's."""
        if now_s - self._send_round_at_s < self.lag_s - EXCHANGE_INTERVAL_S / 2.0:
            return
        self._send_round_at_s = now_s
        placer.start_send_round()

    def _apply_totals(self, peer_sums: Sums, fair_shares: FairShares) -> None:
        """Replace the other instances' load per server, usage and queued tokens."""
        if peer_sums.rollouts and self.rollouts is not None:
            self.rollouts.hear(peer_sums.rollouts)
        for server in self._view.all_states():
            totals = peer_sums.loads.get(server_number(server.server.id), (0, 0, 0))
            pending, running, memory = totals
            server.peer_load = Load(pending, running, memory)
        usage = peer_sums.usage or {}
        fair_shares.peer_usage = {k: float(v) for k, v in usage.items()}
        fair_shares.peer_queued = {k: float(v) for k, v in peer_sums.waiting.items()}
