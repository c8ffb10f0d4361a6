"""Formats rules in the syntax of the rules file, with all defaults."""

from magnoliafork.model.rules import RouteRule, ServiceRule
from magnoliafork.rules.document import DrainRule, RuleDocument, ZoneRule

Rule = ZoneRule | ServiceRule | RouteRule | DrainRule


def all_rules(document: RuleDocument) -> tuple[Rule, ...]:
    """Returns the rules of a document, grouped by kind."""
    return (
        *document.zones,
        *document.services,
        *document.routes,
        *document.drains,
    )


def key(rule: Rule) -> str:
    """Returns the words that identify a rule within a file."""
    match rule:
        case ZoneRule(name=name):
            return f"zone {name}"
        case ServiceRule(name=name):
            return f"service {name}"
        case RouteRule(method=method, host=host, path=path):
            return f"route {method} {host} {path}"
        case DrainRule(instance_id=instance_id):
            return f"drain {instance_id}"


def settings(rule: Rule) -> dict[str, str]:
    """Returns the settings of a rule, without its key and comment."""
    match rule:
        case ZoneRule():
            return {"state": "out" if rule.is_out else "in"}
        case ServiceRule():
            return {
                "slots": str(rule.slots),
                "connections": str(rule.connections),
                "queue": str(rule.queue),
                "priority": rule.priority.name.lower(),
                "ramp": duration(round(rule.ramp_s * 1000)),
                "ramp-start": str(rule.ramp_start),
            }
        case RouteRule():
            return {
                "targets": " ".join(
                    f"{target.service}:{target.weight}"
                    for target in rule.targets
                ),
                "repeatable": "yes" if rule.repeatable else "no",
                "deadline": duration(rule.deadline_ms),
                "retries": str(rule.retries),
                "hedge": duration(rule.hedge_ms),
                "priority": rule.priority.name.lower(),
            }
        case DrainRule():
            return {}


def line(rule: Rule) -> str:
    """Returns the rule as a line of a rules file."""
    words = [key(rule)]
    values = settings(rule)
    if isinstance(rule, ZoneRule):
        words.extend(["out"] if rule.is_out else [])
        values = {}
    if isinstance(rule, RouteRule):
        words.append(f"-> {values.pop('targets')}")
    words.extend(f"{name}={value}" for name, value in values.items())
    return f"{' '.join(words)}  # {rule.origin.asked_by}"


def duration(duration_ms: int) -> str:
    """Returns a duration as a whole number of seconds or milliseconds.

    >>> duration(3000), duration(1500), duration(0)
    ('3s', '1500ms', '0ms')
    """
    if duration_ms and duration_ms % 1000 == 0:
        return f"{duration_ms // 1000}s"
    return f"{duration_ms}ms"
