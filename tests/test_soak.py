"""Test what the soak decides without processes: schedules, checks, and filled templates."""

from collections import Counter
from json import loads as decode_json
from pathlib import Path
from unittest import TestCase

from bronzekeel.platform.machine import HostPlace, host_fields
from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.faults import FAULTS
from bronzekeel.soak.schedule import FIRST_S, QUIET_S, drawn
from bronzekeel.standins.template import fill_template


_SETTINGS = Path(__file__).parents[1] / 'deploy' / 'settings.json'
_SECONDS = 120


class ScheduleTest(TestCase):
    """What is drawn from a seed."""

    def test_a_seed_gives_one_schedule(self) -> None:
        """A seed that failed can be played again."""
        again = [planned.kind for planned in drawn(5, _SECONDS)]
        self.assertEqual([planned.kind for planned in drawn(5, _SECONDS)], again)
        self.assertNotEqual([planned.kind for planned in drawn(6, _SECONDS)], again)

    def test_each_kind_comes_before_one_comes_twice(self) -> None:
        """Counts of kinds differ by one at most."""
        for seed in range(20):
            counts = Counter(planned.kind for planned in drawn(seed, _SECONDS))
            least = min(counts[fault.kind] for fault in FAULTS)
            self.assertLessEqual(max(counts.values()), least + 1)

    def test_the_end_is_quiet(self) -> None:
        """Callers must be served again after the last fault."""
        for seed in range(20):
            for planned in drawn(seed, _SECONDS):
                self.assertGreaterEqual(planned.at_s, FIRST_S)
                self.assertLessEqual(planned.at_s + planned.for_s, _SECONDS - QUIET_S + 0.02)


class ChecksTest(TestCase):
    """What was checked, and what broke."""

    def test_a_broken_promise_is_told(self) -> None:
        """One break is enough, and what had no chance to break is named."""
        checks = Checks()
        checks.check(Promise.SERVICE, holds=True, told='a')
        self.assertTrue(checks.ok)
        checks.check(Promise.SERVICE, holds=False, told='b')
        self.assertFalse(checks.ok)
        self.assertIn('b', checks.broken[0])
        self.assertNotIn(Promise.SERVICE.name, checks.never_made)
        self.assertIn(Promise.DRAINED.name, checks.never_made)


class TemplateTest(TestCase):
    """The settings that the platform makes of our template."""

    def test_the_settings_template_is_filled(self) -> None:
        """Addresses and the list of seeds come out as JSON that the balancer reads."""
        place = HostPlace('dc-a-1', 'dc-a', ('1.2.3.4', 5), ('1.2.3.4', 6), ('1.2.3.4', 7))
        fields = host_fields(place, ('9.9.9.9', 80), [('1.1.1.1', 1), ('2.2.2.2', 2)], 6)
        settings = decode_json(fill_template(_SETTINGS.read_text(encoding='utf-8'), fields))
        self.assertEqual('dc-a-1', settings['name'])
        self.assertEqual('1.2.3.4:5', settings['packets'])
        self.assertEqual(['1.1.1.1:1', '2.2.2.2:2'], settings['seeds'])
        self.assertEqual('9.9.9.9:80', settings['store'])
        self.assertEqual(6, settings['stop_within_s'])
        self.assertEqual(1000, settings['link_mbps'])
        self.assertNotIn('cold_overage', settings)

    def test_a_value_that_is_not_there_leaves_its_section_out(self) -> None:
        """A platform without bounds on cold upstreams and links is one that states none."""
        place = HostPlace('dc-a-1', 'dc-a', ('1.2.3.4', 5), ('1.2.3.4', 6), ('1.2.3.4', 7))
        fields = host_fields(place, ('9.9.9.9', 80), [], 6)
        fields.pop('limits')
        fields['bounds'].update({'warmupOverage': 1.5, 'warmupSlack': 5})
        settings = decode_json(fill_template(_SETTINGS.read_text(encoding='utf-8'), fields))
        self.assertNotIn('link_mbps', settings)
        self.assertEqual((1.5, 5), (settings['cold_overage'], settings['cold_slack']))
