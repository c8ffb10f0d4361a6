"""HTTP client of the platform's configuration service."""

import aiohttp

from magnoliafork.source.api import (
    ReadOutcome,
    SourceUnavailable,
    SourceUnchanged,
    SourceValue,
    SourceValueMissing,
    WatchOutcome,
)

MAX_VALUE_BYTES = 1_000_000
REVISION_HEADER = "X-Revision"
_CHUNK_BYTES = 65_536


class HttpConfigSource:
    """Reads and watches values with `GET`.

    A value without a revision header or above the size limit counts as
    unavailable, so that a faulty server does not change the configuration.
    """

    def __init__(
        self, base_url: str, session: aiohttp.ClientSession, timeout_s: float
    ) -> None:
        """Creates a source.

        Args:
            base_url: Address of the service without the `/v1` path.
            session: HTTP session; it is never closed here.
            timeout_s: Limit for a read, and for a watch beyond its wait.
        """
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout_s = timeout_s

    async def read(self, key: str) -> ReadOutcome:
        """Reads one value."""
        url = f"{self._base_url}/v1/values/{key}"
        outcome = await self._get(url, {}, self._timeout_s)
        if isinstance(outcome, SourceUnchanged):
            return SourceUnavailable("status 304 for a read")
        return outcome

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> WatchOutcome:
        """Waits for a revision above the given one."""
        url = f"{self._base_url}/v1/watch/{key}"
        query = {"after": str(after_revision), "wait_s": f"{wait_s:g}"}
        return await self._get(url, query, wait_s + self._timeout_s)

    async def _get(
        self, url: str, query: dict[str, str], timeout_s: float
    ) -> WatchOutcome:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                url, params=query, timeout=timeout, allow_redirects=False
            ) as response:
                return await _to_outcome(response)
        except TimeoutError:
            return SourceUnavailable(f"no answer within {timeout_s:g} s")
        except (aiohttp.ClientError, OSError) as error:
            return SourceUnavailable(f"{type(error).__name__}: {error}")


async def _to_outcome(response: aiohttp.ClientResponse) -> WatchOutcome:
    if response.status == 304:
        return SourceUnchanged()
    if response.status == 404:
        return SourceValueMissing()
    if response.status != 200:
        return SourceUnavailable(f"status {response.status}")
    revision = response.headers.get(REVISION_HEADER, "")
    if not (revision.isascii() and revision.isdigit()):
        return SourceUnavailable(f"bad {REVISION_HEADER} header")
    content = await _read_limited_body(response)
    if content is None:
        return SourceUnavailable(f"value above {MAX_VALUE_BYTES} bytes")
    return SourceValue(content, int(revision))


async def _read_limited_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Returns the body, or None as soon as it exceeds the limit."""
    body = bytearray()
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        body += chunk
        if len(body) > MAX_VALUE_BYTES:
            response.close()
            return None
    return bytes(body)
