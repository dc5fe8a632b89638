"""The tests of test_body_memory on the plain build, whose memory is measured."""
import os
import unittest

os.environ["WT_BUILD"] = "build"
from test_body_memory import *  # noqa: E402,F401,F403

if __name__ == "__main__":
    unittest.main()
