"""A replica hands out bytes without end in a stream, and the entries hang."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

import bed2

FOLDER = Path(__file__).resolve().parent
#: Deadlines of the sheet: bookings of repair slots, and streams, in seconds.
BOOKING_S = 1.532
STREAM_S = 8.051
#: The operator's time-outs of the two routes, in ms.
BOOKING_TIMEOUT_MS = 1000
STREAM_TIMEOUT_MS = 8000
#: "Half a second later", and the fewest requests that count.
LATER_S = 0.5
LEAST = 8
#: Clients abandon a stream after such a gap: two seconds, as four times the
#: objective of 403 ms and eight times the pause of 120 ms are less.
GAP_S = 2.0
#: The link of the replica's machine on the sheet: 10 Mbit/s.
LINK_BYTES_PER_S = 1_250_000
TICK_S = 0.02
#: Bytes without the end of an event, in chunks of a token's size.
CHUNK = b'5\r\nabcde\r\n'
ENGINES = 8
#: Requests a second: bookings as on the sheet, a quarter of its streams.
BOOKINGS_PER_S = 2.81
STREAMS_PER_S = 8.0
CONNECTIONS = 20
RUN_S = 30.0
TROUBLE_AT_S = 5.0


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


class Booker:
    """A client that keeps a connection and books on it, one at a time."""

    def __init__(self, bed, ingress, number):
        self._bed = bed
        self._ingress = ingress
        self._number = number
        self._stream = None
        self._entry = None
        self._count = 0
        self.is_busy = False
        #: Seconds until the answer and its status, None for no answer, each.
        self.results = []

    async def book(self):
        self.is_busy = True
        self._count += 1
        attempt = f'booking-{self._number}-{self._count}'
        record = self._bed.record
        began = trio.current_time()
        response = bed2.Response()
        # A client leaves at its deadline.
        with trio.move_on_after(BOOKING_S):
            try:
                if self._stream is None:
                    self._entry = self._ingress.choose()
                    self._stream = await trio.open_tcp_stream(
                        self._entry.ip, self._bed.ports[0]
                    )
                    self._reader = bed2.Reader(self._stream)
                record.write(f'client sends {attempt} to entry {self._entry.number}')
                head = bed2.head_of(
                    'POST', f'/slot/{self._number}', attempt,
                    int(BOOKING_S * 1000), body=b'accordion',
                )
                await self._stream.send_all(head)
                response = await bed2.read_response(self._reader)
            except (OSError, trio.BrokenResourceError):
                response = bed2.Response()
        took_s = trio.current_time() - began
        status = response.status if response.complete else None
        self.results.append((took_s, status))
        record.write(f'client has {status} for {attempt} after {took_s * 1000:.0f} ms')
        if status is None or response.headers.get('connection') == 'close':
            if self._stream is not None:
                await trio.aclose_forcefully(self._stream)
            self._stream = None
        self.is_busy = False


async def read_stream(bed, ingress, number, *, is_retry=False):
    """Send a stream; abandon it after a gap of two seconds, then retry once."""
    entry = ingress.choose()
    attempt = f'stream-{number}' + '-again' * is_retry
    record = bed.record
    record.write(f'client sends {attempt} to entry {entry.number}')
    parts = 0
    ended = 'broken off'
    try:
        stream = await trio.open_tcp_stream(entry.ip, bed.ports[0])
    except OSError:
        return
    async with stream:
        reader = bed2.Reader(stream)
        extra = (
            'Model: m',
            'Token-Usage: 714,139',
            f'Prompt-Prefix: 5c1e07a2:40,{number:08x}:674',
        )
        try:
            with trio.move_on_after(STREAM_S), trio.move_on_after(GAP_S) as gap:
                await stream.send_all(
                    bed2.head_of(
                        'POST', f'/stream/{number}', attempt,
                        int(STREAM_S * 1000), body=b'prompt', extra=extra,
                    )
                )
                first, headers = await reader.head()
                ended = first.split()[1]
                if headers.get('transfer-encoding') == 'chunked':
                    ended += ' broken off'
                    async for _ in reader.chunks():
                        parts += 1
                        gap.deadline = trio.current_time() + GAP_S
                    ended = 'whole'
            if gap.cancelled_caught:
                ended = 'abandoned'
        except (EOFError, OSError, trio.BrokenResourceError, ValueError):
            pass
    record.write(f'{attempt}: {ended}, {parts} parts')
    if ended == 'abandoned' and not is_retry:
        await read_stream(bed, ingress, number, is_retry=True)


async def scenario(record, trouble):
    async with bed2.open_bed(record) as bed:
        bed.put_config(
            bed2.config(
                7,
                [
                    bed2.route(
                        'stream', 'streaming', 'ladic', STREAM_TIMEOUT_MS,
                        target_ms=403, target_gap_ms=120,
                        stream_resume=True, session_affinity=True,
                    ),
                    bed2.route(
                        'slot', 'non_idempotent', 'dilna', BOOKING_TIMEOUT_MS
                    ),
                ],
                [
                    {**bed2.plain_service('ladic'), 'engine': bed2.ENGINE},
                    bed2.plain_service('dilna'),
                ],
            )
        )
        bad = bed2.Replica('i-bad', record)
        await bed.add_replica(bad, 'ladic')
        for number in range(ENGINES - 1):
            await bed.add_replica(
                bed2.Replica(f'i-engine{number}', record), 'ladic'
            )
        for number in range(3):
            await bed.add_replica(
                bed2.Replica(f'i-plain{number}', record), 'dilna'
            )
        entries = [bed.add_entry(), bed.add_entry('bobbio')]
        for entry in entries:
            await entry.until_ready()
        # Longer than contact_ms: the machines are in touch.
        await trio.sleep(3.5)
        ingress = bed2.Ingress(bed)
        bookers = [Booker(bed, ingress, number) for number in range(CONNECTIONS)]

        async def behave(request, out):
            if not request['path'].startswith('/stream/'):
                return False
            await send_without_end(bad, request, out)
            return True

        async with trio.open_nursery() as clients:
            clients.start_soon(ingress.run)
            began = record.now()
            sent = {'bookings': 0, 'streams': 0}
            while (passed_s := record.now() - began) < RUN_S:
                if trouble and bad.behave is None and passed_s >= TROUBLE_AT_S:
                    record.write('i-bad begins to send bytes without end')
                    bad.behave = behave
                if sent['bookings'] < passed_s * BOOKINGS_PER_S:
                    booker = bookers[sent['bookings'] % CONNECTIONS]
                    sent['bookings'] += 1
                    if not booker.is_busy:
                        clients.start_soon(booker.book)
                if sent['streams'] < passed_s * STREAMS_PER_S:
                    sent['streams'] += 1
                    clients.start_soon(read_stream, bed, ingress, sent['streams'])
                await trio.sleep(0.02)
            await trio.sleep(BOOKING_S + 0.2)
            clients.cancel_scope.cancel()

    results = [found for booker in bookers for found in booker.results]
    timeout_s = BOOKING_TIMEOUT_MS / 1000
    unanswered = [found for found in results if found[0] > timeout_s]
    later = [
        (took_s, status)
        for took_s, status in unanswered
        if status is None or took_s > timeout_s + LATER_S
    ]
    record.write(
        f'bookings: {len(results)}; unanswered at the timeout: {len(unanswered)}; '
        f'without an answer half a second later: {len(later)}; '
        f'streams sent to i-bad: {len(bad.ran)}'
    )
    broken = len(later) >= LEAST and len(later) > len(unanswered) / 2
    record.write('CONFIG ' + ('broken' if broken else 'held'))
    return int(broken)


if __name__ == '__main__':
    sys.exit(bed2.main(scenario, FOLDER))
