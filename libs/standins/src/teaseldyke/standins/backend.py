"""State and control requests that the stand-in engine and service have in common."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Iterable

import attrs
import trio

from teaseldyke.http import Request

from .executions import Execution, Executions
from .faults import AnswerFaults, ExtraBytes, RefusedOnOrder
from .load import ColdOverrun, ServerLoad
from .orders import read_order, split_path
from .settings import ServerSettings

EXIT_COLD_OVERRUN = 3

HeaderFields = Iterable[tuple[bytes, bytes]]


@attrs.define
class ColdOrder:
    """Body of ``POST /standin/cold``.

    With ``restart``, the load report shows a new start and running requests are
    cancelled; without it, the load report does not show the cold phase.
    """

    restart: bool = False


@attrs.define
class BackendState:
    """Load, executions and faults of one backend server, and its control requests.

    Parameters
    ----------
    settings : ServerSettings
        Settings of the server.

    Attributes
    ----------
    running : set of trio.CancelScope
        Scopes of the requests that a restart cancels.
    """

    settings: ServerSettings
    load: ServerLoad = attrs.field(init=False)
    executions: Executions = attrs.field(factory=Executions, init=False)
    faults: AnswerFaults = attrs.field(factory=AnswerFaults, init=False)
    extra: ExtraBytes = attrs.field(factory=ExtraBytes, init=False)
    running: set[trio.CancelScope] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.load = ServerLoad(
            started_at=time.time(),
            cold_limit=settings.cold_limit,
            warm_after_requests=settings.warm_after_requests,
            lag_s=settings.load_lag_s,
            on_overrun=self._exit_on_overrun if settings.die else _keep_running,
        )

    async def handle(self, request: Request) -> bool:
        """Handle ``/load`` and ``/standin/...``; return whether it was one of them."""
        match request.method, split_path(request):
            case "GET", ["load"]:
                if self.load.failed:
                    raise ColdOverrun("failed as too much ran at once while cold")
                await request.respond_json(200, attrs.asdict(self.load.report()))
            case "GET", ["standin", "state"]:
                await request.respond_json(200, self._state_fields())
            case "GET", ["standin", "executions"]:
                records = self.executions.by_id.items()
                value = {name: attrs.asdict(record) for name, record in records}
                await request.respond_json(200, value)
            case "DELETE", ["standin", "executions"]:
                self.executions.clear()
                await request.respond(204)
            case "PUT", ["standin", "faults"]:
                self.faults = await read_order(request, AnswerFaults)
                await request.respond(204)
            case "POST", ["standin", "cold"]:
                self._enter_cold_phase(await read_order(request, ColdOrder))
                await request.respond(204)
            case _:
                return False
        return True

    def take_faults(self) -> AnswerFaults:
        """Return the faults to apply to a request, and count it.

        Raises
        ------
        RefusedOnOrder
            If the request must be refused.
        """
        faults = self.faults.take()
        if faults.refuse:
            raise RefusedOnOrder(faults.refuse)
        return faults

    def request_id_headers(
        self, request: Request, faults: AnswerFaults
    ) -> list[tuple[bytes, bytes]]:
        """Return the header with the request id; another id if answers are crossed."""
        request_id = request.header("X-Request-Id")
        if request_id is None:
            return []
        if faults.crossed:
            request_id = f"crossed-{request_id}"
        return [(b"x-request-id", request_id.encode("latin-1"))]

    async def respond(
        self,
        request: Request,
        execution: Execution,
        faults: AnswerFaults,
        body: bytes,
    ) -> None:
        """Send a JSON response with the request's faults applied."""
        await trio.sleep(faults.late_s)
        if faults.lose:
            await request.abort()
            return
        headers = [
            *self.request_id_headers(request, faults),
            (b"content-type", b"application/json"),
        ]
        body += b" " * faults.oversize_bytes
        if faults.truncate:
            length = (b"content-length", str(len(body)).encode())
            await request.start_response(200, [*headers, length])
            await request.send(body[: len(body) // 2])
            await request.abort()
            return
        self.extra.pending = b"x" * faults.extra_bytes
        await request.respond(200, body, headers)
        execution.answered += 1

    def _enter_cold_phase(self, order: ColdOrder) -> None:
        if not order.restart:
            self.load.enter_cold_phase()
            return
        self.load.enter_cold_phase(started_at=time.time())
        for scope in list(self.running):
            scope.cancel()

    def _state_fields(self) -> dict[str, object]:
        return {
            "name": self.settings.name,
            "cold": self.load.cold,
            "cold_overrun": self.load.cold_overrun,
            "failed": self.load.failed,
            "running": self.load.running,
            "running_max": self.load.running_max,
            "waiting": self.load.waiting,
            "completed": self.load.completed,
            "executions": len(self.executions.by_id),
        }

    def _exit_on_overrun(self) -> None:
        settings = self.settings
        print(
            f"event=cold_overrun name={settings.name} "
            f"running={self.load.running + 1} cold_limit={settings.cold_limit} "
            f"completed={self.load.completed} "
            f"warm_after_requests={settings.warm_after_requests}",
            file=sys.stderr,
            flush=True,
        )
        # Like a crash: open connections are dropped without cleanup.
        os._exit(EXIT_COLD_OVERRUN)


def _keep_running() -> None:
    """Keep the process running; the server then answers with status 500."""
