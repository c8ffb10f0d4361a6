"""Checks the rules of a file and places each error on its line."""

from collections.abc import Mapping

from magnoliafork.rules.document import Kind, RuleRef
from magnoliafork.rules.errors import RuleError, closest_name
from magnoliafork.rules.format1.check import Problem, check_document
from magnoliafork.rules.lexer import Token
from magnoliafork.rules.parser import ParsedFile, Positions

# A suggestion compares a name with every service, which takes about 0.1 s
# per 1,000 services.
_MAX_SUGGESTIONS = 50


def validate(
    file: ParsedFile, unread_names: frozenset[str] = frozenset()
) -> tuple[RuleError, ...]:
    """Returns the errors of all rules, in order of their position.

    Args:
        file: Rules to check.
        unread_names: Names that lines with syntax errors may define; a
            reference to one of them is no error, and they are suggested
            for misspelt names.
    """
    problems = [
        problem
        for problem in check_document(file.document)
        if not problem.given or problem.given not in unread_names
    ]
    errors = []
    suggestions: dict[str, str] = {}
    for problem in problems:
        suggestion = _suggestion(problem, unread_names, suggestions)
        errors.append(_to_error(problem, file.positions, suggestion))
    return tuple(sorted(errors))


def _suggestion(
    problem: Problem, unread_names: frozenset[str], known: dict[str, str]
) -> str:
    given = problem.given
    if given and given not in known and len(known) < _MAX_SUGGESTIONS:
        candidates = (*problem.candidates, *sorted(unread_names))
        known[given] = closest_name(given, candidates)
    return known.get(given, "")


def _to_error(
    problem: Problem,
    positions: Mapping[RuleRef, Positions],
    suggestion: str,
) -> RuleError:
    message = problem.message
    if problem.first is not None:
        first_line = positions[problem.first]["keyword"].line
        message += f" on line {first_line}"
    if problem.subject.kind is Kind.FILE:
        return RuleError(0, 0, message, problem.allowed, suggestion)
    token = _token(positions[problem.subject], problem.field)
    return RuleError(
        token.line, token.column, message, problem.allowed, suggestion
    )


def _token(positions: Positions, field: str) -> Token:
    return positions.get(field, positions["keyword"])
