"""Address of a process: IP address and TCP port."""

from __future__ import annotations

import ipaddress

import attrs

PORT_MAX = 65535


@attrs.frozen
class Address:
    """An IP address and a TCP port.

    Parameters
    ----------
    host : str
        IP address, version 4 or 6, without brackets.
    port : int
        TCP port; for a listener, 0 selects a free port.

    Examples
    --------
    >>> Address.parse("127.0.0.1:8080")
    Address(host='127.0.0.1', port=8080)
    >>> str(Address.parse("[::1]:9"))
    '[::1]:9'
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``; an IPv6 address may be in brackets.

        Raises
        ------
        ValueError
            If the host is not an IP address or the port is out of range.
        """
        host, separator, port_text = text.rpartition(":")
        if not separator:
            raise ValueError("no ':' between IP number and port")
        host = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(host)
        if not (port_text.isascii() and port_text.isdigit()):
            raise ValueError(f"port {port_text!r} is not a number")
        port = int(port_text)
        if port > PORT_MAX:
            raise ValueError(f"port {port} is above {PORT_MAX}")
        return cls(host, port)

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"
