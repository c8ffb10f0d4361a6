"""Differences between the rules of two versions."""

import dataclasses

from magnoliafork.rules import render
from magnoliafork.rules.document import RuleDocument


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """A rule that only the new version has."""

    rule: render.Rule


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A rule that only the old version has."""

    rule: render.Rule


@dataclasses.dataclass(frozen=True, slots=True)
class SettingChange:
    """Old and new value of one setting of a rule."""

    name: str
    old: str
    new: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A rule that both versions have with different settings.

    Attributes:
        old: The rule in the old version.
        new: The rule in the new version.
        settings: Changed settings; the comment appears as `asked by`.
    """

    old: render.Rule
    new: render.Rule
    settings: tuple[SettingChange, ...]


Change = Added | Removed | Changed


def diff(old: RuleDocument, new: RuleDocument) -> tuple[Change, ...]:
    """Returns the changed rules; the order of the lines is ignored."""
    old_rules = {render.key(rule): rule for rule in render.all_rules(old)}
    new_rules = {render.key(rule): rule for rule in render.all_rules(new)}
    changes: list[Change] = [
        Removed(rule) for key, rule in old_rules.items() if key not in new_rules
    ]
    for key, rule in new_rules.items():
        old_rule = old_rules.get(key)
        if old_rule is None:
            changes.append(Added(rule))
            continue
        settings = _changed_settings(old_rule, rule)
        if settings:
            changes.append(Changed(old_rule, rule, settings))
    return tuple(changes)


def _changed_settings(
    old: render.Rule, new: render.Rule
) -> tuple[SettingChange, ...]:
    old_values = _values(old)
    new_values = _values(new)
    return tuple(
        SettingChange(name, old_values[name], value)
        for name, value in new_values.items()
        if old_values[name] != value
    )


def _values(rule: render.Rule) -> dict[str, str]:
    return {**render.settings(rule), "asked by": rule.origin.asked_by}
