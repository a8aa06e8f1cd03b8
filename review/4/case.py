"""A faulty replica states a keep-alive time of hundreds of digits."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import bed as beds
from ranks import ENGINE, Group, Rank

ENTRIES = 2
RANKS = 16
# Doses of `garble`: 6 in 10 of the replicas spoil 3 in 100 of their answers, for
# 5 s at a time (the site file: "extra late").
FAULTY_SHARE = 0.6
SPOILT = 0.03
GARBLE_S = 5.0
GAP_S = 0.5
TROUBLE_S = 84
MAX_ENDS = 3
MAX_MACHINES = 2


class FaultyRank(Rank):
    """Spoil some short answers by a field that is no number of seconds."""

    faulty = False

    async def handle(self, request, writer):
        answer = await super().handle(request, writer)
        if answer is None or not self.faulty or random.random() >= SPOILT:
            return answer
        self.record(f'rank {self.number} spoils its answer to {request.path}')
        head, _, body = answer.partition(b'\r\n\r\n')
        field = b'\r\nKeep-Alive: timeout=' + b'9' * 400
        return head + field + b'\r\n\r\n' + body


def is_broken(bed):
    ends = [entry.own_ends for entry in bed.entries]
    return sum(count >= MAX_ENDS for count in ends) >= MAX_MACHINES


async def send_streams(bed, entry, worker, answered):
    number = 0
    while True:
        number += 1
        attempt = f's{entry.number}-{worker}-{number}'
        status, _, body = await beds.call(
            entry.ip, entry.ports['front'], 'POST', '/stream/1',
            {**beds.client_headers(attempt, 8000), 'Model': 'm',
             'Token-Usage': '700,140', 'Length-Hint': '140'}, 8)
        bed.record(f'client gets {status} for {attempt} from entry '
                   f'{entry.number}, {body.count(b"id: ")} events')
        answered.append(status)
        if status != 200:
            await asyncio.sleep(0.3)


async def case(bed):
    await bed.store.start()
    bed.store.put('keyed.op', 'config', beds.configuration(
        1, [beds.route('stream', 'streaming', 'llm', timeout_ms=8000,
                       stream_resume=True, session_affinity=True,
                       target_gap_ms=120)],
        [{'name': 'llm', 'health_path': '/health', 'max_connections': 418,
          'engine': ENGINE}]))
    group = Group(bed.record, RANKS)
    ranks = [FaultyRank(bed.store, bed.record, 'llm', f'i-{number}', group)
             for number in range(RANKS)]
    for rank in ranks:
        await rank.start()
    passes = asyncio.create_task(group.run())
    await bed.start_entries(ENTRIES)
    answered = []
    for entry in bed.entries:
        asyncio.create_task(send_streams(bed, entry, 1, answered))
    await asyncio.sleep(6)
    calm = list(answered)
    if not calm or calm.count(200) < 0.9 * len(calm):
        bed.record('requests are not answered without the disruption')
        return 2
    answered.clear()
    ends_at = time.monotonic() + TROUBLE_S
    while time.monotonic() < ends_at and not is_broken(bed):
        faulty = random.sample(ranks, int(FAULTY_SHARE * RANKS))
        for rank in faulty:
            rank.faulty = beds.TROUBLE
        await asyncio.sleep(GARBLE_S)
        for rank in faulty:
            rank.faulty = False
        await asyncio.sleep(GAP_S)
    passes.cancel()
    ends = [entry.own_ends for entry in bed.entries]
    bed.record(f'requests answered with 200: before {calm.count(200)} of '
               f'{len(calm)}, then {answered.count(200)} of {len(answered)}')
    bed.record(f'ends by themselves, by entry: {ends}')
    broken = is_broken(bed)
    bed.record('Fault: broken' if broken else 'Fault: held')
    return int(broken)


beds.run(case)
