"""Estimate how long a request will occupy a slot."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..manifest import Operation, Policies, SizeClass

_CHARS_PER_TOKEN = 4
_PROMPT_TOKEN_SHARE = 0.05
_DEFAULT_MAX_TOKENS = 256
_PREFIX_CHARS = 256


class _Message(msgspec.Struct):
    content: str = ''


class ModelCall(msgspec.Struct):
    """Hold what routing reads of a completion request."""

    model: str
    messages: list[_Message] = []
    prompt: str = ''
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False

    def text(self) -> str:
        """Return the whole prompt."""
        return self.prompt + '\n'.join(one.content for one in self.messages)


@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Hold the expected time in a slot and whether the work is long."""

    cost_ms: float
    long: bool
    prefix: str = ''
    tokens: int = 0


def parse_completion(body: bytes) -> ModelCall | None:
    """Return what a completion request asks for, None if it is not valid."""
    try:
        call = msgspec.json.decode(body, type=ModelCall)
    except (msgspec.DecodeError, RecursionError):
        return None
    return call if call.max_tokens > 0 else None


def estimate_completion(call: ModelCall, policies: Policies) -> SizeEstimate:
    """Estimate a completion from its prompt's length and its token bound."""
    text = call.text()
    prompt_tokens = len(text) / _CHARS_PER_TOKEN
    tokens = call.max_tokens + _PROMPT_TOKEN_SHARE * prompt_tokens
    return SizeEstimate(
        cost_ms=tokens * policies.token_ms,
        long=tokens > policies.long_tokens,
        prefix=text[:_PREFIX_CHARS],
        tokens=int(call.max_tokens + prompt_tokens),
    )


def estimate_operation(operation: Operation) -> SizeEstimate:
    """Return the size that the manifest states for a plain operation."""
    return SizeEstimate(operation.cost_ms, operation.size is SizeClass.LONG)
