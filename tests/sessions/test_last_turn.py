"""Requests that come as a router ends."""
import signal
import socket
import time
import unittest

import fleet
import test_fleet

REQUEST = (b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\n"
           b"X-Request-Id: s1\r\nApi-Key: key-a\r\nX-Deadline-Ms: 20000\r\n"
           b"Content-Length: 0\r\n\r\n")
CONNECTIONS = 20


class LastTurnTest(test_fleet.FleetTest):
    """Symptom: a router that was told to stop reads memory that it has freed,
    and may crash, where requests come as it ends.
    Sequence: its grace is over and nothing is open; its parts are freed; the
    loop turns once more, so that calls that were closed free themselves; in
    that turn a request is read.
    Cause: the listeners and their connections were freed only after that turn.
    Settled by: the sanitizer names RouteTable_config, called for a request, on
    what RelayParts_destroy has freed.
    """

    def test_requests_that_come_as_it_ends_meet_no_freed_parts(self):
        self.fleet.plain("p1")
        router = self.fleet.start()
        raws = [socket.create_connection(("127.0.0.1", router.port))
                for i in range(CONNECTIONS)]
        for raw in raws:
            self.addCleanup(raw.close)
        time.sleep(0.2)  # all are accepted
        router.signal(signal.SIGTERM)
        time.sleep(0.1)
        router.signal(signal.SIGSTOP)
        time.sleep(1)  # its grace ends meanwhile
        for raw in raws:
            raw.sendall(REQUEST)
        router.signal(signal.SIGCONT)
        router.process.wait(10)
        self.assertEqual(router.process.returncode, 0)
        self.assertEqual(router.faults(), [])


class StopLimitTest(test_fleet.StreamTest):
    """A stream is still open as its router's stop_limit is over."""

    def test_an_open_stream_meets_no_freed_parts(self):
        settings = fleet.SETTINGS
        self.addCleanup(setattr, fleet, "SETTINGS", settings)
        fleet.SETTINGS = settings.replace(
            "stop_grace = 300ms", "stop_grace = 300ms\nstop_limit = 400ms")
        self.start_stream("/ask/x")
        self.router.signal(signal.SIGTERM)
        self.router.process.wait(10)
        self.assertEqual(self.router.faults(), [])
        self.assertEqual(self.router.process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
