"""Index upstreams by pool and cache the capacity of each pool.

Routing decisions read capacities several times per tick, which is too often to scan thousands of
upstreams each time.
"""

from collections.abc import Collection, Mapping

from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.pools import Pool


class PoolCapacity:
    """Hold the capacity of a pool in slots.

    `for_new_flows` is the capacity of the upstreams that may get new flows.  `of_listed` is that of
    the upstreams that the store lists, or of all upstreams if it lists none (`none_listed`).
    """

    __slots__ = ('for_new_flows', 'none_listed', 'of_listed')

    def __init__(self, upstreams: Collection[Upstream]) -> None:
        """Sum up the capacity of all upstreams of the pool."""
        listed = [upstream for upstream in upstreams if upstream.listed]
        self.none_listed = not listed
        self.of_listed = sum(upstream.capacity for upstream in listed or upstreams)
        self.for_new_flows = sum(
            upstream.capacity for upstream in upstreams if upstream.counts_toward_capacity
        )


class PoolMembers:
    """Hold the upstreams of each pool.

    The capacity of a pool is cached until it is invalidated, which is required when the entry, the
    listing or the speed of an upstream changes, or when the evacuation of the pool changes.
    """

    __slots__ = ('_by_pool', '_capacity_by_pool', '_pools_by_service')

    def __init__(self, pools_by_service: Mapping[str, Mapping[str, Pool]]) -> None:
        """Start without upstreams; `pools_by_service` has the pools by data centre."""
        self._pools_by_service = pools_by_service
        self._by_pool: dict[Pool, dict[str, Upstream]] = {}
        self._capacity_by_pool: dict[Pool, PoolCapacity] = {}

    def of_pool(self, service: str, data_centre: str) -> list[Upstream]:
        """Return the upstreams of a service in a data centre in the order they were added."""
        pool = self._pools_by_service.get(service, {}).get(data_centre)
        return list(self._by_pool.get(pool, {}).values()) if pool else []

    def capacity_of(self, pool: Pool) -> PoolCapacity:
        """Return the capacity of a pool, summed up again only if it was invalidated."""
        capacity = self._capacity_by_pool.get(pool)
        if capacity is None:
            capacity = PoolCapacity(self._by_pool.get(pool, {}).values())
            self._capacity_by_pool[pool] = capacity
        return capacity

    def capacity_by_centre(self, service: str) -> dict[str, float]:
        """Return the slots that a service has for new flows, by data centre."""
        pool_by_centre = self._pools_by_service.get(service, {})
        capacity_by_centre = {
            data_centre: self.capacity_of(pool).for_new_flows
            for data_centre, pool in pool_by_centre.items()
        }
        return {centre: capacity for centre, capacity in capacity_by_centre.items() if capacity}

    def add(self, upstream: Upstream) -> None:
        """Add an upstream to its pool."""
        self._by_pool.setdefault(upstream.pool, {})[upstream.entry.name] = upstream
        self.invalidate_capacity(upstream.pool)

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream from its pool."""
        self._by_pool.get(upstream.pool, {}).pop(upstream.entry.name, None)
        self.invalidate_capacity(upstream.pool)

    def invalidate_capacity(self, pool: Pool) -> None:
        """Discard the cached capacity of a pool."""
        self._capacity_by_pool.pop(pool, None)

    def invalidate_all_capacities(self) -> None:
        """Discard the cached capacities of all pools."""
        self._capacity_by_pool.clear()
