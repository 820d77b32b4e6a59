"""Finds crashed backend servers, and the requests that must not reach others."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import attrs
import trio

from teaseldyke.http import refuses_connections
from teaseldyke.placement import CrashEvidence, Work, is_request
from teaseldyke.telemetry import counter, gauge, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer

from .errors import PromptQuarantined, RequestHeld

PROBE_TIMEOUT_S = 0.1  # many round trips between failure domains
# A process that ends may close its connections a moment before its port.
PROBE_REPEAT_S = 0.03
PROBE_TTL_S = 0.5  # of a refusal; a crashed server needs longer to start again
PROBES_MAX = 1000  # remembered; more servers than a fleet has
# From a broken answer until the listing no longer tells whether its server crashed;
# covers a restart and a slow store.
RESTART_TOLD_S = 10.0
BROKEN_SENDS_MAX = 1000  # remembered, the oldest are forgotten first

CRASHES = counter(
    "teaseldyke_server_crashes_total",
    "Backend servers found to have crashed after an answer broke, by service.",
)

QUARANTINED = counter(
    "teaseldyke_prompts_quarantined_total",
    "Requests refused because a part of their prompt has crashed engines.",
)

HELD = counter(
    "teaseldyke_requests_held_total",
    "Requests refused because the same request has crashed servers.",
)
SUSPECTS_HELD = gauge(
    "teaseldyke_suspects_held",
    "Requests and parts of prompts that must not reach a server.",
).bind()


@attrs.define(eq=False)
class _Probe:
    """A connection attempt that others with the same question wait for."""

    at_s: float
    done: trio.Event = attrs.field(factory=trio.Event)
    is_cancelled: bool = False
    refused: bool = False


@attrs.frozen
class BrokenSend:
    """A request whose answer broke, at a server that still accepted connections.

    Parameters
    ----------
    server : AnnouncedServer
        The start of the server that had the request.
    at_s : float
        When its answer broke, on the clock of `boot_time_s`.
    accuse : callable
        Accuses the request of having crashed the server.
    """

    server: AnnouncedServer
    at_s: float
    accuse: Callable[[], None]


class BrokenSends:
    """Broken answers whose servers may prove to have crashed.

    The port of a crashed server stays open if its supervisor holds it, or if the
    server is started again at once. Then only the listing tells of the crash: by a
    later start of the same server, or another server at its address.
    """

    def __init__(self) -> None:
        self._sends: deque[BrokenSend] = deque(maxlen=BROKEN_SENDS_MAX)

    def add(self, send: BrokenSend) -> None:
        """Remember a broken send for as long as the listing may explain it."""
        self._sends.append(send)

    def accuse_restarted(
        self, has_restarted: Callable[[AnnouncedServer], bool], now_s: float
    ) -> bool:
        """Accuse the requests whose servers have restarted since; return if any.

        Called at intervals.
        """
        sends = list(self._sends)
        self._sends.clear()
        crashed: dict[tuple[str, int], AnnouncedServer] = {}
        for send in sends:
            server = send.server
            if has_restarted(server):
                crashed[server.id, server.started] = server
                send.accuse()
                continue
            if now_s - send.at_s < RESTART_TOLD_S:
                self._sends.append(send)
        for server in crashed.values():
            record_crash(server, "listing")
        return bool(crashed)


def record_crash(server: AnnouncedServer, found_by: str) -> None:
    """Count and log a crash of a server."""
    CRASHES.bind(service=server.service).add()
    log_decision(
        "server_crashed", server=server.id, service=server.service, found_by=found_by
    )


def ensure_not_held(evidence: CrashEvidence, work: Work) -> None:
    """Raise an error if a request, or a part of its prompt, has crashed servers.

    Raises
    ------
    RequestHeld, PromptQuarantined
        It names the crashes.
    """
    suspect = evidence.refused_suspect(work)
    if suspect is None:
        return
    crashes = ", ".join(evidence.crashes_of(suspect))
    if is_request(suspect):
        HELD.bind().add()
        raise RequestHeld(f"request {suspect!r} has crashed servers: {crashes}")
    QUARANTINED.bind().add()
    raise PromptQuarantined(
        f"part {suspect[:40]!r} of the prompt has crashed engines: {crashes}"
    )


@attrs.define
class QuarantineLog:
    """Logs changes of what is held, by whatever instance they were noticed."""

    evidence: CrashEvidence
    _logged: frozenset[str] = frozenset()

    def refresh(self) -> bool:
        """Drop evidence that is out of date; log a change and return if there was one.

        Called at intervals.
        """
        evidence = self.evidence
        evidence.refresh(boot_time_s())
        held = evidence.quarantined | evidence.held
        if held == self._logged:
            return False
        SUSPECTS_HELD.set(len(held))
        for suspect in sorted(held - self._logged):
            log_decision(
                "suspect_held", suspect=suspect, crashes=evidence.crashes_of(suspect)
            )
        for suspect in sorted(self._logged - held):
            log_decision("suspect_released", suspect=suspect)
        self._logged = held
        return True


class CrashProbe:
    """Finds out whether a server has crashed, by a connection to its port.

    A crashed process refuses connections. A server that broke off one answer accepts
    them; so do all servers if this instance was paused or cut off for a while, which
    breaks the connections to each of them.
    """

    def __init__(self) -> None:
        self._probes: OrderedDict[tuple[str, int], _Probe] = OrderedDict()

    def is_crashed(self, server: AnnouncedServer) -> bool:
        """Return whether the last probe of a server has found it crashed."""
        probe = self._probes.get((server.id, server.started))
        return probe is not None and probe.refused

    async def has_crashed(self, server: AnnouncedServer) -> bool:
        """Return whether a server whose answer broke off refuses connections."""
        key = (server.id, server.started)
        probe = self._probes.get(key)
        while probe is not None and not probe.done.is_set():
            await probe.done.wait()
            if not probe.is_cancelled:
                return probe.refused
            probe = self._probes.get(key)
        now_s = boot_time_s()
        if probe is not None and probe.refused and now_s - probe.at_s < PROBE_TTL_S:
            return True
        probe = self._probes[key] = _Probe(now_s)
        self._probes.move_to_end(key)
        while len(self._probes) > PROBES_MAX:
            self._probes.popitem(last=False)
        try:
            probe.refused = await self._refuses(server)
            if not probe.refused:
                await trio.sleep(PROBE_REPEAT_S)
                probe.refused = await self._refuses(server)
        except trio.Cancelled:
            probe.is_cancelled = True
            raise
        finally:
            probe.done.set()
        if probe.refused:
            record_crash(server, "probe")
        return probe.refused

    async def _refuses(self, server: AnnouncedServer) -> bool:
        return await refuses_connections(server.host, server.port, PROBE_TIMEOUT_S)
