from __future__ import annotations

import attrs
import pytest

from teaseldyke.peers import Codec, MessageInvalid


@attrs.frozen
class Item:
    name: str
    cost: float = 1.0


@attrs.frozen
class Basket:
    items: tuple[Item, ...]
    labels: tuple[str, ...] = ()
    note: str | None = None


@attrs.frozen
class EarlierBasket:
    items: tuple[Item, ...]
    labels: tuple[str, ...] = ()


@attrs.frozen
class Short:
    name: str


@pytest.mark.parametrize(
    "message",
    [Basket(()), Basket((Item("a"), Item("b", 2.5)), ("x",), "note")],
    ids=["empty", "nested"],
)
def test_message_round_trip(message: Basket) -> None:
    codec = Codec([Item, Basket])
    assert codec.decode(codec.encode(message)) == message


def test_field_names_are_not_encoded() -> None:
    assert b"cost" not in Codec([Item]).encode(Item("a"))


def test_earlier_sender_omits_an_optional_last_field() -> None:
    encoded = Codec([Item, EarlierBasket]).encode(EarlierBasket((Item("a"),), ("x",)))
    assert Codec([Item, Basket]).decode(encoded) == Basket((Item("a"),), ("x",))


def test_earlier_receiver_ignores_a_field_that_it_does_not_know() -> None:
    encoded = Codec([Item, Basket]).encode(Basket((Item("a"),), ("x",), "note"))
    earlier = EarlierBasket((Item("a"),), ("x",))
    assert Codec([Item, EarlierBasket]).decode(encoded) == earlier


def test_missing_field_without_default_is_invalid() -> None:
    encoded = Codec([Short]).encode(Short("a"))
    with pytest.raises(MessageInvalid, match="message body is invalid"):
        Codec([Item]).decode(encoded)
