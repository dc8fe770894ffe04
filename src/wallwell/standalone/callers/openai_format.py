"""The OpenAI-compatible bodies of requests, stream events and whole answers.

Owns their field names. Callers' requests and engines' events have the same format, so that events are passed on as
they came. Pure.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec

from wallwell.errors import MalformedRequestError
from wallwell.standalone.backends.engine_protocol import EngineDataError, Resume, decode_with

DEFAULT_MAX_TOKENS = 64
"""Tokens generated where the caller gives no number."""
LARGEST_MAX_TOKENS = 32_768
"""Most tokens that a caller may ask for: bounds what is held of one answer."""
MaxTokens = Annotated[int, msgspec.Meta(ge=1, le=LARGEST_MAX_TOKENS)]


class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of ``/v1/completions``. Fields wallwell does not use are ignored."""

    model: str
    prompt: str
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False
    adapter: str = ""
    resume: Resume | None = None


class ChatBody(msgspec.Struct, frozen=True):
    """Body of ``/v1/chat/completions``."""

    model: str
    messages: Annotated[list[Message], msgspec.Meta(min_length=1)]
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False
    adapter: str = ""
    resume: Resume | None = None


GenerationBody = CompletionBody | ChatBody


def parse_generation(payload: bytes, chat: bool) -> GenerationBody:
    """Decode a request's body. Raises :class:`MalformedRequestError`."""
    try:
        if chat:
            return msgspec.json.decode(payload, type=ChatBody)
        return msgspec.json.decode(payload, type=CompletionBody)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise MalformedRequestError(str(error)) from error


def render_prompt(body: GenerationBody) -> bytes:
    """Return the text an engine computes, as UTF-8."""
    if isinstance(body, CompletionBody):
        return body.prompt.encode()
    return "".join(f"<|{message.role}|>{message.content}\n" for message in body.messages).encode()


class _Delta(msgspec.Struct, frozen=True):
    content: str = ""


class _ChunkChoice(msgspec.Struct, frozen=True):
    text: str = ""
    delta: _Delta = _Delta()


class _Chunk(msgspec.Struct, frozen=True):
    choices: list[_ChunkChoice]


_chunk_decoder = msgspec.json.Decoder(_Chunk)


def chunk_text(event: bytes) -> str:
    """Return the generated text in one server-sent event. Raises :class:`EngineDataError`."""
    _, found, data = event.partition(b"data: ")
    if not found:
        raise EngineDataError("event has no data line")
    choices = decode_with(_chunk_decoder, data.strip()).choices
    if not choices:
        raise EngineDataError("event has no choice")
    return choices[0].text or choices[0].delta.content


def whole_answer(body: GenerationBody, request_id: str, events: Sequence[bytes], prompt_tokens: int) -> bytes:
    """Return the body of an answer that was not streamed."""
    text = "".join(chunk_text(event) for event in events)
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if isinstance(body, ChatBody):
        kind = "chat.completion"
        choice["message"] = {"role": "assistant", "content": text}
    else:
        kind = "text_completion"
        choice["text"] = text
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(events),
        "total_tokens": prompt_tokens + len(events),
    }
    answer = {"id": request_id, "object": kind, "model": body.model, "choices": [choice], "usage": usage}
    return msgspec.json.encode(answer)
