"""Parsers of untrusted input: callers' headers and engines' answers."""

from __future__ import annotations

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from teaseldyke.adapter import HeaderWire
from teaseldyke.gateway import CallFacts, CallMalformed
from tests.platform.conftest import Fleet
from tests.platform.standins import Arrival, answer_raw

NAMES = st.sampled_from(
    [
        b"x-teaseldyke-request-id",
        b"x-teaseldyke-deadline-ms",
        b"x-teaseldyke-token-count",
        b"x-teaseldyke-prompt-prefix",
        b"x-teaseldyke-length-hint",
        b"last-event-id",
        b"authorization",
        b"host",
        b"x-other",
    ]
)
HEADERS = st.lists(st.tuples(NAMES, st.binary(max_size=40)), max_size=10)


class TestReadCall:
    @settings(max_examples=300, deadline=None)
    @given(HEADERS)
    def test_any_header_is_decoded_or_refused(
        self, headers: list[tuple[bytes, bytes]]
    ) -> None:
        try:
            facts = HeaderWire().read_call(headers)
        except CallMalformed:
            return
        assert isinstance(facts, CallFacts)
        assert facts.prompt_tokens >= 0
        assert facts.output_tokens >= 0

    def test_example(self) -> None:
        facts = HeaderWire().read_call(
            [
                (b"host", b"Ficu95.example:80"),
                (b"x-teaseldyke-request-id", b"9c41"),
                (b"x-teaseldyke-token-count", b"1460,80"),
                (b"x-teaseldyke-prompt-prefix", b"5c:800,91:410,e4:250"),
                (b"x-teaseldyke-deadline-ms", b"12000"),
                (b"last-event-id", b"12"),
                (b"authorization", b"Token abc"),
            ]
        )
        assert facts == CallFacts(
            b"9c41",
            "ficu95.example",
            12.0,
            "abc",
            1460,
            80,
            (("5c", 800), ("91", 410), ("e4", 250)),
            12,
        )

    @pytest.mark.parametrize(
        "value", [b"cb8adeb29d58a395", b"7", b"", b"caf\xe9 ", b"x" * 300]
    )
    def test_any_id_of_a_resumed_attempt_is_acceptable(self, value: bytes) -> None:
        headers = [
            (b"x-teaseldyke-request-id", b"9c41"),
            (b"last-event-id", b"3"),
            (b"resumes", value),
        ]
        facts = HeaderWire().read_call(headers)
        assert (facts.resumes_after, facts.resumes) == (3, value)
        assert HeaderWire().read_call(headers[:1]).resumes is None

    def test_two_ids_of_a_resumed_attempt_are_malformed(self) -> None:
        with pytest.raises(CallMalformed):
            HeaderWire().read_call(
                [
                    (b"x-teaseldyke-request-id", b"9c41"),
                    (b"resumes", b"a"),
                    (b"resumes", b"b"),
                ]
            )

    @pytest.mark.parametrize(
        ("hint", "expected"), [(b"40", 40), (b"400", 80), (b"0", 1)]
    )
    def test_length_hint_caps_the_expected_output(
        self, hint: bytes, expected: int
    ) -> None:
        facts = HeaderWire().read_call(
            [
                (b"x-teaseldyke-request-id", b"9c41"),
                (b"x-teaseldyke-token-count", b"1460,80"),
                (b"x-teaseldyke-length-hint", hint),
            ]
        )
        assert facts.output_tokens == expected


class TestReadAnswer:
    @settings(max_examples=200, deadline=None)
    @given(
        st.integers(100, 999),
        st.lists(
            st.tuples(
                st.sampled_from(
                    [b"x-teaseldyke-server-load", b"keep-alive", b"content-encoding"]
                ),
                st.binary(max_size=30),
            )
        ),
    )
    def test_any_header_is_decoded(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        facts = HeaderWire().read_answer(status, headers)
        assert facts.keep_alive_s is None or facts.keep_alive_s >= 0.0

    @pytest.mark.parametrize(
        ("value", "expected"),
        [(b"timeout=5", 5.0), (b"max=3, timeout=7", 7.0), (b"x", None)],
    )
    def test_keep_alive(self, value: bytes, expected: float | None) -> None:
        assert (
            HeaderWire().read_answer(200, [(b"keep-alive", value)]).keep_alive_s
            == expected
        )


class TestCorruptedAnswers:
    @pytest.mark.parametrize("seed", range(12))
    async def test_corrupted_answers_are_never_relayed_as_success(
        self, fleet: Fleet, seed: int
    ) -> None:
        """The answer is valid but for up to three bytes, drawn from a seed."""
        import random

        rng = random.Random(seed)

        def corrupted(arrival: Arrival) -> bytes:
            request_id = arrival.headers["x-teaseldyke-request-id"]
            answer = bytearray(
                b"HTTP/1.1 200 OK\r\nX-Teaseldyke-Request-Id: "
                + request_id.encode()
                + b"\r\nX-Teaseldyke-Response-Stamp: s\r\n"
                + b"Content-Length: 10\r\n\r\n0123456789"
            )
            length_at = len(answer) - 16  # the length and the body stay unchanged
            for _ in range(3):
                answer[rng.randrange(length_at)] = rng.randrange(256)
            return bytes(answer)

        for engine in fleet.engines.values():
            engine.scripts = [answer_raw(corrupted, close=True) for _ in range(10)]
        for i in range(10):
            answer = await fleet.caller().request("/once/a", request_id=f"r-{i}")
            if answer.status == 200 and answer.complete:
                assert answer.body == b"0123456789"
        assert fleet.arrivals == 10

    async def test_endless_header_gives_502(self, fleet: Fleet) -> None:
        async def endless(
            _engine: object, stream: trio.SocketStream, _: Arrival
        ) -> bool:
            line = b"X-More: " + b"a" * 1000 + b"\r\n"
            await stream.send_all(b"HTTP/1.1 200 OK\r\n")
            for _ in range(200):
                await stream.send_all(line)
            await stream.aclose()
            return False

        for engine in fleet.engines.values():
            engine.scripts = [endless]
        assert (await fleet.caller().request("/once/a")).status == 502
