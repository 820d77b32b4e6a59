"""Client of the administration API, which any router serves."""

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
    ChangeConflict,
    OperatorError,
    OutcomeUnknown,
    RequestRefused,
    RouterUnavailable,
    SheetFaulty,
)

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
READ_TIMEOUT_S = 5.0  # then the read is sent to the next router
CHANGE_TIMEOUT_S = 20.0
CHANGE_ATTEMPTS_MAX = 6
CHANGE_RETRY_DELAY_S = 0.5

_ERRORS: dict[int, type[OperatorError]] = {
    401: AccessDenied,
    403: AccessDenied,
    409: ChangeConflict,
    429: RouterUnavailable,
    503: RouterUnavailable,
}

T = TypeVar("T")


@attrs.frozen
class FleetConfiguration:
    """Configuration in force on the router that answered."""

    head: Head
    sheet: Sheet
    switches: Switches


@attrs.frozen
class RouterVersion:
    """Version in force on one router; ``None`` if the router did not answer."""

    router: str
    version: int | None
    ready: bool


@attrs.frozen
class AcceptedChange:
    """A change that has been accepted and stored."""

    version: int
    change_id: str
    summary: str
    repeated: bool


class _NotConnected(RouterUnavailable):
    """The connection to one router failed; nothing was sent to it."""


@attrs.define
class RouterClient:
    """Sends each request to the routers in order until one answers.

    A change goes to the next router only if the connection failed, since otherwise it
    may have been accepted already.

    Parameters
    ----------
    routers : sequence of Address
        Administration addresses, tried in this order.
    token : str
        Token of the operator.
    """

    routers: Sequence[Address]
    token: str
    _http: HttpClient = attrs.field(factory=lambda: HttpClient(), init=False)

    async def get(self, path: str, cls: type[T]) -> T:
        """Return the decoded answer to a GET request.

        Raises
        ------
        OperatorError
            If no router answers, or the answer is an error or malformed; the subclass
            determines the exit status.
        """
        return _decode(await self._request_any("GET", path, b""), cls)

    async def configuration(self) -> FleetConfiguration:
        """Return the configuration in force."""
        return await self.get("/v1/configuration", FleetConfiguration)

    async def versions(self) -> list[RouterVersion]:
        """Return the version in force on every known router."""
        return await self.get("/v1/versions", list[RouterVersion])

    async def history(self, after: int, limit: int) -> list[ChangeRecord]:
        """Return at most ``limit`` accepted changes after a version."""
        path = f"/v1/history?after={after}&limit={limit}"
        return await self.get(path, list[ChangeRecord])

    async def change(self, method: str, path: str, body: Any) -> AcceptedChange:
        """Request a change, with retries while its outcome is unknown.

        Retries are safe, since the change id makes the request idempotent.

        Raises
        ------
        OutcomeUnknown
            If it is not known after all attempts whether the change was accepted.
        """
        data = msgspec.json.encode(body)
        may_be_accepted = False
        for attempt in range(CHANGE_ATTEMPTS_MAX):
            try:
                return _decode(
                    await self._request_any(method, path, data), AcceptedChange
                )
            except OutcomeUnknown:
                may_be_accepted = True
            except RouterUnavailable:
                if not may_be_accepted:
                    raise
            if attempt + 1 < CHANGE_ATTEMPTS_MAX:
                await trio.sleep(CHANGE_RETRY_DELAY_S)
        raise OutcomeUnknown(
            f"change {body['change_id']!r} may have been accepted; repeat the command "
            f"with --change-id={body['change_id']}"
        )

    async def statuses(self) -> list[dict[str, Any]]:
        """Return the status of each router that answers, in the order of `routers`."""
        status_by_router: dict[Address, dict[str, Any]] = {}
        failures: list[OperatorError] = []

        async def fetch(router: Address) -> None:
            try:
                answer = await self._request(router, "GET", "/v1/status", b"")
                status_by_router[router] = _decode(answer, dict[str, Any])
            except OperatorError as exc:
                failures.append(exc)

        async with trio.open_nursery() as nursery:
            for router in self.routers:
                nursery.start_soon(fetch, router)
        for failure in failures:
            if not isinstance(failure, (RouterUnavailable, OutcomeUnknown)):
                raise failure
        if not status_by_router:
            raise _all_failed([failure.detail for failure in failures])
        return [
            status_by_router[router]
            for router in self.routers
            if router in status_by_router
        ]

    async def _request_any(self, method: str, path: str, body: bytes) -> Response:
        failures = []
        for router in self.routers:
            try:
                return await self._request(router, method, path, body)
            except _NotConnected as exc:
                failures.append(exc.detail)
            except OutcomeUnknown as exc:
                if method != "GET":
                    raise
                failures.append(exc.detail)
        raise _all_failed(failures)

    async def _request(
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
        _raise_for_status(answer)
        return answer


def _all_failed(failures: Sequence[str]) -> RouterUnavailable:
    return RouterUnavailable("no router answered\n  " + "\n  ".join(failures))


def _raise_for_status(answer: Response) -> None:
    """Raise the error that an answer reports, if any."""
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
        detail = f"the store is down; nothing was changed, try again later ({detail})"
    raise error(detail)


def _decode(answer: Response, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=cls)
    except msgspec.MsgspecError as exc:
        raise OperatorError(f"the router's response is malformed: {exc}") from exc
