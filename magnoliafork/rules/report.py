"""Formats differences and explanations as text lines and JSON values."""

import dataclasses
from collections.abc import Iterator

from magnoliafork.rules import diff, explain, render


def change_lines(change: diff.Change) -> Iterator[str]:
    """Yields the lines of text that show a changed rule."""
    match change:
        case diff.Added(rule=rule):
            yield f"+ {render.line(rule)}"
        case diff.Removed(rule=rule):
            yield f"- {render.line(rule)}"
        case diff.Changed(new=rule, settings=settings):
            yield f"~ {render.key(rule)}  # {rule.origin.asked_by}"
            for setting in settings:
                yield f"    {setting.name}: {setting.old} -> {setting.new}"


def change_value(change: diff.Change) -> dict[str, object]:
    """Returns a changed rule as a JSON value."""
    match change:
        case diff.Added(rule=rule):
            return {"change": "added", **_rule_value(rule)}
        case diff.Removed(rule=rule):
            return {"change": "removed", **_rule_value(rule)}
        case diff.Changed(new=rule, settings=settings):
            return {
                "change": "changed",
                "rule": render.key(rule),
                "asked_by": rule.origin.asked_by,
                "settings": [dataclasses.asdict(item) for item in settings],
            }


def _rule_value(rule: render.Rule) -> dict[str, object]:
    value: dict[str, object] = {
        "rule": render.key(rule),
        "asked_by": rule.origin.asked_by,
        "settings": render.settings(rule),
    }
    if rule.origin.line:
        value["line"] = rule.origin.line
    return value


def explanation_lines(
    explanation: explain.Explanation,
) -> Iterator[str]:
    """Yields the lines of text that show an explanation."""
    if isinstance(explanation, explain.NoRoute):
        yield "no route matches"
        if explanation.methods:
            methods = ", ".join(explanation.methods)
            yield f"  this host and path have a route for: {methods}"
        if explanation.hosts:
            hosts = ", ".join(explanation.hosts)
            yield f"  this method and path have a route on: {hosts}"
        return
    rule = explanation.route
    yield f"{render.key(rule)}{_line_suffix(rule)}"
    yield f"  asked by: {rule.origin.asked_by}"
    yield f"  matches: {', '.join(explanation.reasons)}"
    for share in explanation.shares:
        yield (
            f"  target: {share.service} {share.percent:g}% "
            f"(asked by: {share.asked_by})"
        )
    for name, value in render.settings(rule).items():
        if name != "targets":
            yield f"  {name}: {value}"
    for lesser in explanation.lesser:
        yield (
            f"  not taken: {render.key(lesser.route)}"
            f"{_line_suffix(lesser.route)}: {lesser.reason}"
        )


def _line_suffix(rule: render.Rule) -> str:
    return f" (line {rule.origin.line})" if rule.origin.line else ""


def explanation_value(
    explanation: explain.Explanation,
) -> dict[str, object]:
    """Returns an explanation as a JSON value."""
    if isinstance(explanation, explain.NoRoute):
        return {
            "ok": False,
            "methods": explanation.methods,
            "hosts": explanation.hosts,
        }
    return {
        "ok": True,
        **_rule_value(explanation.route),
        "reasons": explanation.reasons,
        "shares": [dataclasses.asdict(item) for item in explanation.shares],
        "not_taken": [
            {**_rule_value(item.route), "reason": item.reason}
            for item in explanation.lesser
        ],
    }
