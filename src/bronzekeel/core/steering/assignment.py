"""Assign the buckets of a service to its upstreams in proportion to their weights."""

from bronzekeel.core.catalogue import ServiceSpec, UpstreamSpec
from bronzekeel.core.hashing import weighted_score


def assign(service: ServiceSpec) -> list[str]:
    """Return the endpoint of each bucket, an empty list if no upstream is active.

    The result depends on the text alone, so every balancer computes the same
    assignment.  Buckets are assigned by weighted rendezvous hashing.  Quotas
    in proportion to the weights keep each upstream within one bucket of its
    fair share, which rendezvous hashing alone does not guarantee.
    """
    active = service.active
    if not active:
        return []
    quotas = _quotas(active, service.buckets)
    ranked = sorted(_scores(service, active), reverse=True)
    chosen: list[str] = ['' for _ in range(service.buckets)]
    for _, bucket, endpoint in ranked:
        if chosen[bucket] or not quotas[endpoint]:
            continue
        chosen[bucket] = endpoint
        quotas[endpoint] -= 1
    return chosen


def _scores(service: ServiceSpec, active: list[UpstreamSpec]) -> list[tuple[float, int, str]]:
    scores = []
    for bucket in range(service.buckets):
        key = f'{service.name}/{bucket}'
        for spec in active:
            score = weighted_score(key, spec.endpoint, spec.weight)
            scores.append((score, bucket, spec.endpoint))
    return scores


def _quotas(active: list[UpstreamSpec], buckets: int) -> dict[str, int]:
    """Return the number of buckets per endpoint, by the largest remainder method."""
    total = sum(spec.weight for spec in active)
    quotas = {}
    fractions = []
    for spec in active:
        exact = buckets * spec.weight / total
        quotas[spec.endpoint] = int(exact)
        fractions.append((exact - int(exact), spec.endpoint))
    left = buckets - sum(quotas.values())
    for _, endpoint in sorted(fractions, reverse=True)[:left]:
        quotas[endpoint] += 1
    return quotas
