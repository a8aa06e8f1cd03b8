"""Serve the liveness, readiness and metrics endpoints of every process."""

from __future__ import annotations

from importlib import import_module

import trio

from ..metrics import Metrics
from .httpserver import ResponseWriter
from .problem import send_json
from .turns import turn_queue

_OK = 200
_UNAVAILABLE = 503
_METRICS_TYPE = ('content-type', 'text/plain; version=0.0.4')


async def send_liveness(response: ResponseWriter) -> None:
    """Send status 200, which shows that the process is live."""
    await send_json(response, _OK, {'alive': True})


async def send_readiness(response: ResponseWriter, *, ready: bool) -> None:
    """Send status 200 where the process accepts new work, else 503."""
    status = _OK if ready else _UNAVAILABLE
    await send_json(response, status, {'ready': ready})


async def send_metrics(response: ResponseWriter, metrics: Metrics) -> None:
    """Send all metrics in Prometheus text format.

    The exposition module is imported in a thread, because importing it takes
    longer than streams may pause.
    """
    metrics.gauge('input_turns', turn_queue().turns)
    metrics.gauge('input_turns_waiting', turn_queue().waiting)
    exposition = await trio.to_thread.run_sync(
        import_module,
        '..exposition',
        __package__,
    )
    await response.send(_OK, (_METRICS_TYPE,), exposition.metrics_text(metrics))
