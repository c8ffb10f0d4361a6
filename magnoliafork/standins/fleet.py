"""One deployment in this process: source, upstreams and nodes."""

import asyncio
import dataclasses
import io
import random
from collections.abc import Callable

from magnoliafork.model.instance import Instance
from magnoliafork.model.result import Err
from magnoliafork.model.snapshot import Snapshot
from magnoliafork.model.version import Version
from magnoliafork.node import Node
from magnoliafork.observe.logs import EventLog
from magnoliafork.rules.build import build
from magnoliafork.settings.model import NodeSettings
from magnoliafork.standins.deployments import DeploymentSpec
from magnoliafork.standins.ports import free_ports
from magnoliafork.standins.publish import publish, publish_instances
from magnoliafork.standins.source_server import SourceServer
from magnoliafork.standins.upstream_server import UpstreamServer

HOST = "127.0.0.1"
READY_TIMEOUT_S = 60.0
POLL_S = 0.05
SEEDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A version that a node has applied.

    Attributes:
        instance_id: The node.
        version: The version.
        at_s: Time on the loop's clock.
    """

    instance_id: str
    version: Version
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEndpoints:
    """An instance with its ports for callers and operators.

    Attributes:
        instance: The instance.
        ingress_port: Port for callers.
        admin_port: Port for operators.
    """

    instance: Instance
    ingress_port: int
    admin_port: int

    @property
    def url(self) -> str:
        """Address for callers."""
        return f"http://{HOST}:{self.ingress_port}"


class Fleet:
    """Runs a deployment and records which versions its nodes apply."""

    def __init__(
        self,
        spec: DeploymentSpec,
        rng: random.Random,
        log_level: str = "error",
    ) -> None:
        """Creates a fleet that is not started yet."""
        self.spec = spec
        self.logs: dict[str, io.StringIO] = {}
        self._log_level = log_level
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self.source = SourceServer()
        self.endpoints: dict[str, InstanceEndpoints] = {}
        self.upstreams: dict[str, UpstreamServer] = {}
        self.nodes: dict[str, Node] = {}
        self.applied: list[Applied] = []
        self.published_s: dict[Version, float] = {}
        self._source_url = ""
        self._upstream_urls: dict[str, str] = {}
        self._version_number = 0

    async def start(self) -> None:
        """Publishes the rules and starts upstreams and nodes."""
        port = await self.source.start(HOST, 0)
        self._source_url = f"http://{HOST}:{port}"
        self._allocate_endpoints()
        self.publish(self.spec.rules)
        publish_instances(
            self.source, [site.instance for site in self.endpoints.values()]
        )
        for instance_id in self.endpoints:
            await self._start_upstream(instance_id)
        for instance_id in self.endpoints:
            await self.start_node(instance_id)

    async def start_node(self, instance_id: str) -> None:
        """Starts the node of an upstream, without any earlier state."""
        stream = self.logs.setdefault(instance_id, io.StringIO())
        log = EventLog(self._log_level, stream)
        rng = random.Random(self._rng.getrandbits(64))
        node = Node(self.settings(instance_id), rng, log)
        self.nodes[instance_id] = node

        def on_applied(snapshot: Snapshot) -> None:
            self.applied.append(
                Applied(instance_id, snapshot.version, self._loop.time())
            )

        node.store.subscribe(on_applied)
        started = await node.start()
        if isinstance(started, Err):
            raise AssertionError(started.errors[0].detail)

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> bool:
        """Waits until all nodes serve callers; false after the time limit."""
        return await self.wait_for(
            lambda: all(node.is_ready() for node in self.nodes.values()),
            timeout_s,
        )

    async def wait_applied(
        self, version: Version, timeout_s: float
    ) -> float | None:
        """Waits until all nodes have applied a version or a newer one.

        Returns:
            Seconds since its publication, or None after the time limit.
        """
        is_done = await self.wait_for(
            lambda: all(
                node.store.version >= version for node in self.nodes.values()
            ),
            timeout_s,
        )
        if not is_done:
            return None
        return self._loop.time() - self.published_s[version]

    async def wait_for(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Waits for a condition; false after the time limit."""
        end_s = self._loop.time() + timeout_s
        while not condition():
            if self._loop.time() >= end_s:
                return False
            await asyncio.sleep(POLL_S)
        return True

    def publish(self, rules: str) -> Version:
        """Publishes a rules file as the next version."""
        self._version_number += 1
        built = build(rules, self._version_number)
        if isinstance(built, Err):
            raise AssertionError(f"rules are invalid: {built.errors[0]}")
        version = built.value.manifest.version()
        self.published_s[version] = self._loop.time()
        publish(
            self.source,
            built.value.manifest,
            built.value.parts,
            built.value.bundles(),
        )
        return version

    def settings(self, instance_id: str) -> NodeSettings:
        """Returns the settings of one node."""
        site = self.endpoints[instance_id]
        own = site.instance
        others = [key for key in self.endpoints if key != instance_id]
        seeds = random.Random(instance_id).sample(
            others, min(SEEDS, len(others))
        )
        return NodeSettings.model_validate(
            {
                "instance": {
                    "instance_id": own.instance_id,
                    "service": own.service,
                    "zone": own.zone,
                    "region": own.region,
                },
                "listen": {
                    "host": HOST,
                    "peer_port": own.peer_port,
                    "ingress_port": site.ingress_port,
                    "admin_port": site.admin_port,
                },
                "upstream": {"url": self._upstream_urls[instance_id]},
                "source": {
                    "url": self._source_url,
                    "fleet_size_floor": len(self.endpoints),
                },
                "peers": {"seeds": [self._seed(key) for key in seeds]},
                "tls": {"mode": "off"},
            }
        )

    async def stop(self) -> None:
        """Ends all nodes, upstreams and the source at once."""
        for node in self.nodes.values():
            await node.close()
        for upstream in self.upstreams.values():
            await upstream.stop()
        await self.source.stop()

    def _seed(self, instance_id: str) -> str:
        port = self.endpoints[instance_id].instance.peer_port
        return f"{instance_id}@{HOST}:{port}"

    def _allocate_endpoints(self) -> None:
        spec = self.spec
        count = len(spec.services) * spec.servers_per_service
        ports = iter(free_ports(3 * count))
        for service in spec.services:
            for number in range(spec.servers_per_service):
                instance_id = f"{service}-{number + 1}"
                zone = spec.zones[number % len(spec.zones)]
                instance = Instance(
                    instance_id, service, zone, spec.region, HOST, next(ports)
                )
                self.endpoints[instance_id] = InstanceEndpoints(
                    instance, next(ports), next(ports)
                )

    async def _start_upstream(self, instance_id: str) -> None:
        service = self.endpoints[instance_id].instance.service
        upstream = UpstreamServer(self.spec.behaviour(service, instance_id))
        port = await upstream.start(HOST, 0)
        self.upstreams[instance_id] = upstream
        self._upstream_urls[instance_id] = f"http://{HOST}:{port}"
