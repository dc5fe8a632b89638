"""Requests that wait behind another one of their connection at a stop."""
import signal
import time
import unittest
import uuid

from answers import Connection, request_bytes

import test_fleet

PIPELINED = 4


class PipelinedStopTest(test_fleet.FleetTest):
    def check(self, path):
        """They were dropped, as the first answer ended the connection."""
        upstream = self.fleet.plain("p1")
        upstream.pause_s = 0.5
        router = self.fleet.start(stop_grace="2s", stop_limit="8s")
        connection = Connection(router.port)
        self.addCleanup(connection.close)
        names = [uuid.uuid4().hex for _ in range(PIPELINED)]
        connection.socket.sendall(b"".join(
            request_bytes("POST", path, name, b"x" * 10, wait_ms=6000)
            for name in names))
        time.sleep(0.2)
        router.signal(signal.SIGTERM)
        answers = [connection.read_answer(name, "POST") for name in names]
        self.assertEqual([answer and answer.status for answer in answers],
                         PIPELINED * [200])
        self.assertEqual([answer.headers.get("connection")
                          for answer in answers],
                         (PIPELINED - 1) * [None] + ["close"])
        self.assertEqual(router.process.wait(10), 0)

    def test_calls_are_answered(self):
        self.check("/write/x")

    def test_requests_behind_one_that_outlasts_the_stop_are_refused(self):
        upstream = self.fleet.plain("p1")
        upstream.pause_s = 6
        router = self.fleet.start(stop_grace="500ms", stop_limit="2s")
        connection = Connection(router.port)
        self.addCleanup(connection.close)
        names = [uuid.uuid4().hex for _ in range(PIPELINED)]
        connection.socket.sendall(b"".join(
            request_bytes("POST", "/write/x", name, b"x", wait_ms=9000)
            for name in names))
        time.sleep(0.2)
        router.signal(signal.SIGTERM)
        answers = [connection.read_answer(name, "POST") for name in names]
        self.assertEqual([answer and answer.status for answer in answers],
                         [502] + (PIPELINED - 1) * [503])
        self.assertEqual(router.process.wait(10), 0)

    def test_a_request_that_waited_unread_is_not_too_slow(self):
        """The time of the request before it counted as its own."""
        upstream = self.fleet.plain("p1")
        upstream.pause_s = 3
        router = self.fleet.start(read_timeout="1s")
        connection = Connection(router.port)
        self.addCleanup(connection.close)
        first, second = uuid.uuid4().hex, uuid.uuid4().hex
        last = request_bytes("POST", "/write/x", second, b"x" * 5000,
                             wait_ms=9000)
        connection.socket.sendall(request_bytes(
            "POST", "/write/x", first, b"x", wait_ms=9000) + last[:20])
        time.sleep(0.2)
        connection.socket.sendall(last[20:500])
        answer = connection.read_answer(first, "POST")
        self.assertEqual(answer and answer.status, 200)
        time.sleep(0.2)
        connection.socket.sendall(last[500:])
        answer = connection.read_answer(second, "POST")
        self.assertEqual(answer and answer.status, 200)

    def test_unknown_paths_are_refused(self):
        router = self.fleet.start(stop_grace="2s", stop_limit="8s")
        router.signal(signal.SIGTERM)
        router.wait_event("router_stopping")
        connection = Connection(router.port)
        self.addCleanup(connection.close)
        names = [uuid.uuid4().hex for _ in range(PIPELINED)]
        connection.socket.sendall(b"".join(
            request_bytes("POST", "/nowhere", name) for name in names))
        answers = [connection.read_answer(name, "POST") for name in names]
        self.assertEqual([answer and answer.status for answer in answers],
                         PIPELINED * [404])

    def test_a_kept_http_1_0_connection_is_not_promised_to_stay(self):
        """The last answer said both "close" and "keep-alive"."""
        self.fleet.plain("p1").pause_s = 0.5
        router = self.fleet.start(stop_grace="2s", stop_limit="8s")
        connection = Connection(router.port)
        self.addCleanup(connection.close)
        name = uuid.uuid4().hex
        connection.socket.sendall(request_bytes(
            "GET", "/read/x", name, wait_ms=6000, version="1.0").replace(
            b"\r\n", b"\r\nConnection: keep-alive\r\n", 1))
        time.sleep(0.2)
        router.signal(signal.SIGTERM)
        head = bytearray()
        while not head.endswith(b"\r\n\r\n"):
            head += connection.take(1)
        fields = [line for line in bytes(head).lower().split(b"\r\n")
                  if line.startswith(b"connection:")]
        self.assertEqual(fields, [b"connection: close"])


if __name__ == "__main__":
    unittest.main()
