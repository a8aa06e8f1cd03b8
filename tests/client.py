"""Send requests to a fleet as its callers do."""

from __future__ import annotations

from standins.calling import Response, http_call
from standins.fleet import Fleet
from standins.launch import EntryProcess

LAST_EVENT = b'data: [DONE]\n\n'


def auth_headers(fleet: Fleet, number: int = 0) -> dict[str, str]:
    """Return the Authorization header of one of the fleet's organisations."""
    return {'Authorization': f'Bearer {fleet.token(number)}'}


def request_completion(
    fleet: Fleet,
    entry: EntryProcess,
    prompt: str,
    tokens: int = 5,
    **extra: object,
) -> Response:
    """Request a chat completion, streamed unless ``extra`` has another value.

    ``extra`` replaces or adds fields of the request's body.
    """
    completion = {
        'model': fleet.deployment.model,
        'messages': [{'role': 'user', 'content': prompt}],
        'max_tokens': tokens,
        'stream': True,
        **extra,
    }
    return http_call(
        entry.url,
        'POST',
        '/v1/chat/completions',
        completion,
        auth_headers(fleet),
    )


def submit_order(
    fleet: Fleet,
    entry: EntryProcess,
    key: str,
    number: int = 0,
    body: dict[str, object] | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> Response:
    """Send a non-idempotent request with an idempotency key.

    ``number`` is that of the organisation; ``timeout`` is in seconds.
    """
    _, method, path, _ = fleet.deployment.operations[0]
    return http_call(
        entry.url,
        method,
        path,
        body or {'books': 1},
        {
            **auth_headers(fleet, number),
            'Idempotency-Key': key,
            **(headers or {}),
        },
        timeout,
    )
