"""Load reports of backend servers, read over HTTP."""

from __future__ import annotations

from typing import Any

import attrs

from teaseldyke.capacity import LoadReport
from teaseldyke.http import HttpClient
from teaseldyke.types import BackendServer, PlatformUnavailable, TeaseldykeError

LOAD_PATH = "/load"
LOAD_TIMEOUT_S = 1.0
LOAD_LIMIT_BYTES = 16 * 1024


@attrs.define
class HttpLoadSource:
    """Reads ``GET /load`` of a backend server.

    Parameters
    ----------
    client : HttpClient
        Client to read with.
    """

    client: HttpClient

    async def load(self, server: BackendServer) -> LoadReport:
        """Return the backend server's lagged report.

        Raises
        ------
        TeaseldykeError
            When the backend server gives no readable report.
        """
        response = await self.client.request(
            "GET",
            server.host,
            server.port,
            LOAD_PATH,
            timeout_s=LOAD_TIMEOUT_S,
            limit_bytes=LOAD_LIMIT_BYTES,
        )
        if response.status != 200:
            raise PlatformUnavailable(
                f"load report of {server.name!r} has status {response.status}"
            )
        return report_of(server, response.json())


def report_of(server: BackendServer, fields: Any) -> LoadReport:
    """Return the load report that a backend server's JSON holds."""
    try:
        return LoadReport(
            started_at_s=float(fields["started_at"]),
            running=int(fields["running"]),
            waiting=int(fields["waiting"]),
            completed=int(fields["completed"]),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise LoadUnreadable(
            f"load report of {server.name!r} is not readable: {exc!r}"
        ) from exc


class LoadUnreadable(TeaseldykeError):
    """A backend server's load report lacks a field or has one of another type."""

    code = "load_unreadable"
    status = 502
    executed = "no"
