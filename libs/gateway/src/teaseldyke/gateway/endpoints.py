"""Internal endpoints: readiness, metrics and the listing for other instances."""

from __future__ import annotations

from collections.abc import Callable

from teaseldyke.http import Request
from teaseldyke.telemetry import render_metrics

from .interfaces import Directory

LISTING_TARGET = "/listing"
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class Endpoints:
    """Answers the platform's readiness checks, metrics scrapes and other instances.

    Parameters
    ----------
    is_ready : callable
        Whether the instance is ready for new connections.
    directory : Directory
        Source of the listing.
    """

    def __init__(self, is_ready: Callable[[], bool], directory: Directory) -> None:
        self._is_ready = is_ready
        self._directory = directory

    async def readiness(self, request: Request) -> None:
        """Answer whether this instance is ready for new connections."""
        await request.respond(200 if self._is_ready() else 503)

    async def metrics(self, request: Request) -> None:
        """Answer with all metrics in text format."""
        await request.respond(200, render_metrics(), [METRICS_TYPE])

    async def exchange(self, request: Request) -> None:
        """Answer with the listing: all entries that this instance knows."""
        if request.path != LISTING_TARGET:
            await request.respond(404)
            return
        await request.respond(200, self._directory.export_listing())
