"""Tests of loading settings: values, origins and errors with positions."""

import pathlib
import re

import pytest
import yaml

from magnoliafork.model.result import Err, Ok
from magnoliafork.settings.describe import describe
from magnoliafork.settings.load import known_settings, load
from magnoliafork.settings.model import NodeSettings

EXAMPLE = (
    pathlib.Path(__file__).parents[3] / "docs/user-guide/node.example.yaml"
)
MINIMAL = """\
instance: {instance_id: a-1, service: a, zone: z, region: r}
listen: {host: 10.0.0.1, peer_port: 1, ingress_port: 2, admin_port: 3}
upstream: {url: "http://127.0.0.1:5000"}
source: {url: "http://10.0.0.5:2400"}
tls: {mode: off}
"""


def loaded(
    text: str, environment: dict[str, str] | None = None
) -> NodeSettings:
    result = load(text, environment or {})
    assert isinstance(result, Ok), result
    return result.value


def errors_of(
    text: str, environment: dict[str, str] | None = None
) -> list[str]:
    result = load(text, environment or {})
    assert isinstance(result, Err), result
    return [str(error) for error in result.errors]


def test_example_file_loads_as_shipped() -> None:
    """Guards against an example that a new operator cannot start with."""
    settings = loaded(EXAMPLE.read_text())
    assert str(settings.peers.seeds[0]) == "commissions-2@10.0.2.11:7101"


def test_example_file_shows_every_setting_with_its_default() -> None:
    """Guards against an example without all settings or with wrong defaults."""
    text = EXAMPLE.read_text()
    uncommented = re.sub(r"(?m)^(\s*)# ([a-z_]+:( .*)?)$", r"\1\2", text)
    shown = yaml.safe_load(uncommented)
    plain = loaded(text)
    for name, field in known_settings().items():
        section, _, key = name.rpartition(".")
        value = shown[section][key] if section else shown[key]
        if name in ("traces.otlp_url", "admin_token") or section == "tls":
            continue
        if not field.is_required() and name != "peers.seeds":
            assert value == getattr(getattr(plain, section), key), name


def test_all_errors_are_reported_with_their_positions() -> None:
    """Guards against a node that reports only the first error at its start."""
    text = (
        "instance: {instance_id: a-1, service: a, zone: z, region: 7}\n"
        "listen:\n"
        "  host: example.org\n"
        "  peer_prot: 70000\n"
        "  ingress_port: 70000\n"
        "  admin_port: yes\n"
        "logs:\n"
        "  level: loud\n"
        "source: {url: ftp://x}\n"
        "peers: {seeds: [a-2, a-3@10.0.0.3:7001]}\n"
        "tls: {mode: off}\n"
    )
    errors = errors_of(text)
    assert errors[0] == (
        "settings: upstream: required; set it here or with MAGNOLIA_UPSTREAM"
    )
    assert errors[1:] == [
        "line 1, column 59: instance.region: must be text; put quotes around"
        " a number",
        "line 2, column 1: listen.peer_port: required; set it here or with"
        " MAGNOLIA_LISTEN__PEER_PORT",
        "line 3, column 9: listen.host: must be an IP address, not"
        " 'example.org'",
        "line 4, column 3: listen.peer_prot: unknown setting (did you mean"
        " peer_port?)",
        "line 5, column 17: listen.ingress_port: must be less than or equal"
        " to 65535",
        "line 6, column 15: listen.admin_port: must not be a boolean",
        "line 8, column 10: logs.level: must be 'debug', 'info', 'warning'"
        " or 'error'",
        "line 9, column 15: source.url: must be an http:// or https:// URL"
        " with a host",
        "line 10, column 17: peers.seeds.0: must have the form id@host:port,"
        " not 'a-2'",
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a: [1", "line 1, column 6:"),
        ("- 1", "line 1, column 1: must be a mapping of sections"),
        ("logs: &x {level: info}\ntraces: *x", "line 2, column 9: aliases"),
        ("logs: 2024-99-99", "settings: invalid YAML"),
        (MINIMAL + "logs: 3", "line 6, column 7: logs: must be a mapping"),
        (
            MINIMAL + "logs: {level: info}\nlogs: {level: debug}",
            "line 7, column 1: logs: given twice, first at line 6, column 1",
        ),
        (
            MINIMAL.replace("mode: off", "mode: mutual, ca_file: x"),
            "line 5, column 6: tls: mode mutual needs cert_file, key_file",
        ),
        (
            MINIMAL.replace("5000", "5000/api"),
            "line 3, column 17: upstream.url: must be an http:// URL without",
        ),
        (MINIMAL + "0: 1", "line 6, column 1: 0:"),
        (MINIMAL + "traces: {sampling_ratio: .nan}", "line 6, column 26:"),
    ],
)
def test_invalid_files_give_errors_with_positions(
    text: str, expected: str
) -> None:
    """Guards against a crash, and against silently accepted duplicate keys."""
    assert errors_of(text)[0].startswith(expected)


def test_environment_overrides_the_file() -> None:
    """Guards against an override that is ignored, or not shown as origin."""
    environment = {
        "MAGNOLIA_LISTEN__PEER_PORT": "7009",
        "MAGNOLIA_INSTANCE__ZONE": "on",
        "MAGNOLIA_PEERS__SEEDS": "a-2@10.0.0.2:7001,a-3@[::1]:7002",
        "MAGNOLIA_ADMIN_TOKEN": "0123456789abcdef",
        "MAGNOLIA_SETTINGS": "/etc/magnolia/node.yaml",
        "PATH": "/bin",
    }
    settings = loaded(MINIMAL, environment)
    assert settings.listen.peer_port == 7009
    assert settings.instance.zone == "on"
    assert [seed.host for seed in settings.peers.seeds] == ["10.0.0.2", "::1"]
    described = {line.name: line for line in describe(settings)}
    port = described["listen.peer_port"]
    assert port.origin == "environment MAGNOLIA_LISTEN__PEER_PORT"
    assert described["listen.host"].origin == "line 2, column 16"
    assert described["logs.level"].origin == "default"
    assert described["admin_token"].value == "(set)"
    assert "0123456789abcdef" not in repr(settings)


def test_invalid_environment_variables_are_reported_by_name() -> None:
    """Guards against a mistyped override that is silently ignored."""
    errors = errors_of(
        MINIMAL,
        {"MAGNOLIA_LISTEN__PEER_PROT": "1", "MAGNOLIA_LOGS__LEVEL": "x"},
    )
    assert errors == [
        "environment MAGNOLIA_LISTEN__PEER_PROT: unknown setting"
        " (did you mean MAGNOLIA_LISTEN__PEER_PORT?)",
        "environment MAGNOLIA_LOGS__LEVEL: logs.level: must be 'debug',"
        " 'info', 'warning' or 'error'",
    ]


def test_unquoted_off_is_accepted_for_tls() -> None:
    """Guards against rejecting `off`, which YAML parses as a boolean."""
    assert loaded(MINIMAL).tls.mode == "off"


def test_missing_tls_mode_is_an_error() -> None:
    """Guards against nodes that communicate without TLS by accident."""
    assert any(
        error.startswith("settings: tls: required")
        for error in errors_of(MINIMAL.replace("tls: {mode: off}\n", ""))
    )


def test_one_port_for_two_listeners_is_an_error() -> None:
    """Guards against a node that fails only when it binds its ports."""
    text = MINIMAL.replace("admin_port: 3", "admin_port: 2")
    assert "must be different" in errors_of(text)[0]
