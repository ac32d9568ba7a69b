"""Represent callers, and detect those that are starved while others get more than their share."""

from collections import Counter

from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.links import Address


#: Requests due to a caller below which it is not checked, because a few may go unserved by chance,
#: and the minimum share of them that must be served; less than that cannot be chance.
_MIN_DUE = 6
_MIN_SERVED_SHARE = 0.1


class Caller:
    """A caller: its address, and the data centre whose hosts receive its packets."""

    __slots__ = ('address', 'data_centre')

    def __init__(self, address: str, data_centre: str) -> None:
        """Start in the given data centre."""
        self.address = address
        self.data_centre = data_centre


class ShareCounts:
    """Count the requests to `targets` in the same period, and those served, by caller.

    Callers are compared within a data centre: they use the same hosts, so a fault of these hosts or
    a busy machine affects all of them alike. Counts that are `discarded` are not checked.
    """

    def __init__(self, targets: set[Address]) -> None:
        """Start without any requests."""
        self.targets = targets
        self.discarded = False
        self._requested_by_centre: dict[str, Counter[str]] = {}
        self._served_by_centre: dict[str, Counter[str]] = {}

    def count_request(self, data_centre: str, address: str) -> None:
        """Count a request when it begins."""
        self._requested_by_centre.setdefault(data_centre, Counter())[address] += 1

    def count_served(self, data_centre: str, address: str) -> None:
        """Count a request that was served."""
        self._served_by_centre.setdefault(data_centre, Counter())[address] += 1

    def served(self, data_centre: str, address: str) -> int:
        """Return how many requests of a caller were served."""
        return self._served_by_centre.get(data_centre, Counter())[address]

    def check(self, checks: Checks) -> None:
        """Check that each caller was served a minimum share of the requests due to it.

        Due to a caller is an equal share of all served requests, or its own demand if that is less.
        """
        if self.discarded:
            return
        for data_centre, requested_by_address in self._requested_by_centre.items():
            served_by_address = self._served_by_centre.get(data_centre, Counter())
            share = served_by_address.total() / len(requested_by_address)
            for address, requested in requested_by_address.items():
                due = min(requested, share)
                if due < _MIN_DUE:
                    continue
                served = served_by_address[address]
                description = (
                    f'{address} in {data_centre} sent {requested} requests, {served} were served'
                )
                checks.check(Promise.SHARED, served >= due * _MIN_SERVED_SHARE, description)
