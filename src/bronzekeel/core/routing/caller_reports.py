"""Define what hosts report to neighbours on the callers of services where requests wait."""

from struct import Struct


#: Most callers reported for a service. Few callers demand several times their share; three of them
#: make a heartbeat less than a tenth longer.
MAX_REPORTED_CALLERS = 3

#: Most services whose callers are reported.
MAX_REPORTED_SERVICES = 4

#: Whether requests wait, requests in total and admitted (in tenths), bitmap of callers.
_HEAD = Struct('>?HHQ')

#: Address, requests in total and admitted (in tenths).
_HEAVY = Struct('>IHH')
_TENTHS = 10
_MAX_TENTHS = 0xFFFF


class HeavyCaller:
    """Hold one caller's decayed requests at a host: all (`asked`) and those admitted (`given`)."""

    __slots__ = ('asked', 'caller', 'given')

    def __init__(self, caller: int, asked: float, given: float) -> None:
        """Store the figures of `caller`."""
        self.caller = caller
        self.asked = asked
        self.given = given


class CallersReport:
    """Hold the decayed requests of all callers of a service at one host, and the heaviest callers.

    `asked` counts all requests, `given` those admitted. `short` is set when requests wait there or
    did so recently. `seen` is the bitmap of the callers that sent requests.
    """

    __slots__ = ('asked', 'given', 'heaviest', 'seen', 'short')

    def __init__(
        self,
        short: bool,  # noqa: FBT001 (a field of a message)
        asked: float,
        given: float,
        seen: int,
        heaviest: tuple[HeavyCaller, ...] = (),
    ) -> None:
        """Store the figures."""
        self.short = short
        self.asked = asked
        self.given = given
        self.seen = seen
        self.heaviest = heaviest


def pack_callers_report(report: CallersReport) -> bytes:
    """Return a report in its binary form."""
    head = _HEAD.pack(report.short, _tenths(report.asked), _tenths(report.given), report.seen)
    heavy = [
        _HEAVY.pack(heavy.caller, _tenths(heavy.asked), _tenths(heavy.given))
        for heavy in report.heaviest[:MAX_REPORTED_CALLERS]
    ]
    return b''.join((head, *heavy))


def unpack_callers_report(raw: bytes) -> CallersReport:
    """Return the report that ``pack_callers_report`` encoded. Raises ValueError."""
    heavy_bytes = len(raw) - _HEAD.size
    if (
        heavy_bytes < 0
        or heavy_bytes % _HEAVY.size
        or heavy_bytes > MAX_REPORTED_CALLERS * _HEAVY.size
    ):
        raise ValueError(f'a report on callers cannot have {len(raw)} bytes')
    short, asked, given, seen = _HEAD.unpack_from(raw)
    heaviest = tuple(
        HeavyCaller(caller, heavy_asked / _TENTHS, heavy_given / _TENTHS)
        for caller, heavy_asked, heavy_given in _HEAVY.iter_unpack(raw[_HEAD.size :])
    )
    return CallersReport(short, asked / _TENTHS, given / _TENTHS, seen, heaviest)


def _tenths(requests: float) -> int:
    return min(round(requests * _TENTHS), _MAX_TENTHS)
