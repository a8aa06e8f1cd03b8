"""Take an answer's frames late, repeated, crossed or with gaps."""

from __future__ import annotations

import pytest
import trio
import xxhash

from amaranthrail.entry.exchange import Exchange
from amaranthrail.entry.inflight import InFlight
from amaranthrail.exposition import metrics_text
from amaranthrail.frames import Broken, End, Head, Part, Refused
from amaranthrail.metrics import Metrics
from amaranthrail.outcomes import Outcome, Refusal
from amaranthrail.types import RequestId

from . import build

BODY = b'whole answer'
HEAD = Head('r', 0, 200, ())
END = End('r', 0, len(BODY), xxhash.xxh3_64_intdigest(BODY))

WHOLE = [
    [HEAD, Part('r', 0, BODY), END],
    [HEAD, HEAD, Part('r', 0, BODY[:5]), Part('r', 5, BODY[5:]), END],
    # A resumption sends again what was received before.
    [HEAD, Part('r', 0, BODY[:7]), Part('r', 3, BODY[3:]), END],
    [HEAD, Part('r', 0, BODY), Part('r', 0, BODY[:4]), END, END],
    [HEAD, Part('r', 0, BODY), END, Broken('r', 0, 'upstream-broken')],
]
CUT = [
    [HEAD, Part('r', 0, BODY[:5]), END],
    [HEAD, Part('r', 0, BODY[:5]), Part('r', 6, BODY[6:]), END],
    [HEAD, Part('r', 0, bytes(reversed(BODY))), END],
    [HEAD, Part('r', 0, BODY), Broken('r', 0, 'upstream-broken')],
    [HEAD, Part('r', 0, BODY), Refused('r', 0, 'voided')],
    [Broken('r', 0, 'a reason of a later version')],
]


AnswerFrame = Head | Part | End | Refused | Broken


def _take(frames: list[AnswerFrame]) -> bytes | Refusal:
    exchange = Exchange(RequestId('r'), build.dispatch('r', 'i'))
    for frame in frames:
        exchange.accept_frame(frame)

    async def read() -> bytes | Refusal:
        head = await exchange.wait_head()
        if isinstance(head, Refusal):
            return head
        return await exchange.read_body()

    return trio.run(read)


@pytest.mark.parametrize('frames', WHOLE)
def test_whole_answer(frames: list[AnswerFrame]) -> None:
    assert _take(frames) == BODY


@pytest.mark.parametrize('frames', CUT)
def test_cut_answer_is_no_answer(frames: list[AnswerFrame]) -> None:
    found = _take(frames)
    assert isinstance(found, Refusal)
    assert found.outcome is Outcome.UNKNOWN


def test_frames_go_to_their_own_exchange() -> None:
    metrics = Metrics()
    in_flight = InFlight(metrics)
    mine = Exchange(RequestId('mine'), build.dispatch('mine', 'i'))
    other = Exchange(RequestId('other'), build.dispatch('other', 'i'))
    for exchange in (mine, other):
        in_flight.add(exchange)
    in_flight.deliver(Part('other', 0, b'not mine'))
    in_flight.deliver(Part('earlier', 0, b'nobody'))
    assert (mine.received, other.received) == (0, len(b'not mine'))
    assert b'amaranthrail_frames_unknown_total 1.0' in metrics_text(metrics)
