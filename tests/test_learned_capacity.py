"""Test what is learned of upstreams from answers, and where new flows go by it."""

from collections import Counter
from operator import attrgetter
from random import Random
from unittest import TestCase

from bronzekeel.core.log_numbers import LogNumber
from bronzekeel.core.routing.answer_counts import (
    MAX_REPORTED_COUNTS,
    AnswerCount,
    AnswerCounts,
    KindMean,
    PendingRequest,
    ReportedCounts,
    start_of,
)
from bronzekeel.core.routing.answer_times import AnswerTimes
from bronzekeel.core.routing.answer_windows import AnswerWindow, busy_slots
from bronzekeel.core.routing.capacities import LONG_S, Capacities
from bronzekeel.core.routing.directory import Directory
from bronzekeel.core.routing.effects import Effect, SendHeartbeat, WriteLine
from bronzekeel.core.routing.events import HeartbeatHeard, Ticked
from bronzekeel.core.routing.flows import BUSY_S
from bronzekeel.core.routing.follower import Collection
from bronzekeel.core.routing.messages import Heartbeat, PeerAddress
from bronzekeel.core.routing.model import Upstream
from bronzekeel.core.routing.placement_by_capacity import SharesByCapacity
from bronzekeel.core.routing.reducer import reduce
from bronzekeel.core.routing.slowdowns import (
    SLOWDOWN_START_NATS,
    SlowdownDetector,
    median_evidence,
)
from bronzekeel.core.routing.state import RoutingState
from bronzekeel.entry.metrics import metrics_of
from bronzekeel.entry.peer_messages import (
    MessageError,
    decode_heartbeat,
    encode_heartbeat,
)
from tests.routing_cases import (
    PORTAL,
    PORTAL_KEY,
    acknowledging,
    asking,
    delivered_to,
    entry,
    id_given,
    opening,
    page,
    ready_state,
    route,
    steering,
    text,
)


_HOSTS = 20
_UPSTREAMS = 10
_TICK_S = 0.1
_BEAT_S = 1.0
_MEAN_S = 0.04

#: Requests a second of one upstream: a quarter of what two slots can do, as on a usual day.
_RATE = 12

#: Seconds after which an upstream turns away a request that found no slot.
_QUEUE_S = 0.6
_LONG_SHARE = 0.05

#: Seconds in which a slowdown must be followed, and its end: the stated target.
_FOLLOWED_S = 2
_KIND = bytes(6)
_OTHER_KIND = bytes((1,)) * 6


class KindMeanTest(TestCase):
    """The mean work of a kind of requests."""

    def test_it_is_found_anew_after_a_bad_start(self) -> None:
        """Guards against a kind whose first answers were late: nothing counted any more."""
        mean = KindMean()
        for _ in range(16):
            mean.add(0.5)
        counted = [mean.add(0.02) for _ in range(100)]
        self.assertIsNotNone(counted[-1])

    def test_a_mean_of_nothing_is_no_mean(self) -> None:
        """Guards against a way that was overestimated at first, which left work of no time."""
        mean = KindMean()
        for _ in range(16):
            mean.add(0)
        counted = [mean.add(0.02) for _ in range(100)]
        self.assertAlmostEqual(1, counted[-1] or 0, delta=0.5)


class AnswerTimesTest(TestCase):
    """The evidence of single answers for a slowdown."""

    def setUp(self) -> None:
        """Start with an empty distribution."""
        self.times = AnswerTimes()
        self.random = Random(1)

    def test_too_few_answers_give_no_evidence(self) -> None:
        """Guards against evidence from a distribution of the first answers after a start."""
        self._add([1 for _ in range(100)])
        self.assertEqual([0, 0], self.times.evidence(8))

    def test_a_slow_answer_is_evidence(self) -> None:
        """Guards against slowdowns that are detected only from the mean of many answers."""
        self._add([self.random.expovariate(1) for _ in range(2000)])
        self.assertGreater(min(self.times.evidence(4)), 1)
        self.assertLess(max(self.times.evidence(0.5)), 0)
        self.assertGreater(self.times.pending_evidence(4), 1)

    def test_a_long_answer_of_a_long_tail_is_weak_evidence(self) -> None:
        """Guards against a slowdown that is detected from the longest requests of normal work."""
        self._add(self.random.choices((20, 0.5), (1, 19), k=2000))
        self.assertLess(max(self.times.evidence(20)), 1)
        self.assertLess(self.times.pending_evidence(20), 1)
        self.assertGreater(self.times.evidence(2)[-1], 2)

    def test_a_slowdown_of_the_pool_weakens_evidence(self) -> None:
        """Guards against slowdowns that are detected at all upstreams of an overloaded pool."""
        self._add([self.random.expovariate(1) for _ in range(2000)])
        before = self.times.evidence(6)[-1]
        self.times.decay(1)
        self._add([self.random.expovariate(0.2) for _ in range(500)])
        self.assertLess(self.times.evidence(6)[-1], before / 2)

    def _add(self, times: list[float]) -> None:
        for time in times:
            self.times.add(time)
        self.times.decay(0.1)


class SlowdownDetectorTest(TestCase):
    """The start and the end of a slowdown of one upstream."""

    def test_evidence_against_a_slowdown_does_not_accumulate(self) -> None:
        """Guards against late detection after a long time at normal speed."""
        detector = SlowdownDetector()
        detector.add([-1, -2], 1000)
        detector.add([2, 4], 3)
        self.assertEqual(9, detector.total_evidence)

    def test_pending_requests_delay_the_end(self) -> None:
        """Guards against a slowdown that ends while requests at the upstream are unanswered."""
        detector = SlowdownDetector()
        detector.add([2, 4], 5)
        detector.add([-1, -2], 10)
        self.assertTrue(detector.has_ended)
        detector.pending_evidence = 30
        self.assertFalse(detector.has_ended)

    def test_a_slowdown_of_all_upstreams_is_not_detected(self) -> None:
        """Guards against upstreams that are avoided in turn while the whole pool is overloaded."""
        detectors = [SlowdownDetector() for _ in range(5)]
        for place, detector in enumerate(detectors):
            detector.add([2, 4], 10 + place)
        for detector in detectors:
            self.assertLess(
                detector.total_evidence - median_evidence(detectors), SLOWDOWN_START_NATS
            )


class _SentRequest:
    """Hold a request that a host sent to an upstream, and when the host sees its end."""

    def __init__(self, host: Capacities, request: PendingRequest, seen_at: float) -> None:
        self.host = host
        self.request = request
        self.seen_at = seen_at


class _Hosts:
    """Play answers of upstreams to hosts that tell each other what they saw."""

    def __init__(self, seed: int = 1, upstreams: int = _UPSTREAMS) -> None:
        self.random = Random(seed)
        self.now: float = 100
        self.directory = Directory()
        self.hosts = [Capacities() for _ in range(_HOSTS)]
        self.slow_by_name: dict[str, float] = {}
        self.hears = True
        self.rate: float = _RATE
        self.free_at_by_name: dict[str, list[float]] = {}
        self.answers: list[_SentRequest] = []
        self.lines: Counter[LogNumber] = Counter()
        for number in range(1, upstreams + 1):
            self.directory.remember(entry(number, slots=2), 0)
        for upstream in self.upstreams:
            upstream.pool.controlled = True

    @property
    def upstreams(self) -> list[Upstream]:
        """All upstreams in the order of their numbers."""
        return self.directory.of_service(PORTAL)

    def work_s(self, kind: bytes) -> float:
        """Return the seconds of a request: exponential, of two means."""
        mean_s = _MEAN_S if kind == _KIND else _MEAN_S / 4
        return self.random.expovariate(1 / mean_s)

    def kind_of(self, upstream: Upstream) -> bytes:
        """Return the kind of the next request at an upstream."""
        return _KIND

    def run(self, lasting_s: float) -> None:
        """Let answers come for some seconds."""
        until = self.now + lasting_s
        while self.now < until:
            self.now += _TICK_S
            for upstream in self.upstreams:
                self._ask(upstream)
            self._answer()
            self._note_pending()
            self._tell()
            for host in self.hosts:
                self._note(host.update(self.directory, 'dc-a', self.now))

    def speeds(self) -> list[float]:
        """Return the speeds that the last host reckoned."""
        return [upstream.speed for upstream in self.upstreams]

    def _ask(self, upstream: Upstream) -> None:
        """Let requests reach an upstream, which works on them in two slots as they came."""
        slow = self.slow_by_name.get(upstream.entry.name, 1)
        free_at = self.free_at_by_name.setdefault(upstream.entry.name, [0, 0])
        for _ in range(int(self.rate * _TICK_S + self.random.random())):
            kind = self.kind_of(upstream)
            asked_at = self.now + self.random.random() * _TICK_S
            begun_at = max(asked_at, min(free_at))
            ended_at = begun_at + self.work_s(kind) * slow
            if begun_at < asked_at + _QUEUE_S:
                free_at[free_at.index(min(free_at))] = ended_at
            seen_at = min(ended_at, asked_at + BUSY_S)
            request = PendingRequest(upstream, kind, asked_at)
            self.answers.append(_SentRequest(self.random.choice(self.hosts), request, seen_at))

    def _answer(self) -> None:
        """Let the hosts see the answers that came, and requests that none came to for long."""
        self.answers.sort(key=attrgetter('seen_at'))
        while self.answers and self.answers[0].seen_at <= self.now:
            sent = self.answers.pop(0)
            request = sent.request
            sent.host.counts.note(
                request.upstream,
                request.kind,
                request.sent_at,
                sent.seen_at,
            )

    def _note_pending(self) -> None:
        """Pass each host its requests in progress."""
        for host in self.hosts:
            pending = [
                sent.request
                for sent in self.answers
                if sent.host is host and sent.request.sent_at <= self.now
            ]
            host.counts.note_pending(pending, self.now)

    def _tell(self) -> None:
        """Let the hosts tell whose turn it is, each once a second."""
        turn = round(self.now / _TICK_S) % round(_BEAT_S / _TICK_S)
        for place, host in enumerate(self.hosts):
            if place % round(_BEAT_S / _TICK_S) != turn:
                continue
            told = host.counts.pop_report(self.now)
            if told is None or not self.hears:
                continue
            for other in self.hosts:
                if other is not host:
                    other.add_report(f'a{place}', told, self.directory)

    def _note(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, WriteLine):
                self.lines[effect.number] += 1


class _LongTail(_Hosts):
    """One request in twenty takes twenty times as long."""

    def work_s(self, kind: bytes) -> float:
        """Return the seconds of a request."""
        long = self.random.random() < _LONG_SHARE
        return _MEAN_S * 20 if long else _MEAN_S / 2


class _UnlikeKinds(_Hosts):
    """Half of the upstreams get mostly requests of a quarter of the work."""

    def kind_of(self, upstream: Upstream) -> bytes:
        """Return the kind of the next request at an upstream."""
        mostly, seldom = (_KIND, _OTHER_KIND)
        if upstream.entry.number % 2:
            mostly, seldom = seldom, mostly
        return self.random.choices((mostly, seldom), (4, 1))[0]


class LearningTest(TestCase):
    """What the answers that all hosts saw tell of upstreams."""

    def test_a_slowdown_is_followed(self) -> None:
        """Guards against flows that go on to an upstream which works five times slower."""
        hosts = _Hosts()
        hosts.run(20)
        hosts.slow_by_name[entry(1).name] = 5
        hosts.run(6)
        self.assertLess(hosts.upstreams[0].speed, 0.5)
        self.assertEqual({1}, set(hosts.speeds()[1:]))
        self.assertGreater(hosts.lines[LogNumber.SPEED_LEARNED], 0)

    def test_a_slowdown_is_followed_within_two_seconds(self) -> None:
        """Guards against flows that go to a slow upstream for longer than callers bear."""
        found = []
        for seed in range(1, 6):
            hosts = _Hosts(seed)
            hosts.run(20)
            hosts.slow_by_name[entry(1).name] = 5
            hosts.run(_FOLLOWED_S)
            found.append(hosts.upstreams[0].speed < 1)
        self.assertTrue(all(found), found)

    def test_a_slowdown_that_ended_is_forgotten(self) -> None:
        """Guards against an upstream that is well again and is spared for long."""
        hosts = _Hosts()
        hosts.run(20)
        hosts.slow_by_name[entry(1).name] = 5
        hosts.run(6)
        self.assertLess(hosts.upstreams[0].speed, 0.5)
        hosts.slow_by_name.clear()
        hosts.run(3)
        self.assertEqual({1}, set(hosts.speeds()))
        self.assertEqual(
            hosts.lines[LogNumber.SPEED_LEARNED], hosts.lines[LogNumber.SPEED_FORGOTTEN]
        )

    def test_steady_differences_are_learned(self) -> None:
        """Guards against slow hardware that gets as many requests as fast hardware."""
        hosts = _Hosts()
        for upstream in hosts.upstreams[::4]:
            hosts.slow_by_name[upstream.entry.name] = 1.2 / 0.55
        hosts.run(30)
        speeds = hosts.speeds()
        slow = speeds[::4]
        others = [speed for place, speed in enumerate(speeds) if place % 4]
        self.assertLess(max(slow), 0.8)
        self.assertGreaterEqual(min(others), 1)

    def test_own_sight_alone_is_too_little(self) -> None:
        """Guards against hosts that do not add up: none sees enough to be sure."""
        hosts = _Hosts()
        hosts.hears = False
        hosts.run(20)
        hosts.slow_by_name[entry(1).name] = 5
        hosts.run(2)
        self.assertEqual(1, hosts.upstreams[0].speed)

    def test_chance_teaches_nothing(self) -> None:
        """Guards against shares that wander where upstreams are equal."""
        self._assert_quiet(_Hosts)

    def test_a_long_tail_teaches_nothing(self) -> None:
        """Guards against an upstream that is spared since it had the longest requests."""
        self._assert_quiet(_LongTail)

    def test_unlike_kinds_of_work_teach_nothing(self) -> None:
        """Guards against an upstream that looks slow since it is asked for more work."""
        self._assert_quiet(_UnlikeKinds)

    def test_an_equal_slowdown_of_all_teaches_nothing(self) -> None:
        """Guards against speeds that follow the load of the whole service."""
        hosts = _Hosts()
        hosts.run(15)
        for upstream in hosts.upstreams:
            hosts.slow_by_name[upstream.entry.name] = 3
        hosts.run(10)
        self.assertEqual({1}, set(hosts.speeds()))

    def test_cold_answers_teach_nothing(self) -> None:
        """Guards against an upstream that is slow while it is cold, and spared after that."""
        counts = AnswerCounts()
        upstream = Upstream(entry(1, cold_s=3), 0)
        for _ in range(40):
            counts.note(upstream, _KIND, 1, 1.5)
        self.assertIsNone(counts.pop_report(2))

    def test_refusals_are_no_answers(self) -> None:
        """Guards against an upstream that turns requests away at once and looks fast."""
        counts = AnswerCounts()
        upstream = Upstream(entry(1), 0)
        for _ in range(40):
            counts.note(upstream, _KIND, 1, 1.04)
        counts.pop_answers()
        counts.note(upstream, _KIND, 1, 1.001)
        self.assertEqual([], counts.pop_answers())

    def test_a_pause_teaches_nothing(self) -> None:
        """Guards against a host that stood still and takes its own pause for slow upstreams."""
        state = _learning_state()
        counts = state.demand.capacities.counts
        upstream = state.directory.by_number[entry(1).short_number]
        counts.valid_from = 5
        for _ in range(40):
            counts.note(upstream, _KIND, 4, 6)
        self.assertEqual([], counts.pop_answers())

    def test_a_queue_is_no_slowness(self) -> None:
        """Guards against an upstream that got more than its share and then looks slow."""
        usual = AnswerWindow(LONG_S)
        queued = AnswerWindow(LONG_S)
        for _ in range(200):
            usual.decay(_TICK_S)
            queued.decay(_TICK_S)
            usual.add(2, 2)
            queued.add(4, 4 * 1.9)
        # 20 and 40 requests a second of 25 ms at two slots: by M/M/2 1.07 and 1.33 times that.
        ratio = queued.work(0.025, 2) / queued.answers / (usual.work(0.025, 2) / usual.answers)
        self.assertLess(ratio, 1.5)

    def test_busy_slots_never_exceed_slots(self) -> None:
        """Guards against a load of more than everything."""
        for slots in (1, 2, 100):
            self.assertLessEqual(busy_slots(slots * 50, slots), slots)
            self.assertAlmostEqual(
                0.01 * slots, busy_slots(0.01 * slots, slots), delta=0.001 * slots
            )

    def _assert_quiet(self, kind: type[_Hosts]) -> None:
        learned = 0
        for seed in range(6):
            hosts = kind(seed)
            hosts.run(20)
            learned += hosts.lines[LogNumber.SPEED_LEARNED] / _HOSTS
        self.assertLess(learned, 1)


class TellingTest(TestCase):
    """What hosts tell each other of answers."""

    def setUp(self) -> None:
        """Let a host hear of one upstream."""
        self.directory = Directory()
        self.directory.remember(entry(1), 0)
        self.upstream = self.directory.of_service(PORTAL)[0]
        self.upstream.pool.controlled = True
        self.host = Capacities()

    def test_a_duplicate_is_not_counted_twice(self) -> None:
        """Guards against a datagram that the network delivers twice."""
        self._hear(1000)
        self._hear(1000)
        self.assertEqual(10, self._answers())

    def test_an_older_word_is_left_out(self) -> None:
        """Guards against a datagram that comes after a later one."""
        self._hear(2000)
        self._hear(1000)
        self.assertEqual(10, self._answers())

    def test_a_lost_word_only_is_less(self) -> None:
        """Guards against a host that waits for a message which was lost."""
        self._hear(1000)
        self._hear(3000)
        self.assertEqual(20, self._answers())

    def test_a_restarted_host_is_heard(self) -> None:
        """Guards against a host whose machine started again, and its clock with it."""
        self._hear(900_000)
        self._hear(1000)
        self._hear(1500)
        self.assertEqual(30, self._answers())

    def test_a_clock_that_wraps_is_no_older_word(self) -> None:
        """Guards against a host that is not heard after seven weeks."""
        self._hear((1 << 32) - 100)
        self._hear(900)
        self.assertEqual(20, self._answers())

    def test_the_word_of_a_former_start_is_left_out(self) -> None:
        """Guards against an upstream that started again and is taken for its slow former self."""
        count = AnswerCount(self.upstream.entry.short_number, 77, 10, 50)
        self.host.add_report('a2', ReportedCounts(1000, (count,)), self.directory)
        self.assertEqual(0, self._answers())

    def test_a_restarted_upstream_starts_anew(self) -> None:
        """Guards against a new process that is spared for what a former one did."""
        hosts = _Hosts()
        hosts.slow_by_name[entry(1).name] = 5
        hosts.run(10)
        former = hosts.upstreams[0]
        self.assertLess(former.speed, 0.5)
        hosts.slow_by_name.clear()
        hosts.directory.forget_old(0)
        hosts.directory.note_removed(former.entry.name, 50, hosts.now)
        hosts.directory.forget_old(hosts.now + 100)
        restarted = entry(1, slots=2)
        restarted.started_ms = 77
        hosts.directory.remember(restarted, 0)
        hosts.free_at_by_name.clear()
        hosts.answers.clear()
        hosts.run(0.5)
        upstream = hosts.directory.by_number[entry(1).short_number]
        self.assertIsNot(former, upstream)
        self.assertEqual(1, upstream.speed)

    def test_a_message_stays_small(self) -> None:
        """Guards against heartbeats that grow with the upstreams of a service."""
        counts = AnswerCounts()
        for number in range(200):
            upstream = Upstream(entry(number + 1), 0)
            for _ in range(20):
                counts.note(upstream, _KIND, 1, 1.04)
        told = counts.pop_report(2)
        self.assertEqual(MAX_REPORTED_COUNTS, len(told.counts) if told else 0)
        without = len(encode_heartbeat(_heartbeat(None)))
        name = len(',"answers":')
        told_bytes = len(encode_heartbeat(_heartbeat(told))) - without - name
        self.assertLessEqual(told_bytes, 11 * MAX_REPORTED_COUNTS + 6)

    def test_an_immense_count_fits_its_place(self) -> None:
        """Guards against a host that told nobody for long and then cannot write its message."""
        counts = AnswerCounts()
        upstream = Upstream(entry(1), 0)
        for _ in range(5000):
            counts.note(upstream, _KIND, 1, 1.04)
        told = decode_heartbeat(encode_heartbeat(_heartbeat(counts.pop_report(2)))).counts
        self.assertIsNotNone(told)
        for count in told.counts if told else ():
            self.assertAlmostEqual(1, count.means / count.answers, delta=0.05)

    def test_what_is_told_is_read(self) -> None:
        """Guards against a message that means something else at its reader."""
        count = AnswerCount(4_000_000_000, 255, 17, 12.5)
        sent = _heartbeat(ReportedCounts(4_294_967_295, (count,)))
        told = decode_heartbeat(encode_heartbeat(sent)).counts
        self.assertIsNotNone(told)
        if told:
            read = told.counts[0]
            self.assertEqual(4_294_967_295, told.reported_ms)
            self.assertEqual(
                (4_000_000_000, 255, 17, 12.5),
                (read.number, read.start, read.answers, read.means),
            )

    def test_a_former_version_tells_nothing(self) -> None:
        """Guards against heartbeats of a version without counts, and against broken ones."""
        raw = encode_heartbeat(_heartbeat(None))
        self.assertNotIn(b'answers', raw)
        self.assertIsNone(decode_heartbeat(raw).counts)
        for broken in (b'"AAA"', b'"AAAAAAA="', b'7', b'"#"'):
            with self.assertRaises(MessageError):
                decode_heartbeat(b''.join((raw[:-1], b',"answers":', broken, b'}')))

    def test_pending_requests_are_decoded(self) -> None:
        """Guards against counts of pending requests that change in encoding."""
        pending = AnswerCount(4_000_000_000, 255, 3, 12.5)
        sent = _heartbeat(ReportedCounts(1000, (), (pending,)))
        told = decode_heartbeat(encode_heartbeat(sent)).counts
        self.assertIsNotNone(told)
        if told:
            read = told.pending[0]
            self.assertEqual(
                (4_000_000_000, 255, 3, 12.5),
                (read.number, read.start, read.answers, read.means),
            )

    def test_an_empty_pending_field_is_omitted(self) -> None:
        """Guards against larger heartbeats while no request is pending."""
        count = AnswerCount(1, 2, 1, 1)
        raw = encode_heartbeat(_heartbeat(ReportedCounts(1000, (count,))))
        self.assertNotIn(b'pending', raw)

    def test_only_long_pending_requests_are_told(self) -> None:
        """Guards against messages that count requests which have just been sent."""
        counts = _settled_counts(self.upstream)
        new = PendingRequest(self.upstream, _KIND, 9.98)
        old = PendingRequest(self.upstream, _KIND, 9.8)
        counts.note_pending([new, old], 10)
        told = counts.pop_report(10)
        self.assertEqual([1], [count.answers for count in told.pending] if told else [])

    def test_fast_and_slow_answers_are_counted_separately(self) -> None:
        """Guards against a fast and a slow answer that are weighed as two answers of their mean."""
        counts = _settled_counts(self.upstream)
        counts.note(self.upstream, _KIND, 1, 1.02)
        counts.note(self.upstream, _KIND, 1, 1.12)
        told = counts.pop_report(10)
        self.assertEqual(2, len(told.counts) if told else 0)

    def test_a_later_report_replaces_pending_requests(self) -> None:
        """Guards against a pending request that is counted again with each heartbeat."""
        hosts = _Hosts()
        hosts.run(10)
        upstream = hosts.upstreams[0]
        count = AnswerCount(upstream.entry.short_number, start_of(upstream.entry), 1, 4)
        host = hosts.hosts[0]
        host.counts.note_pending([], hosts.now)
        evidence = []
        for reported_ms in (1, 2):
            host.add_report('a99', ReportedCounts(reported_ms, (), (count,)), hosts.directory)
            host.request_update()
            host.update(hosts.directory, 'dc-a', hosts.now)
            learned = host._learned_by_upstream[upstream]  # noqa: SLF001
            evidence.append(learned.slowdown.pending_evidence)
        self.assertGreater(evidence[0], 0)
        self.assertAlmostEqual(evidence[0], evidence[1], delta=evidence[0] / 10)
        hosts.run(2)
        self.assertNotIn('a99', host._pending_by_host)  # noqa: SLF001

    def test_a_count_beyond_reason_is_cut(self) -> None:
        """Guards against one host that makes an upstream look endlessly slow."""
        self._hear(1000, means=1023)
        long = self.host._learned_by_upstream[self.upstream].long  # noqa: SLF001
        self.assertLessEqual(long.means, 50)

    def _hear(self, reported_ms: int, means: float = 10) -> None:
        number = self.upstream.entry.short_number
        count = AnswerCount(number, start_of(self.upstream.entry), 10, means)
        self.host.add_report('a2', ReportedCounts(reported_ms, (count,)), self.directory)

    def _answers(self) -> float:
        learned = self.host._learned_by_upstream.get(self.upstream)  # noqa: SLF001
        return learned.long.answers if learned else 0


class SteeringTest(TestCase):
    """What a host does by it, from packets to heartbeats."""

    def test_answers_of_packets_are_told_once(self) -> None:
        """Guards against counts that reach no neighbour, or reach one twice."""
        state = _learning_state()
        neighbour = PeerAddress('a2', 'dc-a', ('a2', 9))
        reduce(state, HeartbeatHeard(Heartbeat(neighbour, 1, 1, {})), 0.1)
        self._serve(state, 40)
        told = [
            count for beat in self._beats(state, 50) if beat.counts for count in beat.counts.counts
        ]
        self.assertEqual(24, sum(count.answers for count in told))
        again = [beat for beat in self._beats(state, 60) if beat.counts]
        self.assertEqual([], again)

    def test_pending_requests_are_told(self) -> None:
        """Guards against neighbours that learn of slow requests only when they have ended."""
        state = _learning_state()
        neighbour = PeerAddress('a2', 'dc-a', ('a2', 9))
        reduce(state, HeartbeatHeard(Heartbeat(neighbour, 1, 1, {})), 0.1)
        given = self._serve(state, 40)
        self._beats(state, 50)
        deciding = steering(state)
        deciding.decide(asking(1, given, 5000, acknowledged=46), 51)
        pending = [
            count
            for beat in self._beats(state, 51.3)
            if beat.counts
            for count in beat.counts.pending
        ]
        self.assertEqual([1], [count.answers for count in pending])

    def test_what_is_not_controlled_is_neither_counted_nor_set(self) -> None:
        """Guards against another service than before for those who did not ask for it."""
        state = ready_state(entry(1), entry(2))
        reduce(state, Ticked(), 0.1)
        self._serve(state, 40)
        self.assertEqual([], state.demand.capacities.counts.pop_answers())
        for beat in self._beats(state, 50):
            self.assertIsNone(beat.counts)
        for upstream in state.directory.by_number.values():
            self.assertFalse(upstream.pool.controlled)
            self.assertEqual((1, None), (upstream.speed, upstream.spare))

    def test_a_service_no_longer_controlled_is_forgotten(self) -> None:
        """Guards against speeds that stay when operators have taken their objective back."""
        state = _learning_state()
        self._serve(state, 40)
        reduce(state, Ticked(), 45)
        upstream = state.directory.by_number[entry(1).short_number]
        self.assertIsNotNone(upstream.spare)
        upstream.speed = 0.5
        reduce(state, page(Collection.TEXT, text(9)), 46)
        state.text = text(9)
        reduce(state, Ticked(), 47)
        self.assertEqual((1, None), (upstream.speed, upstream.spare))

    def test_speeds_are_shown(self) -> None:
        """Guards against operators who cannot see what was learned."""
        state = _learning_state()
        shown = metrics_of(state, 1, {}, 0, 0).decode()
        self.assertIn('bronzekeel_learned_speed{kind="upstreams"} 0', shown)

    def _serve(self, state: RoutingState, requests: int) -> int:
        """Let callers ask on one flow, each answered after a twentieth of a second."""
        deciding = steering(state)
        verdict = deciding.decide(opening(1), 1)
        self.assertIn(delivered_to(verdict), {entry(1).name, entry(2).name})
        given = id_given(verdict)
        now = 1.01
        for number in range(requests):
            sequence = 101 + number
            deciding.decide(asking(1, given, sequence, acknowledged=7 + number), now)
            now += 0.05
            deciding.decide(acknowledging(1, given, 8 + number), now)
            now += 0.01
        return given

    def _beats(self, state: RoutingState, now: float) -> list[Heartbeat]:
        return [
            effect.heartbeat
            for effect in reduce(state, Ticked(), now)
            if isinstance(effect, SendHeartbeat)
        ]


class PlacementTest(TestCase):
    """Where new flows go by the capacity that is left."""

    def test_flows_go_by_the_capacity_left(self) -> None:
        """Guards against a slow upstream that gets as many flows as the others."""
        upstreams = _alike(4)
        upstreams[0].speed = 0.5
        placed = _placed(upstreams, hosts=20, flows=10)
        self.assertAlmostEqual(0.5, placed[upstreams[0]] / placed[upstreams[1]], delta=0.15)

    def test_hosts_do_not_rush_to_the_one_with_most_left(self) -> None:
        """Guards against all hosts that send their next flow to the same upstream."""
        upstreams = _alike(10)
        for upstream in upstreams:
            upstream.spare = 0.6
        upstreams[3].spare = 3
        placed = _placed(upstreams, hosts=20, flows=1)
        self.assertLessEqual(placed[upstreams[3]], 12)
        self.assertGreaterEqual(placed[upstreams[3]], 4)

    def test_a_release_fills_without_a_rush(self) -> None:
        """Guards against a new upstream that gets all flows until it has as many as the others."""
        upstreams = _alike(10)
        for upstream in upstreams:
            upstream.spare = 1.5
        shares = [SharesByCapacity(f'a{place}') for place in range(20)]
        for _ in range(30):
            for share in shares:
                share.choose(upstreams, 1)
        fresh = Upstream(entry(11, slots=3), 0)
        listed = [*upstreams[1:], fresh]
        placed = Counter(share.choose(listed, 1) for share in shares for _ in range(5))
        self.assertLessEqual(placed[fresh], 3 * 100 * 3 / (9 * 1.5 + 3) / 2)
        self.assertGreaterEqual(placed[fresh], 10)

    def test_a_cold_upstream_gets_half(self) -> None:
        """Guards against callers who meet an upstream that has just started."""
        upstreams = _alike(4)
        upstreams[0].warm_at = 10
        placed = _placed(upstreams, hosts=20, flows=10)
        self.assertAlmostEqual(0.5, placed[upstreams[0]] / placed[upstreams[1]], delta=0.15)

    def test_one_that_was_busy_for_long_gets_no_rush(self) -> None:
        """Guards against turns that add up while an upstream may not be chosen."""
        upstreams = _alike(4)
        share = SharesByCapacity('a1')
        for _ in range(100):
            share.choose(upstreams[1:], 1)
        first = [share.choose(upstreams, 1) for _ in range(8)]
        self.assertLessEqual(first.count(upstreams[0]), 4)

    def test_turns_of_upstreams_that_are_gone_are_forgotten(self) -> None:
        """Guards against memory that grows with each release."""
        share = SharesByCapacity('a1')
        for _ in range(100):
            share.choose(_alike(5), 1)
        self.assertLess(share.credit_count, 100)

    def test_services_do_not_push_each_other_out(self) -> None:
        """Guards against turns that always start anew: one upstream got all flows of a service."""
        share = SharesByCapacity('a1')
        services = [
            [Upstream(entry(number, service=f's{place}'), 0) for number in range(1, 21)]
            for place in range(6)
        ]
        placed: Counter[Upstream] = Counter()
        for _ in range(100):
            placed.update(share.choose(upstreams, 1) for upstreams in services)
        for upstreams in services:
            self.assertEqual({5}, {placed[upstream] for upstream in upstreams})


def _alike(count: int) -> list[Upstream]:
    return [Upstream(entry(number), 0) for number in range(1, count + 1)]


def _placed(upstreams: list[Upstream], hosts: int, flows: int) -> Counter[Upstream]:
    shares = [SharesByCapacity(f'a{place}') for place in range(hosts)]
    return Counter(share.choose(upstreams, 1) for share in shares for _ in range(flows))


def _settled_counts(upstream: Upstream) -> AnswerCounts:
    """Return counts with a settled mean of one kind and nothing left to tell."""
    counts = AnswerCounts()
    for _ in range(40):
        counts.note(upstream, _KIND, 1, 1 + _MEAN_S)
    counts.pop_report(2)
    return counts


def _heartbeat(counts: ReportedCounts | None) -> Heartbeat:
    return Heartbeat(PeerAddress('a1', 'dc-a', ('10.0.0.9', 9)), 1, 1, {}, counts=counts)


def _learning_state() -> RoutingState:
    """Return a ready state whose text states an objective that calls for learning."""
    state = ready_state(entry(1), entry(2))
    with_objective = route(PORTAL_KEY, PORTAL)
    with_objective.objective_s = 0.6
    state.text = text(1, with_objective)
    reduce(state, Ticked(), 0.1)
    return state
