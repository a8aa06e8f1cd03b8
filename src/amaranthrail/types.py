"""Define the identifier types and aliases used in the whole package."""

from __future__ import annotations

from typing import NewType

OrganisationName = NewType('OrganisationName', str)
ServiceName = NewType('ServiceName', str)
UpstreamName = NewType('UpstreamName', str)
DomainName = NewType('DomainName', str)
GroupName = NewType('GroupName', str)
#: Region of one or more failure domains.
RegionName = NewType('RegionName', str)
ProcessName = NewType('ProcessName', str)
#: Identity of one part of a prompt, the same in each request that has it.
PromptPart = NewType('PromptPart', str)

#: Random identity of one run of a process; a restart creates a new one.
Incarnation = NewType('Incarnation', str)
#: ``<entry incarnation>-<sequence>``; unique across entries and restarts.
RequestId = NewType('RequestId', str)
#: A caller's ``Idempotency-Key``, qualified by its organisation.
IdempotencyKey = NewType('IdempotencyKey', str)
#: Log offset at which the manifest in force was accepted; 0 is none.
Version = NewType('Version', int)
#: Position of a record in a stream of the log, from 1.
Offset = NewType('Offset', int)
#: Duration or point in time, in milliseconds.
Millis = NewType('Millis', float)

#: Request header field that carries a caller's idempotency key.
KEY_HEADER = 'idempotency-key'

#: HTTP header fields in the order received, names in lower case.
HeaderList = tuple[tuple[str, str], ...]


def qualified_key(organisation: str, key: str) -> IdempotencyKey:
    """Return a caller's key qualified by its organisation.

    Keys of different organisations are thereby distinct.
    """
    return IdempotencyKey(f'{organisation}/{key}')
