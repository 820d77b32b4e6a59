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
    def test_static_peers_count_until_the_list_is_read(self) -> None:
        membership = Membership("a", {"b": PeerAddress("127.0.0.1", 1)}, clock=Clock())
        assert membership.members == {"a", "b"}
        membership.update([router("a"), router("c")])
        assert membership.members == {"a", "c"}

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

    def test_dropped_router_is_not_confirmed(self) -> None:
        clock = Clock()
        membership = Membership("a", clock=clock)
        membership.update([router("a"), router("b"), router("c")])
        clock.now_s += 6.0
        membership.update([router("b"), router("c")])
        assert not membership.is_confirmed(heard=0)
        assert membership.is_confirmed(heard=1)
