"""Test the queue before a narrow link under bursts: losses, delays and order."""

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
_LINK_BUFFER_S = 0.004

#: Length of the replayed load in steps of a millisecond.
_STEPS = 1000
_ADDRESS = ('10.0.0.1', 80)

_PACKETS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(40, 1300), st.floats(0, 0.02)),
    max_size=60,
)


class _ArrivalOrder(SendingOrder):
    """Send datagrams in order of arrival, for comparison with round-robin."""

    def __init__(self) -> None:
        self._waiting: deque[QueuedDatagram] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, datagram: QueuedDatagram) -> bool:
        """Add a datagram after all others."""
        self._waiting.append(datagram)
        return True

    def pop(self) -> QueuedDatagram | None:
        """Remove and return the first datagram."""
        return self._waiting.popleft() if self._waiting else None


class _Link:
    """Simulate a link that buffers 4 ms of its rate and drops the rest."""

    def __init__(self) -> None:
        self.lost = 0
        self._free_at: float = 0

    def send(self, size: int, now: float) -> None:
        """Transmit a datagram, or drop it if the buffer is full."""
        if self._free_at - now > _LINK_BUFFER_S:
            self.lost += 1
            return
        self._free_at = max(self._free_at, now) + (size + HEADER_BYTES) / _BYTES_PER_S


class LoadTest(TestCase):
    """Test with three uploads that start together, and a request every 10 ms."""

    def test_uploads_at_once(self) -> None:
        """Guards against uploads that take seconds on otherwise idle hosts.

        Callers send sixteen packets each at once.  Without a queue these are forwarded at once,
        and a link of 5 Mbit/s drops most of them.
        """
        lost, _ = _replay(None)
        self.assertGreater(lost, _BURST)
        lost, _ = _replay(FairQueueOrder())
        self.assertEqual(0, lost)

    def test_requests_do_not_wait_for_uploads(self) -> None:
        """Guards against requests of one packet that are late while others upload.

        In order of arrival, a request that arrives after three bursts waits for all of them.
        """
        _, round_robin_s = _replay(FairQueueOrder())
        _, arrival_order_s = _replay(_ArrivalOrder())
        packet_s = (_BULK_BYTES + HEADER_BYTES) / (_BYTES_PER_S * LINK_SHARE)
        self.assertLess(round_robin_s, 2 * packet_s)
        self.assertGreater(arrival_order_s, _BURST * packet_s)


class QueueTest(TestCase):
    """Test properties that hold for any load."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(packets=_PACKETS)
    def test_rate_and_order(self, packets: list[tuple[int, int, float]]) -> None:
        """The rate holds in any interval, all datagrams are accounted for, flows stay in order."""
        queue = LinkQueue(_MBPS, FairQueueOrder())
        now: float = 0
        sent: list[tuple[float, int, int, int]] = []
        for sequence, (flow, size, gap_s) in enumerate(packets):
            now += gap_s
            _drain(queue, now, sent)
            if queue.try_reserve(size, now):
                sent.append((now, flow, sequence, size))
            else:
                queue.add(
                    QueuedDatagram(bytes((flow,)), _numbered_datagram(sequence, size), _ADDRESS)
                )
        _drain(queue, now + 10, sent)
        self.assertEqual(len(packets), len(sent) + queue.dropped)
        for flow in range(4):
            of_flow = [entry[2] for entry in sent if entry[1] == flow]
            self.assertEqual(sorted(of_flow), of_flow)
        self._assert_within_rate(sent)

    def test_a_repeat_of_a_waiting_datagram_is_left_out(self) -> None:
        """Guards against repeats that add to the load of a full link.

        A burst waits for longer than 0.2 s, so its caller repeats all of it while it still waits.
        """
        order = FairQueueOrder()
        for sequence in (1, 2, 1, 2):
            order.add(QueuedDatagram(b'f', _numbered_datagram(sequence, _BULK_BYTES), _ADDRESS))
        self.assertEqual(2, len(order))

    def test_each_acknowledgement_is_sent(self) -> None:
        """Guards against answers of many packets that stall for 0.2 s behind a narrow link.

        Two acknowledgements of a caller wait while others upload.  They have the same length and
        sequence number, so the second must not be mistaken for a repeat.
        """
        order = FairQueueOrder()
        acknowledgements = [bytes((200, 0, 7)), bytes((200, 0, 9))]
        for raw in acknowledgements:
            order.add(QueuedDatagram(b'f', raw, _ADDRESS))
        sent = [order.pop(), order.pop()]
        self.assertEqual(acknowledgements, [out.raw for out in sent if out is not None])

    def test_datagrams_that_waited_through_a_pause_are_dropped(self) -> None:
        """Guards against flows at upstreams that no caller uses.

        Opening packets wait for the link while the host is paused for seconds.  Those in the queue
        must be dropped afterwards, like those in the kernel.
        """
        queue = LinkQueue(_MBPS, FairQueueOrder())
        queue.try_reserve(_BULK_BYTES, 0)
        for sequence in range(5):
            queue.add(QueuedDatagram(b'f', _numbered_datagram(sequence, _BULK_BYTES), _ADDRESS))
        self.assertEqual(5, queue.drop())
        self.assertIsNone(queue.pop_due(9))
        self.assertTrue(queue.try_reserve(_BULK_BYTES, 9))

    def test_the_queue_is_bounded(self) -> None:
        """Excess datagrams are dropped, as they would be on the link, and counted."""
        queue = LinkQueue(_MBPS, FairQueueOrder())
        queue.try_reserve(_BULK_BYTES, 0)
        for sequence in range(1000):
            queue.add(QueuedDatagram(b'f', _numbered_datagram(sequence, _BULK_BYTES), _ADDRESS))
        self.assertLessEqual(len(queue) * _BULK_BYTES, _BYTES_PER_S * MAX_QUEUE_S)
        self.assertEqual(1000, len(queue) + queue.dropped)

    def test_a_wide_link_causes_no_delay(self) -> None:
        """At 1,000 Mbit/s a burst is sent at once."""
        queue = LinkQueue(1000, FairQueueOrder())
        self.assertTrue(all(queue.try_reserve(_BULK_BYTES, 0) for _ in range(_BURST)))

    def _assert_within_rate(self, sent: list[tuple[float, int, int, int]]) -> None:
        for index, first in enumerate(sent):
            used_s: float = 0
            for later in sent[index:]:
                used_s += (later[3] + HEADER_BYTES) / (_BYTES_PER_S * LINK_SHARE)
                packet_s = (later[3] + HEADER_BYTES) / (_BYTES_PER_S * LINK_SHARE)
                allowed_s = later[0] - first[0] + packet_s + 2 * MAX_AHEAD_S + MAX_LATE_S
                self.assertLessEqual(used_s, allowed_s + 1e-9)


def _numbered_datagram(sequence: int, size: int) -> bytes:
    """Return a datagram of `size` bytes that starts with its number."""
    return sequence.to_bytes(4, 'big').ljust(size, b'.')


def _number_of(datagram: QueuedDatagram) -> int:
    return int.from_bytes(datagram.raw[:4], 'big')


def _drain(queue: LinkQueue, now: float, sent: list[tuple[float, int, int, int]]) -> None:
    """Send the datagrams that are due by `now`, each at the time when it becomes due."""
    while queue and queue.next_at <= now:
        at = max(queue.next_at, 0)
        datagram = queue.pop_due(at)
        if datagram is None:
            return
        sent.append((at, datagram.flow[0], _number_of(datagram), len(datagram.raw)))


def _replay(order: SendingOrder | None) -> tuple[int, float]:
    """Replay the load; return how many datagrams the link lost and the longest request delay."""
    link = _Link()
    if order is None:
        for step in range(_STEPS):
            for datagram in _arrivals(step):
                link.send(len(datagram.raw), step / _STEPS)
        return link.lost, 0
    queue = LinkQueue(_MBPS, order)
    longest_s: float = 0
    for step in range(_STEPS):
        now = step / _STEPS
        for datagram in (*_enqueue_arrivals(queue, step), *_send_due(queue, now)):
            link.send(len(datagram.raw), now)
            if len(datagram.raw) == _REQUEST_BYTES:
                longest_s = max(longest_s, now - _number_of(datagram) / _STEPS)
    return link.lost, longest_s


def _enqueue_arrivals(queue: LinkQueue, step: int) -> Iterator[QueuedDatagram]:
    """Queue the arrivals of a step, and yield those that may be sent at once."""
    for datagram in _arrivals(step):
        if queue.try_reserve(len(datagram.raw), step / _STEPS):
            yield datagram
        else:
            queue.add(datagram)


def _send_due(queue: LinkQueue, now: float) -> Iterator[QueuedDatagram]:
    datagram = queue.pop_due(now)
    while datagram is not None:
        yield datagram
        datagram = queue.pop_due(now)


def _arrivals(step: int) -> list[QueuedDatagram]:
    """Return the arrivals of a millisecond; a request is numbered by its step of arrival."""
    arrivals = []
    if step % 500 == 0:
        for upload in (b'u1', b'u2', b'u3'):
            flow = b'%s%d' % (upload, step)
            arrivals.extend(
                QueuedDatagram(flow, _numbered_datagram(packet, _BULK_BYTES), _ADDRESS)
                for packet in range(_BURST)
            )
    if step % 10 == 5:
        flow = b'r%d' % step
        arrivals.append(QueuedDatagram(flow, _numbered_datagram(step, _REQUEST_BYTES), _ADDRESS))
    return arrivals
