"""Checks the rules of a file and adds the position to each error."""

from collections.abc import Mapping

from magnoliafork.rules.document import Kind, RuleRef
from magnoliafork.rules.errors import RuleError, closest_name
from magnoliafork.rules.format1.check import Problem, check_document
from magnoliafork.rules.lexer import Token
from magnoliafork.rules.parser import ParsedFile, Positions

# Finding a suggestion compares a name with every service, which takes about
# 0.1 s per 1,000 services.
_MAX_SUGGESTIONS = 50


def validate(
    file: ParsedFile, unparsed_names: frozenset[str] = frozenset()
) -> tuple[RuleError, ...]:
    """Returns the errors of all rules, in order of their position.

    Args:
        file: Rules to check.
        unparsed_names: Names that lines with syntax errors may define. A
            reference to one of them is not reported as unknown, and they
            are candidates for suggestions.
    """
    problems = [
        problem
        for problem in check_document(file.document)
        if not problem.unknown_name
        or problem.unknown_name not in unparsed_names
    ]
    errors = []
    suggestions: dict[str, str] = {}
    for problem in problems:
        suggestion = _suggestion(problem, unparsed_names, suggestions)
        errors.append(_to_error(problem, file.positions, suggestion))
    return tuple(sorted(errors))


def _suggestion(
    problem: Problem, unparsed_names: frozenset[str], cache: dict[str, str]
) -> str:
    name = problem.unknown_name
    if name and name not in cache and len(cache) < _MAX_SUGGESTIONS:
        candidates = (*problem.candidates, *sorted(unparsed_names))
        cache[name] = closest_name(name, candidates)
    return cache.get(name, "")


def _to_error(
    problem: Problem,
    positions: Mapping[RuleRef, Positions],
    suggestion: str,
) -> RuleError:
    message = problem.message
    if problem.duplicate_of is not None:
        first_line = positions[problem.duplicate_of]["keyword"].line
        message += f" on line {first_line}"
    if problem.subject.kind is Kind.FILE:
        return RuleError(0, 0, message, problem.allowed, suggestion)
    token = _token(positions[problem.subject], problem.field)
    return RuleError(
        token.line, token.column, message, problem.allowed, suggestion
    )


def _token(positions: Positions, field: str) -> Token:
    return positions.get(field, positions["keyword"])
