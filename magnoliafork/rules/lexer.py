"""Splits a rules file into lines of tokens with their positions."""

import dataclasses
import re

_WORD = re.compile(r"[^ \t#]+")


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """A word of the rules file.

    Attributes:
        text: Text of the word.
        line: Line number from 1.
        column: Column of the first character, from 1.
    """

    text: str
    line: int
    column: int


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A line of the file that holds a rule.

    Attributes:
        number: Line number from 1.
        words: Words before the comment, at least one.
        comment: Comment without `#` and surrounding spaces and tabs, or None.
        end_column: Column after the last character of the line.
    """

    number: int
    words: tuple[Token, ...]
    comment: Token | None
    end_column: int


def lex(text: str) -> tuple[Line, ...]:
    """Returns the lines that hold a rule.

    A `#` starts a comment, also within a word.

    >>> [line] = lex("zone joliette   # Ops")
    >>> [word.text for word in line.words], line.comment
    (['zone', 'joliette'], Token(text='Ops', line=1, column=19))
    """
    lines = []
    for number, raw in enumerate(text.split("\n"), start=1):
        line = _lex_line(number, raw.removesuffix("\r"))
        if line.words:
            lines.append(line)
    return tuple(lines)


def _lex_line(number: int, raw: str) -> Line:
    code, hash_sign, rest = raw.partition("#")
    words = tuple(
        Token(match.group(), number, match.start() + 1)
        for match in _WORD.finditer(code)
    )
    comment = None
    if hash_sign:
        content = rest.lstrip(" \t")
        column = len(raw) - len(content) + 1
        comment = Token(content.rstrip(" \t"), number, column)
    return Line(number, words, comment, len(raw) + 1)
