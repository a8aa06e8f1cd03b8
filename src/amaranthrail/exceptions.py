"""Define the errors of this package; messages say how to fix the cause."""

from __future__ import annotations


class AmaranthrailError(Exception):
    """Serve as the base class of all errors that this package defines."""


class SettingError(AmaranthrailError):
    """Signal a setting with an invalid value."""

    def __init__(self, setting: str, actual: object, hint: str) -> None:
        """Build the message; ``hint`` says which values are valid."""
        super().__init__(f'setting {setting} is {actual!r}: {hint}')


class ManifestError(AmaranthrailError):
    """Signal an invalid manifest; the message has one line per fault."""


class InvariantError(AmaranthrailError):
    """Signal a violated invariant; the process stops."""


class FrameError(AmaranthrailError):
    """Signal bytes from a peer that are not a valid frame, order or reply."""


class HttpError(AmaranthrailError):
    """Signal a failed HTTP exchange.

    ``sent`` is true if the server may have read the request. ``pooled`` is true
    if the connection was reused after an earlier exchange and ended without a
    byte of a response.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Set the message and whether any byte may have been read."""
        super().__init__(message)
        self.sent = sent
        self.pooled = False


class RequestWithdrawnError(HttpError):
    """Signal a request that was given up before any of it was sent."""

    def __init__(self, message: str) -> None:
        """Set the message."""
        super().__init__(message, sent=False)


class ResponseTooLargeError(HttpError):
    """Signal a response that exceeds its limit; its connection is closed."""

    def __init__(self, limit: str) -> None:
        """Name the limit that the response exceeds."""
        super().__init__(f'response exceeds the limit of {limit}', sent=True)


class LogUnavailableError(AmaranthrailError):
    """Signal that the log did not respond; a record may have been appended."""
