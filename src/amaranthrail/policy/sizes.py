"""Estimate how long a request will occupy a slot."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from ..decoding import Undecodable, decode
from ..manifest import Operation, Policies, SizeClass

_CHARS_PER_TOKEN = 4
#: Cost of a prompt token, relative to a generated one.
_PROMPT_TOKEN_COST = 0.05
_DEFAULT_MAX_TOKENS = 256
#: Length of the prompt's beginning that the affinity policy uses.
_PREFIX_CHARS = 256


class _Message(msgspec.Struct):
    content: str = ''


class CompletionRequest(msgspec.Struct):
    """Hold the fields of a completion request's body that routing uses."""

    model: str
    messages: list[_Message] = []
    prompt: str = ''
    max_tokens: int = _DEFAULT_MAX_TOKENS
    stream: bool = False

    def prompt_text(self) -> str:
        """Return the whole prompt, the messages included."""
        return self.prompt + '\n'.join(
            message.content for message in self.messages
        )


_completion_decoder = msgspec.json.Decoder(CompletionRequest)


@dataclass(frozen=True, slots=True)
class SizeEstimate:
    """Hold a request's expected time in a slot and its size class.

    ``long`` says whether its size class is long. ``prefix`` is the beginning of
    the prompt, and ``tokens`` the number of its tokens and of those that may be
    generated; both keep their defaults for a plain operation.
    """

    cost_ms: float
    long: bool
    prefix: str = ''
    tokens: int = 0


def parse_completion(body: bytes) -> CompletionRequest | None:
    """Return a parsed completion request, None if its body is not valid."""
    request = decode(_completion_decoder.decode, body)
    if isinstance(request, Undecodable) or request.max_tokens <= 0:
        return None
    return request


def estimate_completion(
    request: CompletionRequest, policies: Policies
) -> SizeEstimate:
    """Estimate a completion's size from its prompt length and token limit."""
    text = request.prompt_text()
    prompt_tokens = len(text) / _CHARS_PER_TOKEN
    weighted_tokens = request.max_tokens + _PROMPT_TOKEN_COST * prompt_tokens
    return SizeEstimate(
        cost_ms=weighted_tokens * policies.token_ms,
        long=weighted_tokens > policies.long_tokens,
        prefix=text[:_PREFIX_CHARS],
        tokens=int(request.max_tokens + prompt_tokens),
    )


def estimate_operation(operation: Operation) -> SizeEstimate:
    """Return the size that the manifest states for a plain operation."""
    return SizeEstimate(operation.cost_ms, operation.size is SizeClass.LONG)
