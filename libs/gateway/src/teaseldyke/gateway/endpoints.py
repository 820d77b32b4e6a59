"""Internal endpoints: readiness, metrics, held requests, roll-outs, the listing."""

from __future__ import annotations

from collections.abc import Callable

from teaseldyke.http import Request
from teaseldyke.placement import CrashEvidence
from teaseldyke.telemetry import log_decision, render_metrics
from teaseldyke.timers import boot_time_s

from .interfaces import Directory
from .rollouts import Rollouts

LISTING_TARGET = "/listing"
HELD_TARGET = "/held"
ROLLOUTS_TARGET = "/rollouts"
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class Endpoints:
    """Answers the platform's readiness checks, operators and other instances.

    Parameters
    ----------
    is_ready : callable
        Whether the instance is ready for new connections.
    directory : Directory
        Source of the listing.
    evidence : CrashEvidence
        What is held because it has crashed servers.
    rollouts : Rollouts
        Ordered roll-outs.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        directory: Directory,
        evidence: CrashEvidence,
        rollouts: Rollouts,
    ) -> None:
        self._is_ready = is_ready
        self._directory = directory
        self._evidence = evidence
        self._rollouts = rollouts

    async def readiness(self, request: Request) -> None:
        """Answer whether this instance is ready for new connections."""
        await request.respond(200 if self._is_ready() else 503)

    async def metrics(self, request: Request) -> None:
        """Answer with all metrics in text format, with what is held, or roll-outs."""
        if request.path == HELD_TARGET:
            await self._held(request)
            return
        if request.path == ROLLOUTS_TARGET:
            await request.respond_json(200, self._rollouts.describe())
            return
        await request.respond(200, render_metrics(), [METRICS_TYPE])

    async def exchange(self, request: Request) -> None:
        """Answer with the listing: all entries that this instance knows."""
        if request.path != LISTING_TARGET:
            await request.respond(404)
            return
        await request.respond(200, self._directory.export_listing())

    async def _held(self, request: Request) -> None:
        """List what is held; ``DELETE`` with ``suspect`` releases one of them."""
        now_s = boot_time_s()
        if request.method == "DELETE":
            suspect = request.query.get("suspect", "")
            found = self._evidence.release(suspect, now_s)
            log_decision("suspect_release_asked", suspect=suspect[:80], found=found)
            await request.respond(204 if found else 404)
            return
        held = self._evidence.held | self._evidence.quarantined
        await request.respond_json(
            200,
            [
                {
                    "suspect": report.key,
                    "crash_ages_s": report.crash_ages_s,
                    "trials": report.trials,
                }
                for report in self._evidence.reports(now_s)
                if report.key in held
            ],
        )
