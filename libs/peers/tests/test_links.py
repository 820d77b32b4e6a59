from __future__ import annotations

import socket

import attrs
import pytest
import trio

from teaseldyke.peers import Codec, Links, LinkState, MessageInvalid, PeerAddress


@attrs.frozen
class Note:
    text: str


CODEC = Codec([Note])


@pytest.fixture
def ports() -> list[int]:
    sockets = [socket.socket() for _ in range(2)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    found = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return found


async def _until(condition, timeout_s: float = 5.0) -> None:
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.005)


async def test_messages_arrive_and_stopped_peer_is_gone(ports: list[int]) -> None:
    one = Links("one", "127.0.0.1", ports[0], CODEC)
    two = Links("two", "127.0.0.1", ports[1], CODEC)
    received: list[tuple[str, Note]] = []

    async def note(sender: str, message: Note) -> None:
        received.append((sender, message))

    two.subscribe(Note, note)
    one.set_peers({"two": PeerAddress("127.0.0.1", ports[1])})
    async with trio.open_nursery() as nursery:
        await nursery.start(one.run)
        await _until(lambda: one.state("two") is LinkState.GONE)
        async with trio.open_nursery() as inner:
            await inner.start(two.run)
            await _until(lambda: one.state("two") is LinkState.UP)
            one.send("two", Note("first"))
            one.send("two", Note("second"))
            await _until(lambda: len(received) == 2)
            inner.cancel_scope.cancel()
        await _until(lambda: one.state("two") is LinkState.GONE)
        nursery.cancel_scope.cancel()
    assert received == [("one", Note("first")), ("one", Note("second"))]
    assert one.counters.frames_sent == 1


@pytest.mark.parametrize("data", [b"", b"\x09abc", b"\x00\xc1"])
def test_invalid_bytes_raise(data: bytes) -> None:
    with pytest.raises(MessageInvalid):
        CODEC.decode(data)
