"""Keep the tokens that an upstream holds within its memory.

Load pattern: at a load peak most calls hold a thousand tokens, and many callers
send prompts of tens of thousands. An upstream crashes, with all its calls, once
the prompts and outputs that it holds exceed its memory. Each entry knows its
own calls, and those of the others from reports that are a tenth of a second
old: where little room is left, several would send large calls to it at once.

So a large call goes only to upstreams that its entry owns, by a hash of the
names of the live entries. Of other calls, entries report where they hold much;
what all may hold that no report has named yet is kept free.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

#: Part of an upstream's memory that is kept free for tokens of other entries
#: that no report has named yet.
RESERVED_SHARE = 0.25
#: Half of that is for tokens that entries do not report: five calls of usual
#: size take a thirtieth of the memory, so reports seldom name any.
UNREPORTED_SHARE = 0.125
#: Part of the memory from which a call is large: four smaller ones fit into the
#: other half of what is kept free.
LARGE_CALL_SHARE = 0.03


class MemoryUse(msgspec.Struct, frozen=True):
    """Describe what an upstream's memory holds, in tokens.

    ``capacity`` is its whole memory, ``own`` what this entry's calls hold and
    ``reported`` what other entries report. ``is_owned`` says that large calls
    are sent to it by this entry only.
    """

    capacity: int
    own: int = 0
    reported: int = 0
    is_owned: bool = True


def report_threshold(capacity: int, entries: int) -> float:
    """Return from how many tokens an entry reports what it holds."""
    return UNREPORTED_SHARE * capacity / max(1, entries)


def has_room(tokens: int, use: MemoryUse, entries: int) -> bool:
    """Tell whether a call may be sent to an upstream.

    ``entries`` is how many entries may send calls, this one included.
    """
    reserved = 0.0
    if entries > 1:
        reserved = RESERVED_SHARE * use.capacity
        if is_large(tokens, use.capacity) and not use.is_owned:
            return False
    return tokens + use.own + use.reported + reserved <= use.capacity


def is_large(tokens: int, capacity: int) -> bool:
    """Tell whether a call goes only to upstreams that its entry owns."""
    return tokens >= LARGE_CALL_SHARE * capacity


def choose_owner(upstream: str, hosts: Iterable[str]) -> str:
    """Return which entry sends large calls to an upstream.

    An entry that starts or ends changes only the upstreams of its own.
    """
    return max(
        hosts,
        key=lambda host: (zlib.crc32(f'{host} {upstream}'.encode()), host),
    )
