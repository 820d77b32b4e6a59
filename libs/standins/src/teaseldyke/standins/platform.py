"""Stand-in for the platform: tables, objects and instance list over HTTP."""

from __future__ import annotations

from typing import TypeVar

import attrs
import msgspec

from teaseldyke.http import Request
from teaseldyke.platform import (
    ERA_HEADER,
    CallCounts,
    Faults,
    Instance,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTableService,
    Write,
)
from teaseldyke.settings import Address
from teaseldyke.types import AnswerLost

from .budget import CallBudget
from .orders import BadOrder, read_order, split_path, unknown_path

BODY_LIMIT_BYTES = 64 * 1024 * 1024
SCAN_LIMIT_MAX = 10_000  # rows in one response

T = TypeVar("T")


@attrs.define
class FaultOrder:
    """Body of ``PUT /faults``; faults that it does not name are cleared."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0
    list_lag_s: float = 0.0
    seed: int = 0

    def to_faults(self) -> Faults:
        """Return the faults to inject into the three services."""
        return Faults(
            down=self.down,
            slow_s=self.slow_s,
            lose_answers=self.lose_answers,
            lag_s=self.list_lag_s,
            seed=self.seed,
        )


@attrs.define
class View:
    """The platform as seen by some callers, which reach instances over relays.

    Parameters
    ----------
    platform : Platform
        Platform that handles all requests but the reading of the instance list.
    aliases : dict of str to Address
        Address shown for an instance, by its name.
    """

    platform: Platform
    aliases: dict[str, Address]

    async def handle(self, request: Request) -> None:
        """Handle one request."""
        if (request.method, request.path) != ("GET", "/instances"):
            await self.platform.handle(request)
            return
        instances = []
        for instance in await self.platform.instances.instances():
            alias = self.aliases.get(instance.name)
            if alias is not None:
                instance = attrs.evolve(instance, host=alias.host, port=alias.port)
            instances.append(instance)
        await _respond(request, instances)


class Platform:
    """Serves table service, object store and instance list from memory.

    Parameters
    ----------
    faults : Faults
        Faults injected from the start.
    reads, writes : CallBudget, optional
        Rate limits of the table service.

    See Also
    --------
    teaseldyke.platform.HttpTableService : The client of this protocol.
    """

    def __init__(
        self,
        faults: Faults,
        reads: CallBudget | None = None,
        writes: CallBudget | None = None,
    ) -> None:
        self.reads = reads or CallBudget("reads")
        self.writes = writes or CallBudget("written rows")
        self.tables = MemoryTableService()
        self.objects = MemoryObjectStore()
        self.instances = MemoryInstanceList()
        self._copy = self.tables.copy()
        self._set_faults(faults)

    async def handle(self, request: Request) -> None:
        """Handle one request; a lost answer resets the connection."""
        try:
            await self._route(request)
        except AnswerLost:
            await request.abort()

    async def _route(self, request: Request) -> None:
        segments = split_path(request)
        match segments[0]:
            case "tables" | "transactions":
                await self._handle_tables(request, segments)
            case "objects":
                await self._handle_objects(request, segments)
            case "instances":
                await self._handle_instances(request, segments)
            case "faults" | "copy" | "restore" | "counts":
                await self._handle_orders(request, segments)
            case _:
                raise unknown_path(request)

    async def _handle_tables(self, request: Request, segments: list[str]) -> None:
        match request.method, segments:
            case "GET", ["tables", table, "rows", key]:
                self.reads.take(1)
                row = await self.tables.get(table, key)
                if row is None:
                    await request.respond(404)
                    return
                await self._respond_table(request, row)
            case "GET", ["tables", table, "rows"]:
                self.reads.take(1)
                query = request.query
                prefix, after = query.get("prefix", ""), query.get("after", "")
                limit = min(_number(query.get("limit", "1000")), SCAN_LIMIT_MAX)
                rows = await self.tables.scan(table, prefix, after, int(limit))
                await self._respond_table(request, rows)
            case "POST", ["transactions"]:
                body = await request.read_body(BODY_LIMIT_BYTES)
                writes = _decode(body, list[Write])
                self.writes.take(len(writes))
                versions = await self.tables.transact(writes)
                await self._respond_table(request, {"versions": versions})
            case _:
                raise unknown_path(request)

    async def _respond_table(self, request: Request, value: object) -> None:
        era = (ERA_HEADER.encode(), str(self.tables.era).encode())
        await _respond(request, value, era)

    async def _handle_objects(self, request: Request, segments: list[str]) -> None:
        match request.method, segments:
            case "GET", ["objects"]:
                names = await self.objects.names(request.query.get("prefix", ""))
                await _respond(request, names)
            case "GET", ["objects", name]:
                data = await self.objects.get(name)
                await request.respond(404 if data is None else 200, data or b"")
            case "PUT", ["objects", name]:
                await self.objects.put(name, await request.read_body(BODY_LIMIT_BYTES))
                await request.respond(200)
            case _:
                raise unknown_path(request)

    async def _handle_instances(self, request: Request, segments: list[str]) -> None:
        match request.method, segments:
            case "GET", ["instances"]:
                await _respond(request, await self.instances.instances())
            case "PUT", ["instances", name]:
                body = await request.read_body(BODY_LIMIT_BYTES)
                instance = _decode(body, Instance)
                if instance.name != name:
                    raise BadOrder(f"body names {instance.name!r}, path {name!r}")
                ttl_s = _number(request.query.get("ttl_s", "10"))
                await self.instances.announce(instance, ttl_s)
                await request.respond(200)
            case _:
                raise unknown_path(request)

    async def _handle_orders(self, request: Request, segments: list[str]) -> None:
        match request.method, segments:
            case "PUT", ["faults"]:
                order = await read_order(request, FaultOrder)
                self._set_faults(order.to_faults())
                await request.respond(204)
            case "PUT", ["copy"]:
                self._copy = self.tables.copy()
                await request.respond(204)
            case "PUT", ["restore"]:
                self.tables.restore(self._copy)
                await request.respond(204)
            case "GET", ["counts"]:
                await _respond(request, self._counts())
            case _:
                raise unknown_path(request)

    def _set_faults(self, faults: Faults) -> None:
        self.tables.faults = faults
        self.objects.faults = faults
        self.instances.faults = faults

    def _counts(self) -> dict[str, CallCounts]:
        return {
            "tables": self.tables.counts,
            "objects": self.objects.counts,
            "instances": self.instances.counts,
            "refused": CallCounts(self.reads.refused, self.writes.refused),
        }


async def _respond(
    request: Request, value: object, *headers_besides: tuple[bytes, bytes]
) -> None:
    headers = [(b"content-type", b"application/json"), *headers_besides]
    await request.respond(200, msgspec.json.encode(value), headers)


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise BadOrder(f"body: {exc}") from exc


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError as exc:
        raise BadOrder(f"{text!r} is not a number") from exc
