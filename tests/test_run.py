"""Test how outcomes of tests are counted."""

from types import SimpleNamespace
from unittest import TestCase

from tests.run import Counts, Verdict, parse_counts, parse_known_red, classify_outcome


class CountTest(TestCase):
    """Count tests, their parts, and those that are known to be red."""

    def test_tests(self) -> None:
        """Whatever is not passed as expected is a failure."""
        for outcome, expected, verdict in (
            ('passed', True, Verdict.PASSED),
            ('passed', False, Verdict.FAILED),
            ('failed', False, Verdict.FAILED),
            ('error', False, Verdict.FAILED),
            ('skipped', False, Verdict.FAILED),
        ):
            event = SimpleNamespace(outcome=outcome, expected=expected)
            self.assertEqual(verdict, classify_outcome(event, known_red=False))

    def test_parts(self) -> None:
        """Symptom: a run without a failure ends as failed.

        Sequence: a test tells of its parts; each part that holds is told too.
        Cause: counting whatever is not the word "passed" as a failure.
        """
        good = SimpleNamespace(outcome='subtest', exc_info=None)
        bad = SimpleNamespace(outcome='subtest', exc_info=(AssertionError, AssertionError(), None))
        self.assertEqual(Verdict.IGNORED, classify_outcome(good, known_red=False))
        self.assertEqual(Verdict.FAILED, classify_outcome(bad, known_red=False))

    def test_known_red(self) -> None:
        """A known failure is passed over; one that passes has to leave the list."""
        failed = SimpleNamespace(outcome='failed', expected=False)
        passed = SimpleNamespace(outcome='passed', expected=True)
        self.assertEqual(Verdict.IGNORED, classify_outcome(failed, known_red=True))
        self.assertEqual(Verdict.FAILED, classify_outcome(passed, known_red=True))

    def test_lines_name_their_test(self) -> None:
        """The first word of a line, up to the comma, is the test's id."""
        lines = parse_known_red('tests.a.B.test_c, slow link, issue 9\n\n')
        self.assertEqual({'tests.a.B.test_c': 'tests.a.B.test_c, slow link, issue 9'}, lines)

    def test_a_module_that_ends_without_counts_has_failed(self) -> None:
        """Symptom: a run is green though a module was not run.

        Sequence: a module can't be imported, or its process is killed.
        Cause: adding up only what was counted.
        """
        self.assertEqual(Counts(0, 1), parse_counts('Segmentation fault\n', -11))
        self.assertEqual(Counts(0, 1), parse_counts('', 0))
        self.assertEqual(Counts(3, 1), parse_counts('3 passed, 0 failed\n', -9))
        self.assertEqual(Counts(2, 1), parse_counts('OK\n2 passed, 1 failed\n', 1))
        self.assertEqual(Counts(3, 0), parse_counts('1 passed, 0 failed\n3 passed, 0 failed\n', 0))
