"""Publication of configurations and instance lists on the stand-in."""

import enum
import json
from collections.abc import Iterable, Mapping, Sequence

from magnoliafork.model.instance import Instance
from magnoliafork.model.manifest import Manifest
from magnoliafork.source.api import (
    INSTANCES_KEY,
    MANIFEST_KEY,
    bundle_key,
    part_key,
)
from magnoliafork.standins.source_server import SourceServer


class ListedState(enum.StrEnum):
    """State of an instance in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


def publish(
    server: SourceServer,
    manifest: Manifest,
    parts: Mapping[str, bytes],
    bundles: Sequence[bytes] = (),
) -> int:
    """Puts the parts and bundles, then the manifest.

    Args:
        server: Stand-in of the configuration service.
        manifest: Manifest of the version.
        parts: Part contents by digest.
        bundles: The same parts packed into few values.

    Returns:
        The revision of the manifest.
    """
    for digest, content in parts.items():
        server.put(part_key(digest), content)
    for index, content in enumerate(bundles):
        server.put(bundle_key(manifest.version().digest, index), content)
    return server.put(MANIFEST_KEY, manifest.to_bytes())


def publish_instances(
    server: SourceServer,
    instances: Iterable[Instance],
    leaving: frozenset[str] = frozenset(),
) -> int:
    """Puts the instance list and returns its revision.

    Args:
        server: Stand-in of the configuration service.
        instances: Instances to name.
        leaving: Ids of the instances that the list shows as leaving.
    """
    entries = [_entry(instance, leaving) for instance in instances]
    return server.put(INSTANCES_KEY, json.dumps(entries).encode())


def _entry(instance: Instance, leaving: frozenset[str]) -> dict[str, object]:
    is_leaving = instance.instance_id in leaving
    state = ListedState.LEAVING if is_leaving else ListedState.LIVE
    return {
        "instance_id": instance.instance_id,
        "service": instance.service,
        "zone": instance.zone,
        "region": instance.region,
        "host": instance.host,
        "peer_port": instance.peer_port,
        "state": state.value,
    }
