"""A replica hands out bytes without end in a stream, and the entry hangs."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

import bed2

FOLDER = Path(__file__).resolve().parent
#: Route timeouts of the sheet (streams 8 s, lookups 609 ms), in ms.
STREAM_MS = 8000
LOOKUP_MS = 609
#: Half a second after the timeout, as the rule says.
GRACE_S = 0.5
#: The link of the replica's machine on the sheet: 10 Mbit/s.
LINK_BYTES_PER_S = 1_250_000
TICK_S = 0.02
#: Bytes without the end of an event, in chunks of a token's size.
CHUNK = b'5\r\nabcde\r\n'
LOOKUPS_PER_S = 10
LOOKUP_S = 14.0
#: One stream for so many lookups.
LOOKUPS_PER_STREAM = 3
TROUBLE_AT_S = 3.0


async def send_without_end(replica, request, stream):
    """Begin a stream as a sound replica does, then send bytes without end."""
    replica.note(request)
    head = replica.head(
        request,
        200,
        ('Content-Type: text/event-stream', 'Transfer-Encoding: chunked'),
    )
    await stream.send_all(head)
    burst = CHUNK * int(LINK_BYTES_PER_S * TICK_S / len(CHUNK))
    while True:
        # Until the caller closes, never faster than the machine's link.
        await stream.send_all(burst)
        await trio.sleep(TICK_S)


async def scenario(record, trouble):
    async with bed2.open_bed(record) as bed:
        bed.put_config(
            bed2.config(
                7,
                [
                    bed2.route(
                        'stream-a', 'streaming', 'redattore', STREAM_MS,
                        target_ms=403, target_gap_ms=120,
                        stream_resume=True, session_affinity=True,
                    ),
                    bed2.route('stato', 'idempotent', 'sportello', LOOKUP_MS),
                ],
                [
                    {**bed2.plain_service('redattore'), 'engine': bed2.ENGINE},
                    bed2.plain_service('sportello'),
                ],
            )
        )
        bad = bed2.Replica('i-bad', record)
        await bed.add_replica(bad, 'redattore')
        for number in range(3):
            await bed.add_replica(
                bed2.Replica(f'i-engine{number}', record), 'redattore'
            )
            await bed.add_replica(
                bed2.Replica(f'i-plain{number}', record), 'sportello'
            )
        entry = bed.add_entry()
        await entry.until_ready()
        await trio.sleep(3.5)

        answered = {}
        sent = {}

        async def look_up(number):
            attempt = f'lookup-{number}'
            sent[number] = record.now()
            record.write(f'client sends {attempt}')
            response = await entry.call(
                'GET', f'/stato/{number}', attempt, LOOKUP_MS
            )
            answered[number] = record.now()
            took_ms = (answered[number] - sent[number]) * 1000
            record.write(f'client has {response.status} for {attempt} {took_ms:.0f} ms')

        async def stream(number):
            attempt = f'stream-{number}'
            record.write(f'client sends {attempt}')
            response = await entry.call(
                'POST', f'/stream-a/{number}', attempt, STREAM_MS + 50, body=b'prompt',
                extra=('Model: m', 'Token-Usage: 714,139', f'Prompt-Prefix: 5c1e07a2:40,{number:08x}:674'),
            )
            record.write(
                f'client has {response.status} for {attempt}, '
                f'{len(response.body)} bytes, complete {response.complete}'
            )

        async def probe():
            while True:
                began = record.now()
                status = await entry.probe()
                if status != 200:
                    record.write(f'ready probe: {status or "no answer in 1 s"}')
                await trio.sleep(max(0, 1 - (record.now() - began)))

        async with trio.open_nursery() as clients:
            probes = trio.CancelScope()

            async def probing():
                with probes:
                    await probe()

            clients.start_soon(probing)
            began = record.now()
            for number in range(int(LOOKUPS_PER_S * LOOKUP_S)):
                clients.start_soon(look_up, number)
                if number % LOOKUPS_PER_STREAM == 0:
                    clients.start_soon(stream, number // LOOKUPS_PER_STREAM)
                if trouble and bad.behave is None and (
                    record.now() - began >= TROUBLE_AT_S
                ):
                    record.write('i-bad begins to send bytes without end')

                    async def behave(request, out):
                        if '/stream' not in request['path']:
                            return False
                        await send_without_end(bad, request, out)

                    bad.behave = behave
                await trio.sleep(1 / LOOKUPS_PER_S)
            await trio.sleep(LOOKUP_MS / 1000 + GRACE_S + 8)
            probes.cancel()
            clients.cancel_scope.cancel()

    unanswered = late = 0
    end = record.now()
    for number, at in sent.items():
        took_s = answered.get(number, end) - at
        if took_s > LOOKUP_MS / 1000:
            unanswered += 1
            late += took_s > LOOKUP_MS / 1000 + GRACE_S
    record.write(
        f'requests: {len(sent)}; unanswered at the timeout: {unanswered}; '
        f'without an answer half a second later: {late}'
    )
    broken = late >= 8 and late > unanswered / 2
    record.write('CONFIG ' + ('broken' if broken else 'held'))
    return int(broken)


if __name__ == '__main__':
    sys.exit(bed2.main(scenario, FOLDER))
