"""Start ``amaranthraild``: parse flags and environment, run the process."""

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
from .settings import (
    ENVIRONMENT_PREFIX,
    EntrySettings,
    ProcessSettings,
    SidecarSettings,
    describe_settings,
    load_settings,
)
from .sidecar.service import Sidecar

EXIT_SETTING = 2

app = typer.Typer(
    name='amaranthraild',
    help='Run one process of the load balancer.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


class _Process(Protocol):
    async def run(self) -> None: ...

    def stop(self) -> None: ...


def add_process_command(
    name: str,
    text: str,
    kind: type[ProcessSettings],
    make: Callable[[Any], _Process],
) -> None:
    """Add the command that runs a kind of process.

    Each field of its settings becomes a flag and an environment variable, so
    the settings module is the one place that names them.
    """

    def command(**given: str | None) -> None:
        _start(kind, given, make)

    parameters = [
        inspect.Parameter(
            setting.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=None,
            annotation=_option(setting.name, setting.text),
        )
        for setting in describe_settings(kind)
    ]
    signature = inspect.Signature(parameters)
    # typer reads the flags from the signature.
    command.__dict__.update(__signature__=signature)
    command.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    app.command(name, help=text)(command)


def _option(name: str, text: str) -> Any:
    flag = name.replace('_', '-')
    option = typer.Option(
        f'--{flag}',
        envvar=f'{ENVIRONMENT_PREFIX}{name.upper()}',
        help=text,
        show_default=False,
    )
    return Annotated[str | None, option]


def _start(
    kind: type[ProcessSettings],
    given: dict[str, str | None],
    make: Callable[[Any], _Process],
) -> None:
    try:
        settings = load_settings(kind, given)
        configure_logs(
            settings.log_format,
            settings.log_level,
            process=settings.name,
        )
        trio.run(partial(_run, make(settings)))
    except* SettingError as group:
        sys.stderr.write(f'amaranthraild: {group.exceptions[0]}\n')
        sys.exit(EXIT_SETTING)


async def _run(process: _Process) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, process)
        await process.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(process: _Process) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            process.stop()


add_process_command(
    'entry',
    'Serve callers on an entry host.',
    EntrySettings,
    Entry,
)
add_process_command(
    'sidecar',
    'Guard one upstream from the slot on its host.',
    SidecarSettings,
    Sidecar,
)


if __name__ == '__main__':
    app()
