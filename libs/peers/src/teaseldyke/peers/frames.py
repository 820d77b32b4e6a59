"""Frames, which carry several messages of one sender in one transport message."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import msgspec

from .codec import Codec, MessageInvalid


@attrs.frozen
class Frame:
    """Content of one transport message."""

    sender: str
    bodies: tuple[bytes, ...]


_DECODER = msgspec.msgpack.Decoder(tuple[str, tuple[bytes, ...]])
_ENCODER = msgspec.msgpack.Encoder()


def encode_frame(codec: Codec, sender: str, messages: Sequence[object]) -> bytes:
    """Return the bytes of a frame that carries the messages."""
    bodies = tuple(codec.encode(message) for message in messages)
    return _ENCODER.encode((sender, bodies))


def decode_frame(codec: Codec, data: bytes) -> tuple[str, list[object]]:
    """Return the sender and the messages of a frame.

    Raises
    ------
    MessageInvalid
        If the frame or any message in it can't be decoded.
    """
    try:
        frame = Frame(*_DECODER.decode(data))
    except msgspec.MsgspecError as exc:
        raise MessageInvalid(f"frame of {len(data)} bytes is invalid: {exc}") from exc
    return frame.sender, [codec.decode(body) for body in frame.bodies]
