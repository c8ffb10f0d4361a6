"""Instances of services and what is known about their state."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """State of an instance; at one incarnation a higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One upstream instance and the node beside it.

    Attributes:
        instance_id: Unique id of the instance.
        service: Service that the upstream serves.
        zone: Availability zone.
        region: Region of the availability zone.
        host: IP address of the node.
        peer_port: TCP port on which the node accepts its peers.
    """

    instance_id: str
    service: str
    zone: str
    region: str
    host: str
    peer_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """What the fleet knows about one instance.

    Attributes:
        instance: The instance.
        incarnation: Start of the node process in milliseconds since the
            epoch; a restarted process always has a higher one. 0 when only
            the instance list has named the instance.
        state: State reported for that incarnation.
    """

    instance: Instance
    incarnation: int
    state: MemberState
