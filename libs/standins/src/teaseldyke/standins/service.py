"""Stand-in for a plain service: grants, payments, stations and balances."""

from __future__ import annotations

import hashlib
import json

import attrs
import trio

from teaseldyke.http import Request
from teaseldyke.types import TeaseldykeError

from .backend import BackendState
from .executions import Execution
from .orders import split_path, unknown_path
from .settings import ServiceSettings

BODY_LIMIT_BYTES = 16 * 1024 * 1024


class OldFencingNumber(TeaseldykeError):
    """The request's fencing number is lower than one received before."""

    code = "old_fencing_number"
    status = 409
    executed = "no"


class BadFencingNumber(TeaseldykeError):
    """The header ``Fencing-Number`` is not a decimal number."""

    code = "bad_fencing_number"
    status = 400
    executed = "no"


@attrs.define
class PlainService:
    """Serves the requests of one plain service and counts each execution.

    Parameters
    ----------
    settings : ServiceSettings
        Concurrency limit, work time and whether fencing numbers are checked.
    """

    settings: ServiceSettings
    state: BackendState = attrs.field(init=False)
    _slots: trio.CapacityLimiter = attrs.field(init=False)
    _fencing_number: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.state = BackendState(self.settings)
        self._slots = trio.CapacityLimiter(self.settings.limit)

    async def handle(self, request: Request) -> None:
        """Handle one request."""
        if await self.state.handle(request):
            return
        self._check_path(request)
        body = await request.read_body(BODY_LIMIT_BYTES)
        faults = self.state.take_faults()
        self._check_fencing(request)
        execution, value = await self._execute(request, body)
        await self.state.respond(request, execution, faults, value)

    def _check_path(self, request: Request) -> None:
        match request.method, split_path(request):
            case "POST", ["grants" | "payments"]:
                return
            case "GET", ["stations" | "balances", _]:
                return
        raise unknown_path(request)

    def _check_fencing(self, request: Request) -> None:
        text = request.header("Fencing-Number")
        if text is None or not self.settings.checks_fencing:
            return
        if not text.isascii() or not text.isdigit():
            raise BadFencingNumber(f"Fencing-Number is {text!r}, expected a number")
        number = int(text)
        if number < self._fencing_number:
            raise OldFencingNumber(
                f"fencing number {number} is below {self._fencing_number}"
            )
        self._fencing_number = number

    async def _execute(self, request: Request, body: bytes) -> tuple[Execution, bytes]:
        """Execute a request to its end, even if its caller disconnects."""
        load = self.state.load
        load.count_waiting(1)
        try:
            await self._slots.acquire()
        finally:
            load.count_waiting(-1)
        try:
            load.start()
            execution = self.state.executions.get_or_create(request)
            execution.count += 1
            try:
                await trio.sleep(self.settings.work_s)
            finally:
                load.finish(completed=True)
        finally:
            self._slots.release()
        return execution, self._response_body(request, body)

    def _response_body(self, request: Request, body: bytes) -> bytes:
        name = split_path(request)[-1]
        value = {
            "server": self.settings.name,
            "request": f"{request.method} {request.path}",
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        if request.method == "GET":
            value["balance"] = hashlib.sha256(name.encode()).hexdigest()[:6]
        return json.dumps(value).encode()
