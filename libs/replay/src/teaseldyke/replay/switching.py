"""Client that sends a trace's switch orders to the administration API."""

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
ATTEMPTS_MAX = 20
RETRY_INTERVAL_S = 0.5
CHANGE_ID_BYTES = 8


class SwitchRefused(TeaseldykeError):
    """The administration API did not accept a switch."""

    code = "switch_refused"


@attrs.define
class SwitchClient:
    """Sends switch orders to the first router that accepts them.

    Parameters
    ----------
    administrations : list of Address
        Administration addresses of the routers.
    token : str
        Token of an operator with the role ``operate``.
    accepted : list of tuple of SwitchOrder and float
        Accepted orders and the times of acceptance, on trio's clock.
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
            If no router accepts it within `ATTEMPTS_MAX` attempts.
        """
        reason = "no attempt was made"
        body = _encode_order(order)
        for i in range(ATTEMPTS_MAX):
            address = self.administrations[i % len(self.administrations)]
            try:
                reason = await self._send(body, address)
            except TeaseldykeError as exc:
                reason = exc.detail
            if not reason:
                self.accepted.append((order, trio.current_time()))
                return
            await trio.sleep(RETRY_INTERVAL_S)
        raise SwitchRefused(f"{order}: {reason}")

    async def _send(self, body: bytes, address: Address) -> str:
        """Send an order; return why it was not accepted, empty if it was."""
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


def _encode_order(order: SwitchOrder) -> bytes:
    """Encode an order; the change id makes the repeated attempts idempotent."""
    value = {
        "change_id": f"replay-{secrets.token_hex(CHANGE_ID_BYTES)}",
        "kind": order.switch,
        "name": order.name,
        "out": order.out,
    }
    return json.dumps(value).encode()
