"""Obtains tokens of tenants' quotas from their owners."""

import asyncio
import dataclasses
import zlib
from collections.abc import Callable, Sequence
from typing import Protocol

from magnoliafork.admission.quota_leases import QuotaLeases
from magnoliafork.admission.quota_owner import (
    MIN_RETRY_AFTER_S,
    Grant,
    QuotaOwner,
    QuotaPolicy,
)
from magnoliafork.mesh.model import MeshConfig, Tenant
from magnoliafork.mesh.view import Change, MeshView
from magnoliafork.mesh.view_freshness import ViewFreshness
from magnoliafork.model.request import NotRun, NotRunReason
from magnoliafork.wire import messages
from magnoliafork.wire.api import LinkFailure

# Time that an owner has for its reply, and time after which the next one is
# asked as well; a busy node takes tens of milliseconds.
OWNER_TIMEOUT_S = 0.4
NEXT_OWNER_S = 0.06
# Time for which an owner that did not reply is asked last.
FAILED_OWNER_PAUSE_S = 1.0
# Longest wait of a request for a token.
MAX_WAIT_S = 0.5
UNAVAILABLE_RETRY_MS = 500


class QuotaPeers(Protocol):
    """Asks peers for tokens."""

    async def request_quota(
        self, instance_id: str, name: str, wanted: int, timeout_s: float
    ) -> messages.QuotaReply | LinkFailure:
        """Asks an owner for tokens of a tenant's quota."""
        ...


@dataclasses.dataclass(slots=True)
class QuotaCounters:
    """Counts since the start.

    Attributes:
        asked: Requests for tokens that were sent to peers.
        failed: Those of them without a usable reply.
        granted: Tokens granted to peers and to this node.
    """

    asked: int = 0
    failed: int = 0
    granted: int = 0


class QuotaClient:
    """Lets requests pass within the quotas of their tenants.

    Attributes:
        leases: Tokens that this node holds.
        counters: Counts of the messages about tokens.
    """

    def __init__(
        self,
        own_host: str,
        view: MeshView,
        freshness: ViewFreshness,
        peers: QuotaPeers,
        policy: QuotaPolicy,
    ) -> None:
        """Creates a client, and the owner of this node's parts of quotas."""
        self._own_host = own_host
        self._view = view
        self._freshness = freshness
        self._clock: Callable[[], float] = freshness.clock
        self._peers = peers
        self._owner = QuotaOwner(own_host, freshness.clock(), policy)
        self._tenants: dict[str, Tenant] = {}
        self._config: MeshConfig | None = None
        self._waiting: dict[str, int] = {}
        self._refills: dict[str, asyncio.Task[bool]] = {}
        self._failed_until_s: dict[str, float] = {}
        self.leases = QuotaLeases()
        self.counters = QuotaCounters()
        view.subscribe(self._on_changes)

    def _on_changes(self, _: Sequence[Change]) -> None:
        config = self._view.config
        if config is None or config.tenants is None:
            return
        hosts = frozenset(e.host for e in self._view.upstreams.values())
        self._owner.set_hosts(hosts | {self._own_host}, self._clock())
        if config is not self._config:
            self._config = config
            self._tenants = {t.name: t for t in config.tenants if t.rate_per_s}
            self._owner.retain(frozenset(self._tenants))

    async def take(self, tenant: Tenant) -> NotRun | None:
        """Takes a token for a request; returns why it is not run, or None."""
        if not tenant.rate_per_s:
            return None
        name, lease = tenant.name, self.leases.of(tenant.name)
        now_s = self._clock()
        end_s = now_s + MAX_WAIT_S
        self.leases.record_request(name, now_s)
        while not self.leases.take(name, now_s):
            if now_s < lease.denied_until_s:
                lease.refused += 1
                retry_s = max(lease.retry_at_s - now_s, MIN_RETRY_AFTER_S)
                return NotRun(NotRunReason.OVER_QUOTA, int(retry_s * 1000))
            has_reply = now_s < end_s and await self._wait_for_refill(name)
            now_s = self._clock()
            if not has_reply:
                lease.refused += 1
                return NotRun(
                    NotRunReason.QUOTA_UNAVAILABLE, UNAVAILABLE_RETRY_MS
                )
        if self.leases.wants_more(name):
            self._refill(name)
        return None

    def give_back(self, tenant: Tenant) -> None:
        """Returns the token of a request that was not run."""
        if tenant.rate_per_s:
            self.leases.give_back(tenant.name, self._clock())

    def grant(self, name: str, wanted: int) -> Grant:
        """Grants tokens to a node, which may be this one."""
        tenant = self._tenants.get(name)
        if tenant is None:
            return Grant(0, is_owner=False)
        grant = self._owner.grant(
            name,
            wanted,
            tenant.rate_per_s,
            tenant.burst,
            now_s=self._clock(),
            view_age_s=self._freshness.age_s(),
        )
        self.counters.granted += grant.tokens
        return grant

    def on_quota_request(
        self, request: messages.QuotaRequest
    ) -> messages.QuotaReply:
        """Replies to the request of a peer."""
        grant = self.grant(request.tenant, request.wanted)
        return messages.QuotaReply(
            request.stream_id,
            grant.tokens,
            int(grant.retry_after_s * 1000),
            grant.is_owner,
        )

    async def _wait_for_refill(self, name: str) -> bool:
        """Waits for tokens; returns whether any owner has replied."""
        self._waiting[name] = self._waiting.get(name, 0) + 1
        try:
            # A cancelled request must not end the refill of the others.
            return await asyncio.shield(self._refill(name))
        finally:
            self._waiting[name] -= 1
            if not self._waiting[name]:
                del self._waiting[name]

    def _refill(self, name: str) -> "asyncio.Task[bool]":
        task = self._refills.get(name)
        if task is None:
            task = asyncio.create_task(self._ask_owners(name))
            self._refills[name] = task
            task.add_done_callback(lambda _: self._refills.pop(name, None))
        return task

    async def _ask_owners(self, name: str) -> bool:
        """Asks the owners until one grants tokens; returns whether any replied.

        An owner that takes long, because it is busy or lost, is not waited for
        before the next one is asked.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + MAX_WAIT_S
        owners = self._in_order(name, self._owner.owners_of(name))
        lease = self.leases.of(name)
        if lease.denials:
            # They had no tokens a moment ago. One of them in turn is asked, as
            # a tenant over its quota would cost many messages otherwise.
            turn = lease.denials % len(owners) if owners else 0
            owners = owners[turn : turn + 1]
        pending: set[asyncio.Task[Grant | None]] = set()
        retries_s = []
        try:
            while (owners or pending) and loop.time() < end_s:
                if owners:
                    pending.add(
                        asyncio.create_task(self._ask(owners.pop(0), name))
                    )
                timeout_s = NEXT_OWNER_S if owners else end_s - loop.time()
                done, pending = await asyncio.wait(
                    pending,
                    timeout=timeout_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    grant = task.result()
                    if grant is None or not grant.is_owner:
                        continue
                    if grant.tokens:
                        return True
                    retries_s.append(grant.retry_after_s)
        finally:
            for task in pending:
                task.cancel()
        if not retries_s:
            return False
        self.leases.record_denial(name, self._clock(), min(retries_s))
        return True

    def _in_order(self, name: str, owners: Sequence[str]) -> list[str]:
        """Returns the owners in the order in which this node asks them."""
        if not owners:
            return []
        now_s = self._clock()
        start = zlib.crc32(f"{self._own_host}/{name}".encode()) % len(owners)
        rotated = [*owners[start:], *owners[:start]]
        return sorted(
            rotated, key=lambda host: self._failed_until_s.get(host, 0) > now_s
        )

    async def _ask(self, owner: str, name: str) -> Grant | None:
        """Asks one owner, and keeps the tokens that it grants."""
        asked_s = self._clock()
        wanted = self.leases.wanted(name, self._waiting.get(name, 0))
        if owner == self._own_host:
            grant = self.grant(name, max(1, wanted))
        else:
            self.counters.asked += 1
            reply = await self._peers.request_quota(
                owner, name, max(1, wanted), OWNER_TIMEOUT_S
            )
            if isinstance(reply, LinkFailure):
                self.counters.failed += 1
                until_s = self._clock() + FAILED_OWNER_PAUSE_S
                self._failed_until_s[owner] = until_s
                return None
            self._failed_until_s.pop(owner, None)
            grant = Grant(
                max(0, reply.granted),
                max(0, reply.retry_after_ms) / 1000,
                reply.is_owner,
            )
        if grant.tokens:
            self.leases.record_grant(name, grant.tokens, asked_s)
        return grant
