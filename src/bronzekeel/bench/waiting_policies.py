"""Give the placement benchmark the orders of waiting requests that were weighed."""

from bronzekeel.core.routing.waiting import WaitingOrder, WaitingRequest


class OldestFirst(WaitingOrder):
    """Let the most urgent go first, and of equals the oldest."""

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by priority, then by who came first."""
        return request.priority, number


class PriorityBlind(WaitingOrder):
    """Let the newest go first, however urgent."""

    def rank(self, request: WaitingRequest, number: int) -> tuple[int, int]:
        """Rank by who came last."""
        return 0, -number
