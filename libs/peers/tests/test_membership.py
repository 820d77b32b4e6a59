from __future__ import annotations

import pytest

from teaseldyke.peers import Membership, PeerAddress
from teaseldyke.platform import Instance


class Clock:
    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def router(name: str, state: str = "live") -> Instance:
    return Instance(name, "router", state, "zone-1", "127.0.0.1", 7000)


class TestMembers:
    def test_listed_routers_join_static_ones(self) -> None:
        membership = Membership("a", {"b": PeerAddress("127.0.0.1", 1)}, clock=Clock())
        assert membership.members == {"a", "b"}
        membership.update([router("a"), router("c")])
        assert membership.members == {"a", "b", "c"}

    @pytest.mark.parametrize(
        ("elapsed_s", "members"),
        [(9.0, {"a", "b"}), (10.0, {"a"})],
        ids=["within the delay", "after the delay"],
    )
    def test_missing_router_stays_for_the_delay(
        self, elapsed_s: float, members: set[str]
    ) -> None:
        clock = Clock()
        membership = Membership("a", clock=clock)
        membership.update([router("a"), router("b")])
        clock.now_s += elapsed_s
        membership.update([router("a")])
        assert membership.members == members

    @pytest.mark.parametrize(
        ("elapsed_s", "listed", "confirmed"),
        [
            (1.0, None, True),
            (3.0, None, False),
            (6.0, ["a", "b"], True),
            (6.0, ["b"], False),
        ],
        ids=["fresh", "old list", "listed", "dropped"],
    )
    def test_confirmation(
        self, elapsed_s: float, listed: list[str] | None, confirmed: bool
    ) -> None:
        clock = Clock()
        membership = Membership("a", clock=clock)
        membership.update([router("a"), router("b"), router("c")])
        clock.now_s += elapsed_s
        if listed is not None:
            membership.update([router(name) for name in listed])
        assert membership.is_confirmed() is confirmed

    def test_router_joins_when_it_is_listed(self) -> None:
        clock = Clock()
        membership = Membership("a", clock=clock)
        membership.update([router("b")])
        clock.now_s += 5.0
        membership.update([router("a"), router("b")])
        assert membership.joined_at_s == clock.now_s
