"""System calls that fail in a router that runs (tests/failing_calls.c)."""
import errno
import os
import signal
import unittest

from cluster import preloaded, wait_for
from fleet import Fleet

ONCE = 1 << 30  # calls


class FailingCalls:
    def __init__(self, folder):
        self.path = os.path.join(folder, "failing-calls")
        self.environment = {
            "LD_PRELOAD": preloaded("libfailing_calls.so"),
            "FAILING_CALLS": self.path,
            "ASAN_OPTIONS": "detect_leaks=1:verify_asan_link_order=0"}
        self.set()

    def set(self, *failures):
        """Each one a call, an error and one in how many calls fails."""
        with open(self.path + ".new", "w") as file:
            file.writelines("%s %d %d\n" % failure for failure in failures)
        os.rename(self.path + ".new", self.path)


class SystemCallsTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.calls = FailingCalls(self.fleet.folder.name)
        self.router = self.fleet.start(environment=self.calls.environment)

    def assert_serves(self):
        wait_for(lambda: self.fleet.ask(self.router, "/read/x",
                                        wait_ms=2000).status == 200,
                 "an answer")

    # A router whose event loop failed ended as if it had been stopped.
    def test_a_failure_of_the_event_loop_is_no_orderly_end(self):
        self.calls.set(("epoll_wait", errno.EBADF, ONCE))
        self.assertEqual(self.router.process.wait(60), 1)
        failed = self.router.wait_event("router_failed")[0]
        self.assertIn("event loop", failed["reason"])
        self.assertEqual(self.router.events("router_stopped"), [])
        self.assertEqual(self.router.faults(), [])

    def test_an_interrupted_wait_for_events_changes_nothing(self):
        self.calls.set(("epoll_wait", errno.EINTR, 2))
        self.assert_serves()
        self.router.signal(signal.SIGTERM)
        self.assertEqual(self.router.process.wait(60), 0)


if __name__ == "__main__":
    unittest.main()
