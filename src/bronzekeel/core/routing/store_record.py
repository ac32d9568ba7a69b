"""Keep which incarnation of the store has answered, and counts for metrics."""


class StoreRecord:
    """Hold the newest `incarnation` of the store that answered, and count what it told in vain.

    It is None before the first answer.  `histories_lost` counts watches that could not go on,
    `texts_refused` texts that were not put in force, and `unreadable_objects` what could not be
    read.
    """

    __slots__ = ('histories_lost', 'incarnation', 'texts_refused', 'unreadable_objects')

    def __init__(self) -> None:
        """Start before the first answer."""
        self.incarnation: int | None = None
        self.histories_lost = 0
        self.texts_refused = 0
        self.unreadable_objects = 0
