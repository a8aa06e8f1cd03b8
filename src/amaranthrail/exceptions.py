"""Define the errors of this package; each message names the mend."""

from __future__ import annotations


class AmaranthrailError(Exception):
    """Be the base of all errors that this package raises on purpose."""


class SettingError(AmaranthrailError):
    """Report a setting that cannot be used."""

    def __init__(self, setting: str, given: object, mend: str) -> None:
        """Name the setting, what was given and what would do."""
        super().__init__(f'setting {setting} is {given!r}: {mend}')


class ManifestError(AmaranthrailError):
    """Report a manifest that cannot be accepted, one line a fault."""


class InvariantError(AmaranthrailError):
    """Report a broken invariant; the process stops."""


class FrameError(AmaranthrailError):
    """Report bytes on a peer connection that are no valid frame."""


class HttpError(AmaranthrailError):
    """Report an HTTP exchange that broke.

    ``sent`` tells whether the other side may have seen the request, and
    ``pooled`` whether the connection had served another before.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Keep the message and whether any byte may have been read."""
        super().__init__(message)
        self.sent = sent
        self.pooled = False


class LogUnavailableError(AmaranthrailError):
    """Report that the log did not answer; an append may have happened."""
