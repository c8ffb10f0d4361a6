"""Checks and filters for request targets and headers of HTTP messages."""

import functools
import re
from collections.abc import Iterable

from magnoliafork.model.request import Headers

TRACE_HEADER = "traceparent"
# Bounds the cache of header names, which callers choose freely.
_MAX_CACHED_NAMES = 512
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_INTERNAL_PREFIXES = ("magnolia-", "upstream-")
_NUMBER = re.compile(r"[0-9]{1,9}", re.ASCII)
_PORT = re.compile(r":[0-9]*$", re.ASCII)
_TRACEPARENT = re.compile(
    r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}", re.ASCII
)


def end_to_end(
    headers: Iterable[tuple[str, str]], connection: Iterable[str]
) -> Headers:
    """Returns the headers to pass on.

    Leaves out hop-by-hop headers, those that nodes and upstreams exchange
    between themselves, and the trace context, which is passed on separately.

    Args:
        headers: All headers of a message.
        connection: Values of its `Connection` headers.

    >>> end_to_end([("X-A", "1"), ("X-B", "2"), ("TE", "x")], ["close, x-b"])
    (('X-A', '1'),)
    """
    return without_hop_by_hop(
        [pair for pair in headers if _is_end_to_end(pair[0])], connection
    )


def without_hop_by_hop(
    headers: Iterable[tuple[str, str]], connection: Iterable[str]
) -> Headers:
    """Removes the headers that apply to one connection only.

    Args:
        headers: All headers of a message.
        connection: Values of its `Connection` headers.
    """
    dropped = {
        option.strip().lower()
        for value in connection
        for option in value.split(",")
    } | HOP_BY_HOP
    return tuple([pair for pair in headers if pair[0].lower() not in dropped])


@functools.lru_cache(_MAX_CACHED_NAMES)
def _is_end_to_end(name: str) -> bool:
    lowered = name.lower()
    return (
        lowered not in HOP_BY_HOP
        and lowered != TRACE_HEADER
        and not lowered.startswith(_INTERNAL_PREFIXES)
    )


def is_encodable(path: str, headers: Headers) -> bool:
    r"""Returns whether the text can be encoded in a frame between nodes.

    The HTTP parser keeps bytes that are not UTF-8 as lone surrogates, which
    the codec of the frames cannot encode.

    >>> is_encodable("/", (("X-A", "caf\xe9"),))
    True
    >>> is_encodable("/", (("X-A", "\udcff"),))
    False
    """
    text = "".join([path, *[name + value for name, value in headers]])
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def split_target(target: str) -> tuple[str, str] | None:
    """Splits a request target into its authority and its path with query.

    Returns:
        The two parts; the authority is empty in the usual origin form. None
        for the forms that no route can match.

    >>> split_target("/a?b"), split_target("http://h:1/a"), split_target("*")
    (('', '/a?b'), ('h:1', '/a'), None)
    """
    if target.startswith("/"):
        return "", target
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() != "http":
        return None
    authority, slash, path = rest.partition("/")
    if not authority or "?" in authority:
        return None
    return authority, slash + path if slash else "/"


def is_plain_path(target: str) -> bool:
    """Returns whether every HTTP server reads a path the same way.

    Paths with dot segments are not plain: an upstream that resolves them would
    serve a different path than the one by which the route, and so whether the
    request is repeatable, was chosen.

    >>> is_plain_path("/a/b.txt?x=../y"), is_plain_path("/a/%2e%2E/b")
    (True, False)
    """
    if "#" in target:
        return False
    path = target.partition("?")[0]
    if "%2" in path:
        path = path.replace("%2e", ".").replace("%2E", ".")
    if "/." not in path:
        return True
    return not any(part in (".", "..") for part in path.split("/"))


def host_name(authority: str) -> str:
    """Returns the host of an authority in lower case, without the port.

    >>> host_name("Shop.Example:8080"), host_name("[::1]:80")
    ('shop.example', '[::1]')
    """
    if ":" in authority:
        authority = _PORT.sub("", authority)
    return authority.lower()


def single_number(values: list[str]) -> int | None:
    """Returns the number in a header that occurs exactly once, or None."""
    if len(values) != 1 or not _NUMBER.fullmatch(values[0]):
        return None
    return int(values[0])


def trace_context(value: str) -> str:
    """Returns a W3C trace context, or an empty string if it is malformed."""
    return value if _TRACEPARENT.fullmatch(value) else ""
