"""Parses a rules file into a document whose values are not yet checked."""

import dataclasses
import re
from collections.abc import Callable, Mapping, Sequence

from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.model.rules import (
    Origin,
    Priority,
    RouteRule,
    ServiceRule,
    WeightedTarget,
)
from magnoliafork.rules.document import (
    DrainRule,
    Kind,
    RuleDocument,
    Subject,
    ZoneRule,
)
from magnoliafork.rules.errors import RuleError, closest_name
from magnoliafork.rules.lexer import Line, Token, lex

KEYWORDS = ("zone", "service", "route", "drain")
ARROW = "->"
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

DEFAULT_PRIORITY = Priority.NORMAL
DEFAULT_RAMP_MS = 10_000
DEFAULT_RAMP_START = 1
DEFAULT_WEIGHT = 1
DEFAULT_DEADLINE_MS = 1_000
DEFAULT_RETRIES = 2
DEFAULT_HEDGE_MS = 0

# The largest accepted value, 999,999,999 h in ms, is exact as an integer.
_NUMBER = re.compile(r"[0-9]{1,9}")
_DURATION = re.compile(r"([0-9]{1,9})(ms|s|m|h)")
_UNIT_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}

_COMMENT_RULE = "a comment at the end that names who asked for the rule"

Positions = Mapping[str, Token]


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """Rules of a file with the positions of their fields.

    Attributes:
        document: The rules; defaults are filled in.
        positions: Tokens of each rule by field name; `keyword` is always
            present.
    """

    document: RuleDocument
    positions: Mapping[Subject, Positions]


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Everything learned from a file, even if it has errors.

    Attributes:
        file: The rules of all lines without an error.
        errors: Errors of the other lines.
        unread_names: Names that the other lines may define.
    """

    file: ParsedFile
    errors: tuple[RuleError, ...]
    unread_names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _RouteDraft:
    """A route whose priority may still depend on its first target."""

    route: RouteRule
    has_priority: bool


def parse(text: str) -> Result[ParsedFile, RuleError]:
    """Parses a rules file and reports all syntax errors at once."""
    reading = read(text)
    if reading.errors:
        return Err(reading.errors)
    return Ok(reading.file)


def read(text: str) -> Reading:
    """Parses what can be parsed and collects the errors of the rest."""
    reader = _Reader()
    for line in lex(text):
        reader.read_line(line)
    return reader.finish()


class _Reader:
    """Collects the rules of a file line by line."""

    def __init__(self) -> None:
        self._zones: list[ZoneRule] = []
        self._services: list[ServiceRule] = []
        self._routes: list[_RouteDraft] = []
        self._drains: list[DrainRule] = []
        self._positions: dict[Subject, Positions] = {}
        self._errors: list[RuleError] = []
        self._unread_names: set[str] = set()
        self._parsers: dict[str, Callable[[_LineParser], None]] = {
            "zone": self._read_zone,
            "service": self._read_service,
            "route": self._read_route,
            "drain": self._read_drain,
        }

    def read_line(self, line: Line) -> None:
        parser = _LineParser(line)
        read_rule = self._parsers.get(line.words[0].text)
        if read_rule is None:
            parser.fail_choice("rule", line.words[0], KEYWORDS)
        else:
            read_rule(parser)
        if parser.errors:
            self._errors.extend(parser.errors)
            if len(line.words) > 1:
                self._unread_names.add(line.words[1].text)

    def finish(self) -> Reading:
        priorities = {item.name: item.priority for item in self._services}
        document = RuleDocument(
            tuple(self._zones),
            tuple(self._services),
            tuple(_with_priority(item, priorities) for item in self._routes),
            tuple(self._drains),
        )
        return Reading(
            ParsedFile(document, self._positions),
            tuple(self._errors),
            frozenset(self._unread_names),
        )

    def _read_zone(self, parser: "_LineParser") -> None:
        name = parser.take("name", "a zone name")
        state = parser.take_optional("state")
        if state is not None and state.text != "out":
            parser.fail_choice("zone state", state, ("out",))
        parser.expect_end()
        origin = parser.origin()
        if name is None or parser.errors:
            return
        self._add_position(Kind.ZONE, len(self._zones), parser)
        self._zones.append(ZoneRule(name.text, state is not None, origin))

    def _read_drain(self, parser: "_LineParser") -> None:
        name = parser.take("name", "an instance id")
        parser.expect_end()
        origin = parser.origin()
        if name is None or parser.errors:
            return
        self._add_position(Kind.DRAIN, len(self._drains), parser)
        self._drains.append(DrainRule(name.text, origin))

    def _read_service(self, parser: "_LineParser") -> None:
        name = parser.take("name", "a service name")
        settings = parser.settings(_SERVICE_SETTINGS)
        for key in ("slots", "connections"):
            if key not in settings and not parser.has_setting(key):
                parser.fail_end(f"{key} is missing", f"{key}=NUMBER")
        origin = parser.origin()
        if name is None or parser.errors:
            return
        slots = settings["slots"]
        rule = ServiceRule(
            name=name.text,
            slots=slots,
            connections=settings["connections"],
            queue=settings.get("queue", slots),
            priority=Priority(settings.get("priority", DEFAULT_PRIORITY)),
            ramp_s=settings.get("ramp", DEFAULT_RAMP_MS) / 1000,
            ramp_start=settings.get("ramp-start", DEFAULT_RAMP_START),
            origin=origin,
        )
        self._add_position(Kind.SERVICE, len(self._services), parser)
        self._services.append(rule)

    def _read_route(self, parser: "_LineParser") -> None:
        method = parser.take("method", "a method")
        host = parser.take("host", "a host")
        path = parser.take("path", "a path")
        targets = parser.targets()
        settings = parser.settings(_ROUTE_SETTINGS)
        origin = parser.origin()
        if method is None or host is None or path is None or parser.errors:
            return
        repeatable = settings.get(
            "repeatable", method.text in REPEATABLE_METHODS
        )
        rule = RouteRule(
            method=method.text,
            host=host.text,
            path=path.text,
            targets=targets,
            repeatable=bool(repeatable),
            deadline_ms=settings.get("deadline", DEFAULT_DEADLINE_MS),
            retries=settings.get("retries", DEFAULT_RETRIES),
            hedge_ms=settings.get("hedge", DEFAULT_HEDGE_MS),
            priority=Priority(settings.get("priority", DEFAULT_PRIORITY)),
            origin=origin,
        )
        self._add_position(Kind.ROUTE, len(self._routes), parser)
        self._routes.append(_RouteDraft(rule, "priority" in settings))

    def _add_position(
        self, kind: Kind, index: int, parser: "_LineParser"
    ) -> None:
        self._positions[Subject(kind, index)] = parser.positions


class _LineParser:
    """Consumes the words of one line and records errors and positions."""

    def __init__(self, line: Line) -> None:
        self.errors: list[RuleError] = []
        self.positions: dict[str, Token] = {"keyword": line.words[0]}
        self._line = line
        self._words = list(line.words[1:])
        self._is_cut_short = False

    def take(self, field: str, what: str) -> Token | None:
        """Takes the next word, which must be present."""
        word = self.take_optional(field)
        if word is None and not self._is_cut_short:
            self._is_cut_short = True
            self.fail_end(f"{what} is missing", what)
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
            self._fail(word, f"unexpected {word.text!r}", "a comment")
        self._words.clear()

    def targets(self) -> tuple[WeightedTarget, ...]:
        """Takes `->` and the targets up to the first setting."""
        if self._is_cut_short:
            return ()
        arrow = self.take("arrow", f"{ARROW} and a target")
        if arrow is None:
            return ()
        if arrow.text != ARROW:
            self._fail(arrow, f"unexpected {arrow.text!r}", ARROW)
            self._words.clear()
            return ()
        targets = []
        while self._words and "=" not in self._words[0].text:
            targets.append(self._target(self._words.pop(0)))
        if not targets:
            self.fail_end("a target is missing", "SERVICE or SERVICE:WEIGHT")
        return tuple(targets)

    def settings(self, readers: Mapping[str, "_ValueReader"]) -> dict[str, int]:
        """Takes all remaining words as KEY=VALUE."""
        values: dict[str, int] = {}
        if self._is_cut_short:
            return values
        for word in self._words:
            key, equals, text = word.text.partition("=")
            if not equals:
                self._fail(word, f"unexpected {word.text!r}", "KEY=VALUE")
                continue
            reader = readers.get(key)
            if reader is None:
                self.fail_choice("setting", word, tuple(readers), key)
                continue
            if key in self.positions:
                self._fail(word, f"{key} is repeated", "each setting once")
                continue
            self.positions[key] = word
            value = reader.read(text)
            if value is None:
                self._fail_value(word, key, text, reader)
            else:
                values[key] = value
        self._words.clear()
        return values

    def has_setting(self, key: str) -> bool:
        """Tells whether the line has the setting, even with a bad value."""
        return key in self.positions or self._is_cut_short

    def origin(self) -> Origin:
        """Returns the comment, which must be present."""
        comment = self._line.comment
        if comment is None or not comment.text:
            self.fail_end("the comment is missing", _COMMENT_RULE)
            return Origin(self._line.number, "")
        self.positions["comment"] = comment
        return Origin(self._line.number, comment.text)

    def fail_end(self, message: str, allowed: str) -> None:
        """Reports something that is missing before the comment."""
        last = self._line.words[-1]
        column = last.column + len(last.text)
        self.errors.append(
            RuleError(self._line.number, column, message, allowed)
        )

    def fail_choice(
        self,
        what: str,
        word: Token,
        choices: Sequence[str],
        given: str | None = None,
    ) -> None:
        """Reports a word that is not one of the choices."""
        name = word.text if given is None else given
        self._fail(
            word,
            f"unknown {what} {name!r}",
            ", ".join(choices),
            closest_name(name, choices),
        )

    def _fail_value(
        self, word: Token, key: str, text: str, reader: "_ValueReader"
    ) -> None:
        value = dataclasses.replace(word, column=word.column + len(key) + 1)
        self._fail(
            value,
            f"bad value {text!r} for {key}",
            reader.allowed,
            closest_name(text, reader.choices),
        )

    def _target(self, word: Token) -> WeightedTarget:
        service, colon, weight_text = word.text.partition(":")
        self.positions.setdefault("targets", word)
        self.positions[f"target {service}"] = word
        weight = _read_number(weight_text) if colon else DEFAULT_WEIGHT
        if weight is None:
            self._fail(
                word, f"bad weight {weight_text!r}", "SERVICE:WHOLE_NUMBER"
            )
            weight = DEFAULT_WEIGHT
        return WeightedTarget(service, weight)

    def _fail(
        self, word: Token, message: str, allowed: str, suggestion: str = ""
    ) -> None:
        self.errors.append(
            RuleError(word.line, word.column, message, allowed, suggestion)
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _ValueReader:
    """Reads the value of a setting as an integer."""

    read: Callable[[str], int | None]
    allowed: str
    choices: tuple[str, ...] = ()


def _with_priority(
    draft: _RouteDraft, priorities: Mapping[str, Priority]
) -> RouteRule:
    if draft.has_priority:
        return draft.route
    first = draft.route.targets[0].service
    priority = priorities.get(first, DEFAULT_PRIORITY)
    return dataclasses.replace(draft.route, priority=priority)


def _read_number(text: str) -> int | None:
    return int(text) if _NUMBER.fullmatch(text) else None


def _read_duration_ms(text: str) -> int | None:
    """Reads a duration in milliseconds.

    >>> _read_duration_ms("3s"), _read_duration_ms("3")
    (3000, None)
    """
    match = _DURATION.fullmatch(text)
    if match is None:
        return None
    return int(match.group(1)) * _UNIT_MS[match.group(2)]


def _choice_reader(choices: Mapping[str, int]) -> _ValueReader:
    return _ValueReader(choices.get, ", ".join(choices), tuple(choices))


_NUMBER_READER = _ValueReader(
    _read_number, "a whole number of at most 9 digits"
)
_DURATION_READER = _ValueReader(
    _read_duration_ms, "a whole number with ms, s, m or h, such as 800ms"
)
_PRIORITY_READER = _choice_reader(
    {priority.name.lower(): priority for priority in Priority}
)

_SERVICE_SETTINGS = {
    "slots": _NUMBER_READER,
    "connections": _NUMBER_READER,
    "queue": _NUMBER_READER,
    "priority": _PRIORITY_READER,
    "ramp": _DURATION_READER,
    "ramp-start": _NUMBER_READER,
}
_ROUTE_SETTINGS = {
    "repeatable": _choice_reader({"yes": 1, "no": 0}),
    "deadline": _DURATION_READER,
    "retries": _NUMBER_READER,
    "hedge": _DURATION_READER,
    "priority": _PRIORITY_READER,
}
