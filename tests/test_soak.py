"""Test the parts of the soak that need no processes: schedules, checks, and settings templates."""

from collections import Counter
from json import loads as decode_json
from pathlib import Path
from unittest import TestCase

from bronzekeel.platform.host_description import HostDescription, template_fields
from bronzekeel.soak.checks import Checks, Promise
from bronzekeel.soak.faults import FAULTS
from bronzekeel.soak.schedule import FIRST_FAULT_S, QUIET_S, draw_schedule
from bronzekeel.standins.template import fill_template


_SETTINGS = Path(__file__).parents[1] / 'deploy' / 'settings.json'
_SECONDS = 120


class ScheduleTest(TestCase):
    """Test schedules drawn from a seed."""

    def test_same_seed_gives_same_schedule(self) -> None:
        """The same seed gives the same schedule, so that a failed run can be repeated."""
        again = [planned.kind for planned in draw_schedule(5, _SECONDS)]
        self.assertEqual([planned.kind for planned in draw_schedule(5, _SECONDS)], again)
        self.assertNotEqual([planned.kind for planned in draw_schedule(6, _SECONDS)], again)

    def test_each_kind_occurs_before_any_repeats(self) -> None:
        """Each kind occurs once before any kind repeats, so that counts differ by one at most."""
        for seed in range(20):
            counts = Counter(planned.kind for planned in draw_schedule(seed, _SECONDS))
            least = min(counts[fault.kind] for fault in FAULTS)
            self.assertLessEqual(max(counts.values()), least + 1)

    def test_no_fault_in_quiet_period(self) -> None:
        """No fault lasts into the quiet period, in which callers must be served again."""
        for seed in range(20):
            for planned in draw_schedule(seed, _SECONDS):
                self.assertGreaterEqual(planned.at_s, FIRST_FAULT_S)
                self.assertLessEqual(planned.at_s + planned.for_s, _SECONDS - QUIET_S + 0.02)


class ChecksTest(TestCase):
    """Test the counts of checks and the recorded violations."""

    def test_violation_is_recorded(self) -> None:
        """One violation fails the run, and promises that were never checked are named."""
        checks = Checks()
        checks.check(Promise.SERVICE, holds=True, description='a')
        self.assertTrue(checks.ok)
        checks.check(Promise.SERVICE, holds=False, description='b')
        self.assertFalse(checks.ok)
        self.assertIn('b', checks.broken[0])
        self.assertNotIn(Promise.SERVICE.name, checks.unchecked)
        self.assertIn(Promise.DRAINED.name, checks.unchecked)


class TemplateTest(TestCase):
    """Test the settings that the platform generates from the template."""

    def test_settings_template_is_filled(self) -> None:
        """Addresses and the list of seeds are filled in as JSON that the balancer can parse."""
        place = HostDescription('dc-a-1', 'dc-a', ('1.2.3.4', 5), ('1.2.3.4', 6), ('1.2.3.4', 7))
        fields = template_fields(place, ('9.9.9.9', 80), [('1.1.1.1', 1), ('2.2.2.2', 2)], 6)
        settings = decode_json(fill_template(_SETTINGS.read_text(encoding='utf-8'), fields))
        self.assertEqual('dc-a-1', settings['name'])
        self.assertEqual('1.2.3.4:5', settings['packets'])
        self.assertEqual(['1.1.1.1:1', '2.2.2.2:2'], settings['seeds'])
        self.assertEqual('9.9.9.9:80', settings['store'])
        self.assertEqual(6, settings['stop_within_s'])
        self.assertEqual(1000, settings['link_mbps'])
        self.assertNotIn('cold_overage', settings)

    def test_missing_value_omits_its_section(self) -> None:
        """Settings for which the platform states no bounds or limits are omitted."""
        place = HostDescription('dc-a-1', 'dc-a', ('1.2.3.4', 5), ('1.2.3.4', 6), ('1.2.3.4', 7))
        fields = template_fields(place, ('9.9.9.9', 80), [], 6)
        fields.pop('limits')
        fields['bounds'].update({'warmupOverage': 1.5, 'warmupSlack': 5})
        settings = decode_json(fill_template(_SETTINGS.read_text(encoding='utf-8'), fields))
        self.assertNotIn('link_mbps', settings)
        self.assertEqual((1.5, 5), (settings['cold_overage'], settings['cold_slack']))
