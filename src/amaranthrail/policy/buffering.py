"""Share the memory for buffered bodies among the calls of an entry.

Load pattern: some faulty upstreams answer without end, or many callers send
large requests at once, while most calls have small bodies. A fixed bound for
each body would be too small for the large ones or too large for all together.
So each body may take what is still free, and no more: few large bodies fit, of
many each gets little, and a small one always fits (dynamic threshold).
"""

from __future__ import annotations

#: Part of a process's memory for the bodies that it holds. Each is copied up to
#: three times on its way, and connections take memory too.
BUFFER_SHARE = 0.15
#: Memory of a process where its settings state none, in bytes.
DEFAULT_MEMORY_BYTES = 268_435_456


def may_hold(size_bytes: int, free_bytes: int) -> bool:
    """Tell whether one body may have a size.

    ``free_bytes`` is what would be left besides for all others.
    """
    return size_bytes <= free_bytes
