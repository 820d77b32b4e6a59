"""Operators' orders of a trace, sent to the administration API."""

from __future__ import annotations

import json

import attrs
import trio

from teaseldyke.http import HttpClient
from teaseldyke.settings import Address
from teaseldyke.types import TeaseldykeError

from .trace import SwitchOrder

SWITCHES_PATH = "/v1/switches"
ATTEMPTS = 20
PAUSE_S = 0.5


class SwitchRefused(TeaseldykeError):
    """The administration API did not accept a switch."""

    code = "switch_refused"


@attrs.define
class Switchboard:
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
        for i in range(ATTEMPTS):
            address = self.administrations[i % len(self.administrations)]
            try:
                last = await self._send(order, address)
            except TeaseldykeError as exc:
                last = exc.detail
            if not last:
                self.accepted.append((order, trio.current_time()))
                return
            await trio.sleep(PAUSE_S)
        raise SwitchRefused(f"{order}: {last}")

    async def _send(self, order: SwitchOrder, address: Address) -> str:
        """Return why the order was not accepted, empty if it was."""
        value = {"kind": order.switch, "name": order.name, "out": order.out}
        response = await self._client.request(
            "POST",
            address.host,
            address.port,
            SWITCHES_PATH,
            headers=[("authorization", f"Bearer {self.token}")],
            body=json.dumps(value).encode(),
        )
        if 200 <= response.status < 300:
            return ""
        return f"{response.status} {response.body[:200]!r}"
