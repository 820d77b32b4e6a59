"""What an instance knows of routes, backend servers and failure domains."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import attrs

from teaseldyke.placement import (
    ColdRateLimit,
    LimitReport,
    ServerState,
)
from teaseldyke.telemetry import log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer, RolloutOrder, RoutingTable

from .statement_log import log_limit_changed, log_said_leaving
from .sums import NumberedLimit, start_number

LEFT_SERVERS_MAX = 1000  # remembered starts of servers that left
RENEWAL_S = 2.0  # servers reach the store again within it
ENTRY_HEARTBEATS = 3  # that a server may miss before its entry lapses
DEFAULT_HEARTBEAT_S = 1.2
# The operator has written evacuations again by then, if they are still wanted.
KEPT_EVACUATION_S = 30.0
PEER_EVACUATION_S = 2.0  # for which a peer's word holds; renewed by its messages
REMOVAL_GRACE_S = 1.8  # lapsed entries are renewed within 2 s of the store's return
INITIAL_RATE_FACTOR = 2.0  # of the stated production per engine, before any measurement
DEFAULT_RATE_TOKENS_PER_S = 50_000.0  # if the operator states no production


class VersionGate(Protocol):
    """Decides which software versions may get requests."""

    def apply_routing(self, table: RoutingTable) -> None:
        """Find the services with streams that callers can resume."""
        ...

    def observe(
        self,
        states: Iterable[ServerState],
        servers_as_of_s: float,
        now_s: float,
        *,
        store_available: bool,
    ) -> None:
        """Record the versions of all servers that are known."""
        ...

    def may_serve(self, server: AnnouncedServer, now_s: float) -> bool:
        """Return whether a server's version may begin streams."""
        ...


@attrs.frozen
class _LeftServer:
    """Last announcement of a server that left.

    Parameters
    ----------
    started : int
        As in its announcement.
    said_leaving : bool
        Whether an answer of it stated that it leaves.
    """

    started: int
    said_leaving: bool = False


@attrs.frozen
class _Vanished:
    """Since when an entry is missing, and until when it may come back."""

    at_s: float
    doubted_until_s: float


class FleetView:
    """The newest configuration and the state of each backend server.

    Parameters
    ----------
    on_change : callable
        Called after each change, to retry queued requests.
    heartbeat_s : float
        Interval at which backend servers renew their entries.

    Attributes
    ----------
    servers_as_of_s : float
        All changes of the servers' entries up to this moment are known, on the clock
        of `boot_time_s`.
    in_force_since_s : float
        When the current configuration was applied, on the same clock.
    version_gate : VersionGate or None
        Decides which software versions may get requests; all may without one.
    on_rollouts : callable
        Called with the roll-outs that operators have ordered.
    """

    def __init__(
        self,
        on_change: Callable[[], None],
        heartbeat_s: float = DEFAULT_HEARTBEAT_S,
    ) -> None:
        self.table: RoutingTable | None = None
        self.in_force_since_s = math.inf
        self.evacuated: frozenset[str] = frozenset()
        self.store_available = False
        self.servers_known = False
        self.servers_as_of_s = -math.inf
        self.version_gate: VersionGate | None = None
        self.on_rollouts: Callable[[Sequence[RolloutOrder]], None] = lambda orders: None
        self._store_back_at_s = 0.0
        self._states: dict[str, ServerState] = {}
        self._vanished: dict[str, _Vanished] = {}
        # Last announcement of each server that left or was removed, by id.
        self._left: OrderedDict[str, _LeftServer] = OrderedDict()
        self._held: dict[str, AnnouncedServer] = {}
        self._listed_evacuated: frozenset[str] = frozenset()
        self._kept_evacuated_until_s: dict[str, float] = {}
        self._peer_evacuated_until_s: dict[str, float] = {}
        self._by_service: dict[str, list[ServerState]] = {}
        self._on_change = on_change
        self._entry_lifetime_s = RENEWAL_S + ENTRY_HEARTBEATS * heartbeat_s

    def apply_routing(self, table: RoutingTable) -> None:
        """Apply a configuration if it is newer than the current one."""
        if self.table is not None and table.version <= self.table.version:
            return
        log_decision(
            "configuration_in_force",
            version=table.version,
            replaces=self.table.version if self.table else None,
        )
        self.table = table
        self.in_force_since_s = boot_time_s()
        if self.version_gate is not None:
            self.version_gate.apply_routing(table)
        for state in self._states.values():
            state.cold_rate_limit.rate_per_s = self._cold_rate(state.server.service)
            if state.rate_tokens_per_s <= 0.0:
                state.rate_tokens_per_s = self._initial_rate(state.server.service)
        self._on_change()

    def apply_servers(
        self, servers: Sequence[AnnouncedServer], *, restored: bool = False
    ) -> None:
        """Replace the set of listed backend servers.

        A restored store lists servers as they were when its copy was made. Entries
        older than what is known are held: they change nothing until they are written
        again, or have lasted so long that their servers must have renewed them.
        """
        now_s = boot_time_s()
        self.servers_known = True
        if restored:
            self._doubt_removals(now_s)
        held: dict[str, AnnouncedServer] = {}
        listed: dict[str, AnnouncedServer] = {}
        for server in servers:
            if self._held.get(server.id) == server:
                held[server.id] = server
                continue
            if restored and self._is_outdated(server):
                held[server.id] = server
                log_decision("server_entry_held", server=server.id)
                continue
            listed[server.id] = server
        self._held = held
        for server_id, server in listed.items():
            self._apply_server(server, now_s)
            self._vanished.pop(server_id, None)
        for server_id in self._states.keys() - listed.keys() - held.keys():
            if server_id in self._vanished:
                continue
            self._vanished[server_id] = _Vanished(now_s, self._doubted_until_s(now_s))
            self._remember_left(self._states[server_id])
            log_decision("server_vanished", server=server_id)
        self.refresh()

    def apply_evacuated(
        self, failure_domains: frozenset[str], *, restored: bool = False
    ) -> None:
        """Replace the failure domains that the operator lists as evacuated.

        An evacuation that a restored store has lost is kept until the operator has
        written it again, or for a limited time.
        """
        now_s = boot_time_s()
        if restored:
            self._doubt_removals(now_s)
            for domain in self._listed_evacuated - failure_domains:
                self._kept_evacuated_until_s[domain] = now_s + KEPT_EVACUATION_S
                log_decision("evacuation_kept", failure_domain=domain)
        for domain in failure_domains:
            self._kept_evacuated_until_s.pop(domain, None)
        self._listed_evacuated = failure_domains
        self._update_evacuated(now_s)
        self.refresh()

    @property
    def kept_evacuated(self) -> list[str]:
        """Failure domains kept evacuated although the store has lost the entries."""
        return list(self._kept_evacuated_until_s)

    def keep_evacuated_for_peer(self, failure_domains: Iterable[str]) -> None:
        """Keep failure domains evacuated as long as another instance keeps them."""
        for domain in failure_domains:
            until_s = boot_time_s() + PEER_EVACUATION_S
            self._peer_evacuated_until_s[domain] = until_s

    def _update_evacuated(self, now_s: float) -> None:
        """Recompute the failure domains that get no new requests."""
        evacuated = set(self._listed_evacuated)
        for kept in (self._kept_evacuated_until_s, self._peer_evacuated_until_s):
            for domain, until_s in list(kept.items()):
                if now_s >= until_s:
                    del kept[domain]
                    continue
                evacuated.add(domain)
        for domain in self.evacuated - evacuated:
            log_decision("failure_domain_back", failure_domain=domain)
            self._mark_cold(domain, now_s)
        for domain in evacuated - self.evacuated:
            log_decision("failure_domain_out", failure_domain=domain)
        self.evacuated = frozenset(evacuated)

    def _doubt_removals(self, now_s: float) -> None:
        """Give servers whose entries a restored store lacks time to renew them."""
        self._store_back_at_s = now_s

    def _is_outdated(self, server: AnnouncedServer) -> bool:
        """Return whether an entry of a restored store is older than what is known.

        A removal also covers starts of the server that this instance never saw.
        """
        state = self._states.get(server.id)
        if state is None or server.id in self._vanished:
            return server.id in self._left
        known = state.server
        age = server.started, server.heartbeats
        known_age = known.started, known.heartbeats
        is_undone = known.leaving and not server.leaving
        return age < known_age or (age == known_age and is_undone)

    def _end_holds(self, now_s: float) -> None:
        """Apply held entries that have lasted, since their servers renewed them."""
        if not self._held or not self.store_available:
            return
        if now_s - self._store_back_at_s < self._entry_lifetime_s:
            return
        for server in self._held.values():
            state = self._states.get(server.id)
            if state is not None and state.server.started == server.started:
                state.server = server  # its cold time has passed since the copy
            else:
                self._apply_server(server, now_s)
            self._vanished.pop(server.id, None)
        self._held.clear()

    def apply_rollouts(self, orders: Sequence[RolloutOrder]) -> None:
        """Replace the roll-outs that operators have ordered."""
        self.on_rollouts(orders)

    def set_store_available(self, available: bool, reason: str) -> None:
        """Record whether the platform's store answers, and log changes."""
        if available == self.store_available:
            return
        self.store_available = available
        if available:
            self._store_back_at_s = boot_time_s()
        event = "store_regained" if available else "store_lost"
        log_decision(event, reason=reason)

    def record_servers_current(self, as_of_s: float) -> None:
        """Record that all changes of the servers' entries up to a moment are known."""
        self.servers_as_of_s = max(self.servers_as_of_s, as_of_s)

    def states_of(self, service: str) -> list[ServerState]:
        """Return the backend servers of a service that may get new requests."""
        return self._by_service.get(service, [])

    def all_states(self) -> Iterable[ServerState]:
        """Return every backend server that is listed or vanished recently."""
        return self._states.values()

    def state(self, server_id: str) -> ServerState | None:
        """Return a backend server by its id, if it is known."""
        return self._states.get(server_id)

    def has_restarted(self, server: AnnouncedServer) -> bool:
        """Return whether a start of a server ended without the server leaving.

        The listing then has a later start of the server, or another server of its
        service at its address.
        """
        state = self._states.get(server.id)
        if state is not None and state.server.started != server.started:
            return state.server.started > server.started
        if state is not None and (state.server.leaving or state.said_leaving):
            return False
        address = server.host, server.port
        for other in self._states.values():
            found = other.server
            if found.id == server.id or (found.host, found.port) != address:
                continue
            if found.service == server.service and found.started > server.started:
                return True
        return False

    def limits_to_report(self) -> list[NumberedLimit]:
        """Return what servers told this instance of their limits."""
        now_s = boot_time_s()
        reports = []
        for state in self._states.values():
            report = state.limit.report(now_s)
            if report is None:
                continue
            per_s = -1.0 if report.per_s is None else report.per_s
            number = start_number(state.server.id, state.server.started)
            reports.append((number, per_s, round(report.age_s, 3)))
        return reports

    def merge_limits(self, reports: Sequence[NumberedLimit], source: str) -> None:
        """Apply what servers told another instance of their limits."""
        if not reports:
            return
        now_s = boot_time_s()
        by_number = {number: (per_s, age_s) for number, per_s, age_s in reports}
        for state in self._states.values():
            server = state.server
            found = by_number.get(start_number(server.id, server.started))
            if found is None:
                continue
            per_s, age_s = found
            was_per_s = state.limit.per_s
            report = LimitReport(None if per_s < 0.0 else per_s, age_s)
            if state.limit.merge(report, now_s):
                log_limit_changed(state, was_per_s, source, age_s)

    def said_leaving(self) -> list[int]:
        """Return the numbers of the starts that said they leave, to this or others."""
        return sorted(
            start_number(state.server.id, state.server.started)
            for state in self._states.values()
            if state.said_leaving
        )

    def merge_said_leaving(self, numbers: Sequence[int], source: str) -> None:
        """Take out servers that told another instance that they leave."""
        if not numbers:
            return
        told = frozenset(numbers)
        is_changed = False
        for state in self._states.values():
            server = state.server
            if state.said_leaving:
                continue
            if start_number(server.id, server.started) not in told:
                continue
            state.said_leaving = is_changed = True
            log_said_leaving(server, source)
        if is_changed:
            self.refresh()

    @property
    def limits_changed_at_s(self) -> float:
        """When a server last stated another limit than before."""
        return max(
            (state.limit.changed_at_s for state in self._states.values()), default=0.0
        )

    def refresh(self) -> None:
        """Recompute which backend servers may get requests."""
        now_s = boot_time_s()
        self._update_evacuated(now_s)
        self._end_holds(now_s)
        self._evict_vanished(now_s)
        gate = self.version_gate
        if gate is not None:
            gate.observe(
                self._states.values(),
                self.servers_as_of_s,
                now_s,
                store_available=self.store_available,
            )
        by_service: dict[str, list[ServerState]] = {}
        for state in self._states.values():
            server = state.server
            if server.leaving or server.failure_domain in self.evacuated:
                continue
            if state.said_leaving:
                continue
            vanished = self._vanished.get(server.id)
            if vanished is not None and now_s >= vanished.doubted_until_s:
                continue
            if gate is not None and not gate.may_serve(server, now_s):
                continue
            by_service.setdefault(server.service, []).append(state)
        self._by_service = by_service
        self._on_change()

    def _doubted_until_s(self, now_s: float) -> float:
        """Return until when a removal may be due to an outage of the store alone.

        Entries lapse in an outage, and servers renew theirs after it. While the store
        turns this instance away, it has answered the peer that reported the removal.
        """
        back_at_s = self._store_back_at_s if self.store_available else now_s
        return back_at_s + REMOVAL_GRACE_S

    def _evict_vanished(self, now_s: float) -> None:
        for server_id, vanished in list(self._vanished.items()):
            age_s = now_s - vanished.at_s
            if age_s < 2 * REMOVAL_GRACE_S or not self.store_available:
                continue
            del self._vanished[server_id]
            state = self._states.pop(server_id, None)
            if state is not None:
                self._remember_left(state)

    def _remember_left(self, state: ServerState) -> None:
        """Remember a server that left, in case its entry comes back."""
        server = state.server
        self._left[server.id] = _LeftServer(server.started, state.said_leaving)
        self._left.move_to_end(server.id)
        while len(self._left) > LEFT_SERVERS_MAX:
            self._left.popitem(last=False)

    def _apply_server(self, server: AnnouncedServer, now_s: float) -> None:
        known = self._states.get(server.id)
        if known is None or known.server.started != server.started:
            left = self._left.pop(server.id, None)
            self._states[server.id] = ServerState(
                server,
                now_s + server.cold_for_s,
                ColdRateLimit(self._cold_rate(server.service)),
                rate_tokens_per_s=self._initial_rate(server.service),
                said_leaving=left is not None
                and left.started == server.started
                and left.said_leaving,
            )
            log_decision(
                "server_found",
                server=server.id,
                service=server.service,
                cold_for_s=server.cold_for_s,
                leaving=server.leaving,
                software=server.version,
            )
            return
        if server.leaving and not known.server.leaving:
            log_decision("server_leaving", server=server.id)
        if server.cold_for_s > 0.0 and server != known.server:
            known.cold_until_s = max(known.cold_until_s, now_s + server.cold_for_s)
        known.server = server

    def _mark_cold(self, failure_domain: str, now_s: float) -> None:
        """Treat the servers of a failure domain as cold after an evacuation.

        They stood idle in the meantime.
        """
        if self.table is None:
            return
        for state in self._states.values():
            service = self.table.services.get(state.server.service)
            if state.server.failure_domain != failure_domain or service is None:
                continue
            state.cold_until_s = max(state.cold_until_s, now_s + service.cold_s)

    def _cold_rate(self, name: str) -> float:
        service = self.table.services.get(name) if self.table else None
        return service.cold_rate_per_s if service else 0.0

    def _initial_rate(self, name: str) -> float:
        service = self.table.services.get(name) if self.table else None
        if self.table is None or service is None or not service.is_engine:
            return 0.0
        engines = sum(state.server.service == name for state in self._states.values())
        stated = self.table.bounds.tokens_per_s / max(1, engines)
        return INITIAL_RATE_FACTOR * (stated or DEFAULT_RATE_TOKENS_PER_S)
