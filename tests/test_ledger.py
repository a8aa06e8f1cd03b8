"""Derive one truth about every key from the records in order."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from amaranthrail.clock import Clock
from amaranthrail.configuration import Configuration
from amaranthrail.entry.keyedrequests import MAX_CLAIM_MS
from amaranthrail.entry.keytable import KeyTable
from amaranthrail.frames import Dispatch
from amaranthrail.outcomes import Refusal
from amaranthrail.ports import LogEntry
from amaranthrail.records import (
    AnyFact,
    AttemptState,
    FactBatch,
    encode_record,
)
from amaranthrail.sidecar.gate import (
    MAX_DISPATCH_AGE_MS,
    VOID_RETENTION_MS,
    DispatchGate,
)
from amaranthrail.sidecar.run import Run
from amaranthrail.types import IdempotencyKey, Incarnation, Offset

from . import build

ENTRIES = 2
KEYS = ('a', 'b')
OPEN = AttemptState.OPEN
OPEN = AttemptState.OPEN
RAN = AttemptState.RAN
VOID = AttemptState.VOID
LOST = AttemptState.LOST

FACTS = [
    # what the log says in order, and where the key stands then
    ([build.intent('a', '1')], OPEN, '1'),
    ([build.intent('a', '1'), build.intent('a', '2')], OPEN, '1'),
    ([build.intent('a', '1'), build.conclusion('a', '1', RAN)], RAN, '1'),
    (
        [build.intent('a', '1'), build.conclusion('a', '2', RAN)],
        OPEN,
        '1',
    ),
    (
        [
            build.intent('a', '1'),
            build.conclusion('a', '1', VOID),
            build.intent('a', '2', 2),
        ],
        OPEN,
        '2',
    ),
    (
        [
            build.intent('a', '1'),
            build.conclusion('a', '1', VOID),
            build.intent('a', '3', 3),
        ],
        VOID,
        '1',
    ),
    (
        [
            build.intent('a', '1'),
            build.conclusion('a', '1', LOST),
            build.intent('a', '2', 2),
        ],
        LOST,
        '1',
    ),
    (
        [
            build.intent('a', '1'),
            build.conclusion('a', '1', LOST),
            build.conclusion('a', '1', RAN),
            build.conclusion('a', '1', LOST),
        ],
        RAN,
        '1',
    ),
    (
        [
            build.intent('a', '1'),
            build.conclusion('a', '1', RAN),
            build.conclusion('a', '1', VOID),
        ],
        RAN,
        '1',
    ),
]


@pytest.mark.parametrize(('facts', 'state', 'intent'), FACTS)
def test_facts_in_order(
    facts: list[AnyFact],
    state: AttemptState,
    intent: str,
) -> None:
    ledger = KeyTable()

    offset = 0
    for fact in facts:
        text = encode_record(FactBatch(id='x', facts=(fact,)))
        for _ in range(2):
            offset += 1
            ledger.apply(0, LogEntry(Offset(offset), 0, text))
    filing = ledger.find(IdempotencyKey('a'))
    assert filing is not None
    assert (filing.state, filing.intent.id) == (state, intent)


class AtMostOnce(RuleBasedStateMachine):
    """Drive real ledgers and a real gate with late, repeated, lost steps."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.clock = Clock(self.now_s, self.now_s)
        self.log: list[bytes] = []
        self.ledgers = [KeyTable() for _ in range(ENTRIES)]
        self.read = [0 for _ in range(ENTRIES)]
        #: Intents by id: the entry that made each, its time and its key.
        self.made: dict[str, tuple[int, float, str]] = {}
        self.heard = [(Incarnation('s0'), 0.0) for _ in range(ENTRIES)]
        self.flying: list[Dispatch] = []
        self.ran: dict[str, int] = {}
        self.running: dict[str, Run] = {}
        self.restarts = 0
        self.orders = 0
        self.configuration = Configuration()
        self.gate = self.make_gate()

    def now_s(self) -> float:
        return self.now_ms / 1000

    def make_gate(self) -> DispatchGate:
        incarnation = Incarnation(f's{self.restarts}')
        return DispatchGate('u', incarnation, self.clock, self.configuration)

    def append(self, *facts: AnyFact) -> None:
        self.log.append(encode_record(FactBatch(id='x', facts=facts)))

    @rule(entry=st.integers(0, ENTRIES - 1), key=st.sampled_from(KEYS))
    def claim(self, entry: int, key: str) -> None:
        filing = self.ledgers[entry].find(IdempotencyKey(key))
        if filing is not None and filing.state is not VOID:
            return
        name = f'{entry}-{len(self.made)}'
        attempt = 1 if filing is None else filing.intent.attempt + 1
        incarnation = self.heard[entry][0]
        self.made[name] = (entry, self.now_ms, key)
        self.append(build.intent(key, name, attempt, incarnation=incarnation))

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def repeat_append(self, data: st.DataObject) -> None:
        self.log.append(data.draw(st.sampled_from(self.log)))

    @rule(entry=st.integers(0, ENTRIES - 1), count=st.integers(1, 4))
    def read_log(self, entry: int, count: int) -> None:
        start = self.read[entry]
        for text in self.log[start : start + count]:
            self.read[entry] += 1
            record = LogEntry(Offset(self.read[entry]), 0, text)
            self.ledgers[entry].apply(0, record)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def hear_heartbeat(self, entry: int) -> None:
        self.heard[entry] = (Incarnation(f's{self.restarts}'), self.now_ms)

    @rule(passed=st.sampled_from([100.0, 1000.0, 4000.0, 15_000.0]))
    def pass_time(self, passed: float) -> None:
        self.now_ms += passed
        self.gate.sweep()

    @precondition(lambda self: self.made)
    @rule(data=st.data())
    def send_dispatch(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.made)))
        entry, made_at, key = self.made[name]
        filing = self.ledgers[entry].find(IdempotencyKey(key))
        if filing is None or filing.intent.id != name:
            return
        incarnation, clock = self.heard[entry]
        late = self.now_ms - made_at > MAX_CLAIM_MS
        if late or filing.intent.incarnation != incarnation:
            return
        self.flying.append(
            build.dispatch(f'r{name}', incarnation, clock=clock, intent=name),
        )

    @precondition(lambda self: self.flying)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        # A copy stays on the way, to come again as late as it pleases.
        sent = data.draw(st.sampled_from(self.flying))
        found = self.gate.check_dispatch(sent)
        if found is None:
            run = Run(sent, self.now_ms)
            self.gate.add_run(run)
            self.running[sent.intent] = run
            key = self.made[sent.intent][2]
            self.ran[key] = self.ran.get(key, 0) + 1
        elif isinstance(found, Refusal):
            key = self.made[sent.intent][2]
            self.append(build.conclusion(key, sent.intent, VOID))

    @precondition(lambda self: self.made)
    @rule(data=st.data(), entry=st.integers(0, ENTRIES - 1))
    def inquire(self, data: st.DataObject, entry: int) -> None:
        key = data.draw(st.sampled_from(KEYS))
        filing = self.ledgers[entry].find(IdempotencyKey(key))
        current = Incarnation(f's{self.restarts}')
        if filing is None or filing.state is not AttemptState.OPEN:
            return
        state = LOST
        if filing.intent.incarnation == current:
            run = self.gate.find_or_void(filing.intent.id)
            state = VOID if run is None else RAN
        self.append(build.conclusion(key, filing.intent.id, state))

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.running)))
        self.running.pop(name).complete(self.now_ms)

    @rule(draining=st.booleans())
    def drain(self, *, draining: bool) -> None:
        self.orders += 1
        self.configuration.adopt(0, b'', (('u', self.orders, draining),))

    @rule()
    def restart_sidecar(self) -> None:
        self.restarts += 1
        self.running.clear()
        self.gate = self.make_gate()

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        assert all(times <= 1 for times in self.ran.values()), self.ran

    @invariant()
    def equal_positions_mean_equal_ledgers(self) -> None:
        if self.read[0] == self.read[1]:
            for key in KEYS:
                first = self.ledgers[0].find(IdempotencyKey(key))
                assert first == self.ledgers[1].find(IdempotencyKey(key))


AtMostOnce.TestCase.settings = settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=60,
    deadline=None,
)
TestAtMostOnce = AtMostOnce.TestCase


def test_void_outlives_what_could_still_be_dispatched() -> None:

    assert VOID_RETENTION_MS > MAX_CLAIM_MS + MAX_DISPATCH_AGE_MS
