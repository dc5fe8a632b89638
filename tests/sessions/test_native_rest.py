"""Engines and plain services that refuse requests and ask for a backoff, on
the native interface."""
import unittest

from cluster import Cluster
from pressing import press_in_turn

BODY = {"model": "m", "prompt": "What is open today?", "max_tokens": 3}


class NativeRestTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def check_backoff(self, first, send):
        """Checks that `first` gets no request during its backoff."""
        first.control(rest_ms=3000, refuse=1000)
        press_in_turn(0.7, send)
        asked_before = first.control()["asked"]
        self.assertGreater(asked_before, 0)
        self.assertEqual(set(press_in_turn(1.5, send)), {200})
        self.assertEqual(first.control()["asked"], asked_before)

    def test_an_engine_that_asked_for_rest_gets_no_stream(self):
        first = self.cluster.engine("e1")
        self.cluster.engine("e2")
        router = self.cluster.start()
        self.check_backoff(first, lambda number: router.complete(
            dict(BODY, prompt="%d %s" % (number, "word " * 80))))

    def test_a_service_that_asked_for_rest_gets_no_call(self):
        first = self.cluster.service("s1", "notes")
        self.cluster.service("s2", "notes")
        router = self.cluster.start()
        self.check_backoff(first, lambda number: router.complete(
            {}, path="/v1/services/notes/x"))


if __name__ == "__main__":
    unittest.main()
