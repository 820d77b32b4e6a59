"""HTTP clients that implement the three platform interfaces.

The table service is at ``GET /tables/<table>/rows[/<key>]`` and
``POST /transactions``, the object store at ``/objects[/<name>]`` and the instance
list at ``/instances[/<name>]``. Row values are encoded in base64.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import quote, urlencode

import attrs
import msgspec

from teaseldyke.http import (
    AnswerTooLarge,
    ConnectFailed,
    ExchangeBroken,
    HttpClient,
    Response,
)
from teaseldyke.telemetry import counter, log_fault
from teaseldyke.types import AnswerLost, PlatformUnavailable, WriteConflict

from .interfaces import Instance, Row, Write

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
RETRY_AFTER_S = 1.0
ERA_HEADER = "platform-era"

ERA = re.compile("[0-9]{1,15}")

RESTORES = counter(
    "teaseldyke_platform_restores_total",
    "Restores of the platform's tables from a copy that this process has seen.",
)

T = TypeVar("T")


@attrs.define
class _Endpoint:
    """One platform service; maps failed calls to the errors of the interfaces.

    A failed read is always `PlatformUnavailable`. A failed write is so only if it had
    no effect; if it may have had one, it is `AnswerLost`.
    """

    client: HttpClient
    host: str
    port: int
    era: int = 0

    async def read(self, target: str) -> Response | None:
        """Return the response to a GET, or ``None`` on status 404."""
        try:
            response = await self._request("GET", target, b"")
        except (ExchangeBroken, AnswerTooLarge) as exc:
            raise _unavailable(exc.detail) from exc
        if response.status == 404:
            return None
        if response.status != 200:
            raise _unavailable(f"GET {target} returned status {response.status}")
        return response

    async def write(self, method: str, target: str, body: bytes) -> Response:
        """Return the response to a write that took effect."""
        try:
            response = await self._request(method, target, body)
        except (ExchangeBroken, AnswerTooLarge) as exc:
            raise AnswerLost(f"{method} {target}: {exc.detail}") from exc
        if response.status == 200:
            return response
        if response.status == 409:
            raise WriteConflict(_conflict_detail(response))
        if response.status in (400, 413, 429, 503):
            raise _unavailable(f"{method} {target} refused: status {response.status}")
        raise AnswerLost(f"{method} {target} returned status {response.status}")

    async def _request(self, method: str, target: str, body: bytes) -> Response:
        try:
            response = await self.client.request(
                method,
                self.host,
                self.port,
                target,
                body=body,
                limit_bytes=ANSWER_LIMIT_BYTES,
            )
        except ConnectFailed as exc:
            raise _unavailable(exc.detail) from exc
        self._note_era(response)
        return response

    def _note_era(self, response: Response) -> None:
        """Report a restore of the service from a copy; 0 is a service without eras."""
        text = response.header(ERA_HEADER)
        if text is None:
            return
        if not ERA.fullmatch(text):
            log_fault("platform_era_malformed", era=text)
            return
        era = int(text)
        if era == self.era:
            return
        if self.era:
            # Acknowledged outcome records and fencing terms may be lost.
            log_fault("platform_restored", era=era, known_era=self.era)
            RESTORES.bind().add()
        self.era = era


@attrs.define
class _Versions:
    versions: list[int]


class HttpTableService:
    """Table service over HTTP.

    Parameters
    ----------
    client : HttpClient
        Connections to the platform; its time-out applies to each call.
    host : str
        IP address of the platform.
    port : int
        TCP port of the platform.
    """

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        self._endpoint = _Endpoint(client, host, port)

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or ``None`` if it does not exist."""
        response = await self._endpoint.read(
            f"{_rows_path(table)}/{quote(key, safe='')}"
        )
        if response is None:
            return None
        return _decode(response, Row)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return at most ``limit`` rows in key order.

        Their keys start with the prefix and sort after ``after``.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self._endpoint.read(f"{_rows_path(table)}?{query}")
        if response is None:
            return []
        return _decode(response, list[Row])

    async def transact(self, writes: Sequence[Write]) -> list[int]:
        """Apply all writes atomically; return the new version of each row."""
        body = msgspec.json.encode(list(writes))
        response = await self._endpoint.write("POST", "/transactions", body)
        try:
            return msgspec.json.decode(response.body, type=_Versions).versions
        except msgspec.DecodeError as exc:
            raise AnswerLost(f"response to a transaction is malformed: {exc}") from exc


class HttpObjectStore:
    """Object store over HTTP; parameters as for `HttpTableService`."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        self._endpoint = _Endpoint(client, host, port)

    async def put(self, name: str, data: bytes) -> None:
        """Store an object, replacing any of the same name."""
        await self._endpoint.write("PUT", f"/objects/{quote(name, safe='')}", data)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        response = await self._endpoint.read(f"/objects/{quote(name, safe='')}")
        return None if response is None else response.body

    async def names(self, prefix: str = "") -> list[str]:
        """Return the sorted names that start with the prefix."""
        query = urlencode({"prefix": prefix})
        response = await self._endpoint.read(f"/objects?{query}")
        if response is None:
            return []
        return _decode(response, list[str])


class HttpInstanceList:
    """Instance list over HTTP; parameters as for `HttpTableService`."""

    def __init__(self, client: HttpClient, host: str, port: int) -> None:
        self._endpoint = _Endpoint(client, host, port)

    async def instances(self) -> list[Instance]:
        """Return the live and leaving instances known to the platform."""
        response = await self._endpoint.read("/instances")
        if response is None:
            return []
        return _decode(response, list[Instance])

    async def announce(self, instance: Instance, ttl_s: float) -> None:
        """Create or renew this process's own entry for ``ttl_s`` seconds."""
        name = quote(instance.name, safe="")
        query = urlencode({"ttl_s": ttl_s})
        body = msgspec.json.encode(instance)
        await self._endpoint.write("PUT", f"/instances/{name}?{query}", body)


def _rows_path(table: str) -> str:
    return f"/tables/{quote(table, safe='')}/rows"


def _decode(response: Response, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as exc:
        raise _unavailable(f"response of the platform is malformed: {exc}") from exc


def _conflict_detail(response: Response) -> str:
    try:
        answer = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return "a row does not have the expected version"
    return str(answer.get("detail", answer))


def _unavailable(detail: str) -> PlatformUnavailable:
    return PlatformUnavailable(detail, retry_after_s=RETRY_AFTER_S)
