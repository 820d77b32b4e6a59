"""Which answers count as complete, compared with a reference over real sockets."""

from __future__ import annotations

from contextlib import suppress
from enum import Enum

import attrs
import pytest
import trio
from hypothesis import HealthCheck, event, example, given, settings
from hypothesis import strategies as st

from teaseldyke.http import BackendPool, ExchangeBroken
from teaseldyke.http.exchange import Exchange, OutgoingRequest
from teaseldyke.http.stream import close_with_reset

HOST = "127.0.0.1"
END_OF_HEAD = b"\r\n\r\n"
LIMIT_BYTES = 1024 * 1024
SILENCE_S = 0.05  # of an incomplete answer on a connection that stays open
TIMEOUT_S = 5.0  # to receive any other answer, also on a busy machine
RESET_AFTER_S = 0.002  # so that the upload is stuck, and an EOF arrives first
UPLOAD = b"u" * (4 * 1024 * 1024)  # more than the buffers of a connection hold


class Framing(Enum):
    """How an answer states the end of its body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    TWO_LENGTHS = "two_lengths"  # invalid
    GZIP_CODING = "gzip_coding"  # invalid: not supported


class End(Enum):
    """What follows the last byte of an answer."""

    NONE = "none"
    EOF = "eof"
    RESET = "reset"
    EOF_THEN_RESET = "eof_then_reset"


VALID_FRAMINGS = (Framing.LENGTH, Framing.CHUNKED, Framing.CONNECTION)
CLEAN_ENDS = (End.EOF, End.EOF_THEN_RESET)


@attrs.frozen
class Case:
    """A request, its answer, and the end of the connection."""

    method: str
    is_lenient: bool
    uploads: bool
    interim: int
    version: str
    status: str
    second_status_line: bool
    framing: Framing
    parts: list[bytes]
    cut_share: float | None
    extra: bytes
    split_share: float
    end: End

    @property
    def has_body(self) -> bool:
        return self.method != "HEAD" and self.status not in ("204", "304")

    @property
    def body(self) -> bytes:
        return b"".join(self.parts) if self.has_body else b""

    @property
    def head(self) -> bytes:
        lines = [f"HTTP/{self.version} {self.status} Status"]
        if self.second_status_line:
            lines.append("HTTP/1.1 200 OK")
        length = len(self.body)
        lines += {
            Framing.LENGTH: [f"Content-Length: {length}"],
            Framing.CHUNKED: ["Transfer-Encoding: chunked"],
            Framing.CONNECTION: [],
            Framing.TWO_LENGTHS: [
                f"Content-Length: {length}",
                f"Content-Length: {length + 1}",
            ],
            Framing.GZIP_CODING: ["Transfer-Encoding: gzip"],
        }[self.framing]
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * self.interim
        return interim + "\r\n".join(lines).encode() + END_OF_HEAD

    @property
    def framed_body(self) -> bytes:
        if self.framing is not Framing.CHUNKED or not self.has_body:
            return self.body
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in self.parts]
        return b"".join(chunks) + b"0\r\n\r\n"

    @property
    def wire(self) -> bytes:
        """All bytes that the server sends."""
        whole = self.head + self.framed_body
        if self.cut_share is None:
            return whole + self.extra
        return whole[: int(self.cut_share * len(whole))]


def expected_body(case: Case) -> bytes | None:
    """Return the body of a complete answer, or ``None`` if it isn't complete."""
    is_valid = (
        case.status.isdecimal()
        and len(case.status) == 3
        and 200 <= int(case.status) <= 599
        and not case.second_status_line
        and case.framing in VALID_FRAMINGS
    )
    if not is_valid or not case.wire.startswith(case.head):
        return None
    received = case.wire[len(case.head) :]
    if case.has_body and case.framing is Framing.CONNECTION:
        return received if case.is_lenient and case.end in CLEAN_ENDS else None
    if not received.startswith(case.framed_body):
        return None
    if received != case.framed_body and not case.is_lenient:
        return None
    return case.body


async def _serve_once(case: Case, listener: trio.SocketListener) -> None:
    stream = await listener.accept()
    with suppress(trio.BrokenResourceError):
        received = b""
        while END_OF_HEAD not in received:
            received += await stream.receive_some()
        # Extra bytes are sent with the answer, so that they are received with it.
        split = 0 if case.extra else int(case.split_share * len(case.wire))
        await stream.send_all(case.wire[:split])
        await trio.lowlevel.checkpoint()
        await stream.send_all(case.wire[split:])
        if case.end in CLEAN_ENDS:
            await stream.send_eof()
        if case.end in (End.RESET, End.EOF_THEN_RESET):
            await trio.sleep(RESET_AFTER_S)
            close_with_reset(stream)
            return
        while await stream.receive_some():
            pass
    await stream.aclose()


async def _exchange(case: Case, timeout_s: float) -> tuple[bytes | None, bool]:
    """Return the body if it was complete, and whether the connection is reusable."""
    listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
    port = listener.socket.getsockname()[1]
    body = None
    pool = BackendPool()
    async with listener, trio.open_nursery() as nursery:
        nursery.start_soon(_serve_once, case, listener)
        connection = await pool.acquire(HOST, port)
        exchange = Exchange(connection, LIMIT_BYTES, SILENCE_S, lenient=case.is_lenient)
        request = OutgoingRequest(case.method, "/", [], UPLOAD if case.uploads else b"")
        with trio.move_on_after(timeout_s), suppress(ExchangeBroken):
            await exchange.start(request, TIMEOUT_S)
            body = await exchange.read()
        assert (body is not None) == exchange.complete
        is_reusable = exchange.complete and connection.is_reusable
        pool.release(connection, exchange)
        pool.close_idle()
        nursery.cancel_scope.cancel()
    return body, is_reusable


VALID_STATUSES = ("200", "204", "304", "404", "413", "503", "599")
INVALID_STATUSES = ("000", "099", "600", "999", "20", "2000", "-01", "abc")
# Most heads are valid, so that the ends of bodies are compared, too.
statuses = st.sampled_from(("200",) * 40 + VALID_STATUSES * 2 + INVALID_STATUSES)
framings = st.sampled_from(
    VALID_FRAMINGS * 5 + (Framing.CONNECTION,) * 10 + tuple(Framing)
)
rarely = st.sampled_from((False,) * 15 + (True,))


@st.composite
def cases(draw: st.DrawFn) -> Case:
    method = draw(st.sampled_from(["POST"] * 6 + ["GET", "HEAD"]))
    cut_share = draw(st.none() | st.none() | st.floats(0.0, 1.0))
    return Case(
        method=method,
        is_lenient=draw(st.sampled_from([True, True, False])),
        uploads=method == "POST" and draw(st.booleans()),
        interim=draw(st.integers(0, 2)),
        version=draw(st.sampled_from(["1.1", "1.0"])),
        status=draw(statuses),
        second_status_line=draw(rarely),
        framing=draw(framings),
        parts=draw(st.lists(st.binary(min_size=1, max_size=200), max_size=3)),
        cut_share=cut_share,
        extra=b"" if cut_share is not None else draw(st.sampled_from([b"", b"more"])),
        split_share=draw(st.floats(0.0, 1.0)),
        end=draw(st.sampled_from(End)),
    )


BROKEN_UPLOAD = Case(
    method="POST",
    is_lenient=True,
    uploads=True,
    interim=0,
    version="1.1",
    status="200",
    second_status_line=False,
    framing=Framing.CONNECTION,
    parts=[b"part"],
    cut_share=None,
    extra=b"",
    split_share=0.0,
    end=End.RESET,
)


@pytest.mark.promise("whole-answer")
@settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(case=cases())
@example(case=attrs.evolve(BROKEN_UPLOAD, end=End.RESET))
@example(case=attrs.evolve(BROKEN_UPLOAD, end=End.EOF_THEN_RESET))
@example(case=attrs.evolve(BROKEN_UPLOAD, end=End.RESET, framing=Framing.LENGTH))
def test_only_complete_answers_are_complete(case: Case) -> None:
    expected = expected_body(case)
    event("complete" if expected is not None else "incomplete")
    is_silent = expected is None and case.end is End.NONE
    timeout_s = SILENCE_S if is_silent else TIMEOUT_S
    body, is_reusable = trio.run(_exchange, case, timeout_s)
    assert body == expected
    if is_reusable:
        assert not case.extra
        assert not (case.has_body and case.framing is Framing.CONNECTION)
