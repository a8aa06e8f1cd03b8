"""Create TLS contexts: server TLS for callers, mutual TLS between peers."""

from __future__ import annotations

import ipaddress
import ssl
from dataclasses import dataclass
from pathlib import Path

from .exceptions import SettingError


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Name the PEM files of one side of a connection.

    ``authority`` is the CA that signs the peers' certificates; a listening side
    without one accepts clients without a certificate.
    """

    certificate: Path
    key: Path
    authority: Path | None = None


def is_loopback(host: str) -> bool:
    """Return whether an IP address is loopback; raise ValueError if invalid."""
    return ipaddress.ip_address(host).is_loopback


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context of a listening side.

    With an authority, clients must present a certificate that it signed. Raises
    SettingError for files that cannot be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_files(context, files)
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context of a connecting side that presents a certificate.

    Certificates are issued for IP addresses, so host name checking stays on.
    Raises SettingError for files that cannot be loaded.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_files(context, files)
    return context


def _load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    try:
        context.load_cert_chain(files.certificate, files.key)
        if files.authority is not None:
            context.load_verify_locations(files.authority)
    except (OSError, ssl.SSLError) as error:
        raise SettingError(
            'tls',
            str(files.certificate),
            f'name readable PEM files that belong together ({error})',
        ) from error
