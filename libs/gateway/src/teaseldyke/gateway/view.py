"""What an instance knows of routes, backend servers and failure domains."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

import attrs

from teaseldyke.placement import ColdRateLimit, ServerState
from teaseldyke.telemetry import log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer, RoutingTable

LEFT_SERVERS_MAX = 1000  # remembered starts of servers that said they leave
REMOVAL_GRACE_S = 1.8  # lapsed entries are renewed within 2 s of the store's return
INITIAL_RATE_FACTOR = 2.0  # of the stated production per engine, before any measurement
DEFAULT_RATE_TOKENS_PER_S = 50_000.0  # if the operator states no production


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

    Attributes
    ----------
    servers_as_of_s : float
        All changes of the servers' entries up to this moment are known, on the clock
        of `boot_time_s`.
    """

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.table: RoutingTable | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.store_available = False
        self.servers_known = False
        self.servers_as_of_s = -math.inf
        self._store_back_at_s = 0.0
        self._states: dict[str, ServerState] = {}
        self._vanished: dict[str, _Vanished] = {}
        self._left: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._by_service: dict[str, list[ServerState]] = {}
        self._on_change = on_change

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
        for state in self._states.values():
            state.cold_rate_limit.rate_per_s = self._cold_rate(state.server.service)
            if state.rate_tokens_per_s <= 0.0:
                state.rate_tokens_per_s = self._initial_rate(state.server.service)
        self._on_change()

    def apply_servers(self, servers: Sequence[AnnouncedServer]) -> None:
        """Replace the set of listed backend servers."""
        now_s = boot_time_s()
        self.servers_known = True
        listed = {server.id: server for server in servers}
        for server_id, server in listed.items():
            self._apply_server(server, now_s)
            self._vanished.pop(server_id, None)
        for server_id in self._states.keys() - listed.keys():
            if server_id in self._vanished:
                continue
            self._vanished[server_id] = _Vanished(now_s, self._doubted_until_s(now_s))
            log_decision("server_vanished", server=server_id)
        self.refresh()

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Replace the failure domains that get no new requests."""
        if failure_domains == self.evacuated:
            return
        now_s = boot_time_s()
        for domain in self.evacuated - failure_domains:
            log_decision("failure_domain_back", failure_domain=domain)
            self._mark_cold(domain, now_s)
        for domain in failure_domains - self.evacuated:
            log_decision("failure_domain_out", failure_domain=domain)
        self.evacuated = failure_domains
        self.refresh()

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

    def refresh(self) -> None:
        """Recompute which backend servers may get requests."""
        now_s = boot_time_s()
        self._evict_vanished(now_s)
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
            if state is not None and state.said_leaving:
                self._remember_left(state.server)

    def _remember_left(self, server: AnnouncedServer) -> None:
        """Remember that a server said it leaves, in case its entry comes back."""
        self._left[server.id, server.started] = None
        while len(self._left) > LEFT_SERVERS_MAX:
            self._left.popitem(last=False)

    def _apply_server(self, server: AnnouncedServer, now_s: float) -> None:
        known = self._states.get(server.id)
        if known is None or known.server.started != server.started:
            self._states[server.id] = ServerState(
                server,
                now_s + server.cold_for_s,
                ColdRateLimit(self._cold_rate(server.service)),
                rate_tokens_per_s=self._initial_rate(server.service),
                said_leaving=(server.id, server.started) in self._left,
            )
            log_decision(
                "server_found",
                server=server.id,
                service=server.service,
                cold_for_s=server.cold_for_s,
                leaving=server.leaving,
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
