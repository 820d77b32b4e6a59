"""Client of the administration API; works against any router."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypeVar

import attrs
import msgspec
import trio

from teaseldyke.configuration import ChangeRecord, Head, Sheet
from teaseldyke.http import (
    AnswerTooLarge,
    ConnectFailed,
    ExchangeBroken,
    HttpClient,
    Response,
)
from teaseldyke.settings import Address
from teaseldyke.types import Switches

from .errors import (
    AccessDenied,
    ChangeLost,
    OperatorError,
    OutcomeUnknown,
    RequestRefused,
    RouterUnavailable,
    SheetFaulty,
)

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
READ_TIMEOUT_S = 5.0  # after which a read is asked of the next router
CHANGE_TIMEOUT_S = 20.0
ATTEMPTS = 6
PAUSE_S = 0.5

_ERRORS: dict[int, type[OperatorError]] = {
    401: AccessDenied,
    403: AccessDenied,
    409: ChangeLost,
    429: RouterUnavailable,
    503: RouterUnavailable,
}

T = TypeVar("T")


@attrs.frozen
class FleetConfiguration:
    """Configuration in force on the router that was asked."""

    head: Head
    sheet: Sheet
    switches: Switches


@attrs.frozen
class RouterVersion:
    """Version in force on one router; ``None`` when it did not answer."""

    router: str
    version: int | None
    ready: bool


@attrs.frozen
class AcceptedChange:
    """A change that the store holds."""

    version: int
    change_id: str
    summary: str
    repeated: bool


class _NotConnected(RouterUnavailable):
    """One router did not take a connection; nothing was sent to it."""


@attrs.define
class RouterClient:
    """Asks the first router that answers.

    Parameters
    ----------
    routers : sequence of Address
        Administration addresses, tried in turn.
    token : str
        Token of the operator.
    """

    routers: Sequence[Address]
    token: str
    _http: HttpClient = attrs.field(factory=lambda: HttpClient(), init=False)

    async def get(self, path: str, cls: type[T]) -> T:
        """Return the answer to a read.

        Raises
        ------
        OperatorError
            Of the kind that the router's answer, or its silence, asks for.
        """
        return _decode(await self._ask("GET", path, b""), cls)

    async def configuration(self) -> FleetConfiguration:
        """Return the configuration in force."""
        return await self.get("/v1/configuration", FleetConfiguration)

    async def versions(self) -> list[RouterVersion]:
        """Return the version in force on every known router."""
        return await self.get("/v1/versions", list[RouterVersion])

    async def history(self, after: int, limit: int) -> list[ChangeRecord]:
        """Return accepted changes after a version."""
        path = f"/v1/history?after={after}&limit={limit}"
        return await self.get(path, list[ChangeRecord])

    async def change(self, method: str, path: str, body: Any) -> AcceptedChange:
        """Ask for a change; it carries an id, so it is repeated while unsettled.

        Raises
        ------
        OutcomeUnknown
            If no answer told whether the change was accepted.
        """
        data = msgspec.json.encode(body)
        may_be_accepted = False
        for attempt in range(ATTEMPTS):
            try:
                return _decode(await self._ask(method, path, data), AcceptedChange)
            except OutcomeUnknown:
                may_be_accepted = True
            except RouterUnavailable:
                if not may_be_accepted:
                    raise
            if attempt + 1 < ATTEMPTS:
                await trio.sleep(PAUSE_S)
        raise OutcomeUnknown(
            f"change {body['change_id']!r} may have been accepted; repeat the command "
            f"with --change-id={body['change_id']}"
        )

    async def statuses(self) -> list[dict[str, Any]]:
        """Return the status of every router that answers."""
        found: dict[Address, dict[str, Any]] = {}
        failures: list[OperatorError] = []

        async def ask(router: Address) -> None:
            try:
                answer = await self._ask_one(router, "GET", "/v1/status", b"")
                found[router] = _decode(answer, dict[str, Any])
            except OperatorError as exc:
                failures.append(exc)

        async with trio.open_nursery() as nursery:
            for router in self.routers:
                nursery.start_soon(ask, router)
        for failure in failures:
            if not isinstance(failure, (RouterUnavailable, OutcomeUnknown)):
                raise failure
        if not found:
            raise _no_router([failure.detail for failure in failures])
        return [found[router] for router in self.routers if router in found]

    async def _ask(self, method: str, path: str, body: bytes) -> Response:
        failures = []
        for router in self.routers:
            try:
                return await self._ask_one(router, method, path, body)
            except _NotConnected as exc:
                failures.append(exc.detail)
            except OutcomeUnknown as exc:
                if method != "GET":
                    raise
                failures.append(exc.detail)
        raise _no_router(failures)

    async def _ask_one(
        self, router: Address, method: str, path: str, body: bytes
    ) -> Response:
        try:
            answer = await self._http.request(
                method,
                router.host,
                router.port,
                path,
                headers=[("authorization", f"Bearer {self.token}")],
                body=body,
                timeout_s=READ_TIMEOUT_S if method == "GET" else CHANGE_TIMEOUT_S,
                limit_bytes=ANSWER_LIMIT_BYTES,
            )
        except ConnectFailed as exc:
            raise _NotConnected(f"{router}: {exc.detail}") from exc
        except (ExchangeBroken, AnswerTooLarge) as exc:
            raise OutcomeUnknown(f"{router}: {exc.detail}") from exc
        _raise_for(answer)
        return answer


def _no_router(failures: Sequence[str]) -> RouterUnavailable:
    return RouterUnavailable("no router answers\n  " + "\n  ".join(failures))


def _raise_for(answer: Response) -> None:
    """Raise the error that an answer reports."""
    if answer.status < 400:
        return
    try:
        problem = answer.json()
    except ValueError:
        problem = {}
    detail = problem.get("detail", f"the router answered with status {answer.status}")
    code = problem.get("code", "")
    if code == "sheet_invalid":
        raise SheetFaulty(detail)
    if answer.status >= 500 and problem.get("executed") != "no":
        raise OutcomeUnknown(detail)
    error = _ERRORS.get(answer.status, RequestRefused)
    if code == "name_taken":
        error = RequestRefused
    if code == "platform_unavailable":
        detail = f"the store is down; nothing was changed, try again soon ({detail})"
    raise error(detail)


def _decode(answer: Response, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=cls)
    except msgspec.MsgspecError as exc:
        raise OperatorError(f"the router's answer has another form: {exc}") from exc
