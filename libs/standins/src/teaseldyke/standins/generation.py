"""Chat completions of a stand-in engine and the events that stream them."""

from __future__ import annotations

import hashlib
import json
import random
from typing import Any

import attrs
import msgspec

from .orders import BadOrder

OUTPUT_TOKENS_DEFAULT = 64
FINAL_EVENTS = 3  # stop, usage and [DONE]


@attrs.define
class _Message:
    role: str
    content: str


@attrs.define
class _ChatBody:
    messages: list[_Message]
    model: str = "standin"
    stream: bool = False
    max_tokens: int = OUTPUT_TOKENS_DEFAULT
    seed: int | None = None
    metadata: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class Generation:
    """A chat completion whose text is a function of its messages.

    All engines generate the same text for the same messages, so that a stream can be
    resumed at another engine.

    Parameters
    ----------
    model : str
        Name of the model.
    stream : bool
        Whether the completion is streamed as server-sent events.
    digest : str
        Hash of the messages; part of every token.
    prefix : str
        Hash of the first message, the key of the prefix cache.
    prefix_tokens, prompt_tokens, output_tokens : int
        Number of tokens of the first message, of all messages and of the output.
    """

    model: str
    stream: bool
    digest: str
    prefix: str
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int

    @classmethod
    def parse(cls, body: bytes) -> Generation:
        """Parse a request body in the chat-completions format.

        Each word of the prompt is one token. The output has
        ``metadata["output_tokens"]`` tokens if that is set, else a number between half
        of ``max_tokens`` and ``max_tokens`` drawn from ``seed``, else ``max_tokens``.

        Raises
        ------
        BadOrder
            If the body is not in that format.
        """
        try:
            chat = msgspec.json.decode(body, type=_ChatBody)
        except msgspec.DecodeError as exc:
            raise BadOrder(f"body: {exc}") from exc
        if not chat.messages:
            raise BadOrder("body: no messages")
        texts = [message.content for message in chat.messages]
        return cls(
            model=chat.model,
            stream=chat.stream,
            digest=_hash("\n".join(texts)),
            prefix=_hash(texts[0]),
            prefix_tokens=len(texts[0].split()),
            prompt_tokens=sum(len(text.split()) for text in texts),
            output_tokens=_choose_output_tokens(chat),
        )

    @property
    def event_count(self) -> int:
        """Number of events of the stream: one for each token, and the final ones."""
        return self.output_tokens + FINAL_EVENTS

    def token(self, index: int) -> str:
        """Return one token of the output."""
        return f"{self.digest}-{index} "

    def text(self) -> str:
        """Return the complete output."""
        return "".join(self.token(i) for i in range(self.output_tokens))

    def events(self, indices: range, request_id: str) -> bytes:
        """Return the server-sent events of the tokens with these indices."""
        head = json.dumps(self._chunk(request_id, [{"index": 0}]))
        # The choices are the last field, so that the head is encoded only once.
        prefix = f"data: {head[: head.rindex('[')]}"
        parts = []
        for i in indices:
            delta = f'{{"index": 0, "delta": {{"content": "{self.token(i)}"}}, '
            parts.append(f'{prefix}[{delta}"finish_reason": null}}]}}\n\n')
        return "".join(parts).encode()

    def final_events(
        self, request_id: str, cached_tokens: int, skipped: int = 0
    ) -> bytes:
        """Return the events that end a stream: stop, usage and ``[DONE]``.

        The first ``skipped`` of them are left out.
        """
        stop = [{"index": 0, "delta": {}, "finish_reason": "stop"}]
        stop_chunk = self._chunk(request_id, stop)
        usage_chunk = {
            **self._chunk(request_id, []),
            "usage": self.usage(cached_tokens),
        }
        lines = (json.dumps(stop_chunk), json.dumps(usage_chunk), "[DONE]")
        return "".join(f"data: {line}\n\n" for line in lines[skipped:]).encode()

    def response_body(self, request_id: str, cached_tokens: int) -> bytes:
        """Return the body of a completion that is not streamed."""
        message = {"role": "assistant", "content": self.text()}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        value = self._chunk(request_id, [choice])
        value["object"] = "chat.completion"
        value["usage"] = self.usage(cached_tokens)
        return json.dumps(value).encode()

    def usage(self, cached_tokens: int) -> dict[str, Any]:
        """Return the token counts in the chat-completions format."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt_tokens + self.output_tokens,
            "prompt_tokens_details": {"cached_tokens": cached_tokens},
        }

    def _chunk(self, request_id: str, choices: list[Any]) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": choices,
        }


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:8]


def _choose_output_tokens(chat: _ChatBody) -> int:
    stated = chat.metadata.get("output_tokens", "")
    if stated.isascii() and stated.isdigit():
        return max(1, int(stated))
    tokens_max = max(1, chat.max_tokens)
    if chat.seed is None:
        return tokens_max
    return random.Random(chat.seed).randint(max(1, tokens_max // 2), tokens_max)
