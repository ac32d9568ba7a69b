"""Record the incarnation of the store, how late it answers, and counters for metrics."""

from bronzekeel.core.store_waits import ANSWER_TIMEOUT_S


#: Minimum time that the store has for an answer before its loss is assumed, in seconds.  A store
#: sixty times slower than its usual 4 ms answers in half of this time.
MIN_ANSWER_GRACE_S = 0.5


class StoreRecord:
    """Hold the newest `incarnation` of the store, and count answers that could not be used.

    `incarnation` is None before the first answer.  The last answer that was late came `late_s`
    seconds after it was due.  `histories_lost` counts watches that could not be continued,
    `watches_doubted` those that were restarted because their answer may be lost, `texts_refused`
    texts that were not put in force, and `unreadable_objects` objects that could not be read.
    """

    __slots__ = (
        'histories_lost',
        'incarnation',
        'late_s',
        'texts_refused',
        'unreadable_objects',
        'watches_doubted',
    )

    def __init__(self) -> None:
        """Start without an answer from the store."""
        self.incarnation: int | None = None
        self.late_s: float = 0
        self.histories_lost = 0
        self.texts_refused = 0
        self.unreadable_objects = 0
        self.watches_doubted = 0

    @property
    def grace_s(self) -> float:
        """Seconds after which an answer that is due counts as lost.

        It is twice the last delay.  Otherwise a store that is slow would be called again for each
        of its answers, and become slower.
        """
        return min(max(MIN_ANSWER_GRACE_S, 2 * self.late_s), ANSWER_TIMEOUT_S)
