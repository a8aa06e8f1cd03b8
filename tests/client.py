"""Make callers' requests against a fleet."""

from __future__ import annotations

from standins.calling import Response, http_call
from standins.fleet import Fleet
from standins.launch import EntryProcess

LAST_EVENT = b'data: [DONE]\n\n'


def auth(fleet: Fleet, number: int = 0) -> dict[str, str]:
    return {'Authorization': f'Bearer {fleet.token(number)}'}


def draft(
    fleet: Fleet,
    entry: EntryProcess,
    prompt: str,
    tokens: int = 5,
    **extra: object,
) -> Response:
    order = {
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
        order,
        auth(fleet),
    )


def file_order(
    fleet: Fleet,
    entry: EntryProcess,
    key: str,
    number: int = 0,
    body: dict[str, object] | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 30,
) -> Response:
    _, method, path, _ = fleet.deployment.operations[0]
    return http_call(
        entry.url,
        method,
        path,
        body or {'books': 1},
        {**auth(fleet, number), 'Idempotency-Key': key, **(headers or {})},
        timeout,
    )
