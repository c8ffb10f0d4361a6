"""Parses a rules file into a document that is not yet validated."""

import dataclasses
from collections.abc import Callable, Mapping

from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.model.rules import (
    Priority,
    RouteRule,
    ServiceRule,
)
from magnoliafork.rules.document import (
    DrainRule,
    Kind,
    RuleDocument,
    RuleRef,
    ZoneRule,
)
from magnoliafork.rules.errors import RuleError
from magnoliafork.rules.format1 import limits
from magnoliafork.rules.lexer import Line, Token, lex
from magnoliafork.rules.line_parser import SYNTAX, LineParser
from magnoliafork.rules.values import ROUTE_SETTINGS, SERVICE_SETTINGS

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

DEFAULT_PRIORITY = Priority.NORMAL
DEFAULT_RAMP_MS = 10_000
DEFAULT_RAMP_START = 1
DEFAULT_DEADLINE_MS = 1_000
DEFAULT_RETRIES = 2
DEFAULT_HEDGE_MS = 0

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
    positions: Mapping[RuleRef, Positions]


@dataclasses.dataclass(frozen=True, slots=True)
class ParseOutcome:
    """Result of parsing a file that may have syntax errors.

    Attributes:
        file: The rules of all lines that could be parsed; a value that could
            not be parsed is replaced by a placeholder.
        errors: Syntax errors.
        unparsed_names: Names that the lines that could not be parsed may
            define.
    """

    file: ParsedFile
    errors: tuple[RuleError, ...]
    unparsed_names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class _RouteDraft:
    """A parsed route that may still take the priority of its first target."""

    route: RouteRule
    has_priority: bool


def parse(text: str) -> Result[ParsedFile, RuleError]:
    """Parses a rules file and reports all syntax errors at once."""
    outcome = parse_with_recovery(text)
    if outcome.errors:
        return Err(outcome.errors)
    return Ok(outcome.file)


def parse_with_recovery(text: str) -> ParseOutcome:
    """Parses a rules file and continues after lines with syntax errors."""
    parser = _FileParser()
    for line in lex(text):
        parser.parse_line(line)
    return parser.finish()


class _FileParser:
    """Collects the rules of a file line by line."""

    def __init__(self) -> None:
        self._zones: list[ZoneRule] = []
        self._services: list[ServiceRule] = []
        self._routes: list[_RouteDraft] = []
        self._drains: list[DrainRule] = []
        self._positions: dict[RuleRef, Positions] = {}
        self._errors: list[RuleError] = []
        self._unparsed_names: set[str] = set()
        self._rule_parsers: dict[str, Callable[[LineParser], bool]] = {
            "zone": self._parse_zone,
            "service": self._parse_service,
            "route": self._parse_route,
            "drain": self._parse_drain,
        }

    def parse_line(self, line: Line) -> None:
        parser = LineParser(line)
        parse_rule = self._rule_parsers.get(line.words[0].text)
        if parse_rule is None:
            parser.report_unknown("rule", line.words[0], tuple(SYNTAX))
            is_parsed = False
        else:
            is_parsed = parse_rule(parser)
        self._errors.extend(parser.errors)
        if not is_parsed and len(line.words) > 1:
            self._unparsed_names.add(line.words[1].text)

    def finish(self) -> ParseOutcome:
        priorities = {item.name: item.priority for item in self._services}
        document = RuleDocument(
            tuple(self._zones),
            tuple(self._services),
            tuple(_with_priority(item, priorities) for item in self._routes),
            tuple(self._drains),
        )
        return ParseOutcome(
            ParsedFile(document, self._positions),
            tuple(self._errors),
            frozenset(self._unparsed_names),
        )

    def _parse_zone(self, parser: LineParser) -> bool:
        name = parser.take("name", "a zone name")
        state = parser.take_optional("state")
        if state is not None and state.text != "out":
            parser.report_unknown("zone state", state, ("out",))
        parser.expect_end()
        origin = parser.origin()
        if name is None:
            return False
        self._add_position(Kind.ZONE, len(self._zones), parser)
        self._zones.append(ZoneRule(name.text, state is not None, origin))
        return True

    def _parse_drain(self, parser: LineParser) -> bool:
        name = parser.take("name", "an instance id")
        parser.expect_end()
        origin = parser.origin()
        if name is None:
            return False
        self._add_position(Kind.DRAIN, len(self._drains), parser)
        self._drains.append(DrainRule(name.text, origin))
        return True

    def _parse_service(self, parser: LineParser) -> bool:
        name = parser.take("name", "a service name")
        settings = parser.settings(SERVICE_SETTINGS)
        for key in ("slots", "connections"):
            if not parser.has_setting(key):
                parser.report_missing(f"{key} is missing", f"{key}=NUMBER")
        origin = parser.origin()
        if name is None:
            return False
        # Values that could not be parsed are already reported. Their
        # placeholders are chosen so that they cause no errors in the checks
        # of the other values.
        connections = settings.get("connections", limits.MAX_CONNECTIONS)
        any_slots = max(1, min(connections, limits.MAX_SLOTS))
        slots = settings.get("slots", any_slots)
        rule = ServiceRule(
            name=name.text,
            slots=slots,
            connections=connections,
            queue=settings.get("queue", slots),
            priority=Priority(settings.get("priority", DEFAULT_PRIORITY)),
            ramp_s=settings.get("ramp", DEFAULT_RAMP_MS) / 1000,
            ramp_start=settings.get("ramp-start", DEFAULT_RAMP_START),
            origin=origin,
        )
        self._add_position(Kind.SERVICE, len(self._services), parser)
        self._services.append(rule)
        return True

    def _parse_route(self, parser: LineParser) -> bool:
        method = parser.take("method", "a method")
        host = parser.take("host", "a host")
        path = parser.take("path", "a path")
        targets = parser.targets()
        settings = parser.settings(ROUTE_SETTINGS)
        origin = parser.origin()
        if method is None or host is None or path is None or not targets:
            return False
        # As for services, the placeholder of a value that could not be
        # parsed must not cause an error about `hedge`.
        repeatable = method.text in REPEATABLE_METHODS or parser.has_setting(
            "repeatable"
        )
        deadline_ms = DEFAULT_DEADLINE_MS
        if parser.has_setting("deadline"):
            deadline_ms = limits.MAX_DEADLINE_MS
        rule = RouteRule(
            method=method.text,
            host=host.text,
            path=path.text,
            targets=targets,
            repeatable=bool(settings.get("repeatable", repeatable)),
            deadline_ms=settings.get("deadline", deadline_ms),
            retries=settings.get("retries", DEFAULT_RETRIES),
            hedge_ms=settings.get("hedge", DEFAULT_HEDGE_MS),
            priority=Priority(settings.get("priority", DEFAULT_PRIORITY)),
            origin=origin,
        )
        self._add_position(Kind.ROUTE, len(self._routes), parser)
        self._routes.append(_RouteDraft(rule, "priority" in settings))
        return True

    def _add_position(self, kind: Kind, index: int, parser: LineParser) -> None:
        self._positions[RuleRef(kind, index)] = parser.positions


def _with_priority(
    draft: _RouteDraft, priorities: Mapping[str, Priority]
) -> RouteRule:
    if draft.has_priority:
        return draft.route
    first = draft.route.targets[0].service
    priority = priorities.get(first, DEFAULT_PRIORITY)
    return dataclasses.replace(draft.route, priority=priority)
