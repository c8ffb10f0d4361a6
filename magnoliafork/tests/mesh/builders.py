"""Builders and fakes for the tests of the mesh node."""

import dataclasses

from magnoliafork.mesh.model import (
    CallerLimits,
    DecodedItem,
    MeshConfig,
    MeshRoute,
    MeshService,
    StoredItem,
    Tenant,
    UpstreamEntry,
    WeightedService,
    ZoneOut,
)
from magnoliafork.mesh.retry_limits import RetryLimits
from magnoliafork.mesh.sender import Quotas, TenantAccess
from magnoliafork.mesh.tenant_keys import KeyPolicy, TenantKeys
from magnoliafork.mesh.view import MeshView, ViewDelta
from magnoliafork.model.request import NotRun
from magnoliafork.platform.header_codec import PlatformHeaderCodec

RETRY_LIMITS = RetryLimits(0.2, 60.0, 10.0)


class FakeItemCodec:
    """Makes items and decodes them without the wire format."""

    def __init__(self) -> None:
        self._facts: dict[bytes, DecodedItem] = {}

    def item(self, key: str, revision: int, fact: DecodedItem) -> StoredItem:
        value = f"{key}@{revision}".encode()
        # A restored store gives out revisions again.
        while self._facts.get(value, fact) != fact:
            value += b"'"
        self.add(value, fact)
        return StoredItem(key, revision, value)

    def add(self, value: bytes, fact: DecodedItem) -> None:
        """Makes `decode` return a fact for a value."""
        self._facts[value] = fact

    def decode(self, item: StoredItem) -> DecodedItem | None:
        return self._facts.get(item.value)


def removed(key: str, revision: int) -> StoredItem:
    return StoredItem(key, revision, b"")


def route(name: str = "browse", **changes: object) -> MeshRoute:
    base = MeshRoute(
        name=name,
        host="shop.example",
        prefix=f"/{name}/",
        targets=(WeightedService("catalogue", 1.0),),
        is_repeatable=True,
        timeout_s=2.0,
        target_latency_s=0.4,
        priority=2,
        max_attempts=2,
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


def service(name: str = "catalogue", **changes: object) -> MeshService:
    base = MeshService(name, "/health", 100, 3.0, 10.0)
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


def config(
    version: int = 1,
    routes: tuple[MeshRoute, ...] = (),
    services: tuple[MeshService, ...] = (),
    tenants: tuple[Tenant, ...] | None = None,
) -> MeshConfig:
    return MeshConfig(
        version,
        routes or (route(),),
        {s.name: s for s in (services or (service(),))},
        CallerLimits(),
        tenants,
    )


def entry(upstream_id: str = "a", **changes: object) -> UpstreamEntry:
    base = UpstreamEntry(
        upstream_id=upstream_id,
        service="catalogue",
        zone="joliette",
        host=f"10.0.0.{ord(upstream_id[0]) % 250}",
        port=8000,
        slots=4,
        is_ready=True,
        cold_left_s=0.0,
        started_unix_ms=1,
    )
    return dataclasses.replace(base, **changes)  # type: ignore[arg-type]


class UnlimitedQuotas:
    """Implements `Quotas` without limits."""

    async def take(self, tenant: Tenant) -> NotRun | None:
        return None

    def give_back(self, tenant: Tenant) -> None:
        pass


def tenant_access(
    keys: TenantKeys | None = None, quotas: Quotas | None = None
) -> TenantAccess:
    return TenantAccess(
        keys or TenantKeys(KeyPolicy(), lambda: 0.0),
        quotas or UnlimitedQuotas(),
        PlatformHeaderCodec().with_tenant,
    )


class PublishedState:
    """A fake store and a view that follows it; each change is one revision."""

    def __init__(self) -> None:
        self.item_codec = FakeItemCodec()
        self.view = MeshView(self.item_codec.decode)
        self.revision = 0

    def put(self, key: str, fact: DecodedItem) -> ViewDelta:
        before = self.revision
        self.revision += 1
        item = self.item_codec.item(key, self.revision, fact)
        delta = ViewDelta(before, self.revision, (item,))
        self.view.apply(delta)
        return delta

    def remove(self, key: str) -> ViewDelta:
        before = self.revision
        self.revision += 1
        items = (removed(key, self.revision),)
        delta = ViewDelta(before, self.revision, items)
        self.view.apply(delta)
        return delta

    def configure(self, wanted: MeshConfig) -> None:
        self.put("config", wanted)

    def announce(self, upstream: UpstreamEntry) -> None:
        self.put(f"servers/{upstream.upstream_id}", upstream)

    def withdraw(self, upstream: UpstreamEntry) -> None:
        self.remove(f"servers/{upstream.upstream_id}")

    def evacuate_zone(self, zone: str) -> None:
        self.put(f"out/{zone}", ZoneOut(zone))

    def return_zone(self, zone: str) -> None:
        self.remove(f"out/{zone}")
