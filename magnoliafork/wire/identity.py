"""Messages in which a node describes itself to its peers."""

import dataclasses
import itertools
from collections.abc import Callable

from magnoliafork.model.version import Version
from magnoliafork.wire import codec, messages


@dataclasses.dataclass(slots=True)
class NodeIdentity:
    """Builds the Hello messages and heartbeat replies of a node.

    Attributes:
        instance_id: Id of this node's instance.
        process_incarnation: Incarnation set at the start of this process.
            Requests are bound to it, so it must not change while the process
            keeps its request ledger.
        member_incarnation: Returns the incarnation in the membership table,
            which increases when this node refutes a report about itself.
        version: Returns the version in force.
        load: Returns the number of active calls and the current limit.
    """

    instance_id: str
    process_incarnation: int
    member_incarnation: Callable[[], int]
    version: Callable[[], Version]
    load: Callable[[], tuple[int, int]]
    _generations: "itertools.count[int]" = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def hello(self, purpose: messages.LinkPurpose) -> messages.Hello:
        """Returns a Hello message with the next link generation."""
        version = self.version()
        incarnation = self.process_incarnation
        if purpose is messages.LinkPurpose.CONTROL:
            incarnation = self.member_incarnation()
        return messages.Hello(
            protocol=codec.PROTOCOL_NUMBER,
            instance_id=self.instance_id,
            incarnation=incarnation,
            link_generation=next(self._generations),
            version_number=version.number,
            version_digest=version.digest,
            purpose=purpose,
        )

    def heartbeat_reply(self, sequence: int) -> messages.Heartbeat:
        """Returns the reply to a heartbeat on a connection for calls."""
        version = self.version()
        active, limit = self.load()
        return messages.Heartbeat(
            is_reply=True,
            version_number=version.number,
            version_digest=version.digest,
            membership_digest="",
            active=active,
            limit=limit,
            sequence=sequence,
        )
