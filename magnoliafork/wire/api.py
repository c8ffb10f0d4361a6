"""Interfaces between a node and the connections to its peers."""

import dataclasses
from typing import Protocol

from magnoliafork.wire import messages


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFailure:
    """Failure of a call that got no reply.

    Attributes:
        was_sent: False when the receiver has not run the request: no byte of
            it reached a socket, or the receiver stopped before it arrived.
        incarnation: Incarnation of the receiver at the other end of the
            connection, or 0 when there was no connection.
        detail: Cause of the failure, for logs.
    """

    was_sent: bool
    incarnation: int
    detail: str


class PeerCalls(Protocol):
    """Sends calls to peers and waits for their replies."""

    async def call(
        self,
        instance_id: str,
        request: messages.CallRequest,
        timeout_s: float,
    ) -> messages.CallReply | LinkFailure:
        """Sends one request; assigns the stream id itself.

        Cancelling the calling task sends `CallCancel`.
        """
        ...

    async def fence(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
        moved_to: str = "",
    ) -> messages.StreamReply | LinkFailure:
        """Asks for the outcome of a request and prevents later runs of it.

        Uses a connection that is newer than any failed one. An incarnation
        of 0 stands for the receiver's current incarnation.
        """
        ...


class RepeatableFences(Protocol):
    """Asks peers about requests that may be repeated."""

    async def fence_repeatable(
        self,
        instance_id: str,
        request_id: str,
        incarnation: int,
        timeout_s: float,
    ) -> messages.StreamReply | LinkFailure:
        """Asks whether the upstream of a peer got a request.

        Uses a connection that is newer than any failed one. Copies of the
        request on older connections are never read.
        """
        ...


class ControlLinks(Protocol):
    """Control connections to this node's neighbours in the overlay."""

    def neighbours(self) -> tuple[str, ...]:
        """Returns the ids of the peers with an open control connection."""
        ...

    def send(self, instance_id: str, message: messages.ControlMessage) -> bool:
        """Queues a message; false if not connected or the buffer is full."""
        ...

    def set_targets(self, instance_ids: tuple[str, ...]) -> None:
        """Sets the peers to which control connections are kept open."""
        ...


class ControlHandler(Protocol):
    """Receives control messages and connection changes."""

    def on_control(
        self, instance_id: str, message: messages.ControlMessage
    ) -> None:
        """Handles one control message of a peer."""
        ...

    def on_link_up(self, hello: messages.Hello) -> None:
        """Handles a new control connection."""
        ...

    def on_link_down(self, instance_id: str) -> None:
        """Handles the loss of a control connection."""
        ...


class CallHandler(Protocol):
    """Serves the calls of peers on the receiver side."""

    async def on_call(
        self, sender_id: str, request: messages.CallRequest
    ) -> messages.CallReply:
        """Runs one request; cancelled when the sender cancels it."""
        ...

    async def on_fence(
        self, sender_id: str, fence: messages.CallFence
    ) -> messages.StreamReply:
        """Returns the outcome of one request or refuses it permanently."""
        ...


class QuotaHandler(Protocol):
    """Grants tokens of tenants' quotas to peers."""

    def on_quota_request(
        self, request: messages.QuotaRequest
    ) -> messages.QuotaReply:
        """Replies to a peer at once."""
        ...


class AddressBook(Protocol):
    """Finds the address of a peer."""

    def address(self, instance_id: str) -> tuple[str, int] | None:
        """Returns the peer's IP address and port, or None if unknown."""
        ...
