"""Parses the words of one line of a rules file."""

import dataclasses
from collections.abc import Mapping, Sequence

from magnoliafork.model.rules import Origin, WeightedTarget
from magnoliafork.rules.errors import RuleError, closest_name
from magnoliafork.rules.lexer import Line, Token
from magnoliafork.rules.values import ValueReader, read_number

SYNTAX = {
    "zone": "zone NAME [out]",
    "service": "service NAME slots=NUMBER connections=NUMBER [KEY=VALUE]...",
    "route": "route METHOD HOST PATH -> SERVICE[:WEIGHT]... [KEY=VALUE]...",
    "drain": "drain INSTANCE",
}
ARROW = "->"
DEFAULT_WEIGHT = 1

_ALLOWED_COMMENT = "a comment at the end that names who asked for the rule"


class LineParser:
    """Parses one line word by word and records errors and positions."""

    def __init__(self, line: Line) -> None:
        """Starts after the keyword of the line."""
        self.errors: list[RuleError] = []
        self.positions: dict[str, Token] = {"keyword": line.words[0]}
        self._line = line
        self._words = list(line.words[1:])
        self._syntax = SYNTAX.get(line.words[0].text, "")
        # Set once a required word is missing or wrong; what would follow it
        # is then not reported as missing.
        self._stopped_early = False

    def take(self, field: str, description: str) -> Token | None:
        """Takes the next word, which must be present."""
        word = self.take_optional(field)
        if word is None and not self._stopped_early:
            self._stopped_early = True
            self.report_missing(f"{description} is missing", self._syntax)
        return word

    def take_optional(self, field: str) -> Token | None:
        """Takes the next word if there is one."""
        if not self._words:
            return None
        word = self._words.pop(0)
        self.positions[field] = word
        return word

    def expect_end(self) -> None:
        """Reports every word that is left."""
        for word in self._words:
            self._report(word, f"unexpected {word.text!r}", self._syntax)
        self._words.clear()

    def targets(self) -> tuple[WeightedTarget, ...]:
        """Takes `->` and the targets up to the first setting."""
        if self._stopped_early:
            return ()
        arrow = self.take("arrow", f"{ARROW} and a target")
        if arrow is None:
            return ()
        if arrow.text != ARROW:
            self._stopped_early = True
            self._report(arrow, f"unexpected {arrow.text!r}", self._syntax)
            self._words.clear()
            return ()
        targets = []
        while self._words and "=" not in self._words[0].text:
            targets.append(self._target(self._words.pop(0)))
        if not targets:
            self.report_missing("a target is missing", self._syntax)
        return tuple(targets)

    def settings(self, readers: Mapping[str, ValueReader]) -> dict[str, int]:
        """Takes all remaining words as KEY=VALUE."""
        values: dict[str, int] = {}
        if self._stopped_early:
            return values
        for word in self._words:
            key, equals, text = word.text.partition("=")
            if not equals:
                self._report(word, f"unexpected {word.text!r}", "KEY=VALUE")
                continue
            reader = readers.get(key)
            if reader is None:
                self.report_unknown("setting", word, tuple(readers), key)
                continue
            if key in self.positions:
                self._report(word, f"{key} is repeated", "each setting once")
                continue
            column = word.column + len(key) + len(equals)
            position = dataclasses.replace(word, column=column)
            self.positions[key] = position
            value = reader.read(text)
            if value is None:
                self._report(
                    position,
                    f"bad value {text!r} for {key}",
                    reader.allowed,
                    closest_name(text, reader.choices),
                )
            else:
                values[key] = value
        self._words.clear()
        return values

    def has_setting(self, key: str) -> bool:
        """Returns whether the line has the setting, even with a bad value.

        Also true if parsing has stopped before the settings.
        """
        return key in self.positions or self._stopped_early

    def origin(self) -> Origin:
        """Returns the line number and the comment, which is required."""
        comment = self._line.comment
        if comment is None or not comment.text:
            self.report_missing("the comment is missing", _ALLOWED_COMMENT)
            return Origin(self._line.number, "unknown")
        self.positions["comment"] = comment
        return Origin(self._line.number, comment.text)

    def report_missing(self, message: str, allowed: str) -> None:
        """Reports, at the end of the words, that something is missing."""
        last = self._line.words[-1]
        column = last.column + len(last.text)
        self.errors.append(
            RuleError(self._line.number, column, message, allowed)
        )

    def report_unknown(
        self,
        description: str,
        word: Token,
        choices: Sequence[str],
        given: str | None = None,
    ) -> None:
        """Reports a word that is not one of the choices, with a suggestion."""
        name = word.text if given is None else given
        self._report(
            word,
            f"unknown {description} {name!r}",
            ", ".join(choices),
            closest_name(name, choices),
        )

    def _target(self, word: Token) -> WeightedTarget:
        service, colon, weight_text = word.text.partition(":")
        self.positions.setdefault("targets", word)
        self.positions[f"target {service}"] = word
        weight = read_number(weight_text) if colon else DEFAULT_WEIGHT
        if weight is None:
            self._report(
                word, f"bad weight {weight_text!r}", "SERVICE:WHOLE_NUMBER"
            )
            weight = DEFAULT_WEIGHT
        return WeightedTarget(service, weight)

    def _report(
        self, word: Token, message: str, allowed: str, suggestion: str = ""
    ) -> None:
        self.errors.append(
            RuleError(word.line, word.column, message, allowed, suggestion)
        )
