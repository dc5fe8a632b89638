"""Streams and calls that were under way when another attempt was wanted."""
import signal
import socket
import threading
import time
import unittest

import test_fleet
from cluster import Cluster, places, wait_for
from test_fleet import EVENTS, Gate

REQUEST = (b"POST /ask/x HTTP/1.1\r\nHost: shop.example\r\n"
           b"X-Request-Id: s1\r\nApi-Key: key-a\r\nX-Model: m\r\n"
           b"X-Deadline-Ms: 20000\r\nContent-Length: 0\r\n"
           b"Connection: close\r\n\r\n")


def read_all(raw, silence_s):
    """What comes until the end, or until nothing came for so long."""
    raw.settimeout(silence_s)
    got = b""
    try:
        while True:
            piece = raw.recv(1 << 20)
            if not piece:
                return got
            got += piece
    except (ConnectionResetError, socket.timeout):
        return got


def name_weights(fleet):
    fleet.store.put("keyed.op", "version/m", {"model": "m", "version": 2})


class RestRefusedTest(test_fleet.FleetTest):
    """Symptom: a caller reads the head of a second answer in the middle of
    the first one.
    Sequence: a stream breaks after some events; the engine that is asked for
    the rest answers with a status of 4xx.
    Cause: such an answer was passed on whole, without a look at what the
    caller has already.
    Settled by: the bytes that the caller reads hold two status lines.
    """

    def test_no_second_head_in_a_stream(self):
        for engine in (self.fleet.engine("e1"), self.fleet.engine("e2")):
            engine.cut_after = 3
            engine.stream = self.refusing_rests(engine.stream)
        router = self.fleet.start()
        self.wait_listed(router, 2)
        with socket.create_connection(("127.0.0.1", router.port)) as raw:
            raw.sendall(REQUEST)
            got = read_all(raw, 10)
        self.assertIn(b"piece-2", got)
        self.assertEqual(got.count(b"HTTP/1.1 "), 1, got)
        self.assertNotIn(b"no such stream", got)

    def refusing_rests(self, stream):
        def refuse_or_stream(call, headers):
            if "Last-Event-Id" in call.headers:
                call.reply(409, b"no such stream", **headers)
            else:
                stream(call, headers)
        return refuse_or_stream


if __name__ == "__main__":
    unittest.main()
