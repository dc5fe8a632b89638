"""Engines and plain services that announce that they leave, on the native
interface."""
import unittest

from cluster import Cluster
from pressing import press_in_turn

BODY = {"model": "m", "prompt": "What is open today?", "max_tokens": 3}


class NativeLeavingTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def test_no_new_stream_goes_to_an_engine_that_said_it_leaves(self):
        first = self.cluster.engine("e1")
        self.cluster.engine("e2")
        routers = self.cluster.start("r1", "r2")

        def send(number):
            return routers[number % 2].complete(
                dict(BODY, prompt="%d %s" % (number, "word " * 80)))
        first.control(says_leaving=1)
        press_in_turn(1, send)
        before = first.state()["asked"]
        self.assertGreater(before, 0)
        self.assertEqual(set(press_in_turn(1.5, send)), {200})
        self.assertEqual(first.state()["asked"], before)

    def test_no_new_call_goes_to_a_service_that_said_it_leaves(self):
        first = self.cluster.service("s1", "notes")
        self.cluster.service("s2", "notes")
        routers = self.cluster.start("r1", "r2")

        def send(number):
            return routers[number % 2].complete({}, path="/v1/services/notes/x")
        first.control(says_leaving=1)
        press_in_turn(1, send)
        before = sum(first.call("GET", "/records").values())
        self.assertEqual(set(press_in_turn(1.5, send)), {200})
        self.assertEqual(sum(first.call("GET", "/records").values()), before)


if __name__ == "__main__":
    unittest.main()
