"""A record of another writer in the list of replicas ends every entry."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import bed as beds

ENTRIES = 3
CALM_S = 4
TROUBLE_S = 20
# Bytes that can't be read as an entry: JSON that is nested too deeply.
FOREIGN = b'{"note":' + b'[' * 2000 + b']' * 2000 + b'}'
# A machine counts from three ends by themselves on, and two machines break it.
MAX_ENDS = 3
MAX_MACHINES = 2


async def send_requests(bed, answered):
    number = 0
    while True:
        entry = bed.entries[number % ENTRIES]
        number += 1
        attempt = f'a{number}'
        status, _, body = await beds.call(
            entry.ip, entry.ports['front'], 'GET', '/read/1',
            beds.client_headers(attempt), 4)
        bed.record(f'client gets {status} for {attempt} from entry '
                   f'{entry.number}: {body[:40].decode()}')
        answered.append(status)
        await asyncio.sleep(0.05)


async def case(bed):
    await bed.store.start()
    bed.store.put('keyed.op', 'config', beds.configuration(
        1, [beds.route('read', 'idempotent', 'plain')],
        [{'name': 'plain', 'health_path': '/health', 'max_connections': 110}]))
    replicas = [beds.Replica(bed.store, bed.record, 'plain', f'i-{number}')
                for number in range(2)]
    for replica in replicas:
        await replica.start()
    await bed.start_entries(ENTRIES)
    answered = []
    client = asyncio.create_task(send_requests(bed, answered))
    await asyncio.sleep(CALM_S)
    calm = list(answered)
    if calm.count(200) < 0.9 * len(calm) or not calm:
        bed.record('requests are not answered without the disruption')
        return 2
    if beds.TROUBLE:
        bed.store.put('keyed.servers', 'x-1', FOREIGN)
        bed.record(f'another writer appends the record x-1 to keyed.servers, '
                   f'{len(FOREIGN)} bytes')
    answered.clear()
    await asyncio.sleep(TROUBLE_S)
    client.cancel()
    ends = [entry.own_ends for entry in bed.entries]
    bed.record(f'requests answered with 200: before {calm.count(200)} of '
               f'{len(calm)}, then {answered.count(200)} of {len(answered)}')
    bed.record(f'ends by themselves, by entry: {ends}')
    broken = sum(count >= MAX_ENDS for count in ends) >= MAX_MACHINES
    bed.record('Fault: broken' if broken else 'Fault: held')
    return int(broken)


beds.run(case)
