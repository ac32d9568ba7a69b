"""Counts of the demo's outcomes, taken at the callers and upstreams."""

from collections import Counter

from msgspec import Struct

from bronzekeel.bench.quantiles import quantile
from bronzekeel.demo.site import Site


_P99 = 0.99


class Outcome(Struct, frozen=True):
    """Result of the demo; `ok` is true if every guarantee held."""

    flows: int
    broken_flows_planned: int
    broken_flows_unplanned: int
    misdelivered: int
    requests: int
    answered: int
    not_run: int
    unknown: int
    ran_twice: int
    not_run_but_ran: int
    cut_answers: int
    crossed_answers: int
    late_flows_on_leaving: int
    imbalance: dict[str, float]
    text_in_force_s: list[float]
    text_in_force_p99_s: float
    handed_share: float
    platform_outage_refused: bool
    ok: bool


def count(
    site: Site,
    broken_planned: int,
    in_force_s: list[float],
    late: int,
    *,
    refused: bool,
) -> Outcome:
    """Return the counts of callers and upstreams.

    `in_force_s` are the seconds that each text took to be in force everywhere, `late` the new
    flows on the draining upstream, and `refused` whether the submission during the platform outage
    was refused.
    """
    caller = site.caller
    ran = _runs(site)
    ran_twice = sum(1 for reply in caller.request_results if ran[reply.request] > 1)
    not_run_but_ran = sum(
        1 for reply in caller.request_results if reply.outcome == 'not_run' and reply.request in ran
    )
    flows = list(site.fabric.flow_by_key.values())
    broken = sum(flow.reset for flow in flows)
    misdelivered = sum(
        flow.misdelivered
        for upstreams in site.flow_upstreams.values()
        for flow in upstreams.values()
    )
    violations = (broken_planned, misdelivered, ran_twice, not_run_but_ran, late)
    guarantees_held = not any(violations) and not caller.cut and not caller.mismatched
    return Outcome(
        flows=len(flows),
        broken_flows_planned=broken_planned,
        broken_flows_unplanned=broken - broken_planned,
        misdelivered=misdelivered,
        requests=len(caller.request_results),
        answered=caller.outcomes['answered'],
        not_run=caller.outcomes['not_run'],
        unknown=caller.outcomes['unknown'],
        ran_twice=ran_twice,
        not_run_but_ran=not_run_but_ran,
        cut_answers=caller.cut,
        crossed_answers=caller.mismatched,
        late_flows_on_leaving=late,
        imbalance=_imbalance(site),
        text_in_force_s=[round(seconds, 3) for seconds in in_force_s],
        text_in_force_p99_s=round(quantile(in_force_s, _P99), 3),
        handed_share=_handed_share(site),
        platform_outage_refused=refused,
        ok=guarantees_held and caller.outcomes['answered'] > 0 and bool(in_force_s) and refused,
    )


def _runs(site: Site) -> Counter[str]:
    """Return how often upstreams ran each request, by request id."""
    runs: Counter[str] = Counter()
    for upstreams in site.request_upstreams.values():
        for upstream in upstreams.values():
            runs.update(upstream.ran)
    return runs


def _imbalance(site: Site) -> dict[str, float]:
    """Return the ratio of maximum to mean per upstream, of flows or requests, by service.

    Upstreams that joined or drained during the demo are excluded from the flow ratios.
    """
    changed = site.draining | site.joined
    result = {}
    for service, flows in site.flow_upstreams.items():
        result[service] = _ratio(
            [flow.opened for endpoint, flow in flows.items() if endpoint not in changed]
        )
    for service, upstreams in site.request_upstreams.items():
        result[service] = _ratio([sum(item.ran.values()) for item in upstreams.values()])
    return result


def _ratio(counts: list[int]) -> float:
    if not sum(counts):
        return 0
    return round(max(counts) * len(counts) / sum(counts), 3)


def _handed_share(site: Site) -> float:
    handed = sum(balancer.packet_counts['handed'] for balancer in site.balancers.values())
    return round(handed / max(1, site.fabric.sprayed), 4)
