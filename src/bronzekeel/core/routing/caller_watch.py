"""Keep the shares of callers up to date, and tell operators who is held to its share."""

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.caller_shares import USUAL_CALLER_BITS, CallerShares, fading
from bronzekeel.core.routing.caller_words import MOST_SERVICES, CallersWord
from bronzekeel.core.routing.effects import Effect, WriteLine
from bronzekeel.core.routing.peers import PeerTable
from bronzekeel.core.routing.pools import Pool


#: Callers of a service whose beginnings and ends are logged at most, at a time.
_MOST_HELD = 4

#: Seconds for which a caller must have kept to its share to be held no longer.
_RELEASE_S = 2.0

_OCTETS = 4


class _Held:
    """Hold since when a caller is held to its share, and until when at least."""

    __slots__ = ('since', 'until')

    def __init__(self, now: float) -> None:
        self.since = now
        self.until = now + _RELEASE_S


class CallerWatch:
    """Give pools whose demand is controlled the shares of their callers."""

    __slots__ = ('_held_by_pool', 'bits')

    def __init__(self, bits: int = USUAL_CALLER_BITS) -> None:
        """Take the leading `bits` of an address for a caller."""
        self.bits = bits
        self._held_by_pool: dict[Pool, dict[int, _Held]] = {}

    def look(
        self,
        pools: list[Pool],
        peers: PeerTable,
        now: float,
        *,
        controlled: bool,
    ) -> list[Effect]:
        """Reckon the shares; return the lines on callers that are held to theirs, or no longer.

        There are shares only while demand is `controlled`.
        """
        effects: list[Effect] = []
        for pool in pools:
            if not controlled:
                pool.callers = None
                continue
            if pool.callers is None:
                pool.callers = CallerShares(self.bits)
            pool.callers.reckon(_told_near(pool.service, peers, now), now)
            if pool.callers.counting or pool in self._held_by_pool:
                effects.extend(self._note_held(pool, pool.callers, now))
        return effects

    def words(self, pools: list[Pool], now: float) -> dict[str, CallersWord]:
        """Return what neighbours are to know of services that are short."""
        word_by_service: dict[str, CallersWord] = {}
        for pool in pools:
            word = pool.callers.word(now) if pool.callers else None
            if word is not None and len(word_by_service) < MOST_SERVICES:
                word_by_service[pool.service] = word
        return word_by_service

    def _note_held(self, pool: Pool, shares: CallerShares, now: float) -> list[Effect]:
        effects: list[Effect] = []
        held_by_caller = self._held_by_pool.setdefault(pool, {})
        for caller in shares.callers_above(now)[:_MOST_HELD]:
            held = held_by_caller.get(caller)
            if held is not None:
                held.until = now + _RELEASE_S
                continue
            if len(held_by_caller) >= _MOST_HELD:
                continue
            held_by_caller[caller] = _Held(now)
            effects.append(
                WriteLine(
                    LogNumber.CALLER_HELD,
                    service=pool.service,
                    caller=caller_text(caller, self.bits),
                    given=round(shares.given_to(caller, now), 1),
                    share=round(shares.level, 1),
                ),
            )
        effects.extend(self._release(pool, held_by_caller, now))
        return effects

    def _release(self, pool: Pool, held_by_caller: dict[int, _Held], now: float) -> list[Effect]:
        effects: list[Effect] = []
        for caller, held in list(held_by_caller.items()):
            if now < held.until:
                continue
            held_by_caller.pop(caller)
            effects.append(
                WriteLine(
                    LogNumber.CALLER_RELEASED,
                    service=pool.service,
                    caller=caller_text(caller, self.bits),
                    held_s=round(now - held.since, 1),
                ),
            )
        if not held_by_caller:
            self._held_by_pool.pop(pool)
        return effects


def caller_text(caller: int, bits: int) -> str:
    """Return a caller for people: the address and how many leading bits count."""
    octets = '.'.join(str(octet) for octet in caller.to_bytes(_OCTETS, 'big'))
    return f'{octets}/{bits}'


def _told_near(
    service: str,
    peers: PeerTable,
    now: float,
) -> list[tuple[float, CallersWord]]:
    """Return the newest words of living neighbours on a service, and what is left of each."""
    told = []
    for peer in peers.live_neighbours(now):
        if peer.heartbeat is None or peer.received_at is None:
            continue
        word = peer.heartbeat.callers_by_service.get(service)
        if word is not None:
            told.append((fading(now - peer.received_at, peers.interval_s), word))
    return told
