"""Implement ``amaranthraild``: read the settings and run one process."""

from __future__ import annotations

import inspect
import signal
import sys
from collections.abc import Callable
from functools import partial
from typing import Annotated, Any, Protocol

import trio
import typer

from .entry.service import Entry
from .exceptions import SettingError
from .logs import configure_logs
from .looptimes import LoopTimes
from .runtime import Runtime
from .settings import (
    ENVIRONMENT_PREFIX,
    EntrySettings,
    ProcessSettings,
    SidecarSettings,
    describe_settings,
    load_settings,
)
from .sidecar.service import Sidecar
from .signals import receive_signals

EXIT_SETTING = 2

app = typer.Typer(
    name='amaranthraild',
    help='Run one process of the load balancer.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


class _Process(Protocol):
    @property
    def runtime(self) -> Runtime:
        """Return what the parts of the process share."""

    async def run(self) -> None: ...

    def stop(self) -> None: ...


def add_process_command(
    name: str,
    help_text: str,
    settings_class: type[ProcessSettings],
    create_process: Callable[[Any], _Process],
) -> None:
    """Add the command that runs a kind of process.

    Each field of its settings class becomes a flag and an environment
    variable, so both are defined in the settings module alone.
    """

    def command(**flags: str | None) -> None:
        _start(settings_class, flags, create_process)

    parameters = [
        inspect.Parameter(
            setting.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=_option(setting.name, setting.text),
        )
        for setting in describe_settings(settings_class)
    ]
    signature = inspect.Signature(parameters)
    # typer derives the flags from the signature and annotations.
    command.__dict__.update(__signature__=signature)
    command.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    app.command(name, help=help_text)(command)


def _option(name: str, help_text: str) -> Any:
    flag = name.replace('_', '-')
    option = typer.Option(
        f'--{flag}',
        envvar=f'{ENVIRONMENT_PREFIX}{name.upper()}',
        help=help_text,
        show_default=False,
    )
    return Annotated[str | None, option]


def _start(
    settings_class: type[ProcessSettings],
    flags: dict[str, str | None],
    create_process: Callable[[Any], _Process],
) -> None:
    try:
        settings = load_settings(settings_class, flags)
        configure_logs(
            settings.log_format,
            settings.log_level,
            process=settings.name,
        )
        process = create_process(settings)
        times = LoopTimes(process.runtime.metrics, process.runtime.clock)
        trio.run(partial(_run, process), instruments=[times])
    except* SettingError as group:
        sys.stderr.write(f'amaranthraild: {group.exceptions[0]}\n')
        sys.exit(EXIT_SETTING)


async def _run(process: _Process) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, process)
        await process.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(process: _Process) -> None:
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            process.stop()


add_process_command(
    'entry',
    'Run a gateway process that accepts requests of callers.',
    EntrySettings,
    Entry,
)
add_process_command(
    'sidecar',
    'Run beside one upstream: queue its requests and forward them.',
    SidecarSettings,
    Sidecar,
)


if __name__ == '__main__':
    app()
