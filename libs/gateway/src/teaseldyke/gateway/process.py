"""Runs a gateway from its start to its graceful shutdown."""

from __future__ import annotations

import math
import random
import resource
import signal
from collections.abc import Awaitable, Callable
from contextlib import closing
from functools import partial

import attrs
import trio

from teaseldyke.http import (
    Admission,
    BackendPool,
    CallerAccount,
    HoldingState,
    HttpClient,
    Request,
    Scarcity,
    ServerLimits,
    serve,
)
from teaseldyke.placement import CrashEvidence, FairShares
from teaseldyke.settings import Address
from teaseldyke.telemetry import counter, gauge, log_decision
from teaseldyke.timers import Timers, boot_time_s, scheduler_passes
from teaseldyke.types import PlatformUnavailable, SettingsError, TeaseldykeError

from .caller_limits import CallerLimits, derive_caller_limits
from .calls import CallHandler
from .crashes import QuarantineLog
from .endpoints import LISTING_TARGET, Endpoints
from .interfaces import Directory, DirectoryListener, KnownVersions, Peer, Wire
from .placing import Placer
from .rollouts import Rollouts
from .sending import Sender
from .settings import GatewaySettings
from .share_log import REPORT_INTERVAL_S
from .stream_memory import StreamMemory
from .totals import EXCHANGE_INTERVAL_S, TotalsExchange
from .view import FleetView

CONNECT_TIMEOUT_S = 0.5  # to a backend server; several round trips between domains
STOP_LINGER_S = 2.5  # balancers see the lost readiness after two checks a second apart
CLOSE_DELAY_S = 0.3  # from closing the port to the end, to answer accepted requests
DRAIN_CHECK_INTERVAL_S = 0.05
STOP_MARGIN_S = 0.4  # before the platform would kill the process
# From the final answers of what still runs to the end, to write and flush them.
ANSWER_FLUSH_S = 0.3
CATCH_UP_INTERVAL_S = 0.2  # between checks whether a peer knows newer entries
CATCH_UP_GRACE_S = 0.5  # the store or a neighbour normally delivers entries within it
LISTING_TIMEOUT_S = 1.0  # for a peer's listing, a few hundred kilobytes at most
ANNOUNCE_RETRY_INTERVAL_S = 1.0
ANNOUNCE_SPREAD_S = 1.0  # after a restore all instances write their entries again
BACKLOG = 1024  # connections to be accepted; overflow costs callers seconds
# Time in a pass of the scheduler in which new requests are started. Events of running
# streams, totals and entries are delayed until the end of the pass.
ADMISSION_WINDOW_S = 0.03
ADMISSION_WAIT_MAX_S = 0.1  # stays within the target latency of a short request
# After a refusal because too many requests arrived or all connections are in use.
# Callers come back to the same instance while it is ready; balancers notice after two
# checks a second apart.
READY_AFTER_REFUSAL_S = 3.0
# Of a limit on the idle time of callers; below it a request could cross each close.
IDLE_LIMIT_MIN_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.5  # between checks of idle connections to backend servers
PASS_REPORT_INTERVAL_S = 1.0  # between reports of the longest scheduler pass
LONG_PASS_S = 0.1  # such a delay is noticed by callers and neighbours
INTERNAL_LIMITS = ServerLimits(connections=128, idle_timeout_s=30.0)

LONGEST_PASS = gauge(
    "teaseldyke_longest_pass_seconds",
    "Longest time between two polls of the sockets in the last second.",
).bind()

CALLER_MEMORY = gauge(
    "teaseldyke_caller_memory_bytes", "Bytes held for callers."
).bind()
CALLER_MEMORY_LIMIT = gauge(
    "teaseldyke_caller_memory_limit_bytes",
    "Limit of the bytes held for callers; 0 without a limit.",
).bind()
CALLERS_CLOSED = {
    Scarcity.MEMORY: counter(
        "teaseldyke_caller_memory_closed_total",
        "Connections closed or rejected as the memory for callers was full, by what"
        " they were doing.",
    ),
    Scarcity.CONNECTIONS: counter(
        "teaseldyke_caller_connection_limit_closed_total",
        "Connections closed or rejected as the limit of connections was reached, by"
        " what they were doing.",
    ),
}

PART_RESTART_S = 0.5  # from a part's failure to its next start
ERROR_MAX = 200  # characters in a log line

PARTS_FAILED = counter(
    "teaseldyke_parts_failed_total",
    "Parts of the instance that failed unforeseen and were restarted, by name.",
)

Part = Callable[[], Awaitable[None]]
Handler = Callable[[Request], Awaitable[None]]
DirectoryFactory = Callable[[DirectoryListener], Directory]


@attrs.define(eq=False)
class Gateway:
    """One instance: its components, wired to each other.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    wire : Wire
        Formats of requests and answers.
    make_directory : callable
        Returns the directory, which follows the platform's store.
    load_settings : callable
        Reads the settings again for a reload; raises `SettingsError`.
    """

    settings: GatewaySettings
    wire: Wire
    make_directory: DirectoryFactory
    load_settings: Callable[[], GatewaySettings]
    stopping: trio.Event = attrs.field(factory=trio.Event, init=False)
    closing: trio.Event = attrs.field(factory=trio.Event, init=False)
    view: FleetView = attrs.field(init=False)
    placer: Placer = attrs.field(init=False)
    directory: Directory = attrs.field(init=False)
    totals: TotalsExchange = attrs.field(init=False)
    memory: StreamMemory = attrs.field(init=False)
    rollouts: Rollouts = attrs.field(init=False)
    caller_limits: CallerLimits = attrs.field(init=False)
    caller_account: CallerAccount = attrs.field(init=False)
    connection_refused_at_s: float = attrs.field(default=-math.inf, init=False)
    pool: BackendPool = attrs.field(init=False)
    sender: Sender = attrs.field(init=False)
    calls: CallHandler = attrs.field(init=False)
    admission: Admission = attrs.field(init=False)
    evidence: CrashEvidence = attrs.field(
        factory=lambda: CrashEvidence(random.random()), init=False
    )
    quarantine_log: QuarantineLog = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.quarantine_log = QuarantineLog(self.evidence)
        self.admission = Admission(ADMISSION_WINDOW_S, ADMISSION_WAIT_MAX_S)
        self.view = FleetView(
            lambda: self.placer.wake(), settings.heartbeat_ms / 1000.0
        )
        self.directory = self.make_directory(self.view)
        own = Peer(settings.name, settings.exchange.host, settings.exchange.port)
        self.totals = TotalsExchange(own, self.view, self.directory, self.evidence)
        self.directory.relay = self.totals.relay
        self.memory = StreamMemory(self.directory, self.totals)
        self.totals.streams = self.view.version_gate = self.memory
        self.rollouts = Rollouts(
            self.view,
            self.totals,
            self.directory,
            settings.bounds.exposure_share,
            settings.bounds.exposure_slack,
        )
        self.view.on_rollouts = self.rollouts.apply_orders
        self.totals.rollouts = self.rollouts
        self.placer = Placer(
            self.view,
            FairShares(),
            self.totals,
            settings.bounds,
            settings.failure_domain,
            self.evidence,
        )
        self.pool = BackendPool(CONNECT_TIMEOUT_S)
        self.sender = Sender(
            self.view,
            self.placer,
            self.pool,
            self.wire,
            settings.bounds,
            self.totals,
            self.evidence,
            self.rollouts,
        )
        limits = derive_caller_limits(settings, _descriptors_allowed())
        self.caller_limits = limits
        self.caller_account = CallerAccount(
            limits.memory_bytes,
            self._log_scarcity,
            self._count_closed,
            connections_max=limits.connections,
        )
        CALLER_MEMORY_LIMIT.set(
            0.0 if limits.memory_bytes == math.inf else limits.memory_bytes
        )
        self.calls = CallHandler(
            self.view,
            self.sender,
            self.wire,
            self.memory,
            limits,
            self.caller_account,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the instance is ready for new connections."""
        if self.view.table is None or self.stopping.is_set():
            return False
        refused_at_s = max(self.admission.refused_at_s, self.connection_refused_at_s)
        return boot_time_s() - refused_at_s >= READY_AFTER_REFUSAL_S

    def _idle_limit_s(self) -> float:
        """Return how long the operator allows callers' connections to be idle."""
        table = self.view.table
        if table is None:
            return math.inf
        return max(IDLE_LIMIT_MIN_S, table.bounds.idle_timeout_s)

    async def run(self) -> None:
        """Serve until a signal stops the process."""
        callers = await _listen(self.settings.callers)
        self.totals.open()
        with closing(self.totals):
            await self._serve(callers)
        log_decision("stopped", running=self.calls.running)

    async def _serve(self, callers: trio.SocketListener) -> None:
        settings = self.settings
        endpoints = Endpoints(
            lambda: self.is_ready, self.directory, self.evidence, self.rollouts
        )
        async with trio.open_nursery() as nursery:
            for address, handler in (
                (settings.readiness, endpoints.readiness),
                (settings.exchange, endpoints.exchange),
                (settings.metrics, endpoints.metrics),
            ):
                nursery.start_soon(
                    serve, await _listen(address), handler, INTERNAL_LIMITS
                )
            nursery.start_soon(self._stop_on_signal, nursery)
            for part in (
                self.directory.run,
                self.placer.run,
                self.sender.run,
                self.memory.run,
                self.rollouts.run,
                self._announce,
                self._catch_up,
            ):
                nursery.start_soon(run_restarted, part)
            timers = Timers(nursery)
            for interval_s, callback in (
                (EXCHANGE_INTERVAL_S, self._exchange),
                (PASS_REPORT_INTERVAL_S, self._report_lateness),
                (REPORT_INTERVAL_S, self._report_shares),
                (IDLE_CHECK_INTERVAL_S, self._close_unusable),
            ):
                timers.every(interval_s, partial(run_logged, callback))
            log_decision(
                "started",
                callers=str(settings.callers),
                connections_max=self.caller_limits.connections,
            )
            limits = ServerLimits(connections=self.caller_limits.connections)
            await serve(
                callers,
                self.calls.handle,
                limits,
                stopping=self.stopping,
                closing=self.closing,
                render_error=self.calls.describe,
                admission=self.admission,
                record_refusal=self.calls.record_unread,
                account=self.caller_account,
                idle_limit_s=self._idle_limit_s,
            )
            nursery.cancel_scope.cancel()

    async def _exchange(self) -> None:
        self.totals.read()
        self.sender.accuse_restarted()
        if self.quarantine_log.refresh():
            self.sender.abandon_held()
        self.view.refresh()
        self.totals.send(self.placer)
        self.rollouts.advance()
        self.placer.recompute()

    async def _report_lateness(self) -> None:
        CALLER_MEMORY.set(self.caller_account.held_bytes)
        longest_s = scheduler_passes().take_longest_s()
        LONGEST_PASS.set(longest_s)
        refused = self.admission.take_refused()
        if longest_s < LONG_PASS_S and not refused:
            return
        log_decision(
            "instance_late",
            longest_pass_s=round(longest_s, 3),
            refused_unread=refused,
            refused_organisations=self.calls.caller_organisations.most(
                self.admission.take_refused_by_caller()
            ),
            callers=self.admission.recent.callers,
            running=self.calls.running,
            streams=self.calls.streams,
            waiting=self.placer.waiting,
        )

    def _count_closed(self, scarcity: Scarcity, state: HoldingState | None) -> None:
        if state is None:
            self.connection_refused_at_s = boot_time_s()
        reason = "connection" if state is None else state.label
        CALLERS_CLOSED[scarcity].bind(reason=reason).add()

    def _log_scarcity(self, scarcity: Scarcity, is_full: bool) -> None:
        limits = self.caller_limits
        log_decision(
            f"caller_{scarcity.value}_{'full' if is_full else 'relieved'}",
            held_bytes=self.caller_account.held_bytes,
            limit_bytes=(
                None if limits.memory_bytes == math.inf else int(limits.memory_bytes)
            ),
            connections=self.caller_account.connections,
            connections_max=limits.connections,
        )

    async def _report_shares(self) -> None:
        self.placer.report_shares()

    async def _close_unusable(self) -> None:
        self.pool.close_unusable()

    async def _announce(self) -> None:
        """Register this instance in the store and add the others to the exchange.

        A restored store may have lost the entry, so it is written again.
        """
        while not self.stopping.is_set():
            new_era = self.directory.new_era
            try:
                self.totals.add_peers(await self.directory.announce(self.totals.own))
            except TeaseldykeError as exc:
                log_decision("not_announced", reason=exc.detail)
                await trio.sleep(ANNOUNCE_RETRY_INTERVAL_S)
                continue
            await new_era.wait()
            await trio.sleep(random.uniform(0.0, ANNOUNCE_SPREAD_S))

    async def _catch_up(self) -> None:
        """Fetch the listing of a peer that knows newer entries.

        The store may refuse this instance while it still serves the operator.
        """
        client = HttpClient(timeout_s=LISTING_TIMEOUT_S)
        while True:
            await trio.sleep(CATCH_UP_INTERVAL_S)
            peer_ahead = self.totals.peer_ahead
            if peer_ahead is None:
                continue
            self.totals.peer_ahead = None
            peer, versions = peer_ahead
            await trio.sleep(CATCH_UP_GRACE_S)
            if not self.directory.is_behind(versions):
                continue
            own = self.directory.versions
            try:
                answer = await client.request(
                    "GET", peer.host, peer.port, LISTING_TARGET
                )
                self.directory.import_listing(answer.body)
            except (TeaseldykeError, ValueError) as exc:
                # Connections that have gone silent would delay the next fetch.
                client.close()
                log_decision("listing_not_fetched", peer=peer.name, error=str(exc))
                continue
            log_decision(
                "listing_fetched",
                peer=peer.name,
                had=_loggable(own),
                got=_loggable(versions),
            )

    async def _stop_on_signal(self, nursery: trio.Nursery) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                if number == signal.SIGHUP:
                    self.reload()
                    continue
                if self.stopping.is_set():
                    nursery.start_soon(self._end, nursery)
                    continue
                self.stopping.set()
                log_decision("stopping", running=self.calls.running)
                nursery.start_soon(self._drain)
                nursery.start_soon(self._end_at_deadline, nursery)
                nursery.start_soon(self._withdraw)

    def reload(self) -> None:
        """Read the settings again and apply the fleet's limits.

        Changes of addresses and names take effect only after a restart.
        """
        try:
            settings = self.load_settings()
        except SettingsError as exc:
            log_decision("reload_failed", reason=exc.detail)
            return
        self.settings = settings
        self.placer.bounds = settings.bounds
        self.sender.update_bounds(settings.bounds)
        log_decision("reloaded", bounds=attrs.asdict(settings.bounds))

    async def _drain(self) -> None:
        """Accept connections until the running streams have ended, then close the port.

        While most instances of a failure domain stop at once, the platform also routes
        callers to stopping ones, and a closed port would fail their requests.
        """
        self.calls.ends_at_s = boot_time_s() + self._serving_s
        await trio.sleep(STOP_LINGER_S)
        self.calls.accepts_streams = False
        while (
            self.calls.streams and boot_time_s() < self.calls.ends_at_s - CLOSE_DELAY_S
        ):
            await trio.sleep(DRAIN_CHECK_INTERVAL_S)
        self.closing.set()

    async def _withdraw(self) -> None:
        try:
            await self.directory.withdraw(self.totals.own)
        except PlatformUnavailable as exc:
            log_decision("not_withdrawn", reason=exc.detail)

    @property
    def _serving_s(self) -> float:
        """Time from the signal to the final answers of what still runs."""
        return self.settings.bounds.stop_s - STOP_MARGIN_S - ANSWER_FLUSH_S

    async def _end_at_deadline(self, nursery: trio.Nursery) -> None:
        await trio.sleep(self._serving_s)
        await self._end(nursery)

    async def _end(self, nursery: trio.Nursery) -> None:
        """Give what runs its final answer, then end the process."""
        self.calls.ends_at_s = min(self.calls.ends_at_s, boot_time_s())
        log_decision(
            "stop_deadline_passed",
            running=self.calls.running,
            unanswered=self.calls.end_unanswered(),
        )
        await trio.sleep(ANSWER_FLUSH_S)
        nursery.cancel_scope.cancel()


async def run_restarted(part: Part) -> None:
    """Run a part of the instance, and again if it fails in a way not foreseen.

    What it has read stays in use; the end of the process would cut all callers, and
    what made it fail may still be there after a restart.
    """
    while not await run_logged(part):
        await trio.sleep(PART_RESTART_S)


async def run_logged(part: Part) -> bool:
    """Run a part of the instance; log a failure, and return whether there was none."""
    try:
        await part()
    except Exception as exc:
        name = getattr(part, "__qualname__", repr(part))
        PARTS_FAILED.bind(part=name).add()
        cause = exc
        while isinstance(cause, ExceptionGroup):
            cause = cause.exceptions[0]
        error = f"{type(cause).__name__}: {cause}"[:ERROR_MAX]
        log_decision("part_failed", part=name, error=error)
        return False
    return True


def _descriptors_allowed() -> int:
    """Return how many file descriptors this process may open; 0 if any number."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return 0 if soft_limit == resource.RLIM_INFINITY else soft_limit


def _loggable(known: KnownVersions) -> list[str]:
    """Return versions of operator's and servers' entries and configuration."""
    return [str(known.operator), str(known.servers), str(known.configuration)]


async def _listen(address: Address) -> trio.SocketListener:
    listeners = await trio.open_tcp_listeners(
        address.port, host=address.host, backlog=BACKLOG
    )
    return listeners[0]
