"""Finds crashed backend servers, and the prompts that must not reach others."""

from __future__ import annotations

from collections import OrderedDict

import attrs
import trio

from teaseldyke.http import refuses_connections
from teaseldyke.placement import CrashEvidence, Work
from teaseldyke.telemetry import counter, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer

from .errors import PromptQuarantined

PROBE_TIMEOUT_S = 0.1  # many round trips between failure domains
# A process that ends may close its connections a moment before its port.
PROBE_REPEAT_S = 0.03
PROBE_TTL_S = 0.5  # of a refusal; a crashed server needs longer to start again
PROBES_MAX = 1000  # remembered; more servers than a fleet has

CRASHES = counter(
    "teaseldyke_server_crashes_total",
    "Backend servers found refusing connections after an answer broke, by service.",
)

QUARANTINED = counter(
    "teaseldyke_prompts_quarantined_total",
    "Requests refused because a part of their prompt has crashed engines.",
)


@attrs.define(eq=False)
class _Probe:
    """A connection attempt that others with the same question wait for."""

    at_s: float
    done: trio.Event = attrs.field(factory=trio.Event)
    refused: bool = False


def ensure_not_quarantined(evidence: CrashEvidence, work: Work) -> None:
    """Raise `PromptQuarantined` if a part of the prompt has crashed engines."""
    part = evidence.refused_part(work.parts)
    if part is None:
        return
    QUARANTINED.bind().add()
    raise PromptQuarantined(f"part {part[:40]!r} of the prompt has crashed engines")


@attrs.define
class QuarantineLog:
    """Logs changes of the quarantine, by whatever instance they were noticed."""

    evidence: CrashEvidence
    _logged: frozenset[str] = frozenset()

    def refresh(self) -> bool:
        """Drop evidence that is out of date; log a change and return if there was one.

        Called at intervals.
        """
        self.evidence.refresh(boot_time_s())
        quarantined = self.evidence.quarantined
        if quarantined == self._logged:
            return False
        log_decision(
            "quarantine_changed",
            parts=sorted(quarantined),
            released=sorted(self._logged - quarantined),
        )
        self._logged = quarantined
        return True


class CrashProbe:
    """Finds out whether a server has crashed, by a connection to its port.

    A crashed process refuses connections. A server that broke off one answer accepts
    them; so do all servers if this instance was paused or cut off for a while, which
    breaks the connections to each of them.
    """

    def __init__(self) -> None:
        self._probes: OrderedDict[tuple[str, int], _Probe] = OrderedDict()

    async def has_crashed(self, server: AnnouncedServer) -> bool:
        """Return whether a server whose answer broke off refuses connections."""
        key = (server.id, server.started)
        now_s = boot_time_s()
        probe = self._probes.get(key)
        if probe is not None and not probe.done.is_set():
            await probe.done.wait()
            return probe.refused
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
        finally:
            probe.done.set()
        if probe.refused:
            CRASHES.bind(service=server.service).add()
            log_decision("server_crashed", server=server.id, service=server.service)
        return probe.refused

    async def _refuses(self, server: AnnouncedServer) -> bool:
        return await refuses_connections(server.host, server.port, PROBE_TIMEOUT_S)
