"""Instances of services and their state in the membership table."""

import dataclasses
import enum


class MemberState(enum.IntEnum):
    """State of an instance; at equal incarnations the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One upstream instance and the node that runs beside it.

    Attributes:
        instance_id: Unique id of the instance.
        service: Service that the upstream serves.
        zone: Availability zone.
        region: Region of the availability zone.
        host: IP address of the node.
        peer_port: TCP port on which the node accepts connections of peers.
    """

    instance_id: str
    service: str
    zone: str
    region: str
    host: str
    peer_port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Entry of the membership table for one instance.

    Attributes:
        instance: The instance.
        incarnation: Start of the node process in milliseconds since the
            epoch; a restarted process always has a higher one. 0 while
            the instance is known only from the instance list.
        state: State reported for that incarnation.
    """

    instance: Instance
    incarnation: int
    state: MemberState
