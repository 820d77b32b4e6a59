from __future__ import annotations

from collections.abc import Callable

import pytest

from teaseldyke.placement import ColdRateLimit, ServerState, Work
from teaseldyke.types import AnnouncedServer, ServiceDescription

RATE_TOKENS_PER_S = 100_000.0
ENGINES = ServiceDescription("llm", 600, 3.0, 20.0, slots=64, memory_tokens=600_000)


@pytest.fixture
def engines() -> ServiceDescription:
    return ENGINES


@pytest.fixture
def make_state() -> Callable[..., ServerState]:
    def make(name: str, *, slots: int = 64, failure_domain: str = "a") -> ServerState:
        server = AnnouncedServer(name, 1, "llm", "10.0.0.1", 80, failure_domain, slots)
        return ServerState(
            server, 0.0, ColdRateLimit(20.0), rate_tokens_per_s=RATE_TOKENS_PER_S
        )

    return make


@pytest.fixture
def make_work() -> Callable[..., Work]:
    def make(
        organisation: str = "o",
        *,
        arrived_at_s: float = 0.0,
        on_time_s: float = 1.0,
        deadline_s: float = 10.0,
        parts: tuple[tuple[str, int], ...] = (("system", 500), ("subject", 5000)),
        own_tokens: int = 6000,
        output_tokens: int = 400,
    ) -> Work:
        parts = (*parts, (f"own-{arrived_at_s}", own_tokens))
        return Work(
            organisation,
            arrived_at_s,
            arrived_at_s + on_time_s,
            arrived_at_s + deadline_s,
            arrived_at_s + deadline_s,
            sum(tokens for _, tokens in parts),
            output_tokens,
            parts,
        )

    return make
