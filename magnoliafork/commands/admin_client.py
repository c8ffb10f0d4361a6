"""Client of a node's admin listener."""

import dataclasses
import json
from collections.abc import Callable
from typing import Any, TypeVar

import aiohttp
import pydantic

from magnoliafork.commands.exit_codes import ExitCode
from magnoliafork.model.result import Err, Ok, Result

REQUEST_TIMEOUT_S = 5.0

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class AdminTarget:
    """Where a node's admin listener is.

    Attributes:
        url: URL without a path, such as `http://127.0.0.1:9101`.
        token: Token for changes, or an empty string.
    """

    url: str
    token: str = dataclasses.field(default="", repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class AdminFailure:
    """Why a request to a node failed.

    Attributes:
        message: Text for the operator.
        exit_code: Exit code of the command.
    """

    message: str
    exit_code: ExitCode


class AdminClient:
    """Requests to one admin listener."""

    def __init__(self, target: AdminTarget) -> None:
        """Creates a client; connections are opened by each request."""
        self._target = target

    async def get(
        self, path: str, model: type[T]
    ) -> Result[tuple[T, Any], AdminFailure]:
        """Returns an answer as a model and as the JSON value it came from."""
        return await self._request("GET", path, _decoder(model))

    async def post(self, path: str) -> Result[Any, AdminFailure]:
        """Asks the node for a change."""
        return await self._request("POST", path, json.loads)

    async def _request(
        self, method: str, path: str, decode: Callable[[bytes], T]
    ) -> Result[T, AdminFailure]:
        headers = {}
        if method == "POST" and self._target.token:
            headers["Authorization"] = f"Bearer {self._target.token}"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method, self._target.url + path, headers=headers
                ) as answer,
            ):
                status, body = answer.status, await answer.read()
        except TimeoutError:
            return self._unreachable(f"no answer in {REQUEST_TIMEOUT_S:g} s")
        except aiohttp.InvalidURL:
            return self._unreachable("the URL is not valid")
        except (aiohttp.ClientError, OSError) as error:
            return self._unreachable(str(error))
        if status in (401, 403):
            return self._refused(body)
        if status != 200:
            return self._not_a_node(f"status {status}")
        try:
            return Ok(decode(body))
        except (ValueError, pydantic.ValidationError):
            return self._not_a_node("the answer has another form")

    def _unreachable(self, detail: str) -> Err[AdminFailure]:
        message = (
            f"no node answers at {self._target.url}: {detail}. Is magnoliad"
            " running, and is this its listen.admin_port?"
        )
        return Err((AdminFailure(message, ExitCode.UNREACHABLE),))

    def _not_a_node(self, detail: str) -> Err[AdminFailure]:
        message = (
            f"{self._target.url} is not an admin listener of magnoliad:"
            f" {detail}"
        )
        return Err((AdminFailure(message, ExitCode.UNREACHABLE),))

    def _refused(self, body: bytes) -> Err[AdminFailure]:
        try:
            detail = str(json.loads(body)["error"])
        except (ValueError, KeyError, TypeError):
            detail = "refused"
        message = (
            f"{self._target.url} refuses the change: {detail}. Set"
            " MAGNOLIA_ADMIN_TOKEN to the node's admin_token."
        )
        return Err((AdminFailure(message, ExitCode.REFUSED),))


def _decoder(model: type[T]) -> Callable[[bytes], tuple[T, Any]]:
    adapter = pydantic.TypeAdapter(model)

    def decode(body: bytes) -> tuple[T, Any]:
        value = json.loads(body)
        return adapter.validate_python(value), value

    return decode
