"""Accept a response's frames when duplicated, overlapping or truncated."""

from __future__ import annotations

import pytest
import trio
import xxhash

from amaranthrail.entry.exchange import Exchange
from amaranthrail.entry.inflight import InFlight
from amaranthrail.exposition import metrics_text
from amaranthrail.frames import (
    Failed,
    Refused,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from amaranthrail.metrics import Metrics
from amaranthrail.outcomes import Outcome, Refusal
from amaranthrail.types import RequestId

from . import build

BODY = b'whole answer'
HEAD = ResponseHead('r', 0, 200, ())
END = ResponseEnd('r', 0, len(BODY), xxhash.xxh3_64_intdigest(BODY))

COMPLETE_RESPONSES = [
    [HEAD, ResponseData('r', 0, BODY), END],
    [
        HEAD,
        HEAD,
        ResponseData('r', 0, BODY[:5]),
        ResponseData('r', 5, BODY[5:]),
        END,
    ],
    # A resumed response repeats bytes that were received before.
    [HEAD, ResponseData('r', 0, BODY[:7]), ResponseData('r', 3, BODY[3:]), END],
    [
        HEAD,
        ResponseData('r', 0, BODY),
        ResponseData('r', 0, BODY[:4]),
        END,
        END,
    ],
    [HEAD, ResponseData('r', 0, BODY), END, Failed('r', 0, 'upstream-broken')],
]
TRUNCATED_RESPONSES = [
    [HEAD, ResponseData('r', 0, BODY[:5]), END],
    [HEAD, ResponseData('r', 0, BODY[:5]), ResponseData('r', 6, BODY[6:]), END],
    [HEAD, ResponseData('r', 0, bytes(reversed(BODY))), END],
    [HEAD, ResponseData('r', 0, BODY), Failed('r', 0, 'upstream-broken')],
    [HEAD, ResponseData('r', 0, BODY), Refused('r', 0, 'voided')],
    [Failed('r', 0, 'a reason of a later version')],
]


ResponseFrame = ResponseHead | ResponseData | ResponseEnd | Refused | Failed


def _read_response(frames: list[ResponseFrame]) -> bytes | Refusal:
    """Return the body or the failure that an exchange derives from frames."""
    exchange = Exchange(RequestId('r'), build.dispatch('r', 'i'))
    for frame in frames:
        exchange.accept_frame(frame)

    async def read() -> bytes | Refusal:
        head = await exchange.wait_head()
        if isinstance(head, Refusal):
            return head
        return await exchange.read_body()

    return trio.run(read)


@pytest.mark.parametrize('frames', COMPLETE_RESPONSES)
def test_frames_give_complete_response(frames: list[ResponseFrame]) -> None:
    assert _read_response(frames) == BODY


@pytest.mark.parametrize('frames', TRUNCATED_RESPONSES)
def test_truncated_response_has_unknown_outcome(
    frames: list[ResponseFrame],
) -> None:
    response = _read_response(frames)
    assert isinstance(response, Refusal)
    assert response.outcome is Outcome.UNKNOWN


def test_frames_are_delivered_by_request_id() -> None:
    metrics = Metrics()
    in_flight = InFlight(metrics)
    first = Exchange(RequestId('first'), build.dispatch('first', 'i'))
    second = Exchange(RequestId('second'), build.dispatch('second', 'i'))
    for exchange in (first, second):
        in_flight.add(exchange)
    in_flight.deliver(ResponseData('second', 0, b'not mine'))
    in_flight.deliver(ResponseData('earlier', 0, b'nobody'))
    assert (first.received, second.received) == (0, len(b'not mine'))
    assert b'amaranthrail_frames_unknown_total 1.0' in metrics_text(metrics)
