"""Signals of the system that the router has no use for."""
import os
import resource
import signal
import unittest

from cluster import wait_for
from fleet import Fleet

ASKS = 5
UNUSED = ("SIGXFSZ", "SIGXCPU", "SIGUSR1", "SIGUSR2", "SIGALRM", "SIGVTALRM",
          "SIGPROF", "SIGIO", "SIGPWR", "SIGPIPE")


class SignalCase(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.fleet.config()

    def assert_serves(self, router):
        for _ in range(ASKS):
            answer = self.fleet.ask(router, "/read/x", method="GET")
            self.assertEqual(answer.status, 200)
        self.assertIsNone(router.process.poll())


class OutputLimitTest(SignalCase):
    def start_with_log_file(self, path):
        router = self.fleet.launch(
            prefix=["sh", "-c", 'exec "$@" >>"%s"' % path, "sh"])
        wait_for(lambda: "event=router_started" in self.read(path), "start")
        router.lines.extend(self.read(path).splitlines())
        self.fleet.await_start(router)
        wait_for(lambda: self.fleet.is_ready(router), "ready")
        return router

    @staticmethod
    def read(path):
        with open(path) as file:
            return file.read()

    # A log file that reached the limit of its size ended the router.
    def test_a_log_file_at_its_limit_does_not_end_the_router(self):
        path = os.path.join(self.fleet.folder.name, "log")
        open(path, "w").close()
        router = self.start_with_log_file(path)
        limit = os.path.getsize(path)
        no_limit = resource.prlimit(
            router.process.pid, resource.RLIMIT_FSIZE,
            (limit, resource.RLIM_INFINITY))
        self.assert_serves(router)
        self.assertLessEqual(os.path.getsize(path), limit)
        metrics = self.fleet.get(router.operator_port, "/metrics").body
        self.assertRegex(
            metrics.decode(),
            r"(?m)^wheattiller_log_lines_left_out_total [1-9]")
        resource.prlimit(router.process.pid, resource.RLIMIT_FSIZE, no_limit)
        self.assert_serves(router)
        wait_for(lambda: "event=log_lines_left_out" in self.read(path),
                 "lines after the limit")
        self.assertEqual(router.stop(), 0)


class UnusedSignalTest(SignalCase):
    # The default action of each of them ended the router.
    def test_unused_signals_do_not_end_the_router(self):
        for name in UNUSED:
            with self.subTest(name):
                router = self.fleet.start()
                router.signal(getattr(signal, name))
                self.assert_serves(router)
                self.assertEqual(router.stop(), 0)


if __name__ == "__main__":
    unittest.main()
