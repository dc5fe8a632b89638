"""A short run of the soak test of callers that make a router hold bytes, on the
plain build, whose memory is measured."""
import os
import sys
import unittest

os.environ["WT_BUILD"] = "build"
sys.path.append(os.path.join(os.path.dirname(os.path.abspath(__file__)),
                             "..", "..", "tools"))
from memory_soak import Soak, allow_many_connections  # noqa: E402

SEED = 4
DURATION_S = 15


class MemorySoakTest(unittest.TestCase):
    def test_routers_stay_within_their_memory(self):
        allow_many_connections()
        soak = Soak(SEED, DURATION_S)
        self.addCleanup(soak.fleet.close)
        self.assertEqual(soak.run(), 0)


if __name__ == "__main__":
    unittest.main()
