"""Answers of upstreams behind "100 Continue"."""
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
        wfile.write(call.wfile.written)
        call.wfile = wfile
        call.close_connection = self.ends


class Collector:
    def __init__(self, written):
        self.written = written

    def write(self, part):
        self.written += part

    def flush(self):
        pass


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
