"""Define the ids and the aliases that the whole package shares."""

from __future__ import annotations

from typing import NewType

OrganisationName = NewType('OrganisationName', str)
ServiceName = NewType('ServiceName', str)
UpstreamName = NewType('UpstreamName', str)
DomainName = NewType('DomainName', str)
GroupName = NewType('GroupName', str)
ProcessName = NewType('ProcessName', str)

#: Random identity of one run of one process; a restart makes a new one.
Incarnation = NewType('Incarnation', str)
#: ``<entry incarnation>-<sequence>``; unique over all entries and time.
RequestId = NewType('RequestId', str)
#: A caller's ``Idempotency-Key``, qualified by its organisation.
IdempotencyKey = NewType('IdempotencyKey', str)
#: Log offset at which the manifest in force was accepted; 0 is none.
Version = NewType('Version', int)
#: Position of a record in a stream of the log, from 1.
Offset = NewType('Offset', int)
#: A span or a point in time, in milliseconds.
Millis = NewType('Millis', float)

#: Where callers put their idempotency key.
KEY_HEADER = 'idempotency-key'

#: HTTP header fields in order of arrival, names in lower case.
HeaderList = tuple[tuple[str, str], ...]


def qualified_key(organisation: str, key: str) -> IdempotencyKey:
    """Return a caller's key as the record has it: it is its organisation's."""
    return IdempotencyKey(f'{organisation}/{key}')
