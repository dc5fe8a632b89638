"""A short run of the soak test of stops in series, cut heads and bytes without
end."""
import os
import sys
import unittest

sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)),
                             "..", "..", "tools"))
from stop_soak import Soak  # noqa: E402

SEED = 1
DURATION_S = 20


class StopSoakTest(unittest.TestCase):
    def test_each_request_that_ran_is_answered(self):
        self.assertTrue(Soak(SEED).run(DURATION_S))
