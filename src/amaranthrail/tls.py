"""Build TLS contexts: server side for callers, mutual between peers."""

from __future__ import annotations

import ipaddress
import ssl
from dataclasses import dataclass
from pathlib import Path

from .exceptions import SettingError


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Name the PEM files of one side; ``authority`` asks for peers' proof."""

    certificate: Path
    key: Path
    authority: Path | None = None


def is_loopback(host: str) -> bool:
    """Tell whether an IP number stays on this machine."""
    return ipaddress.ip_address(host).is_loopback


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context of a listening side.

    With an authority, the connecting side must show a certificate of it.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, files)
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the context of a connecting side that shows its certificate.

    Certificates name IP numbers, so the host name check stays on.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, files)
    return context


def _load(context: ssl.SSLContext, files: TlsFiles) -> None:
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
