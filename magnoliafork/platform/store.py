"""HTTP client of the platform's store."""

import asyncio
import base64
import dataclasses
import json
import urllib.parse
from typing import Any

from magnoliafork.http_client.client import (
    AnswerTooLarge,
    HttpClient,
    HttpError,
)
from magnoliafork.mesh.model import StoredItem
from magnoliafork.mesh.published_store import HistoryGone, StoreUnavailable
from magnoliafork.mesh.view import ViewDelta
from magnoliafork.platform import names

# The store answers in a few milliseconds; after this time without any bytes it
# counts as unavailable.
READ_TIMEOUT_S = 1.5
# Longest time of an answer whose bytes keep arriving. An answer that is dropped
# on its way is as large the next time, or larger.
MAX_READ_S = 10.0
# Time that a watch may take beyond its requested wait.
WATCH_GRACE_S = 0.8
# A page has about 1 MB of values, and a third more as base64. A watch may hold
# several large configurations.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Pages of about 500 items each; a fleet of 2,300 nodes has five.
MAX_PAGES = 100

_OK = 200
_NOT_FOUND = 404
# Headers of answers are kept by name in lower case.
_ERA_KEY = names.STORE_ERA.lower()
_GONE = 410
# Messages between nodes carry revisions as 64 bits.
_REVISIONS = range(2**63)


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store.

    Attributes:
        era: Era of the store.
        body: Decoded body.
    """

    era: int
    body: dict[str, Any]


def watch_timeout_s(wait_s: float) -> float:
    """Returns how long a watch with a wait may take.

    >>> watch_timeout_s(2.0), watch_timeout_s(0.0)
    (2.8, 1.5)
    """
    return max(READ_TIMEOUT_S, wait_s + WATCH_GRACE_S)


class PlatformStore:
    """Implements `PublishedStore` over the platform's HTTP calls."""

    def __init__(self, address: str) -> None:
        """Creates a client of the store at an address, `IP:PORT`."""
        host, _, port = address.rpartition(":")
        self._client = HttpClient(host, int(port))
        self.call_count = 0

    async def close(self) -> None:
        """Closes the connections."""
        await self._client.close()

    async def read_all(self) -> ViewDelta | StoreUnavailable:
        """Reads the whole state, complete up to the returned revision."""
        items: list[StoredItem] = []
        revision = 0
        era: int | None = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": ""}
            if after:
                query["after"] = after
            page = await self._get(names.RANGE_PATH, query, READ_TIMEOUT_S)
            if isinstance(page, (HistoryGone, StoreUnavailable)):
                return StoreUnavailable(_detail(page))
            try:
                page_items = [_item(item) for item in page.body["items"]]
                # Later pages may be newer. The watch that follows starts at the
                # revision of the first page and reads those changes again.
                revision = revision or _revision(page.body["as_of"])
                has_more = bool(page.body["has_more"])
            except Exception as error:  # noqa: BLE001 - fails in many ways
                return StoreUnavailable(f"malformed page: {error}")
            if era is not None and page.era != era:
                return StoreUnavailable("restored between two pages")
            items += page_items
            era = page.era
            if not has_more or not page_items:
                return ViewDelta(0, revision, tuple(items), era)
            after = page_items[-1].key
        return StoreUnavailable(f"more than {MAX_PAGES} pages")

    async def read_config(self) -> bytes | None | StoreUnavailable:
        """Reads the value of the configuration; None if there is none."""
        answer = await self._get(
            names.KEY_PATH, {"key": names.CONFIG_KEY}, READ_TIMEOUT_S
        )
        if isinstance(answer, StoreUnavailable):
            is_absent = answer.detail == f"status {_NOT_FOUND}"
            return None if is_absent else answer
        if isinstance(answer, HistoryGone):
            return StoreUnavailable(_detail(answer))
        try:
            return _item(answer.body).value
        except Exception as error:  # noqa: BLE001 - fails in many ways
            return StoreUnavailable(f"malformed item: {error}")

    async def watch(
        self, after_revision: int, wait_s: float
    ) -> ViewDelta | HistoryGone | StoreUnavailable:
        """Waits for changes after a revision."""
        query = {
            "prefix": "",
            "after": str(after_revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self._get(
            names.WATCH_PATH, query, watch_timeout_s(wait_s)
        )
        if isinstance(answer, (HistoryGone, StoreUnavailable)):
            return answer
        try:
            items = tuple([_item(event) for event in answer.body["events"]])
            revision = _revision(answer.body["as_of"])
        except Exception as error:  # noqa: BLE001 - fails in many ways
            return StoreUnavailable(f"malformed events: {error}")
        return ViewDelta(after_revision, revision, items, answer.era)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> _Answer | HistoryGone | StoreUnavailable:
        self.call_count += 1
        loop = asyncio.get_running_loop()
        end_s = loop.time() + MAX_READ_S
        target = f"{path}?{urllib.parse.urlencode(query)}"
        try:
            async with asyncio.timeout(timeout_s) as timeout:

                def extend() -> None:
                    until_s = min(loop.time() + READ_TIMEOUT_S, end_s)
                    timeout.reschedule(until_s)

                answer = await self._client.get(
                    target, MAX_ANSWER_BYTES, extend
                )
            if answer.status not in (_OK, _GONE):
                return StoreUnavailable(f"status {answer.status}")
            era = _era(answer.headers.get(_ERA_KEY))
            if answer.status == _GONE:
                return HistoryGone(era)
            return _Answer(era, json.loads(answer.body))
        except TimeoutError:
            return StoreUnavailable("no answer in time")
        except AnswerTooLarge as error:
            if path == names.WATCH_PATH:
                # The whole state is read in pages instead.
                return HistoryGone(_era(error.headers.get(_ERA_KEY)))
            return StoreUnavailable(f"answer over {MAX_ANSWER_BYTES} bytes")
        # A deeply nested answer exceeds the recursion limit of the decoder.
        except (HttpError, OSError, ValueError, RecursionError) as error:
            return StoreUnavailable(f"{type(error).__name__}: {error}")


def _era(stated: str | None) -> int:
    """Returns the era of an answer; the first one that can be stated is 1.

    >>> _era(None), _era("0"), _era("3")
    (0, 1, 4)
    """
    return int(stated) + 1 if stated is not None else 0


def _item(item: dict[str, Any]) -> StoredItem:
    # No message can carry lone surrogates.
    key = item["key"].encode(errors="surrogatepass").decode(errors="replace")
    revision = _revision(item["revision"])
    if item.get("removed"):
        return StoredItem(key, revision, b"")
    value = base64.b64decode(item["value"], validate=True)
    # An empty value would count as a removal, so a blank replaces it.
    return StoredItem(key, revision, value or b" ")


def _revision(value: Any) -> int:
    revision = int(value)
    if revision not in _REVISIONS:
        raise ValueError(f"revision {revision} is out of range")
    return revision


def _detail(problem: HistoryGone | StoreUnavailable) -> str:
    if isinstance(problem, StoreUnavailable):
        return problem.detail
    return "history no longer available"
