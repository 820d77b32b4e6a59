"""Tells backend servers that crashed from answers that merely broke off."""

from __future__ import annotations

from collections import OrderedDict

import attrs
import trio

from teaseldyke.http import refuses_connections
from teaseldyke.telemetry import counter, log_decision
from teaseldyke.timers import boot_time_s
from teaseldyke.types import AnnouncedServer

PROBE_TIMEOUT_S = 0.1  # many round trips between failure domains
PROBE_TTL_S = 0.5  # a crashed server needs longer to start again
PROBES_MAX = 1000  # remembered; more servers than a fleet has

CRASHES = counter(
    "teaseldyke_server_crashes_total",
    "Backend servers found refusing connections after an answer broke, by service.",
)


@attrs.define(eq=False)
class _Probe:
    """A connection attempt that others with the same question wait for."""

    at_s: float
    done: trio.Event = attrs.field(factory=trio.Event)
    refused: bool = False


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
        if probe is not None and now_s - probe.at_s < PROBE_TTL_S:
            await probe.done.wait()
            return probe.refused
        probe = self._probes[key] = _Probe(now_s)
        self._probes.move_to_end(key)
        while len(self._probes) > PROBES_MAX:
            self._probes.popitem(last=False)
        try:
            probe.refused = await refuses_connections(
                server.host, server.port, PROBE_TIMEOUT_S
            )
        finally:
            probe.done.set()
        if probe.refused:
            CRASHES.bind(service=server.service).add()
            log_decision("server_crashed", server=server.id, service=server.service)
        return probe.refused
