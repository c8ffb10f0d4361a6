"""Keeps tests that use fixed addresses in one process of a parallel run."""

import pathlib

import pytest

_FOLDERS = ("platform", "soak")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Puts the tests of nodes on fixed addresses into one group."""
    here = pathlib.Path(__file__).parent
    folders = [here / name for name in _FOLDERS]
    for item in items:
        if any(folder in item.path.parents for folder in folders):
            item.add_marker(pytest.mark.xdist_group("fixed addresses"))
