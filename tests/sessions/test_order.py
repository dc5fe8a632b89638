"""A short run of the soak test of streams over several requests."""
import os
import sys
import unittest

sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)),
                             "..", "..", "tools"))
from order_soak import Soak  # noqa: E402

# A router took the record of one that knew only its list for complete.
SEED = 113
DURATION_S = 20


class OrderSoakTest(unittest.TestCase):
    def test_no_stream_is_mixed_or_out_of_order(self):
        self.assertTrue(Soak(SEED, same_names=False).run(DURATION_S))
