"""Lists the value of every setting and where it comes from."""

import dataclasses

import pydantic

from magnoliafork.settings.load import known_settings
from magnoliafork.settings.model import NodeSettings


@dataclasses.dataclass(frozen=True, slots=True)
class DescribedSetting:
    """One setting in force.

    Attributes:
        name: Dotted name.
        value: Value as text; secrets are masked.
        origin: Where the value comes from.
    """

    name: str
    value: str
    origin: str


def describe(settings: NodeSettings) -> list[DescribedSetting]:
    """Lists all settings in the order of the sections."""
    described = []
    for name in known_settings():
        value: object = settings
        for step in name.split("."):
            value = getattr(value, step)
        origin = str(settings.place_of(name))
        described.append(DescribedSetting(name, _to_text(value), origin))
    return described


def _to_text(value: object) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, pydantic.SecretStr):
        return "(set)"
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value) or "-"
    return str(value)
