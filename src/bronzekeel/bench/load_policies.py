"""Policies that the placement benchmark compares, by name, including the product's own."""

from collections.abc import Mapping
from types import MappingProxyType

from bronzekeel.bench.admission_policies import (
    AdmitAll,
    FixedLimit,
    LearnedLimit,
    ShareWithoutBorrowing,
    WaitTarget,
)
from bronzekeel.bench.placement_policies import OwnCountsOnly, RandomLocal, SummedCounts, TwoChoices
from bronzekeel.bench.waiting_policies import (
    OldestFirst,
    PriorityBlind,
    RoundRobin,
    StochasticFairness,
    TokensByShare,
)
from bronzekeel.core.routing.placement import EqualWork
from bronzekeel.core.routing.waiting import NewestFirst
from bronzekeel.replay.routing_fleet import FleetPolicies


PRODUCT = 'least_busy'
EQUAL_WORK = 'equal_work'

POLICIES: Mapping[str, FleetPolicies] = MappingProxyType(
    {
        PRODUCT: FleetPolicies(),
        EQUAL_WORK: FleetPolicies(placement_of=EqualWork),
        'random_near': FleetPolicies(placement_of=RandomLocal),
        'two_choices': FleetPolicies(placement_of=TwoChoices),
        'own_sight': FleetPolicies(placement_of=OwnCountsOnly),
        'summed': FleetPolicies(placement_of=SummedCounts),
        'admit_all': FleetPolicies(admission_of=AdmitAll),
        'fixed_limit': FleetPolicies(admission_of=FixedLimit),
        'share_alone': FleetPolicies(admission_of=ShareWithoutBorrowing),
        'learned_limit': FleetPolicies(admission_of=LearnedLimit),
        'wait_target': FleetPolicies(admission_of=WaitTarget),
        'oldest_first': FleetPolicies(order_of=OldestFirst),
        'priority_blind': FleetPolicies(order_of=PriorityBlind),
        'newest_first': FleetPolicies(order_of=NewestFirst),
        'round_robin': FleetPolicies(order_of=RoundRobin),
        'stochastic_fairness': FleetPolicies(order_of=StochasticFairness),
        'tokens_by_share': FleetPolicies(order_of=TokensByShare),
    },
)
