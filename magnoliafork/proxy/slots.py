"""Concurrency slots of the upstream, and the queue for them."""

import asyncio
from collections.abc import Callable

from magnoliafork.admission.limiter import Limiter
from magnoliafork.admission.queue import AdmissionQueue, QueuedRequest
from magnoliafork.admission.ramp import Ramp
from magnoliafork.model.request import NotRunReason
from magnoliafork.model.rules import Priority, ServiceRule

Grant = asyncio.Future[NotRunReason | None]
Ticket = QueuedRequest[Grant]

# The event loop may call a timer early by its clock resolution.
_EXPIRY_MARGIN_S = 0.001


class Slots:
    """Grants slots within the limit, by priority and deadline."""

    def __init__(
        self,
        rule: Callable[[], ServiceRule | None],
        refusal: Callable[[], NotRunReason | None],
        now: Callable[[], float],
    ) -> None:
        """Creates slots that start on the cold-start ramp.

        Args:
            rule: Gives the rule in force for the service.
            refusal: Gives the reason to refuse new work, or None.
            now: Gives the time in seconds.
        """
        self._rule = rule
        self._refusal = refusal
        self._now = now
        self._queue: AdmissionQueue[Grant] = AdmissionQueue()
        self.limiter = Limiter(now())
        self.ramp = Ramp(now())

    @property
    def active(self) -> int:
        """Number of requests that hold a slot."""
        return self.limiter.active

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Number of slots that may be in use now."""
        rule = self._rule()
        if rule is None:
            return 0
        return self.limiter.limit(rule, self.ramp.allowed(rule, self._now()))

    def ticket(self, priority: Priority, deadline_s: float) -> Ticket:
        """Creates a request for a slot; its deadline may be raised later."""
        grant: Grant = asyncio.get_running_loop().create_future()
        return QueuedRequest(grant, priority, deadline_s)

    async def acquire(self, ticket: Ticket) -> NotRunReason | None:
        """Waits for a slot; returns why there is none, or None on success.

        Cancelling the task frees the slot or the place in the queue.
        """
        rule = self._rule()
        reason = self._refusal()
        if reason is not None or rule is None:
            return reason or NotRunReason.NOT_READY
        if self._now() >= ticket.deadline_s:
            return NotRunReason.DEADLINE
        capacity = rule.queue
        # A request that starts immediately takes no place in the queue.
        free = max(0, self.limit - self.active)
        evicted = self._queue.push(ticket, capacity + free)
        for waiting in evicted:
            _reject(waiting, NotRunReason.OVERLOADED)
        self.dispatch()
        if ticket.item.done():
            return ticket.item.result()
        expiry = self._dispatch_at(ticket.deadline_s)
        try:
            return await ticket.item
        except asyncio.CancelledError:
            self._give_back(ticket)
            raise
        finally:
            expiry.cancel()

    def release(self) -> None:
        """Frees a slot and grants it to the next request."""
        self.limiter.end()
        self.dispatch()

    def dispatch(self) -> None:
        """Grants free slots and rejects queued requests that must not run."""
        reason = self._refusal()
        if reason is not None:
            for waiting in self._queue.clear():
                _reject(waiting, reason)
            return
        expired = self._queue.expire(self._now(), self.limiter.fastest_s)
        for waiting in expired:
            _reject(waiting, NotRunReason.DEADLINE)
        while self.active < self.limit:
            ticket = self._queue.pop()
            if ticket is None:
                return
            if ticket.item.done():
                continue
            self.ramp.on_send(self.active, self._now())
            self.limiter.start()
            ticket.item.set_result(None)

    def _dispatch_at(self, deadline_s: float) -> asyncio.TimerHandle:
        delay_s = max(0.0, deadline_s - self._now()) + _EXPIRY_MARGIN_S
        loop = asyncio.get_running_loop()
        return loop.call_later(delay_s, self.dispatch)

    def _give_back(self, ticket: Ticket) -> None:
        grant = ticket.item
        if grant.cancelled() or not grant.done():
            self._queue.remove(ticket)
        elif grant.result() is None:
            self.release()


def _reject(ticket: Ticket, reason: NotRunReason) -> None:
    if not ticket.item.done():
        ticket.item.set_result(reason)
