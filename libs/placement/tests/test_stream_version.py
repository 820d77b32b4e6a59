"""Servers of several software versions in one service."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import pytest

from teaseldyke.placement import (
    ServerState,
    Work,
    bound_to,
    choose_engine,
    may_copy_memory,
    servers_for,
)
from teaseldyke.types import ServiceDescription


@pytest.fixture
def make_versioned(
    make_state: Callable[..., ServerState],
) -> Callable[[str, str], ServerState]:
    def make(name: str, version: str) -> ServerState:
        state = make_state(name)
        state.server = attrs.evolve(state.server, version=version)
        return state

    return make


@pytest.mark.parametrize(
    ("version", "expected"),
    [("", "abc"), ("v1", "ac"), ("v1.1", "b"), ("v2", "")],
)
def test_bound_work_is_served_by_its_version_alone(
    make_versioned: Callable[[str, str], ServerState],
    make_work: Callable[..., Work],
    version: str,
    expected: str,
) -> None:
    states = [
        make_versioned("a", "v1"),
        make_versioned("b", "v1.1"),
        make_versioned("c", "v1"),
    ]
    work = bound_to(make_work(), version)
    assert work.begun is bool(version)
    found = servers_for(states, work)
    assert "".join(state.server.id for state in found) == expected


@pytest.mark.parametrize(("version", "copies"), [("v1", True), ("v2", False)])
def test_engines_copy_memory_within_a_version_alone(
    make_versioned: Callable[[str, str], ServerState],
    make_work: Callable[..., Work],
    engines: ServiceDescription,
    version: str,
    copies: bool,
) -> None:
    """The engine with affinity is busy; the other one copies the prefix, or doesn't."""
    copying = attrs.evolve(engines, memory_link_bytes_per_s=1e9, token_bytes=1.0)
    states = [make_versioned("a", "v1"), make_versioned("b", version)]
    work = make_work()
    for busy in states:
        busy.own_load.pending_tokens = 1e6
        choice = choose_engine(states, copying, work, 0.0)
        busy.own_load.pending_tokens = 0.0
        if choice.copy_from is not None:
            assert may_copy_memory(choice.copy_from, choice.state or busy)
            assert copies
            return
    assert not copies
    assert not may_copy_memory(*states)
