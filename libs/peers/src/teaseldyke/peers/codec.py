"""Binary codec for the messages between routers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import attrs
import msgspec

from teaseldyke.types import TeaseldykeError

from .rows import RowType


class MessageInvalid(TeaseldykeError):
    """A frame from a peer can't be decoded; it is counted and dropped."""

    code = "message_invalid"
    status = 400
    executed = "no"


@attrs.define(eq=False)
class Codec:
    """Encodes an attrs instance as an index byte and a msgpack array.

    Parameters
    ----------
    message_types : sequence of type
        Every message type; the index is a position in it, so the order is part of the
        protocol.

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
    _rows: list[RowType] = attrs.field(init=False)
    _indices: dict[type, int] = attrs.field(init=False)
    _decoders: list[msgspec.msgpack.Decoder[Any]] = attrs.field(init=False)
    _encoder: msgspec.msgpack.Encoder = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._indices = {cls: i for i, cls in enumerate(self.message_types)}
        self._rows = [RowType(cls) for cls in self.message_types]
        self._decoders = [msgspec.msgpack.Decoder(row.struct) for row in self._rows]
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, message: object) -> bytes:
        """Return the bytes of a message."""
        index = self._indices[type(message)]
        row = self._rows[index].to_row(message)
        return bytes((index,)) + self._encoder.encode(row)

    def decode(self, data: bytes) -> object:
        """Return the message decoded from the bytes.

        Raises
        ------
        MessageInvalid
            If the index is unknown or the body is invalid.
        """
        if not data or data[0] >= len(self._decoders):
            raise MessageInvalid(f"message index in {data[:1]!r} is unknown")
        try:
            struct = self._decoders[data[0]].decode(memoryview(data)[1:])
        except msgspec.MsgspecError as exc:
            raise MessageInvalid(f"message body is invalid: {exc}") from exc
        message: object = self._rows[data[0]].from_struct(struct)
        return message
