"""Which tenant a request belongs to, and whether its key certainly counts.

A key that operators withdraw must not be used a fixed time after the store has
acknowledged the withdrawal, also on nodes that nothing reaches. A node
therefore accepts keys only while its view is known to have been current
recently enough (`view_freshness`); requests of public routes without a key go
on.
"""

import dataclasses
import hashlib
from collections.abc import Callable

from magnoliafork.mesh.model import MeshConfig, MeshRoute, Tenant
from magnoliafork.model.request import NotRun, NotRunReason

# Share of the withdrawal time that is kept as a margin for the resolution and
# the drift of clocks.
MARGIN_SHARE = 0.02
# Time after which a refused caller may try again. Readers get an answer of the
# store about twice a second.
UNCONFIRMED_RETRY_MS = 1000
_DIGEST_BYTES = 12


def key_digest(key: str) -> bytes:
    """Returns what nodes tell each other instead of a key."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()


class TenantDirectory:
    """Tenants of a configuration by key."""

    def __init__(self, tenants: tuple[Tenant, ...]) -> None:
        """Indexes the keys of all tenants."""
        self.tenants = tenants
        self._by_key = {key: t for t in tenants for key in t.api_keys}
        self._by_name = {tenant.name: tenant for tenant in tenants}
        self._digests = frozenset(key_digest(key) for key in self._by_key)

    def tenant_of(self, key: str) -> Tenant | None:
        """Returns the tenant that holds a key."""
        return self._by_key.get(key)

    def tenant_named(self, name: str) -> Tenant | None:
        """Returns the tenant with a name."""
        return self._by_name.get(name)

    def holds_digest(self, digest: bytes) -> bool:
        """Whether any tenant holds the key with a digest."""
        return digest in self._digests


@dataclasses.dataclass(frozen=True, slots=True)
class KeyPolicy:
    """When keys count.

    Attributes:
        withdrawal_s: Time after which a withdrawn key must not be used; None if
            only nodes that get changes have to follow.
    """

    withdrawal_s: float | None = None

    @property
    def max_age_s(self) -> float | None:
        """Most time since the view was current; None for no limit."""
        if self.withdrawal_s is None:
            return None
        return self.withdrawal_s * (1 - MARGIN_SHARE)


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """A request may run.

    Attributes:
        tenant: Tenant that it belongs to; None if it needs none.
        digest: Digest of the key; empty without one.
    """

    tenant: Tenant | None = None
    digest: bytes = b""


class TenantKeys:
    """Decides by key whether a request may run."""

    def __init__(
        self, policy: KeyPolicy, view_age_s: Callable[[], float]
    ) -> None:
        """Creates an instance without a configuration.

        Args:
            policy: When keys count.
            view_age_s: Returns the time since the view was certainly current.
        """
        self._policy = policy
        self._view_age_s = view_age_s
        self._directory = TenantDirectory(())

    def identify(
        self, config: MeshConfig, route: MeshRoute, key: str | None
    ) -> Identified | NotRun:
        """Returns the tenant of a caller's request, or why it is not run."""
        if config.tenants is None:
            return Identified()
        if not key and route.is_public:
            return Identified()
        # What a node knows that may be outdated is no reason for a final
        # refusal either: the key may have been added since.
        if not self.is_confirmed():
            return NotRun(NotRunReason.KEYS_UNCONFIRMED, UNCONFIRMED_RETRY_MS)
        tenant = self._directory_of(config).tenant_of(key or "")
        if key is None or tenant is None:
            return NotRun(NotRunReason.UNKNOWN_KEY)
        return Identified(tenant, key_digest(key))

    def recheck(
        self, config: MeshConfig | None, digest: bytes, identified_version: int
    ) -> NotRun | None:
        """Returns why a request that was identified elsewhere is not run.

        Args:
            config: Own configuration.
            digest: Digest of the request's key; empty without one.
            identified_version: Version by which the key was identified.
        """
        if not digest:
            return None
        if not self.is_confirmed():
            return NotRun(NotRunReason.KEYS_UNCONFIRMED, UNCONFIRMED_RETRY_MS)
        if config is None or config.version < identified_version:
            return None
        if not self._directory_of(config).holds_digest(digest):
            return NotRun(NotRunReason.UNKNOWN_KEY)
        return None

    def tenant_named(
        self, config: MeshConfig | None, name: str
    ) -> Tenant | None:
        """Returns the tenant with a name, if the configuration has it."""
        if config is None or config.tenants is None:
            return None
        return self._directory_of(config).tenant_named(name)

    def is_confirmed(self) -> bool:
        """Whether the view is current enough for keys."""
        max_age_s = self._policy.max_age_s
        return max_age_s is None or self._view_age_s() <= max_age_s

    def _directory_of(self, config: MeshConfig) -> TenantDirectory:
        # Most versions change routes only.
        if config.tenants != self._directory.tenants:
            self._directory = TenantDirectory(config.tenants or ())
        return self._directory
