"""Answer what platforms and collectors ask of every process."""

from __future__ import annotations

from importlib import import_module

import trio

from ..metrics import Metrics
from .httpserver import ResponseWriter
from .problem import send_json

_OK = 200
_UNAVAILABLE = 503
_METRICS_TYPE = ('content-type', 'text/plain; version=0.0.4')


async def send_liveness(reply: ResponseWriter) -> None:
    """Say that the process answers."""
    await send_json(reply, _OK, {'alive': True})


async def send_readiness(reply: ResponseWriter, *, ready: bool) -> None:
    """Say by the status whether the process takes new work."""
    status = _OK if ready else _UNAVAILABLE
    await send_json(reply, status, {'ready': ready})


async def send_metrics(reply: ResponseWriter, metrics: Metrics) -> None:
    """Send all metrics in Prometheus text format.

    The module that writes them is imported in a thread: it takes longer than
    streams may pause.
    """
    exposition = await trio.to_thread.run_sync(
        import_module,
        '..exposition',
        __package__,
    )
    await reply.send(_OK, (_METRICS_TYPE,), exposition.metrics_text(metrics))
