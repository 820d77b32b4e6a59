from __future__ import annotations

import socket

import pytest

from tests.processes import ports


@pytest.mark.parametrize(
    "kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM], ids=["streams", "datagrams"]
)
def test_port_in_use_for_either_kind_is_not_handed_out(
    kind: socket.SocketKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A gateway binds both; OSError 98 ended it when only one was free."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((ports.HOST, ports.free_port()))
        taken = sock.getsockname()[1]
        monkeypatch.setattr(ports, "_next_port", taken - ports.PORT_FIRST - 1)
        assert ports.free_port() != taken
