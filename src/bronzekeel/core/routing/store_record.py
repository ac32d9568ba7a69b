"""Record the incarnation of the store, and counters of its answers for metrics."""


class StoreRecord:
    """Hold the newest `incarnation` of the store, and count answers that could not be used.

    `incarnation` is None before the first answer.  `histories_lost` counts watches that could not
    be continued, `watches_doubted` those that were restarted because their answer may be lost,
    `texts_refused` texts that were not put in force, and `unreadable_objects` objects that could
    not be read.
    """

    __slots__ = (
        'histories_lost',
        'incarnation',
        'texts_refused',
        'unreadable_objects',
        'watches_doubted',
    )

    def __init__(self) -> None:
        """Start without an answer from the store."""
        self.incarnation: int | None = None
        self.histories_lost = 0
        self.texts_refused = 0
        self.unreadable_objects = 0
        self.watches_doubted = 0
