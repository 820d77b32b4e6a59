from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from teaseldyke.http import CrossedAnswer, ExchangeBroken
from teaseldyke.settings import Address
from teaseldyke.standins import Engine, EngineSettings
from teaseldyke.standins.faults import extra_bytes_wrapper

Start = Callable[..., Awaitable[Any]]
CHAT = "/v1/chat/completions"


def _engine(**settings: Any) -> Engine:
    return Engine(
        EngineSettings(
            name="engine-1",
            failure_domain="north",
            listen=Address("127.0.0.1", 0),
            tokens_per_s=2000.0,
            prefill_s=0.0,
            die=False,
            **settings,
        )
    )


def _body(output_tokens: int = 5, stream: bool = False) -> bytes:
    value = {
        "messages": [{"role": "user", "content": "why this correction"}],
        "stream": stream,
        "max_tokens": output_tokens,
    }
    return json.dumps(value).encode()


def _content(body: bytes) -> str:
    text = ""
    for line in body.decode().splitlines():
        if not line.startswith("data: {"):
            continue
        choices = json.loads(line[len("data: ") :])["choices"]
        text += choices[0]["delta"].get("content", "") if choices else ""
    return text


class TestAnswers:
    async def test_stream_and_unstreamed_answer_agree(self, start: Start) -> None:
        served = await start(_engine().handle)
        whole = (await served.call("POST", CHAT, _body())).json()
        streamed = await served.call("POST", CHAT, _body(stream=True))
        assert _content(streamed.body) == whole["choices"][0]["message"]["content"]
        assert streamed.body.endswith(b"data: [DONE]\n\n")
        assert b'"completion_tokens": 5' in streamed.body
        assert whole["usage"]["total_tokens"] == 8

    @pytest.mark.parametrize("offset", [0, 4, 9, 10, 11, 12])
    async def test_stream_resumes_at_offset(self, start: Start, offset: int) -> None:
        engine, other = _engine(), _engine()
        served, elsewhere = await start(engine.handle), await start(other.handle)
        whole, rest = [
            await server.call("POST", CHAT, _body(9, stream=True), **headers)
            for server, headers in (
                (served, {"X_Request_Id": "a"}),
                (elsewhere, {"X_Request_Id": "a", "Resume_Offset": str(offset)}),
            )
        ]
        events = whole.body.split(b"\n\n")
        assert rest.body.split(b"\n\n") == events[offset:]
        execution = other.state.executions.by_id["a"]
        assert (execution.count, execution.resumed) == (0, 1)

    @pytest.mark.parametrize(
        ("body", "headers"),
        [
            (b"{", {}),
            (b'{"messages": []}', {}),
            (_body(), {"Resume_Offset": "-1"}),
            (_body(5), {"Resume_Offset": "9"}),
        ],
    )
    async def test_bad_request(
        self, start: Start, body: bytes, headers: dict[str, str]
    ) -> None:
        engine = _engine()
        served = await start(engine.handle)
        assert (await served.call("POST", CHAT, body, **headers)).status == 400
        assert not engine.state.executions.by_id


class TestFaults:
    @pytest.mark.parametrize("stream", [False, True])
    @pytest.mark.parametrize(
        ("faults", "error"),
        [
            ({"truncate": True}, ExchangeBroken),
            ({"lose": True}, ExchangeBroken),
            ({"crossed": True}, CrossedAnswer),
        ],
    )
    async def test_fault_breaks_one_answer(
        self, start: Start, faults: dict[str, Any], error: type[Exception], stream: bool
    ) -> None:
        engine = _engine()
        served = await start(engine.handle)
        order = json.dumps({**faults, "requests": 1}).encode()
        await served.call("PUT", "/standin/faults", order)
        body = _body(40, stream)
        if error is CrossedAnswer:
            response = await served.call("POST", CHAT, body, X_Request_Id="a")
            assert response.header("X-Request-Id") == "crossed-a"
        else:
            with pytest.raises(error):
                await served.call("POST", CHAT, body, X_Request_Id="a")
        assert engine.state.executions.by_id["a"].count == 1
        response = await served.call("POST", CHAT, body, X_Request_Id="b")
        assert response.header("X-Request-Id") == "b"

    @pytest.mark.parametrize("stream", [False, True])
    async def test_extra_bytes_follow_the_answer(
        self, start: Start, stream: bool
    ) -> None:
        engine = _engine()
        served = await start(engine.handle, extra_bytes_wrapper(engine.state.extra))
        await served.call("PUT", "/standin/faults", b'{"extra_bytes": 7}')
        raw = await trio.open_tcp_stream("127.0.0.1", served.port)
        body = _body(2, stream)
        head = f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
        await raw.send_all(head.encode() + body)
        received = b""
        while not received.endswith(b"xxxxxxx"):
            received += await raw.receive_some()
        end = b"0\r\n\r\n" if stream else b"}"
        assert received.removesuffix(b"xxxxxxx").endswith(end)

    async def test_refusal_executes_nothing(self, start: Start) -> None:
        engine = _engine()
        served = await start(engine.handle)
        await served.call("PUT", "/standin/faults", b'{"refuse": 503}')
        assert (await served.call("POST", CHAT, _body())).status == 503
        assert not engine.state.executions.by_id


class TestCancel:
    @pytest.mark.parametrize("way", ["disconnect", "delete", "restart"])
    async def test_cancelled_request_frees_its_slot(
        self, start: Start, nursery: trio.Nursery, way: str
    ) -> None:
        engine = _engine()
        served = await start(engine.handle)
        scope = trio.CancelScope()

        async def run() -> None:
            with scope:
                body = _body(10**6, stream=True)
                with pytest.raises(ExchangeBroken):
                    await served.call("POST", CHAT, body, X_Request_Id="a")

        nursery.start_soon(run)
        with trio.fail_after(3):
            while not engine.batch.running:
                await trio.sleep(0.005)
            if way == "disconnect":
                scope.cancel()
            elif way == "restart":
                await served.call("POST", "/standin/cold", b'{"restart": true}')
            else:
                await served.call("DELETE", "/v1/requests/a")
            while engine.batch.running or engine.state.load.running:
                await trio.sleep(0.005)
        assert engine.state.executions.by_id["a"].cancelled


class TestCold:
    async def test_overrun_fails_all_until_restart(
        self, start: Start, nursery: trio.Nursery
    ) -> None:
        engine = _engine(cold_limit=2, warm_after_requests=1)
        served = await start(engine.handle)
        statuses: list[int] = []

        async def call() -> None:
            response = await served.call("POST", CHAT, _body(100))
            statuses.append(response.status)

        async with trio.open_nursery() as calls:
            for _ in range(3):
                calls.start_soon(call)
        assert sorted(statuses) == [200, 200, 500]
        assert (await served.call("GET", "/load")).status == 500
        await served.call("POST", "/standin/cold", b'{"restart": true}')
        assert (await served.call("POST", CHAT, _body())).status == 200
        state = (await served.call("GET", "/standin/state")).json()
        assert (state["cold"], state["cold_overrun"]) == (False, 1)

    async def test_prefix_hit_shortens_prefill(self, start: Start) -> None:
        engine = _engine()
        served = await start(engine.handle)
        cached = []
        for _ in range(2):
            usage = (await served.call("POST", CHAT, _body())).json()["usage"]
            cached.append(usage["prompt_tokens_details"]["cached_tokens"])
        assert cached == [0, 3]
