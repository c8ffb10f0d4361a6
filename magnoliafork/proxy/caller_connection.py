"""One connection of a caller to an HTTP server of this node."""

from aiohttp import web


class CallerConnection(web.RequestHandler):
    """Connection that can tell whether a request of it is unanswered."""

    __slots__ = ()

    @property
    def is_idle(self) -> bool:
        """Whether it waits for a request and has read none."""
        # aiohttp has no public form of this: `close` stops reading but does not
        # tell whether a request was read, and handlers begin after the read.
        return self._waiter is not None and not self._waiter.done()
