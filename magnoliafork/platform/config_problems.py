"""Collects all errors of a configuration before it is refused."""

from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


class ConfigProblemsError(ValueError):
    """A configuration is not valid.

    Attributes:
        problems: All errors, each with its place. None shows a key.
    """

    def __init__(self, problems: list[str]) -> None:
        """Creates the error with everything that is wrong."""
        super().__init__("; ".join(problems))
        self.problems = tuple(problems)


def attempt(
    problems: list[str], place: str, decode: Callable[[], T]
) -> T | None:
    """Decodes a part; on failure adds the errors and returns None."""
    try:
        return decode()
    except ConfigProblemsError as error:
        problems += error.problems
    except KeyError as error:
        problems.append(f"{place}: {error.args[0]} is missing")
    # What operators and other writers put there fails in more ways than can be
    # listed.
    except Exception as error:  # noqa: BLE001
        problems.append(f"{place}: {error}")
    return None
