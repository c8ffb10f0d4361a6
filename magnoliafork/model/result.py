"""Success or typed errors, returned as values."""

import dataclasses
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E")


@dataclasses.dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """A computation that succeeded."""

    value: T


@dataclasses.dataclass(frozen=True, slots=True)
class Err(Generic[E]):
    """A computation that failed, with all the errors found."""

    errors: tuple[E, ...]


Result = Ok[T] | Err[E]
