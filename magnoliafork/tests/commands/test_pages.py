"""The commands and names in the user guide must be those of the program."""

import os
import pathlib
import re
import shlex

import pytest
from typer.testing import CliRunner

from magnoliafork.cli import app
from magnoliafork.model.request import NotRunReason, UnknownReason
from magnoliafork.observe.events import Event
from magnoliafork.observe.metrics import CounterName

GUIDE = pathlib.Path(__file__).parents[3] / "docs/user-guide"
PAGES = sorted(GUIDE.glob("*.md"))
BLOCK = re.compile(r"^```(\w+)(?: file=(\S+))?\n(.*?)^```$", re.M | re.S)
NO_VARIABLES: dict[str, str | None] = {
    name: None for name in os.environ if name.startswith("MAGNOLIA_")
}


def magnolia(line: str, *extra: str) -> tuple[int, str]:
    program, *arguments = shlex.split(line)
    assert program == "magnolia"
    result = CliRunner().invoke(app, [*arguments, *extra], env=NO_VARIABLES)
    return result.exit_code, result.output


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_shown_commands_give_the_shown_output(
    page: pathlib.Path,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a page that shows what the program does not do.

    Blocks with a file name are written, `console` blocks are run and compared,
    and the options of the commands in `sh` blocks, which need a running fleet,
    are checked.
    """
    monkeypatch.chdir(tmp_path)
    example = "node.example.yaml"
    pathlib.Path(example).write_text((GUIDE / example).read_text())
    for language, file_name, content in BLOCK.findall(page.read_text()):
        if file_name:
            pathlib.Path(file_name).write_text(content)
        elif language == "console":
            commands = re.findall(r"^\$ (.*)\n", content, re.M)
            shown = "".join(
                f"$ {line}\n{magnolia(line)[1]}" for line in commands
            )
            assert shown == content
        elif language == "sh":
            for line in re.findall(r"^magnolia .*$", content, re.M):
                assert magnolia(line, "--help")[0] == 0, line


@pytest.mark.parametrize(
    ("page", "names"),
    [
        ("troubleshooting", [*NotRunReason, *UnknownReason]),
        ("status-and-traces", [*Event, *CounterName]),
    ],
)
def test_every_name_is_documented(page: str, names: list[str]) -> None:
    """Guards against a name in an answer or log that no page explains."""
    text = (GUIDE / f"{page}.md").read_text()
    assert [name for name in names if f"`{name}`" not in text] == []


def test_links_between_pages_resolve() -> None:
    """Guards against a link to a page that was renamed."""
    for page in PAGES:
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            assert (GUIDE / target).exists(), f"{page.name}: {target}"
