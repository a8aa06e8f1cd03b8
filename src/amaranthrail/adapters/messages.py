"""Send and receive length-prefixed messages on a stream."""

from __future__ import annotations

import trio

#: Size of the big-endian length in front of each message.
LENGTH_BYTES = 4
#: Largest message: a configuration of 4 MB and the records of all upstreams.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
#: What a failed stream or a malformed message raises.
STREAM_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    ValueError,
)


async def send_message(stream: trio.abc.Stream, payload: bytes) -> None:
    """Send a message with its length in front."""
    length = len(payload).to_bytes(LENGTH_BYTES, 'big')
    await stream.send_all(length + payload)


async def receive_message(stream: trio.abc.Stream) -> bytes | None:
    """Return the next message, None where the stream ends before it.

    Raises ValueError where the stream ends within a message or the message is
    too large. Only one message may be in flight each way: bytes after a message
    are taken for a part of it.
    """
    received = bytearray(await stream.receive_some())
    if not received:
        return None
    await _receive_until(stream, received, LENGTH_BYTES)
    length = int.from_bytes(received[:LENGTH_BYTES], 'big')
    if length > MAX_MESSAGE_BYTES:
        raise ValueError(f'message of {length} bytes is too large')
    await _receive_until(stream, received, LENGTH_BYTES + length)
    return bytes(received[LENGTH_BYTES:])


async def _receive_until(
    stream: trio.abc.Stream,
    received: bytearray,
    size: int,
) -> None:
    """Append further bytes to ``received`` until it has at least ``size``."""
    while len(received) < size:
        chunk = await stream.receive_some()
        if not chunk:
            raise ValueError('stream ended within a message')
        received += chunk
