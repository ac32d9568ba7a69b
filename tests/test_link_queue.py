"""Replay bursts before a narrow link: what is lost, and who waits for whom."""

from collections import deque
from collections.abc import Iterator
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from bronzekeel.core.routing.link_queue import (
    HEADER_BYTES,
    LINK_SHARE,
    MAX_AHEAD_S,
    MAX_LATE_S,
    MAX_QUEUE_S,
    FairQueueOrder,
    LinkQueue,
    QueuedDatagram,
    SendingOrder,
)


_MBPS = 5.0
_BYTES_PER_S = _MBPS * 1e6 / 8
_BULK_BYTES = 1239
_REQUEST_BYTES = 300
_BURST = 16
_LINK_HOLDS_S = 0.004

#: Milliseconds that are played.
_STEPS = 1000
_TO = ('10.0.0.1', 80)

_PACKETS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(40, 1300), st.floats(0, 0.02)),
    max_size=60,
)


class _AsTheyCame(SendingOrder):
    """Send in the order in which datagrams came: the other way that was weighed."""

    def __init__(self) -> None:
        self._waiting: deque[QueuedDatagram] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, datagram: QueuedDatagram) -> bool:
        """Take a datagram behind all others."""
        self._waiting.append(datagram)
        return True

    def pop(self) -> QueuedDatagram | None:
        """Take out the first."""
        return self._waiting.popleft() if self._waiting else None


class _Link:
    """Stand in for a link that holds 4 ms of its rate and loses the rest."""

    def __init__(self) -> None:
        self.lost = 0
        self._free_at: float = 0

    def send(self, size: int, now: float) -> None:
        """Take a datagram or lose it."""
        if self._free_at - now > _LINK_HOLDS_S:
            self.lost += 1
            return
        self._free_at = max(self._free_at, now) + (size + HEADER_BYTES) / _BYTES_PER_S


class LoadTest(TestCase):
    """Three uploads begin together; a request comes each 10 ms."""

    def test_uploads_at_once(self) -> None:
        """Symptom: uploads take seconds on hosts that do nothing else.

        Sequence: callers send sixteen packets each at once over a link of 5 Mbit/s.
        Cause: what is forwarded at once the link has to lose.
        """
        lost, _ = _played(None)
        self.assertGreater(lost, _BURST)
        lost, _ = _played(FairQueueOrder())
        self.assertEqual(0, lost)

    def test_requests_do_not_wait_for_uploads(self) -> None:
        """Symptom: requests of one packet are late while others upload.

        Sequence: a request comes behind three bursts.
        Cause: datagrams leave in the order in which they came.
        """
        _, in_turn_s = _played(FairQueueOrder())
        _, as_they_came_s = _played(_AsTheyCame())
        packet_s = (_BULK_BYTES + HEADER_BYTES) / (_BYTES_PER_S * LINK_SHARE)
        self.assertLess(in_turn_s, 2 * packet_s)
        self.assertGreater(as_they_came_s, _BURST * packet_s)


class QueueTest(TestCase):
    """What holds whatever comes."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(packets=_PACKETS)
    def test_rate_and_order(self, packets: list[tuple[int, int, float]]) -> None:
        """No span has more than the rate, nothing is lost twice, and flows stay in order."""
        queue = LinkQueue(_MBPS, FairQueueOrder())
        now: float = 0
        left: list[tuple[float, int, int, int]] = []
        for sequence, (flow, size, gap_s) in enumerate(packets):
            now += gap_s
            _drain(queue, now, left)
            if queue.try_reserve(size, now):
                left.append((now, flow, sequence, size))
            else:
                queue.add(QueuedDatagram(bytes((flow,)), _numbered(sequence, size), _TO))
        _drain(queue, now + 10, left)
        self.assertEqual(len(packets), len(left) + queue.dropped)
        for flow in range(4):
            of_flow = [entry[2] for entry in left if entry[1] == flow]
            self.assertEqual(sorted(of_flow), of_flow)
        self._assert_within_rate(left)

    def test_a_repeat_of_what_waits_is_left_out(self) -> None:
        """Symptom: a link that is full gets fuller by what callers repeat.

        Sequence: a burst waits for longer than 0.2 s; its caller sends all of it again.
        Cause: the same bytes wait twice.
        """
        order = FairQueueOrder()
        for sequence in (1, 2, 1, 2):
            order.add(QueuedDatagram(b'f', _numbered(sequence, _BULK_BYTES), _TO))
        self.assertEqual(2, len(order))

    def test_each_acknowledgement_leaves(self) -> None:
        """Symptom: answers of many packets stall for 0.2 s behind a narrow link.

        Sequence: a caller acknowledges twice while others upload; both acknowledgements wait.
        Cause: the second, of the same length and at the same place, is taken for a repeat.
        """
        order = FairQueueOrder()
        acknowledgements = [bytes((200, 0, 7)), bytes((200, 0, 9))]
        for raw in acknowledgements:
            order.add(QueuedDatagram(b'f', raw, _TO))
        left = [order.pop(), order.pop()]
        self.assertEqual(acknowledgements, [out.raw for out in left if out is not None])

    def test_what_waited_through_a_pause_is_dropped(self) -> None:
        """Symptom: upstreams hold flows that nobody uses.

        Sequence: opening packets wait for the link; the host is frozen for seconds and wakes.
        Cause: the packets in the kernel are dropped then, and those before the link are not.
        """
        queue = LinkQueue(_MBPS, FairQueueOrder())
        queue.try_reserve(_BULK_BYTES, 0)
        for sequence in range(5):
            queue.add(QueuedDatagram(b'f', _numbered(sequence, _BULK_BYTES), _TO))
        self.assertEqual(5, queue.drop())
        self.assertIsNone(queue.pop_due(9))
        self.assertTrue(queue.try_reserve(_BULK_BYTES, 9))

    def test_what_waits_is_bounded(self) -> None:
        """A flood is lost as it would be on the link, and counted."""
        queue = LinkQueue(_MBPS, FairQueueOrder())
        queue.try_reserve(_BULK_BYTES, 0)
        for sequence in range(1000):
            queue.add(QueuedDatagram(b'f', _numbered(sequence, _BULK_BYTES), _TO))
        self.assertLessEqual(len(queue) * _BULK_BYTES, _BYTES_PER_S * MAX_QUEUE_S)
        self.assertEqual(1000, len(queue) + queue.dropped)

    def test_a_wide_link_holds_nothing_back(self) -> None:
        """At 1,000 Mbit/s a burst leaves at once."""
        queue = LinkQueue(1000, FairQueueOrder())
        self.assertTrue(all(queue.try_reserve(_BULK_BYTES, 0) for _ in range(_BURST)))

    def _assert_within_rate(self, left: list[tuple[float, int, int, int]]) -> None:
        for place, first in enumerate(left):
            taken: float = 0
            for later in left[place:]:
                taken += (later[3] + HEADER_BYTES) / (_BYTES_PER_S * LINK_SHARE)
                longest = (later[3] + HEADER_BYTES) / (_BYTES_PER_S * LINK_SHARE)
                within = later[0] - first[0] + longest + 2 * MAX_AHEAD_S + MAX_LATE_S
                self.assertLessEqual(taken, within + 1e-9)


def _numbered(sequence: int, size: int) -> bytes:
    """Return a datagram of a size that differs from others by its number."""
    return sequence.to_bytes(4, 'big').ljust(size, b'.')


def _number_of(datagram: QueuedDatagram) -> int:
    return int.from_bytes(datagram.raw[:4], 'big')


def _drain(queue: LinkQueue, now: float, left: list[tuple[float, int, int, int]]) -> None:
    """Let go of what may leave until `now`, at the moments at which it may."""
    while queue and queue.next_at <= now:
        at = max(queue.next_at, 0)
        datagram = queue.pop_due(at)
        if datagram is None:
            return
        left.append((at, datagram.flow[0], _number_of(datagram), len(datagram.raw)))


def _played(order: SendingOrder | None) -> tuple[int, float]:
    """Play the load; return what the link lost and the longest that a request waited."""
    link = _Link()
    if order is None:
        for step in range(_STEPS):
            for datagram in _arriving(step):
                link.send(len(datagram.raw), step / _STEPS)
        return link.lost, 0
    queue = LinkQueue(_MBPS, order)
    longest_s: float = 0
    for step in range(_STEPS):
        now = step / _STEPS
        for datagram in (*_arriving_late(queue, step), *_leaving(queue, now)):
            link.send(len(datagram.raw), now)
            if len(datagram.raw) == _REQUEST_BYTES:
                longest_s = max(longest_s, now - _number_of(datagram) / _STEPS)
    return link.lost, longest_s


def _arriving_late(queue: LinkQueue, step: int) -> Iterator[QueuedDatagram]:
    """Put what comes into the queue, but for what may pass at once."""
    for datagram in _arriving(step):
        if queue.try_reserve(len(datagram.raw), step / _STEPS):
            yield datagram
        else:
            queue.add(datagram)


def _leaving(queue: LinkQueue, now: float) -> Iterator[QueuedDatagram]:
    datagram = queue.pop_due(now)
    while datagram is not None:
        yield datagram
        datagram = queue.pop_due(now)


def _arriving(step: int) -> list[QueuedDatagram]:
    """Return what comes in a millisecond; a request's sequence tells when it came."""
    arrived = []
    if step % 500 == 0:
        for upload in (b'u1', b'u2', b'u3'):
            flow = b'%s%d' % (upload, step)
            arrived.extend(
                QueuedDatagram(flow, _numbered(packet, _BULK_BYTES), _TO)
                for packet in range(_BURST)
            )
    if step % 10 == 5:
        flow = b'r%d' % step
        arrived.append(QueuedDatagram(flow, _numbered(step, _REQUEST_BYTES), _TO))
    return arrived
