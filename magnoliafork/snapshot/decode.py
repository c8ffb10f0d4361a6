"""Decodes single parts of a version."""

from typing import TypeVar

import pydantic

from magnoliafork.model.manifest import PartRef
from magnoliafork.model.result import Err, Ok, Result
from magnoliafork.rules.document import RuleDocument
from magnoliafork.rules.format1 import check, encode, limits
from magnoliafork.snapshot.errors import (
    ConfigError,
    ConfigErrorKind,
    config_error,
)
from magnoliafork.snapshot.part_models import (
    OperationsModel,
    RoutesModel,
    ServiceModel,
)

# Limits the memory and the log lines that one invalid version can use.
MAX_REPORTED_ERRORS = 100

_Model = TypeVar("_Model", bound=pydantic.BaseModel)


def decode_part(
    ref: PartRef, content: bytes
) -> Result[RuleDocument, ConfigError]:
    """Decodes one part and checks what does not depend on other parts."""
    if len(content) != ref.size_bytes:
        return _invalid(
            ref, f"part has {len(content)} bytes, not {ref.size_bytes}"
        )
    decoded = decode_json(_model_for(ref.name), ref.name, content)
    if isinstance(decoded, Err):
        return decoded
    document = decoded.value.to_document()
    problems = check.check_each_rule(document)
    if problems:
        return Err(
            tuple(
                rule_error(ref.name, problem)
                for problem in problems[:MAX_REPORTED_ERRORS]
            )
        )
    # Rejects rules that belong in a part of another name, empty parts, a wrong
    # order of rules within a part, and JSON that is not canonical.
    if encode.encode_part(ref.name, document) != content:
        return _invalid(ref, "part is not the canonical encoding of its rules")
    return Ok(document)


def _model_for(
    part_name: str,
) -> type[OperationsModel] | type[ServiceModel] | type[RoutesModel]:
    if part_name == limits.OPERATIONS_PART:
        return OperationsModel
    if part_name.startswith(limits.SERVICE_PREFIX):
        return ServiceModel
    return RoutesModel


def rule_error(part: str, problem: check.Problem) -> ConfigError:
    """Returns the error for a problem with a rule in the named part."""
    message = f"{problem.message}; allowed: {problem.allowed}"
    return config_error(ConfigErrorKind.INVALID, part, message)


def decode_json(
    model: type[_Model], part: str, content: bytes
) -> Result[_Model, ConfigError]:
    """Decodes JSON and checks its types and structure."""
    try:
        return Ok(model.model_validate_json(content))
    except pydantic.ValidationError as error:
        return Err(
            tuple(
                config_error(
                    ConfigErrorKind.MALFORMED,
                    part,
                    _describe(detail["loc"], detail["msg"]),
                )
                for detail in error.errors(
                    include_url=False, include_input=False
                )[:MAX_REPORTED_ERRORS]
            )
        )


def _describe(location: tuple[int | str, ...], message: str) -> str:
    if not location:
        return message
    return f"{'.'.join(str(item) for item in location)}: {message}"


def _invalid(ref: PartRef, message: str) -> Err[ConfigError]:
    return Err((config_error(ConfigErrorKind.INVALID, ref.name, message),))
