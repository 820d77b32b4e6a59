"""Operators' orders of a trace, sent to the administration API."""

from __future__ import annotations

import json
import secrets

import attrs
import trio

from teaseldyke.http import HttpClient
from teaseldyke.settings import Address
from teaseldyke.types import TeaseldykeError

from .trace import SwitchOrder

SWITCHES_PATH = "/v1/switches"
ATTEMPTS = 20
PAUSE_S = 0.5
CHANGE_ID_BYTES = 8


class SwitchRefused(TeaseldykeError):
    """The administration API did not accept a switch."""

    code = "switch_refused"


@attrs.define
class SwitchClient:
    """Sends switches to any router that answers.

    Parameters
    ----------
    administrations : list of Address
        Administration addresses of the routers.
    token : str
        Token of an operator with the role ``operate``.
    accepted : list of tuple of SwitchOrder and float
        Orders that were accepted and when, on trio's clock.
    """

    administrations: list[Address]
    token: str
    accepted: list[tuple[SwitchOrder, float]] = attrs.field(factory=list)
    _client: HttpClient = attrs.field(factory=lambda: HttpClient(10.0))

    async def switch(self, order: SwitchOrder) -> None:
        """Send an order until a router accepts it.

        Raises
        ------
        SwitchRefused
            If none accepts it within the attempts.
        """
        last = "nothing was tried"
        body = _body_of(order)
        for i in range(ATTEMPTS):
            address = self.administrations[i % len(self.administrations)]
            try:
                last = await self._send(body, address)
            except TeaseldykeError as exc:
                last = exc.detail
            if not last:
                self.accepted.append((order, trio.current_time()))
                return
            await trio.sleep(PAUSE_S)
        raise SwitchRefused(f"{order}: {last}")

    async def _send(self, body: bytes, address: Address) -> str:
        """Return why the order was not accepted, empty if it was."""
        response = await self._client.request(
            "POST",
            address.host,
            address.port,
            SWITCHES_PATH,
            headers=[("authorization", f"Bearer {self.token}")],
            body=body,
        )
        if 200 <= response.status < 300:
            return ""
        return f"{response.status} {response.body[:200]!r}"


def _body_of(order: SwitchOrder) -> bytes:
    """Return the body of every attempt; its id makes a repetition harmless."""
    value = {
        "change_id": f"replay-{secrets.token_hex(CHANGE_ID_BYTES)}",
        "kind": order.switch,
        "name": order.name,
        "out": order.out,
    }
    return json.dumps(value).encode()
