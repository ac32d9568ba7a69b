"""Know the callers of a soak, and judge whether one is shut out while another has too much."""

from collections import Counter

from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.links import Address


#: Requests that are due to a caller below which nothing is judged, and the share of them that must
#: be served: fewer than that is no chance.
_MIN_DUE = 6
_MIN_SERVED_SHARE = 0.1


class Caller:
    """Hold one caller: its address, and the data centre whose hosts get its packets."""

    __slots__ = ('address', 'data_centre')

    def __init__(self, address: str, data_centre: str) -> None:
        """Start in its data centre."""
        self.address = address
        self.data_centre = data_centre


class ShareCounts:
    """Count what callers of each data centre asked of `targets` at the same time, and were served.

    Callers of one data centre use the same hosts: what strikes these, and a machine that is
    busy, strikes all of them alike.  `discarded` ones judge nothing.
    """

    def __init__(self, targets: set[Address]) -> None:
        """Start with nothing asked."""
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
        """Check what each caller was served of what was due to it.

        An equal share of what was served is due to a caller, or less if it asked for less.
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
                    f'{address} in {data_centre} asked {requested} times, was served {served} times'
                )
                checks.check(Promise.SHARED, served >= due * _MIN_SERVED_SHARE, description)
