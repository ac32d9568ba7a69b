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
    """Hold one caller's decayed requests at a host: all (`demand`) and those admitted."""

    __slots__ = ('admitted', 'caller', 'demand')

    def __init__(self, caller: int, demand: float, admitted: float) -> None:
        """Store the figures of `caller`."""
        self.caller = caller
        self.demand = demand
        self.admitted = admitted


class CallersReport:
    """Hold the decayed requests of all callers of a service at one host, and the heaviest callers.

    `demand` counts all requests, `admitted` those that were admitted. `short` is set when requests
    wait there or did so recently. `seen` is the bitmap of the callers that sent requests.
    """

    __slots__ = ('admitted', 'demand', 'heaviest', 'seen', 'short')

    def __init__(
        self,
        short: bool,  # noqa: FBT001 (a field of a message)
        demand: float,
        admitted: float,
        seen: int,
        heaviest: tuple[HeavyCaller, ...] = (),
    ) -> None:
        """Store the figures."""
        self.short = short
        self.demand = demand
        self.admitted = admitted
        self.seen = seen
        self.heaviest = heaviest


def pack_callers_report(report: CallersReport) -> bytes:
    """Return a report in its binary form."""
    head = _HEAD.pack(report.short, _tenths(report.demand), _tenths(report.admitted), report.seen)
    heavy = [
        _HEAVY.pack(heavy.caller, _tenths(heavy.demand), _tenths(heavy.admitted))
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
    short, demand, admitted, seen = _HEAD.unpack_from(raw)
    heaviest = tuple(
        HeavyCaller(caller, heavy_demand / _TENTHS, heavy_admitted / _TENTHS)
        for caller, heavy_demand, heavy_admitted in _HEAVY.iter_unpack(raw[_HEAD.size :])
    )
    return CallersReport(short, demand / _TENTHS, admitted / _TENTHS, seen, heaviest)


def _tenths(requests: float) -> int:
    return min(round(requests * _TENTHS), _MAX_TENTHS)
