"""Answers of upstreams behind "100 Continue"."""
import socket
import time
import unittest

from fleet import Upstream

import test_fleet
from test_fleet import EVENTS

CALLS = 20  # of each form
INTERIM = {
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n",
    "several": b"HTTP/1.1 100 Continue\r\n\r\n"
               b"HTTP/1.1 100 x\r\nLink: </x>\r\n\r\n",
}


class InterimUpstream(Upstream):
    """Writes an interim answer and the whole final one at once."""

    interim = b""
    ends = False  # closes the connection behind it

    def run(self, call, body, request_id):
        wfile, call.wfile = call.wfile, Collector(self.interim)
        super().run(call, body, request_id)
        if self.ends:
            hold_back(call.connection)
        wfile.write(call.wfile.written)
        call.wfile = wfile
        if self.ends:
            call.connection.shutdown(socket.SHUT_WR)
        call.close_connection = self.ends


def hold_back(connection):
    """Has the kernel send what is written next together with the end."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)


class Collector:
    def __init__(self, written):
        self.written = written

    def write(self, part):
        self.written += part

    def flush(self):
        pass


class ClosingUpstream(Upstream):
    """Closes its connections a moment behind each answer, unannounced."""

    close_s = 0.002

    def run(self, call, body, request_id):
        super().run(call, body, request_id)
        call.wfile.flush()
        time.sleep(self.close_s)
        call.close_connection = True


class UnannouncedCloseTest(test_fleet.FleetTest):
    def start_closing(self, close_s):
        self.upstream = self.fleet.add(ClosingUpstream(self.fleet.store, "p0",
                                                       "plain"))
        self.upstream.close_s = close_s
        self.router = self.fleet.start()
        self.wait_listed(self.router, 1)

    def ask_all(self, *paths):
        for path in paths:
            statuses = [self.fleet.ask(self.router, path).status
                        for _ in range(4 * CALLS)]
            self.assertEqual(statuses, 4 * CALLS * [200], path)
        self.assertEqual(len(self.upstream.seen), 4 * CALLS * len(paths))

    def test_no_request_meets_the_close(self):
        """The next request was sent on a connection that its upstream was
        about to close, and refused as one that may have run."""
        self.start_closing(0.002)
        self.ask_all("/write/x", "/read/x")

    def test_no_request_meets_a_later_close(self):
        """As above, where requests come more often than connections end."""
        self.start_closing(0.02)
        self.ask_all("/write/x", "/read/x")

    def test_a_read_that_meets_the_close_is_sent_again(self):
        """The only upstream was doubted for the end of a connection that was
        used before, and calls were refused until it was probed."""
        for close_s in (0.002, 0.02, 0.3):
            with self.subTest(close_s=close_s):
                self.start_closing(close_s)
                self.ask_all("/read/x", "/write/x")
                self.assertEqual(self.router.events("upstream_doubted"), [])
                self.router.stop()
                self.upstream.unlist()

    def test_one_request_at_most_meets_a_close_that_comes_late(self):
        """All that were sent on used connections were refused."""
        self.start_closing(0.3)
        end = time.monotonic() + 1.5
        statuses = []
        while time.monotonic() < end:
            statuses.append(self.fleet.ask(self.router, "/write/x").status)
        self.assertLessEqual(statuses.count(502), 1)
        self.assertEqual(set(statuses) - {502}, {200})
        self.assertEqual(self.router.events("upstream_doubted"), [])

    def test_kept_connections_are_used_again(self):
        upstream = self.fleet.plain("p0")
        router = self.fleet.start()
        self.fleet.ask(router, "/write/x")
        time.sleep(0.3)
        for _ in range(4 * CALLS):
            self.assertEqual(self.fleet.ask(router, "/write/x").status, 200)
        self.assertLess(len(upstream.callers), 4)


class InterimAnswerTest(test_fleet.FleetTest):
    """Callers got 502 for requests that had been answered: the end of the
    connection was seen before the answer."""

    def check(self, form, ends):
        upstreams = [self.fleet.add(InterimUpstream(self.fleet.store, name,
                                                    service, model))
                     for name, service, model in
                     (("e0", "engines", "m"), ("p0", "plain", None))]
        for upstream in upstreams:
            upstream.interim = INTERIM[form]
            upstream.ends = ends
        router = self.fleet.start()
        self.wait_listed(router, 2)
        for path in ("/write/x", "/read/x", "/ask/x", "/ask/once/x"):
            for _ in range(CALLS):
                answer = self.fleet.ask(router, path)
                self.assertEqual(answer.status, 200, (path, answer.body))
                if path.startswith("/ask"):
                    self.assertEqual(answer.body, EVENTS)
        self.assertEqual(sum(len(u.seen) for u in upstreams), 4 * CALLS)

    def test_the_connection_ends(self):
        self.check("continue", True)

    def test_the_connection_stays(self):
        self.check("continue", False)

    def test_several(self):
        self.check("several", True)


if __name__ == "__main__":
    unittest.main()
