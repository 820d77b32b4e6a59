"""Reads load reports of backend servers over HTTP."""

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
        Client that sends the requests.
    """

    client: HttpClient

    async def load(self, server: BackendServer) -> LoadReport:
        """Return the backend server's load report, which may lag behind its load.

        Raises
        ------
        TeaseldykeError
            If the backend server returns no valid report.
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
                f"load report of {server.name!r} failed with status {response.status}"
            )
        return parse_load_report(server, response.json())


def parse_load_report(server: BackendServer, fields: Any) -> LoadReport:
    """Return the load report from the JSON of a backend server.

    Raises
    ------
    LoadUnreadable
        If a field is missing or has the wrong type.
    """
    try:
        return LoadReport(
            started_at_s=float(fields["started_at"]),
            running=int(fields["running"]),
            waiting=int(fields["waiting"]),
            completed=int(fields["completed"]),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise LoadUnreadable(
            f"load report of {server.name!r} is malformed: {exc!r}"
        ) from exc


class LoadUnreadable(TeaseldykeError):
    """A field of a backend server's load report is missing or has the wrong type."""

    code = "load_unreadable"
    status = 502
    executed = "no"
