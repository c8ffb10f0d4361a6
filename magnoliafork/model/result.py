"""Result type: a value or a list of typed errors, instead of exceptions."""

import dataclasses
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E")


@dataclasses.dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """Result of a computation that succeeded."""

    value: T


@dataclasses.dataclass(frozen=True, slots=True)
class Err(Generic[E]):
    """Result of a computation that failed, with all errors found."""

    errors: tuple[E, ...]


Result = Ok[T] | Err[E]
