"""Test learned speeds of upstreams and the placement of new flows that depends on them."""

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
from bronzekeel.core.routing.flows import BUSY_TIMEOUT_S
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
_HEARTBEAT_S = 1.0
_MEAN_S = 0.04

#: Requests per second of one upstream: a quarter of the capacity of two slots, a typical load.
_RATE = 12

#: Seconds after which an upstream rejects a request that has not got a slot.
_QUEUE_S = 0.6
_LONG_SHARE = 0.05

#: Seconds within which a slowdown must be detected.
_DETECTION_S = 2
_KIND = bytes(6)
_OTHER_KIND = bytes((1,)) * 6


class KindMeanTest(TestCase):
    """The mean answer time of a kind of request."""

    def test_mean_recovers_from_delayed_first_answers(self) -> None:
        """Guards against ignoring all answers of a kind whose first answers were delayed."""
        mean = KindMean()
        for _ in range(16):
            mean.add(0.5)
        counted = [mean.add(0.02) for _ in range(100)]
        self.assertIsNotNone(counted[-1])

    def test_mean_of_zero_is_not_used(self) -> None:
        """Guards against a mean of zero, from a network time that was overestimated at first."""
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
        """Guards against evidence from the few answers after a start."""
        self._add([1 for _ in range(100)])
        self.assertEqual([0, 0], self.times.evidence(8))

    def test_a_slow_answer_is_evidence(self) -> None:
        """Guards against detecting a slowdown only from the mean of many answers."""
        self._add([self.random.expovariate(1) for _ in range(2000)])
        self.assertGreater(min(self.times.evidence(4)), 1)
        self.assertLess(max(self.times.evidence(0.5)), 0)
        self.assertGreater(self.times.pending_evidence(4), 1)

    def test_a_long_answer_of_a_long_tail_is_weak_evidence(self) -> None:
        """Guards against a slowdown detected from the long tail of normal answer times."""
        self._add(self.random.choices((20, 0.5), (1, 19), k=2000))
        self.assertLess(max(self.times.evidence(20)), 1)
        self.assertLess(self.times.pending_evidence(20), 1)
        self.assertGreater(self.times.evidence(2)[-1], 2)

    def test_a_slowdown_of_the_pool_weakens_evidence(self) -> None:
        """Guards against a slowdown detected at each upstream of an overloaded pool."""
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
        """Guards against ending a slowdown while requests at the upstream are unanswered."""
        detector = SlowdownDetector()
        detector.add([2, 4], 5)
        detector.add([-1, -2], 10)
        self.assertTrue(detector.has_ended)
        detector.pending_evidence = 30
        self.assertFalse(detector.has_ended)

    def test_a_slowdown_of_all_upstreams_is_not_detected(self) -> None:
        """Guards against avoiding one upstream after another in an overloaded pool."""
        detectors = [SlowdownDetector() for _ in range(5)]
        for place, detector in enumerate(detectors):
            detector.add([2, 4], 10 + place)
        for detector in detectors:
            self.assertLess(
                detector.total_evidence - median_evidence(detectors), SLOWDOWN_START_NATS
            )


class _SentRequest:
    """Hold a request that a host sent to an upstream, and when the host observes its end."""

    def __init__(self, host: Capacities, request: PendingRequest, seen_at: float) -> None:
        self.host = host
        self.request = request
        self.seen_at = seen_at


class _Hosts:
    """Simulate the answers of upstreams to hosts that exchange reports about them."""

    def __init__(self, seed: int = 1, upstreams: int = _UPSTREAMS) -> None:
        self.random = Random(seed)
        self.now: float = 100
        self.directory = Directory()
        self.hosts = [Capacities() for _ in range(_HOSTS)]
        self.slow_by_name: dict[str, float] = {}
        self.exchanges_reports = True
        self.rate: float = _RATE
        self.free_at_by_name: dict[str, list[float]] = {}
        self.answers: list[_SentRequest] = []
        self.lines: Counter[LogNumber] = Counter()
        for number in range(1, upstreams + 1):
            self.directory.add_unlisted(entry(number, slots=2), 0)
        for upstream in self.upstreams:
            upstream.pool.controlled = True

    @property
    def upstreams(self) -> list[Upstream]:
        """All upstreams, ordered by number."""
        return self.directory.of_service(PORTAL)

    def work_s(self, kind: bytes) -> float:
        """Return the time of a request: exponentially distributed, with a mean per kind."""
        mean_s = _MEAN_S if kind == _KIND else _MEAN_S / 4
        return self.random.expovariate(1 / mean_s)

    def kind_of(self, upstream: Upstream) -> bytes:
        """Return the kind of the next request at an upstream."""
        return _KIND

    def run(self, lasting_s: float) -> None:
        """Simulate requests and answers for some seconds."""
        until = self.now + lasting_s
        while self.now < until:
            self.now += _TICK_S
            for upstream in self.upstreams:
                self._send_requests(upstream)
            self._record_answers()
            self._note_pending()
            self._exchange_reports()
            for host in self.hosts:
                self._count_lines(host.update(self.directory, 'dc-a', self.now))

    def speeds(self) -> list[float]:
        """Return the speeds that the last host computed."""
        return [upstream.speed for upstream in self.upstreams]

    def _send_requests(self, upstream: Upstream) -> None:
        """Send requests to an upstream, which serves them in order in two slots."""
        slow = self.slow_by_name.get(upstream.entry.name, 1)
        free_at = self.free_at_by_name.setdefault(upstream.entry.name, [0, 0])
        for _ in range(int(self.rate * _TICK_S + self.random.random())):
            kind = self.kind_of(upstream)
            asked_at = self.now + self.random.random() * _TICK_S
            begun_at = max(asked_at, min(free_at))
            ended_at = begun_at + self.work_s(kind) * slow
            if begun_at < asked_at + _QUEUE_S:
                free_at[free_at.index(min(free_at))] = ended_at
            seen_at = min(ended_at, asked_at + BUSY_TIMEOUT_S)
            request = PendingRequest(upstream, kind, asked_at)
            self.answers.append(_SentRequest(self.random.choice(self.hosts), request, seen_at))

    def _record_answers(self) -> None:
        """Record the answers that arrived, and requests that remained unanswered for too long."""
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
        """Pass to each host its requests in progress."""
        for host in self.hosts:
            pending = [
                sent.request
                for sent in self.answers
                if sent.host is host and sent.request.sent_at <= self.now
            ]
            host.counts.note_pending(pending, self.now)

    def _exchange_reports(self) -> None:
        """Send the report of each host once a second, a tenth of the hosts per tick."""
        turn = round(self.now / _TICK_S) % round(_HEARTBEAT_S / _TICK_S)
        for place, host in enumerate(self.hosts):
            if place % round(_HEARTBEAT_S / _TICK_S) != turn:
                continue
            report = host.counts.pop_report(self.now)
            if report is None or not self.exchanges_reports:
                continue
            for other in self.hosts:
                if other is not host:
                    other.add_report(f'a{place}', report, self.directory)

    def _count_lines(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, WriteLine):
                self.lines[effect.number] += 1


class _LongTail(_Hosts):
    """One request in twenty takes forty times as long as the others."""

    def work_s(self, kind: bytes) -> float:
        """Return the seconds of a request."""
        long = self.random.random() < _LONG_SHARE
        return _MEAN_S * 20 if long else _MEAN_S / 2


class _UnequalKinds(_Hosts):
    """Half of the upstreams get mostly requests that need a quarter of the work."""

    def kind_of(self, upstream: Upstream) -> bytes:
        """Return the kind of the next request at an upstream."""
        mostly, rarely = (_KIND, _OTHER_KIND)
        if upstream.entry.number % 2:
            mostly, rarely = rarely, mostly
        return self.random.choices((mostly, rarely), (4, 1))[0]


class LearningTest(TestCase):
    """The speeds learned from the answers that all hosts observe."""

    def test_slowdown_is_detected(self) -> None:
        """Guards against sending flows to an upstream that has become five times slower."""
        hosts = _Hosts()
        hosts.run(20)
        hosts.slow_by_name[entry(1).name] = 5
        hosts.run(6)
        self.assertLess(hosts.upstreams[0].speed, 0.5)
        self.assertEqual({1}, set(hosts.speeds()[1:]))
        self.assertGreater(hosts.lines[LogNumber.SPEED_LEARNED], 0)

    def test_slowdown_is_detected_within_two_seconds(self) -> None:
        """Guards against sending flows to a slow upstream for longer than callers tolerate."""
        is_slow = []
        for seed in range(1, 6):
            hosts = _Hosts(seed)
            hosts.run(20)
            hosts.slow_by_name[entry(1).name] = 5
            hosts.run(_DETECTION_S)
            is_slow.append(hosts.upstreams[0].speed < 1)
        self.assertTrue(all(is_slow), is_slow)

    def test_end_of_slowdown_is_detected(self) -> None:
        """Guards against avoiding an upstream long after it has recovered."""
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
        """Guards against sending as many requests to slow hardware as to fast hardware."""
        hosts = _Hosts()
        for upstream in hosts.upstreams[::4]:
            hosts.slow_by_name[upstream.entry.name] = 1.2 / 0.55
        hosts.run(30)
        speeds = hosts.speeds()
        slow = speeds[::4]
        others = [speed for place, speed in enumerate(speeds) if place % 4]
        self.assertLess(max(slow), 0.8)
        self.assertGreaterEqual(min(others), 1)

    def test_answers_of_one_host_are_insufficient(self) -> None:
        """Guards against speeds from the answers of a single host, which are too few."""
        hosts = _Hosts()
        hosts.exchanges_reports = False
        hosts.run(20)
        hosts.slow_by_name[entry(1).name] = 5
        hosts.run(2)
        self.assertEqual(1, hosts.upstreams[0].speed)

    def test_equal_upstreams_have_equal_speeds(self) -> None:
        """Guards against differences between equal upstreams that are due to chance."""
        self._assert_speeds_unchanged(_Hosts)

    def test_long_tail_does_not_change_speeds(self) -> None:
        """Guards against avoiding an upstream that happened to get the longest requests."""
        self._assert_speeds_unchanged(_LongTail)

    def test_unequal_kinds_do_not_change_speeds(self) -> None:
        """Guards against an upstream that appears slow since its requests need more work."""
        self._assert_speeds_unchanged(_UnequalKinds)

    def test_slowdown_of_all_does_not_change_speeds(self) -> None:
        """Guards against speeds that change with the load of the whole service."""
        hosts = _Hosts()
        hosts.run(15)
        for upstream in hosts.upstreams:
            hosts.slow_by_name[upstream.entry.name] = 3
        hosts.run(10)
        self.assertEqual({1}, set(hosts.speeds()))

    def test_answers_of_cold_upstream_are_ignored(self) -> None:
        """Guards against avoiding a warm upstream for its answer times during its cold start."""
        counts = AnswerCounts()
        upstream = Upstream(entry(1, cold_s=3), 0)
        for _ in range(40):
            counts.note(upstream, _KIND, 1, 1.5)
        self.assertIsNone(counts.pop_report(2))

    def test_rejected_requests_are_ignored(self) -> None:
        """Guards against an upstream that appears fast since it rejects requests immediately."""
        counts = AnswerCounts()
        upstream = Upstream(entry(1), 0)
        for _ in range(40):
            counts.note(upstream, _KIND, 1, 1.04)
        counts.pop_answers()
        counts.note(upstream, _KIND, 1, 1.001)
        self.assertEqual([], counts.pop_answers())

    def test_answers_during_pause_are_ignored(self) -> None:
        """Guards against a host that considers upstreams slow after it was paused itself."""
        state = _learning_state()
        counts = state.demand.capacities.counts
        upstream = state.directory.by_number[entry(1).short_number]
        counts.valid_from = 5
        for _ in range(40):
            counts.note(upstream, _KIND, 4, 6)
        self.assertEqual([], counts.pop_answers())

    def test_queue_is_not_a_slowdown(self) -> None:
        """Guards against an upstream that appears slow since it got more than its share."""
        usual = AnswerWindow(LONG_S)
        queued = AnswerWindow(LONG_S)
        for _ in range(200):
            usual.decay(_TICK_S)
            queued.decay(_TICK_S)
            usual.add(2, 2)
            queued.add(4, 4 * 1.9)
        # 20 and 40 requests per second of 25 ms at two slots: in M/M/2, the answer time is 1.07 and
        # 1.33 times the work.
        ratio = queued.work(0.025, 2) / queued.answers / (usual.work(0.025, 2) / usual.answers)
        self.assertLess(ratio, 1.5)

    def test_busy_slots_never_exceed_slots(self) -> None:
        """Guards against a load above 1."""
        for slots in (1, 2, 100):
            self.assertLessEqual(busy_slots(slots * 50, slots), slots)
            self.assertAlmostEqual(
                0.01 * slots, busy_slots(0.01 * slots, slots), delta=0.001 * slots
            )

    def _assert_speeds_unchanged(self, kind: type[_Hosts]) -> None:
        learned = 0
        for seed in range(6):
            hosts = kind(seed)
            hosts.run(20)
            learned += hosts.lines[LogNumber.SPEED_LEARNED] / _HOSTS
        self.assertLess(learned, 1)


class CountReportTest(TestCase):
    """The reports of answers that hosts exchange."""

    def setUp(self) -> None:
        """Create a host with one known upstream."""
        self.directory = Directory()
        self.directory.add_unlisted(entry(1), 0)
        self.upstream = self.directory.of_service(PORTAL)[0]
        self.upstream.pool.controlled = True
        self.host = Capacities()

    def test_a_duplicate_is_not_counted_twice(self) -> None:
        """Guards against counting a datagram that the network delivers twice."""
        self._add_report(1000)
        self._add_report(1000)
        self.assertEqual(10, self._answers())

    def test_older_report_is_ignored(self) -> None:
        """Guards against counting a datagram that arrives after a newer one."""
        self._add_report(2000)
        self._add_report(1000)
        self.assertEqual(10, self._answers())

    def test_lost_report_does_not_block_later_ones(self) -> None:
        """Guards against waiting for a report that was lost."""
        self._add_report(1000)
        self._add_report(3000)
        self.assertEqual(20, self._answers())

    def test_reports_of_restarted_host_are_accepted(self) -> None:
        """Guards against ignoring a host whose machine, and thus its clock, has restarted."""
        self._add_report(900_000)
        self._add_report(1000)
        self._add_report(1500)
        self.assertEqual(30, self._answers())

    def test_report_after_clock_wraps_is_accepted(self) -> None:
        """Guards against ignoring a host when its clock wraps after seven weeks."""
        self._add_report((1 << 32) - 100)
        self._add_report(900)
        self.assertEqual(20, self._answers())

    def test_report_about_previous_start_is_ignored(self) -> None:
        """Guards against applying the answers of a slow process to the one that replaced it."""
        count = AnswerCount(self.upstream.entry.short_number, 77, 10, 50)
        self.host.add_report('a2', ReportedCounts(1000, (count,)), self.directory)
        self.assertEqual(0, self._answers())

    def test_a_restarted_upstream_starts_anew(self) -> None:
        """Guards against avoiding a new process for the speed of the previous one."""
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
        hosts.directory.add_unlisted(restarted, 0)
        hosts.free_at_by_name.clear()
        hosts.answers.clear()
        hosts.run(0.5)
        upstream = hosts.directory.by_number[entry(1).short_number]
        self.assertIsNot(former, upstream)
        self.assertEqual(1, upstream.speed)

    def test_a_message_stays_small(self) -> None:
        """Guards against heartbeats that grow with the number of upstreams of a service."""
        counts = AnswerCounts()
        for number in range(200):
            upstream = Upstream(entry(number + 1), 0)
            for _ in range(20):
                counts.note(upstream, _KIND, 1, 1.04)
        report = counts.pop_report(2)
        self.assertEqual(MAX_REPORTED_COUNTS, len(report.counts) if report else 0)
        without = len(encode_heartbeat(_heartbeat(None)))
        name = len(',"answers":')
        report_bytes = len(encode_heartbeat(_heartbeat(report))) - without - name
        self.assertLessEqual(report_bytes, 11 * MAX_REPORTED_COUNTS + 6)

    def test_large_count_is_scaled_to_its_field(self) -> None:
        """Guards against counts that exceed their field after a long time without a report."""
        counts = AnswerCounts()
        upstream = Upstream(entry(1), 0)
        for _ in range(5000):
            counts.note(upstream, _KIND, 1, 1.04)
        report = decode_heartbeat(encode_heartbeat(_heartbeat(counts.pop_report(2)))).counts
        self.assertIsNotNone(report)
        for count in report.counts if report else ():
            self.assertAlmostEqual(1, count.means / count.answers, delta=0.05)

    def test_report_is_decoded(self) -> None:
        """Guards against counts that change in encoding."""
        count = AnswerCount(4_000_000_000, 255, 17, 12.5)
        sent = _heartbeat(ReportedCounts(4_294_967_295, (count,)))
        report = decode_heartbeat(encode_heartbeat(sent)).counts
        self.assertIsNotNone(report)
        if report:
            read = report.counts[0]
            self.assertEqual(4_294_967_295, report.reported_ms)
            self.assertEqual(
                (4_000_000_000, 255, 17, 12.5),
                (read.number, read.start, read.answers, read.means),
            )

    def test_previous_version_sends_no_counts(self) -> None:
        """Guards against rejecting heartbeats without counts, and accepting malformed ones."""
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
        report = decode_heartbeat(encode_heartbeat(sent)).counts
        self.assertIsNotNone(report)
        if report:
            read = report.pending[0]
            self.assertEqual(
                (4_000_000_000, 255, 3, 12.5),
                (read.number, read.start, read.answers, read.means),
            )

    def test_an_empty_pending_field_is_omitted(self) -> None:
        """Guards against larger heartbeats when no request is pending."""
        count = AnswerCount(1, 2, 1, 1)
        raw = encode_heartbeat(_heartbeat(ReportedCounts(1000, (count,))))
        self.assertNotIn(b'pending', raw)

    def test_only_long_pending_requests_are_reported(self) -> None:
        """Guards against reports of requests that have just been sent."""
        counts = _settled_counts(self.upstream)
        new = PendingRequest(self.upstream, _KIND, 9.98)
        old = PendingRequest(self.upstream, _KIND, 9.8)
        counts.note_pending([new, old], 10)
        report = counts.pop_report(10)
        self.assertEqual([1], [count.answers for count in report.pending] if report else [])

    def test_fast_and_slow_answers_are_counted_separately(self) -> None:
        """Guards against evaluating a fast and a slow answer as two answers of their mean."""
        counts = _settled_counts(self.upstream)
        counts.note(self.upstream, _KIND, 1, 1.02)
        counts.note(self.upstream, _KIND, 1, 1.12)
        report = counts.pop_report(10)
        self.assertEqual(2, len(report.counts) if report else 0)

    def test_a_later_report_replaces_pending_requests(self) -> None:
        """Guards against counting a pending request again with each heartbeat."""
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

    def test_excessive_count_is_limited(self) -> None:
        """Guards against a single host that makes an upstream appear arbitrarily slow."""
        self._add_report(1000, means=1023)
        long = self.host._learned_by_upstream[self.upstream].long  # noqa: SLF001
        self.assertLessEqual(long.means, 50)

    def _add_report(self, reported_ms: int, means: float = 10) -> None:
        number = self.upstream.entry.short_number
        count = AnswerCount(number, start_of(self.upstream.entry), 10, means)
        self.host.add_report('a2', ReportedCounts(reported_ms, (count,)), self.directory)

    def _answers(self) -> float:
        learned = self.host._learned_by_upstream.get(self.upstream)  # noqa: SLF001
        return learned.long.answers if learned else 0


class SteeringTest(TestCase):
    """The path from packets to reports in heartbeats."""

    def test_answers_of_packets_are_reported_once(self) -> None:
        """Guards against counts that are not reported to neighbours, or reported twice."""
        state = _learning_state()
        neighbour = PeerAddress('a2', 'dc-a', ('a2', 9))
        reduce(state, HeartbeatHeard(Heartbeat(neighbour, 1, 1, {})), 0.1)
        self._serve(state, 40)
        report = [
            count
            for heartbeat in self._heartbeats(state, 50)
            if heartbeat.counts
            for count in heartbeat.counts.counts
        ]
        self.assertEqual(24, sum(count.answers for count in report))
        again = [heartbeat for heartbeat in self._heartbeats(state, 60) if heartbeat.counts]
        self.assertEqual([], again)

    def test_pending_requests_are_reported(self) -> None:
        """Guards against reporting slow requests only when they have ended."""
        state = _learning_state()
        neighbour = PeerAddress('a2', 'dc-a', ('a2', 9))
        reduce(state, HeartbeatHeard(Heartbeat(neighbour, 1, 1, {})), 0.1)
        connection_id = self._serve(state, 40)
        self._heartbeats(state, 50)
        deciding = steering(state)
        deciding.decide(asking(1, connection_id, 5000, acknowledged=46), 51)
        pending = [
            count
            for heartbeat in self._heartbeats(state, 51.3)
            if heartbeat.counts
            for count in heartbeat.counts.pending
        ]
        self.assertEqual([1], [count.answers for count in pending])

    def test_uncontrolled_pools_are_not_measured(self) -> None:
        """Guards against measuring pools for which operators have set no objective."""
        state = ready_state(entry(1), entry(2))
        reduce(state, Ticked(), 0.1)
        self._serve(state, 40)
        self.assertEqual([], state.demand.capacities.counts.pop_answers())
        for heartbeat in self._heartbeats(state, 50):
            self.assertIsNone(heartbeat.counts)
        for upstream in state.directory.by_number.values():
            self.assertFalse(upstream.pool.controlled)
            self.assertEqual((1, None), (upstream.speed, upstream.spare))

    def test_service_no_longer_controlled_is_discarded(self) -> None:
        """Guards against speeds that remain after operators have removed the objective."""
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

    def test_speeds_are_exported(self) -> None:
        """Guards against learned speeds that operators cannot see."""
        state = _learning_state()
        shown = metrics_of(state, 1, {}, 0, 0).decode()
        self.assertIn('bronzekeel_learned_speed{kind="upstreams"} 0', shown)

    def _serve(self, state: RoutingState, requests: int) -> int:
        """Send requests on one flow, each answered after a twentieth of a second."""
        deciding = steering(state)
        verdict = deciding.decide(opening(1), 1)
        self.assertIn(delivered_to(verdict), {entry(1).name, entry(2).name})
        connection_id = id_given(verdict)
        now = 1.01
        for number in range(requests):
            sequence = 101 + number
            deciding.decide(asking(1, connection_id, sequence, acknowledged=7 + number), now)
            now += 0.05
            deciding.decide(acknowledging(1, connection_id, 8 + number), now)
            now += 0.01
        return connection_id

    def _heartbeats(self, state: RoutingState, now: float) -> list[Heartbeat]:
        return [
            effect.heartbeat
            for effect in reduce(state, Ticked(), now)
            if isinstance(effect, SendHeartbeat)
        ]


class PlacementTest(TestCase):
    """The distribution of new flows by spare capacity."""

    def test_flows_follow_spare_capacity(self) -> None:
        """Guards against placing as many flows at a slow upstream as at the others."""
        upstreams = _equal_upstreams(4)
        upstreams[0].speed = 0.5
        placed = _placed(upstreams, hosts=20, flows=10)
        self.assertAlmostEqual(0.5, placed[upstreams[0]] / placed[upstreams[1]], delta=0.15)

    def test_hosts_do_not_all_choose_the_same_upstream(self) -> None:
        """Guards against all hosts sending their next flow to the same upstream."""
        upstreams = _equal_upstreams(10)
        for upstream in upstreams:
            upstream.spare = 0.6
        upstreams[3].spare = 3
        placed = _placed(upstreams, hosts=20, flows=1)
        self.assertLessEqual(placed[upstreams[3]], 12)
        self.assertGreaterEqual(placed[upstreams[3]], 4)

    def test_released_upstream_fills_gradually(self) -> None:
        """Guards against sending all flows to a new upstream until it has as many as the others."""
        upstreams = _equal_upstreams(10)
        for upstream in upstreams:
            upstream.spare = 1.5
        shares = [SharesByCapacity(f'a{place}') for place in range(20)]
        for _ in range(30):
            for share in shares:
                share.choose(upstreams, 1)
        new_upstream = Upstream(entry(11, slots=3), 0)
        listed = [*upstreams[1:], new_upstream]
        placed = Counter(share.choose(listed, 1) for share in shares for _ in range(5))
        self.assertLessEqual(placed[new_upstream], 3 * 100 * 3 / (9 * 1.5 + 3) / 2)
        self.assertGreaterEqual(placed[new_upstream], 10)

    def test_a_cold_upstream_gets_half(self) -> None:
        """Guards against sending a full share of the flows to an upstream that has just started."""
        upstreams = _equal_upstreams(4)
        upstreams[0].warm_at = 10
        placed = _placed(upstreams, hosts=20, flows=10)
        self.assertAlmostEqual(0.5, placed[upstreams[0]] / placed[upstreams[1]], delta=0.15)

    def test_credit_of_busy_upstream_is_limited(self) -> None:
        """Guards against credits that accumulate while an upstream is not a candidate."""
        upstreams = _equal_upstreams(4)
        share = SharesByCapacity('a1')
        for _ in range(100):
            share.choose(upstreams[1:], 1)
        first = [share.choose(upstreams, 1) for _ in range(8)]
        self.assertLessEqual(first.count(upstreams[0]), 4)

    def test_credits_of_removed_upstreams_are_discarded(self) -> None:
        """Guards against memory use that grows with each release."""
        share = SharesByCapacity('a1')
        for _ in range(100):
            share.choose(_equal_upstreams(5), 1)
        self.assertLess(share.credit_count, 100)

    def test_services_do_not_displace_each_others_credits(self) -> None:
        """Guards against credits that are always reset, so that one upstream gets all flows."""
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


def _equal_upstreams(count: int) -> list[Upstream]:
    return [Upstream(entry(number), 0) for number in range(1, count + 1)]


def _placed(upstreams: list[Upstream], hosts: int, flows: int) -> Counter[Upstream]:
    shares = [SharesByCapacity(f'a{place}') for place in range(hosts)]
    return Counter(share.choose(upstreams, 1) for share in shares for _ in range(flows))


def _settled_counts(upstream: Upstream) -> AnswerCounts:
    """Return counts with a usable mean of one kind and nothing left to report."""
    counts = AnswerCounts()
    for _ in range(40):
        counts.note(upstream, _KIND, 1, 1 + _MEAN_S)
    counts.pop_report(2)
    return counts


def _heartbeat(counts: ReportedCounts | None) -> Heartbeat:
    return Heartbeat(PeerAddress('a1', 'dc-a', ('10.0.0.9', 9)), 1, 1, {}, counts=counts)


def _learning_state() -> RoutingState:
    """Return a ready state whose text has an objective, so that demand is controlled."""
    state = ready_state(entry(1), entry(2))
    with_objective = route(PORTAL_KEY, PORTAL)
    with_objective.objective_s = 0.6
    state.text = text(1, with_objective)
    reduce(state, Ticked(), 0.1)
    return state
