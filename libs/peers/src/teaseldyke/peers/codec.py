"""Binary codec of the messages between routers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import attrs
import msgspec

from teaseldyke.types import TeaseldykeError


class MessageInvalid(TeaseldykeError):
    """A frame from a peer does not decode; it is counted and dropped."""

    code = "message_invalid"
    status = 400
    executed = "no"


@attrs.define(eq=False)
class Codec:
    """Encodes attrs classes as one index byte and a msgpack body.

    Parameters
    ----------
    message_types : sequence of type
        Every message type; the order is part of the protocol.

    Examples
    --------
    >>> @attrs.frozen
    ... class Greeting:
    ...     text: str
    >>> codec = Codec([Greeting])
    >>> codec.decode(codec.encode(Greeting("hello")))
    Greeting(text='hello')
    """

    message_types: Sequence[type]
    _indices: dict[type, int] = attrs.field(init=False)
    _decoders: list[msgspec.msgpack.Decoder[Any]] = attrs.field(init=False)
    _encoder: msgspec.msgpack.Encoder = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._indices = {cls: i for i, cls in enumerate(self.message_types)}
        self._decoders = [msgspec.msgpack.Decoder(cls) for cls in self.message_types]
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: object) -> bytes:
        """Return the bytes of a message."""
        index = self._indices[type(message)]
        return bytes((index,)) + self._encoder.encode(message)

    def decode(self, data: bytes) -> object:
        """Return the message that the bytes stand for.

        Raises
        ------
        MessageInvalid
            If the index or the body is unknown.
        """
        if not data or data[0] >= len(self._decoders):
            raise MessageInvalid(f"message index in {data[:1]!r} is unknown")
        try:
            return self._decoders[data[0]].decode(memoryview(data)[1:])
        except msgspec.MsgspecError as exc:
            raise MessageInvalid(f"message body is invalid: {exc}") from exc
