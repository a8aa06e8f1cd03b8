"""Implement the ``amaranthrail`` command line on the administration API."""

from __future__ import annotations

import difflib
import json
import sys
from collections.abc import Awaitable, Callable, Sequence
from datetime import UTC, datetime
from importlib import import_module
from pathlib import Path
from typing import Annotated, Any, NoReturn, TypeVar

import msgspec
import trio
import typer
from rich.console import Console
from rich.table import Table

from .api import AdminApi, ApiError, PublishReport, PublishState, publish_to_log
from .clock import MS_PER_SECOND, stamp_to_wall
from .exceptions import ManifestError
from .manifest import Manifest, parse_manifest
from .requestlog import LogLine, explain_request, parse_log_lines

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNKNOWN = 4
#: Width of a table that is not written to a terminal, in characters.
_PIPE_WIDTH = 160

_Returned = TypeVar('_Returned')

app = typer.Typer(
    name='amaranthrail',
    help='Operate a deployment.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
manifest_app = typer.Typer(help='Check and publish manifests.')
lost_app = typer.Typer(
    help='List and resolve keyed requests whose outcome is lost.'
)
app.add_typer(manifest_app, name='manifest', no_args_is_help=True)
app.add_typer(lost_app, name='lost', no_args_is_help=True)

Admin = Annotated[
    str,
    typer.Option(
        envvar='AMARANTHRAIL_ADMIN',
        help="Entries' administration addresses, separated by commas.",
    ),
]
Token = Annotated[
    str,
    typer.Option(
        envvar='AMARANTHRAIL_ADMIN_TOKEN',
        help='Administration token.',
        show_default=False,
    ),
]
AsJson = Annotated[
    bool,
    typer.Option('--json', help='Write JSON for programs.'),
]
ManifestFile = Annotated[Path, typer.Argument(help='Manifest file, JSON.')]
Base = Annotated[
    int | None,
    typer.Option(help='Version that the manifest was edited from.'),
]
_DEFAULT_ADMIN = '127.0.0.1:7070'


def _api(admin: str, token: str) -> AdminApi:
    return AdminApi(tuple(admin.split(',')), token)


def _run(call: Callable[[], Awaitable[_Returned]]) -> _Returned:
    try:
        return trio.run(call)
    except* ApiError as group:
        _fail(str(group.exceptions[0]), EXIT_FAILED)


def _fail(message: str, code: int) -> NoReturn:
    sys.stderr.write(f'amaranthrail: {message}\n')
    raise typer.Exit(code)


def _write(text: str) -> None:
    sys.stdout.write(f'{text}\n')


def _write_json(content: object) -> None:
    _write(msgspec.json.encode(content).decode())


def _write_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    console = Console(file=sys.stdout, highlight=False)
    if not console.is_terminal:
        console = Console(file=sys.stdout, highlight=False, width=_PIPE_WIDTH)
    console.print(table)


def _load_manifest(path: Path) -> tuple[bytes, Manifest]:
    text = _read_file(path)
    try:
        return text, parse_manifest(text)
    except ManifestError as error:
        _fail(f'{path} cannot be accepted:\n{error}', EXIT_REFUSED)


@manifest_app.command('check')
def check_manifest(path: ManifestFile) -> None:
    """Check a manifest; exit 3 with one line per fault."""
    _, manifest = _load_manifest(path)
    _write(
        f'{path}: {len(manifest.services)} services, '
        f'{len(manifest.organisations)} organisations, valid',
    )


@app.command('check')
def check(
    path: Annotated[Path, typer.Argument(help='Configuration, JSON.')],
    in_force: Annotated[
        Path | None,
        typer.Option(help='Configuration in force, to compare with.'),
    ] = None,
) -> None:
    """Check a configuration of the platform; exit 1 if it has errors."""
    # Imported here, as no other command needs the platform's formats.
    checks = import_module('.platform.checkreport', __package__)
    text = _read_file(path)
    in_force_text = None if in_force is None else _read_file(in_force)
    report = checks.make_report(text, in_force_text)
    for line in report.lines:
        _write(line)
    raise typer.Exit(EXIT_FAILED if report.errors else 0)


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        _fail(f'{path}: {error.strerror}', EXIT_USAGE)


@manifest_app.command('schema')
def show_schema() -> None:
    """Write the JSON Schema of manifests."""
    _write(json.dumps(Manifest.model_json_schema(), indent=1))


@manifest_app.command('show')
def show_manifest(
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
    as_json: AsJson = False,
) -> None:
    """Write the manifest in force."""
    in_force = _run(_api(admin, admin_token).manifest)
    if as_json:
        _write(in_force.text.decode())
        return
    _write(f'version {in_force.version}')
    _write(_format_manifest(in_force.text))


@manifest_app.command('diff')
def diff_manifest(
    path: ManifestFile,
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
) -> None:
    """Compare a manifest with the one in force; exit 1 if they differ."""
    text, _ = _load_manifest(path)
    in_force = _run(_api(admin, admin_token).manifest)
    lines = list(
        difflib.unified_diff(
            _format_manifest(in_force.text).splitlines(),
            _format_manifest(text).splitlines(),
            f'version {in_force.version}',
            str(path),
            lineterm='',
        ),
    )
    for line in lines:
        _write(line)
    raise typer.Exit(EXIT_FAILED if lines else 0)


@manifest_app.command('publish')
def publish_manifest(
    path: ManifestFile,
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
    log: Annotated[
        str | None,
        typer.Option(
            envvar='AMARANTHRAIL_PLATFORM',
            help='Append to the log service at this address, without an entry.',
        ),
    ] = None,
    base: Base = None,
    as_json: AsJson = False,
) -> None:
    """Publish a manifest; exit 0 if accepted, 3 if refused, 4 if unknown."""
    text, _ = _load_manifest(path)

    async def publish() -> PublishReport:
        if log is not None:
            return await publish_to_log(log, text, base)
        return await _api(admin, admin_token).publish(text, base)

    published = _run(publish)
    if as_json:
        _write_json(published)
    else:
        _write(_describe_published(published))
    codes = {
        PublishState.ACCEPTED: 0,
        PublishState.REFUSED: EXIT_REFUSED,
        PublishState.UNKNOWN: EXIT_UNKNOWN,
    }
    raise typer.Exit(codes[published.state])


def _describe_published(published: PublishReport) -> str:
    match published.state:
        case PublishState.ACCEPTED:
            return f'accepted as version {published.version}'
        case PublishState.REFUSED:
            return (
                f'refused: {published.reason}; '
                f'version {published.version} is in force'
            )
        case PublishState.UNKNOWN:
            return (
                f'unknown yet: change {published.change} was not seen in the '
                'log; check with "amaranthrail manifest show", and publish '
                'again with --base only if the version there is unchanged'
            )


@app.command('status')
def status(
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
    as_json: AsJson = False,
) -> None:
    """Show entries and upstreams; exit 1 if an entry does not respond."""
    statuses = _run(_api(admin, admin_token).statuses)
    if as_json:
        _write_json(statuses)
    else:
        _show_statuses(statuses)
    failed = any('error' in entry for entry in statuses)
    raise typer.Exit(EXIT_FAILED if failed else 0)


def _show_statuses(statuses: list[dict[str, Any]]) -> None:
    for entry in statuses:
        error = entry.get('error')
        if error:
            _write(f'{entry["entry"]}: {error}')
            continue
        keyed_requests = entry['filings']
        _write(
            f'{entry["entry"]}: ready={entry["ready"]} '
            f'manifest={entry["manifest_version"]} '
            f'log={"up" if entry["log_reachable"] else "down"} '
            f'records_skipped={entry["records_skipped"]} '
            f'lost={keyed_requests["lost"]} open={keyed_requests["open"]}',
        )
        columns = (
            'upstream',
            'service',
            'failure_domain',
            'connected',
            'takes_work',
            'queued',
            'running',
            'manifest_version',
        )
        _write_table(
            columns,
            [
                [str(upstream[column]) for column in columns]
                for upstream in entry['upstreams']
            ],
        )


@app.command('timeline')
def timeline(
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
    as_json: AsJson = False,
    last: Annotated[
        int, typer.Option(help='Number of latest events to show.')
    ] = 200,
) -> None:
    """Show the events of all processes, causes before effects."""
    events = _run(_api(admin, admin_token).timeline)[-last:]
    if as_json:
        _write_json(events)
        return
    rows = [
        [
            format_stamp(event.stamp),
            event.process,
            event.name,
            event.subject,
            event.detail,
        ]
        for event in events
    ]
    _write_table(('time', 'process', 'event', 'subject', 'detail'), rows)


def format_stamp(stamp: int) -> str:
    """Return the UTC time of day of a clock stamp, to the millisecond."""
    seconds = stamp_to_wall(stamp) / MS_PER_SECOND
    utc_time = datetime.fromtimestamp(seconds, tz=UTC)
    return utc_time.strftime('%H:%M:%S.%f')[:-3]


@lost_app.command('list')
def list_lost(
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
    as_json: AsJson = False,
) -> None:
    """List keyed requests whose outcome cannot be known."""
    lost_keys = _run(_api(admin, admin_token).lost)
    if as_json:
        _write_json(lost_keys)
        return
    columns = ('key', 'operation', 'upstream', 'attempt', 'reason')
    rows = [[str(lost[column]) for column in columns] for lost in lost_keys]
    _write_table(columns, rows)


@lost_app.command('resolve')
def resolve_lost(
    key: Annotated[str, typer.Argument(help='Key as shown by "lost list".')],
    outcome: Annotated[str, typer.Argument(help='ran or not-run')],
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
) -> None:
    """Set the outcome of a lost key; not-run lets callers try it again."""
    if outcome not in {'ran', 'not-run'}:
        _fail(f'outcome is {outcome!r}: give ran or not-run', EXIT_USAGE)

    async def resolve() -> bool:
        return await _api(admin, admin_token).resolve(key, outcome)

    recorded = _run(resolve)
    _write(f'{key}: {outcome}' if recorded else f'{key}: not recorded yet')
    raise typer.Exit(0 if recorded else EXIT_UNKNOWN)


@app.command('drain')
def drain(
    upstream: Annotated[str, typer.Argument(help='Name of the upstream.')],
    end: Annotated[bool, typer.Option('--end', help='End the drain.')] = False,
    admin: Admin = _DEFAULT_ADMIN,
    admin_token: Token = '',
) -> None:
    """Stop sending new requests to an upstream, or resume."""

    async def set_drain() -> bool:
        return await _api(admin, admin_token).drain(upstream, draining=not end)

    in_force = _run(set_drain)
    _write(f'{upstream}: {"in force" if in_force else "not in force yet"}')
    raise typer.Exit(0 if in_force else EXIT_UNKNOWN)


@app.command('explain')
def explain(
    request: Annotated[str, typer.Argument(help='Request id.')],
    logs: Annotated[
        list[Path],
        typer.Argument(help='Log files of any processes.', exists=True),
    ],
) -> None:
    """Show the log lines that explain what became of a request."""
    lines: list[LogLine] = []
    for path in logs:
        text = path.read_text(errors='replace')
        lines.extend(parse_log_lines(text.splitlines()))
    explanation = explain_request(request, lines)
    if not explanation:
        _fail(f'no log file has a line of request {request!r}', EXIT_USAGE)
    for line in explanation:
        _write(line.formatted())


def _format_manifest(text: bytes) -> str:
    return json.dumps(json.loads(text), indent=1, sort_keys=True)
