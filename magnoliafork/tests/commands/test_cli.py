"""The magnolia command must exit with the documented codes."""

import asyncio
import contextlib
import io
import json
import pathlib
import socket
import threading
from collections.abc import Iterator

import pytest
from typer.testing import CliRunner, Result

from magnoliafork.cli import app
from magnoliafork.commands import node
from magnoliafork.commands.admin_client import AdminTarget
from magnoliafork.tests.observe.fake_node import TOKEN, FakeNode, admin_of


class RunningNode:
    """An admin listener on its own thread, as another process would be."""

    def __init__(self) -> None:
        self.node = FakeNode()
        self.port = 0
        self._loop = asyncio.new_event_loop()
        self._server = admin_of(self.node)
        self._thread = threading.Thread(target=self._loop.run_forever)

    def start(self) -> None:
        self._thread.start()
        starting = asyncio.run_coroutine_threadsafe(
            self._server.start("127.0.0.1", 0), self._loop
        )
        self.port = starting.result(5)

    def stop(self) -> None:
        stopping = self._server.stop()
        asyncio.run_coroutine_threadsafe(stopping, self._loop).result(5)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
        self._loop.close()


@pytest.fixture
def running() -> Iterator[RunningNode]:
    node = RunningNode()
    node.start()
    yield node
    node.stop()


def magnolia(*arguments: str, **environment: str) -> Result:
    variables: dict[str, str | None] = {
        "MAGNOLIA_SETTINGS": None,
        "MAGNOLIA_ADMIN_TOKEN": None,
    }
    variables.update(environment)
    return CliRunner().invoke(app, arguments, env=variables)


def test_status_shows_the_node(running: RunningNode) -> None:
    """Guards against a status that hides a rejected version or zone."""
    result = magnolia("status", "--admin", f"127.0.0.1:{running.port}")
    assert result.exit_code == 0
    for expected in (
        "state      ready",
        "version    7 (abababababab)",
        "rejected   8 (cdcdcdcdcdcd): bad zone",
        "members    3 alive, 1 dead",
        "zones out  rawdon",
        "upstream   4 of 12 requests, 0 queued, ramp 100%",
        "a-3        berthier  7        120 ms",
        "retries  2",
    ):
        assert expected in result.stdout
    running.node.ready = False
    result = magnolia("status", "--admin", f"127.0.0.1:{running.port}")
    assert result.exit_code == 1
    assert "not ready" in result.stdout


def test_history_and_routes_as_tables_and_json(running: RunningNode) -> None:
    """Guards against output that scripts or operators cannot read."""
    admin = ("--admin", f"http://127.0.0.1:{running.port}/")
    assert "config_applied" in magnolia("history", *admin).stdout
    entries = json.loads(magnolia("history", "--json", *admin).stdout)
    assert entries[0]["version_number"] == 7
    assert "Marie" in magnolia("routes", *admin).stdout
    routes = json.loads(magnolia("routes", "--json", *admin).stdout)
    assert routes["routes"][0]["targets"] == {"commissions": 1}


def test_drain_needs_the_token(running: RunningNode) -> None:
    """Guards against a drain that is refused without an explanation."""
    admin = ("--admin", f"127.0.0.1:{running.port}")
    refused = magnolia("drain", *admin)
    assert refused.exit_code == 4
    assert "MAGNOLIA_ADMIN_TOKEN" in refused.stderr
    assert running.node.drains == 0
    done = magnolia("drain", *admin, MAGNOLIA_ADMIN_TOKEN=TOKEN)
    assert done.exit_code == 0
    assert running.node.drains == 1


def test_settings_file_gives_address_and_token(
    running: RunningNode, tmp_path: pathlib.Path
) -> None:
    """Guards against an address or token that must be given again."""
    path = tmp_path / "node.yaml"
    path.write_text(
        "instance: {instance_id: a-1, service: a, zone: z, region: r}\n"
        "listen: {host: 10.0.0.1, peer_port: 1, ingress_port: 2,"
        f" admin_port: {running.port}}}\n"
        'upstream: {url: "http://127.0.0.1:5000"}\n'
        'source: {url: "http://10.0.0.5:2400"}\ntls: {mode: off}\n'
        f"admin_token: {TOKEN!r}\n"
    )
    assert magnolia("drain", MAGNOLIA_SETTINGS=str(path)).exit_code == 0
    path.write_text("logs: 1")
    broken = magnolia("status", "--settings", str(path))
    assert broken.exit_code == 1
    assert "line 1, column 7" in broken.stderr


def test_unreachable_node_is_exit_code_3() -> None:
    """Guards against a traceback when a node is down."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
        result = magnolia("status", "--admin", address)
    assert result.exit_code == 3
    assert f"no node answers at http://{address}" in result.stderr
    assert magnolia("status", "--admin", "http://").exit_code == 3


def test_other_server_is_reported_as_such(running: RunningNode) -> None:
    """Guards against a wrong port that looks like a broken node."""
    address = f"http://127.0.0.1:{running.port}/healthz?"
    result = magnolia("status", "--admin", address)
    assert result.exit_code == 3
    assert "is not an admin listener" in result.stderr


def test_watch_continues_while_the_node_is_unreachable(
    running: RunningNode, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a watch that ends when the node restarts."""
    monkeypatch.setattr(node, "WATCH_INTERVAL_S", 0.01)

    async def watch_s(url: str, seconds: float) -> tuple[str, str]:
        output, errors = io.StringIO(), io.StringIO()
        watch = node.watch_status(
            AdminTarget(url), output, errors, as_json=False
        )
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(watch, seconds)
        return output.getvalue(), errors.getvalue()

    url = f"http://127.0.0.1:{running.port}"
    output, errors = asyncio.run(watch_s(url, 0.5))
    assert output.count("state      ready") >= 2
    assert errors == ""
    output, errors = asyncio.run(watch_s("http://127.0.0.1:1", 0.5))
    assert errors.count("no node answers") >= 2


def test_missing_address_is_wrong_usage() -> None:
    """Guards against a command that silently asks another node."""
    result = magnolia("status")
    assert result.exit_code == 2
    assert "--settings" in result.stderr


def test_rules_commands_take_their_arguments(tmp_path: pathlib.Path) -> None:
    """Guards against options that are passed in a wrong order."""
    old, new = tmp_path / "old", tmp_path / "new"
    old.write_text(
        "service a slots=1 connections=9  # Ana\nroute GET * /a -> a  # Ana\n"
    )
    new.write_text(old.read_text() + "route GET h /b -> a  # Bo\n")
    out = str(tmp_path / "out")
    assert magnolia("check", str(old)).exit_code == 0
    build = magnolia("build", str(old), "--out", out, "--version-number", "4")
    assert "version 4" in build.stdout
    after = magnolia(
        "build", str(new), "--out", out, "--after", f"{out}/manifest"
    )
    assert "version 5" in after.stdout
    assert magnolia("diff", str(old), str(new)).exit_code == 1
    assert magnolia("diff", str(new), out).exit_code == 0
    request = ("explain", str(new), "--request", "GET /b")
    assert magnolia(*request).exit_code == 1
    found = magnolia(*request, "--host", "h", "--json")
    assert found.exit_code == 0
    assert "Bo" in found.stdout
    assert magnolia("explain", str(new), "--request", "GET").exit_code == 2
    assert magnolia("check", str(tmp_path / "none")).exit_code == 2
