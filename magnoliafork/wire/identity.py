"""What a node tells its peers about itself on every connection."""

import dataclasses
import itertools
from collections.abc import Callable

from magnoliafork.model.version import Version
from magnoliafork.wire import codec, messages


@dataclasses.dataclass(slots=True)
class NodeIdentity:
    """Builds the first message of a connection.

    Attributes:
        instance_id: Id of this node's instance.
        process_incarnation: Start of this process. Requests are bound to it,
            so that it must not change while the process keeps its ledger.
        member_incarnation: Gives the incarnation in the membership table,
            which rises when this node refutes a report about itself.
        version: Gives the version in force.
        load: Gives the number of active calls and the current limit.
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
        """Returns a greeting with a new, higher link generation."""
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

    def liveness_reply(self, sequence: int) -> messages.Heartbeat:
        """Returns the answer to a heartbeat on a connection for calls."""
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
