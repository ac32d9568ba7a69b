"""Define what hosts tell their neighbours of the callers of a service that is short."""

from struct import Struct


#: Callers that are told of for a service at most.  Source: of those that ask for several times
#: their share there are few; a heartbeat with three in it grows by less than a tenth.
MOST_TOLD = 3

#: Services of which callers are told at most.
MOST_SERVICES = 4

#: Whether requests wait, requests asked for and given in tenths, bits of the callers seen.
_HEAD = Struct('>?HHQ')

#: Address, requests asked for and given in tenths.
_HEAVY = Struct('>IHH')
_TENTHS = 10
_MOST_TENTHS = 0xFFFF


class HeavyCaller:
    """Say what one caller asked a host for and was given, in faded requests."""

    __slots__ = ('asked', 'caller', 'given')

    def __init__(self, caller: int, asked: float, given: float) -> None:
        """Keep the figures of `caller`."""
        self.caller = caller
        self.asked = asked
        self.given = given


class CallersWord:
    """Say what all callers of a service asked a host for and were given, and the heaviest.

    It is `short` when requests wait there or did lately; `seen` has the bits of the callers
    that were seen.
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
        """Keep the figures."""
        self.short = short
        self.asked = asked
        self.given = given
        self.seen = seen
        self.heaviest = heaviest


def pack_word(word: CallersWord) -> bytes:
    """Return a word as bytes."""
    head = _HEAD.pack(word.short, _tenths(word.asked), _tenths(word.given), word.seen)
    heavy = [
        _HEAVY.pack(heavy.caller, _tenths(heavy.asked), _tenths(heavy.given))
        for heavy in word.heaviest[:MOST_TOLD]
    ]
    return b''.join((head, *heavy))


def unpack_word(raw: bytes) -> CallersWord:
    """Return the word that ``pack_word`` made.  Raises ValueError."""
    heavy_bytes = len(raw) - _HEAD.size
    if heavy_bytes < 0 or heavy_bytes % _HEAVY.size or heavy_bytes > MOST_TOLD * _HEAVY.size:
        raise ValueError(f'{len(raw)} bytes are no word on callers')
    short, asked, given, seen = _HEAD.unpack_from(raw)
    heaviest = tuple(
        HeavyCaller(caller, heavy_asked / _TENTHS, heavy_given / _TENTHS)
        for caller, heavy_asked, heavy_given in _HEAVY.iter_unpack(raw[_HEAD.size :])
    )
    return CallersWord(short, asked / _TENTHS, given / _TENTHS, seen, heaviest)


def _tenths(requests: float) -> int:
    return min(round(requests * _TENTHS), _MOST_TENTHS)
