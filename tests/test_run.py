"""Tests of how the test runner counts outcomes."""

from types import SimpleNamespace
from unittest import TestCase

from tests.run import Counts, Verdict, parse_counts, parse_known_red, classify_outcome


class CountTest(TestCase):
    """Counting of tests, subtests and known failures."""

    def test_outcomes(self) -> None:
        """Any outcome except an expected pass counts as a failure."""
        for outcome, expected, verdict in (
            ('passed', True, Verdict.PASSED),
            ('passed', False, Verdict.FAILED),
            ('failed', False, Verdict.FAILED),
            ('error', False, Verdict.FAILED),
            ('skipped', False, Verdict.FAILED),
        ):
            event = SimpleNamespace(outcome=outcome, expected=expected)
            self.assertEqual(verdict, classify_outcome(event, known_red=False))

    def test_subtests(self) -> None:
        """A passed subtest must not count as a failure.

        nose2 reports each subtest with the outcome "subtest".  Counting every outcome except
        "passed" as a failure made a run without failures fail.
        """
        good = SimpleNamespace(outcome='subtest', exc_info=None)
        bad = SimpleNamespace(outcome='subtest', exc_info=(AssertionError, AssertionError(), None))
        self.assertEqual(Verdict.IGNORED, classify_outcome(good, known_red=False))
        self.assertEqual(Verdict.FAILED, classify_outcome(bad, known_red=False))

    def test_known_red(self) -> None:
        """A known failure is ignored; a listed test that passes counts as a failure."""
        failed = SimpleNamespace(outcome='failed', expected=False)
        passed = SimpleNamespace(outcome='passed', expected=True)
        self.assertEqual(Verdict.IGNORED, classify_outcome(failed, known_red=True))
        self.assertEqual(Verdict.FAILED, classify_outcome(passed, known_red=True))

    def test_known_red_lines_are_keyed_by_test_id(self) -> None:
        """The part of a line before the first comma is the test id."""
        lines = parse_known_red('tests.a.B.test_c, slow link, issue 9\n\n')
        self.assertEqual({'tests.a.B.test_c': 'tests.a.B.test_c, slow link, issue 9'}, lines)

    def test_a_module_without_counts_has_failed(self) -> None:
        """A module that cannot be imported or whose process is killed counts as a failure.

        Adding up only the printed counts made a run pass although a module had not run.
        """
        self.assertEqual(Counts(0, 1), parse_counts('Segmentation fault\n', -11))
        self.assertEqual(Counts(0, 1), parse_counts('', 0))
        self.assertEqual(Counts(3, 1), parse_counts('3 passed, 0 failed\n', -9))
        self.assertEqual(Counts(2, 1), parse_counts('OK\n2 passed, 1 failed\n', 1))
        self.assertEqual(Counts(3, 0), parse_counts('1 passed, 0 failed\n3 passed, 0 failed\n', 0))
