"""Settings of a relay between one router of a fleet and all others."""

from __future__ import annotations

from typing import Any

import attrs

from teaseldyke.settings import Address

from .ports import free_address


@attrs.define
class Isolation:
    """Relay between one router and all others.

    The platform shows the relay's addresses in its instance lists: the isolated
    router's to all others, and those of the others to the isolated router.

    Parameters
    ----------
    index : int
        Index of the router.
    controls : list of Address
        Control address of each router.
    """

    index: int
    controls: list[Address]
    view: Address = attrs.field(factory=free_address, init=False)
    _relays: list[Address] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._relays = [free_address() for _ in self.controls]

    def routes(self) -> list[dict[str, str]]:
        """Return one route for each router, the isolated one included."""
        found = []
        for i, control in enumerate(self.controls):
            listen = str(self._relays[i])
            found.append({"name": f"to-{i}", "listen": listen, "target": str(control)})
        return found

    def relay_settings(self) -> dict[str, Any]:
        """Return the settings of the relay."""
        return {"admin": str(free_address()), "routes": self.routes()}

    def platform_settings(self) -> dict[str, Any]:
        """Return the addresses that the platform shows to the router and the others."""
        isolated = f"router-{self.index + 1}"
        aliases = {f"router-{i + 1}": str(a) for i, a in enumerate(self._relays)}
        return {
            "aliases": {isolated: aliases.pop(isolated)},
            "views": [{"listen": str(self.view), "aliases": aliases}],
        }
