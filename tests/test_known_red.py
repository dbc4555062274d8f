"""The list of tests known to fail passes over just these, and only while they fail."""

import io
import unittest

import testtools

import tests.__main__ as runner

HERE = "tests.test_known_red.Sample."


class Sample(unittest.TestCase):
    """Not found by discovery, as its tests come from `suite` alone."""

    def good(self):
        self.assertEqual(2, 1 + 1)

    def bad(self):
        self.assertEqual(3, 1 + 1)

    def breaks(self):
        raise OSError("no such thing")

    def sub(self):
        for k in range(2):
            with self.subTest(k=k):
                self.assertEqual(0, k)

    def skipped(self):
        raise unittest.SkipTest("not here")


class KnownRed(testtools.TestCase):
    def play(self, tests, text=""):
        out = io.StringIO()
        every = {HERE + n for n in ("good", "bad", "breaks", "sub", "skipped")}
        return runner.run(unittest.TestSuite(Sample(n) for n in tests), every, text, out), out.getvalue()

    def test_without_a_list_a_failure_fails(self):
        self.assertTrue(self.play(["good"])[0])
        for name in ("bad", "breaks", "sub"):
            self.assertFalse(self.play(["good", name])[0], name)

    def test_listed_failures_are_passed_over_with_their_cause(self):
        for name in ("bad", "breaks", "sub"):
            ok, text = self.play(["good", name], f"{HERE}{name} | the sum is off | 7\n")
            self.assertTrue(ok, text)
            self.assertIn(f"{HERE}{name} fails: the sum is off (7)", text)
            self.assertIn("1 known to fail\n1 passed, 0 failed\n", text)

    def test_another_failure_still_fails(self):
        self.assertFalse(self.play(["bad", "breaks"], f"{HERE}bad | the sum is off | 7")[0])

    def test_listed_test_that_does_not_fail_fails(self):
        for name in ("good", "skipped"):
            ok, text = self.play([name], f"{HERE}{name} | the sum is off | 7")
            self.assertFalse(ok)
            self.assertIn(f"{HERE}{name} did not fail", text)

    def test_listed_test_that_does_not_exist_fails(self):
        ok, text = self.play(["good"], "tests.test_none.A.test_b | gone | 7")
        self.assertFalse(ok)
        self.assertIn("does not exist", text)

    def test_listed_test_that_was_not_chosen_is_left_alone(self):
        self.assertTrue(self.play(["good"], f"{HERE}bad | the sum is off | 7")[0])

    def test_a_line_that_is_none_fails(self):
        for text in ("tests.test_a", "a | b", "a | | c", "a | b | c\na | b | c"):
            self.assertFalse(self.play(["good"], text)[0], text)
