"""The magnolia command.

Commands that load large parts of the package import them when they run, so
that the others start faster.
"""

import asyncio
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Annotated, NoReturn, TextIO

import typer

from magnoliafork.commands import lazy, mesh_settings, node, node_settings
from magnoliafork.commands import story as story_lines
from magnoliafork.commands.admin_client import AdminTarget
from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.model.result import Err
from magnoliafork.settings.load import SETTINGS_FILE_VARIABLE, variable_of

EXIT_CODES = (
    "Exit codes: 0 success, 1 a problem or a difference was found, 2 wrong"
    " usage or an unreadable file, 3 no node answers, 4 the node refuses the"
    " change."
)

app = typer.Typer(
    help="Checks and builds rules, and shows and drains nodes.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
settings_app = typer.Typer(
    help="Checks and shows a node's settings.",
    no_args_is_help=True,
    rich_markup_mode=None,
)
app.add_typer(settings_app, name="settings")
config_app = typer.Typer(
    help="Checks the configuration of a mesh before it is sent.",
    no_args_is_help=True,
    rich_markup_mode=None,
)
app.add_typer(config_app, name="config")

NodeCommand = Callable[[AdminTarget, TextIO, TextIO, bool], Awaitable[int]]

Json = Annotated[bool, typer.Option("--json", help="Write JSON.")]
Mesh = Annotated[
    bool, typer.Option("--mesh", help="The file is that of a mesh node.")
]
Rules = Annotated[
    pathlib.Path, typer.Argument(help="Rules file or built folder.")
]
SettingsFile = Annotated[pathlib.Path, typer.Argument(help="Settings file.")]
Admin = Annotated[
    str,
    typer.Option(
        "--admin", help="Admin listener, such as http://127.0.0.1:9101."
    ),
]
Settings = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--settings",
        envvar=SETTINGS_FILE_VARIABLE,
        help="Settings file that names the admin listener and the token.",
    ),
]


@settings_app.command("check")
def settings_check(
    path: SettingsFile, as_json: Json = False, is_mesh: Mesh = False
) -> None:
    """Reports every error of a settings file and the environment."""
    if is_mesh:
        _exit(mesh_settings.check_mesh_settings(path, sys.stdout, as_json))
    _exit(node_settings.check_settings(path, os.environ, sys.stdout, as_json))


@settings_app.command("show")
def settings_show(
    path: SettingsFile, as_json: Json = False, is_mesh: Mesh = False
) -> None:
    """Shows every setting and where its value comes from."""
    if is_mesh:
        _exit(mesh_settings.show_mesh_settings(path, sys.stdout, as_json))
    _exit(node_settings.show_settings(path, os.environ, sys.stdout, as_json))


@config_app.callback()
def config_group() -> None:
    """Keeps `check` a command of its own while it is the only one."""


@config_app.command("check")
def config_check(
    path: Annotated[
        pathlib.Path, typer.Argument(help="Configuration, as it is written.")
    ],
    against: Annotated[
        str,
        typer.Option(
            "--against",
            help="Store (IP:PORT) or file with the version in force.",
        ),
    ] = "",
    as_json: Json = False,
) -> None:
    """Shows errors, entries that never match, and what changes."""
    commands = lazy.config_commands()
    _exit(commands.check_config(path, against, sys.stdout, as_json=as_json))


@app.command()
def status(
    admin: Admin = "",
    settings: Settings = None,
    as_json: Json = False,
    watch: Annotated[
        bool, typer.Option("--watch", help="Repeat until Ctrl-C.")
    ] = False,
) -> None:
    """Shows a node's state; exits with 1 if the node is not ready."""
    if not watch:
        _run(node.show_status, admin, settings, as_json)
    target = _target(admin, settings)
    try:
        asyncio.run(node.watch_status(target, sys.stdout, sys.stderr, as_json))
    except KeyboardInterrupt:
        _exit(ExitCode.OK)


@app.command()
def history(
    admin: Admin = "", settings: Settings = None, as_json: Json = False
) -> None:
    """Shows a node's recent changes."""
    _run(node.show_history, admin, settings, as_json)


@app.command()
def routes(
    admin: Admin = "", settings: Settings = None, as_json: Json = False
) -> None:
    """Shows the routes that a node has in force."""
    _run(node.show_routes, admin, settings, as_json)


@app.command()
def drain(
    admin: Admin = "", settings: Settings = None, as_json: Json = False
) -> None:
    """Begins a planned stop: no new work, running work finishes."""
    _run(node.drain_node, admin, settings, as_json)


@app.command()
def check(path: Rules, as_json: Json = False) -> None:
    """Reports every error of a rules file."""
    from magnoliafork.commands import rules

    _exit(rules.check(path, sys.stdout, as_json=as_json))


@app.command()
def build(
    path: Rules,
    out_dir: Annotated[
        pathlib.Path,
        typer.Option("--out", help="Folder for the parts and the manifest."),
    ],
    version_number: Annotated[
        int | None, typer.Option(help="Number of the version.")
    ] = None,
    after: Annotated[
        pathlib.Path | None,
        typer.Option(help="Manifest of the version before this one."),
    ] = None,
    as_json: Json = False,
) -> None:
    """Builds the parts and the manifest of a rules file."""
    from magnoliafork.commands import rules

    _exit(
        rules.build(
            path,
            out_dir,
            sys.stdout,
            version_number=version_number,
            after=after,
            as_json=as_json,
        )
    )


@app.command()
def diff(
    old: Annotated[pathlib.Path, typer.Argument(help="Old rules.")],
    new: Annotated[pathlib.Path, typer.Argument(help="New rules.")],
    as_json: Json = False,
) -> None:
    """Compares two rules files; exits with 1 if they differ."""
    from magnoliafork.commands import rules

    _exit(rules.diff(old, new, sys.stdout, as_json=as_json))


@app.command()
def explain(
    path: Rules,
    request: Annotated[
        str, typer.Option(help="Request, such as 'POST /commissions'.")
    ],
    host: Annotated[str, typer.Option(help="Host of the request.")] = "",
    as_json: Json = False,
) -> None:
    """Tells which route a request takes; exits with 1 if there is none."""
    from magnoliafork.commands import rules

    method, _, request_path = request.strip().partition(" ")
    if not request_path.startswith("/"):
        _usage_error(f"'{request}' is not a method and a path")
    _exit(
        rules.explain(
            path, method, host, request_path, sys.stdout, as_json=as_json
        )
    )


@app.command()
def demo(
    seconds_to_run: Annotated[
        float, typer.Option(help="Time to run, in seconds.")
    ] = 20.0,
) -> None:
    """Runs a small fleet on this machine."""
    _exit(lazy.demo_commands().demo(seconds_to_run, sys.stdout))


@app.command()
def bench(
    quick: Annotated[bool, typer.Option("--quick")] = False,
    capacity: Annotated[bool, typer.Option("--capacity")] = False,
) -> None:
    """Measures the system on this machine."""
    _exit(lazy.bench_commands().bench(quick, capacity, sys.stdout))


def main() -> None:
    """Runs the command."""
    app()


def _run(
    command: NodeCommand,
    admin: str,
    settings: pathlib.Path | None,
    as_json: bool,
) -> NoReturn:
    target = _target(admin, settings)

    async def run() -> int:
        return await command(target, sys.stdout, sys.stderr, as_json)

    _exit(asyncio.run(run()))


@app.command()
def story(
    request_id: Annotated[
        str, typer.Argument(help="A caller's attempt id, or a logged id.")
    ],
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help="Log files of nodes.")
    ],
    as_json: Json = False,
) -> None:
    """Shows what all nodes logged about one request."""
    lines: list[str] = []
    for path in logs:
        try:
            lines += path.read_text("utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as error:
            _usage_error(f"{path}: {error}")
    _exit(story_lines.write(request_id, lines, sys.stdout, as_json))


def _target(admin: str, settings: pathlib.Path | None) -> AdminTarget:
    token = os.environ.get(variable_of("admin_token"), "")
    if admin:
        return AdminTarget(_with_scheme(admin), token)
    if settings is None:
        _usage_error(
            "name a node with --admin URL or --settings FILE, or set"
            f" {SETTINGS_FILE_VARIABLE}"
        )
    result = node_settings.read_settings(settings, os.environ)
    if isinstance(result, Err):
        _exit(
            node_settings.check_settings(
                settings, os.environ, sys.stderr, as_json=False
            )
        )
    listen = result.value.listen
    secret = result.value.admin_token
    host = (
        f"[{listen.admin_host}]"
        if ":" in listen.admin_host
        else (listen.admin_host)
    )
    return AdminTarget(
        f"http://{host}:{listen.admin_port}",
        secret.get_secret_value() if secret else "",
    )


def _with_scheme(admin: str) -> str:
    url = admin if "://" in admin else f"http://{admin}"
    return url.rstrip("/")


def _usage_error(message: str) -> NoReturn:
    sys.stderr.write(f"magnolia: {message}\n")
    _exit(ExitCode.USAGE)


def _exit(code: int) -> NoReturn:
    raise typer.Exit(code)


if __name__ == "__main__":
    main()
