"""Define what hosts tell their neighbours of the callers of a service that is short."""

from struct import Struct


#: Callers that are told of for a service at most.  Source: of those that ask for several times
#: their share there are few; a heartbeat with three in it grows by less than a tenth.
MAX_REPORTED_CALLERS = 3

#: Services of which callers are told at most.
MAX_REPORTED_SERVICES = 4

#: Whether requests wait, requests demand for and admitted in tenths, bits of the callers seen.
_HEAD = Struct('>?HHQ')

#: Address, requests demand for and admitted in tenths.
_HEAVY = Struct('>IHH')
_TENTHS = 10
_MAX_TENTHS = 0xFFFF


class HeavyCaller:
    """Say what one caller demand a host for and was admitted, in faded requests."""

    __slots__ = ('asked', 'caller', 'given')

    def __init__(self, caller: int, demand: float, admitted: float) -> None:
        """Keep the figures of `caller`."""
        self.caller = caller
        self.asked = demand
        self.given = admitted


class CallersReport:
    """Say what all callers of a service demand a host for and were admitted, and the heaviest.

    It is `short` when requests wait there or did lately; `seen` has the bits of the callers
    that were seen.
    """

    __slots__ = ('asked', 'given', 'heaviest', 'seen', 'short')

    def __init__(
        self,
        short: bool,  # noqa: FBT001 (a field of a message)
        demand: float,
        admitted: float,
        seen: int,
        heaviest: tuple[HeavyCaller, ...] = (),
    ) -> None:
        """Keep the figures."""
        self.short = short
        self.asked = demand
        self.given = admitted
        self.seen = seen
        self.heaviest = heaviest


def pack_callers_report(report: CallersReport) -> bytes:
    """Return a report as bytes."""
    head = _HEAD.pack(report.short, _tenths(report.asked), _tenths(report.given), report.seen)
    heavy = [
        _HEAVY.pack(heavy.caller, _tenths(heavy.asked), _tenths(heavy.given))
        for heavy in report.heaviest[:MAX_REPORTED_CALLERS]
    ]
    return b''.join((head, *heavy))


def unpack_callers_report(raw: bytes) -> CallersReport:
    """Return the report that ``pack_callers_report`` made.  Raises ValueError."""
    heavy_bytes = len(raw) - _HEAD.size
    if (
        heavy_bytes < 0
        or heavy_bytes % _HEAVY.size
        or heavy_bytes > MAX_REPORTED_CALLERS * _HEAVY.size
    ):
        raise ValueError(f'{len(raw)} bytes are no report on callers')
    short, demand, admitted, seen = _HEAD.unpack_from(raw)
    heaviest = tuple(
        HeavyCaller(caller, heavy_demand / _TENTHS, heavy_admitted / _TENTHS)
        for caller, heavy_demand, heavy_admitted in _HEAVY.iter_unpack(raw[_HEAD.size :])
    )
    return CallersReport(short, demand / _TENTHS, admitted / _TENTHS, seen, heaviest)


def _tenths(requests: float) -> int:
    return min(round(requests * _TENTHS), _MAX_TENTHS)
