"""Callers of HTTP/1.0 that keep their connections."""
import signal
import time
import unittest
import uuid

from answers import Connection, request_bytes
from cluster import Cluster, wait_for
from fleet import Fleet

KEEP = b"Connection: keep-alive\r\n"
SLOW_S = 0.6


class OlderCaller(Connection):
    """Reads all Connection fields; callers may heed any of them."""

    def read_head(self):
        status_line = self.line()
        headers, options = {}, []
        while True:
            line = self.line()
            if not line:
                break
            name, value = line.split(b":", 1)
            name, value = name.lower().decode(), value.strip().decode()
            headers[name] = value
            if name == "connection":
                options.append(value.lower())
        self.options = options
        return int(status_line.split(b" ")[1]), headers

    def ask(self, data, method="POST"):
        self.socket.sendall(data)
        return self.read_answer(None, method)


def write(path, method="POST", key="key-a", keep=KEEP, wait_ms=5000):
    name = uuid.uuid4().hex
    data = request_bytes(method, path, name, b"x" if method == "POST" else b"",
                         key=key, wait_ms=wait_ms, version="1.0")
    return data.replace(b"Host:", keep + b"Host:", 1)


class OlderTest(unittest.TestCase):
    def open(self, port):
        caller = OlderCaller(port)
        self.addCleanup(caller.close)
        return caller

    def assert_kept(self, caller):
        self.assertEqual(caller.options, ["keep-alive"])

    def assert_ended(self, caller):
        """All that it reads says so, and nothing follows."""
        self.assertIn(caller.options, ([], ["close"]))
        self.assertEqual(caller.buffer, b"")
        self.assertEqual(caller.socket.recv(1), b"")


class RelayedTest(OlderTest):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [self.fleet.engine("e1"), self.fleet.plain("p1")]
        self.router = self.fleet.start(stop_grace="2s", stop_limit="8s")

    def test_calls(self):
        caller = self.open(self.router.port)
        for method in ("POST", "GET", "HEAD", "POST"):
            for path in ("/read/x", "/write/x"):
                answer = caller.ask(write(path, method), method)
                self.assertEqual((answer.status, answer.is_whole),
                                 (200, True))
                self.assert_kept(caller)

    def test_other_ways_to_ask_for_it(self):
        for keep in (b"connection:KEEP-ALIVE\r\n",
                     b"Connection:\tKeep-Alive \t\r\n"):
            caller = self.open(self.router.port)
            for _ in range(3):
                self.assertEqual(caller.ask(write("/read/x", keep=keep))
                                 .status, 200)
                self.assert_kept(caller)

    def test_those_that_do_not_ask(self):
        for keep in (b"", b"Connection: close\r\n",
                     b"Connection: keep-alive, close\r\n",
                     b"Connection: close, keep-alive\r\n"):
            caller = self.open(self.router.port)
            self.assertEqual(caller.ask(write("/read/x", keep=keep)).status,
                             200)
            self.assert_ended(caller)

    def test_streams(self):
        """The end of the connection ends them."""
        for path in ("/ask/x", "/ask/once/x"):
            caller = self.open(self.router.port)
            answer = caller.ask(write(path))
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.body.count(b"data"), 5)
            self.assertTrue(answer.is_open)
            self.assertIn(caller.options, ([], ["close"]))

    def test_refusals(self):
        caller = self.open(self.router.port)
        for path, key, status in (("/none", "key-a", 404),
                                  ("/read/x", "none", 401),
                                  ("/ask/x", "none", 401),
                                  ("/read/x", "key-a", 200)):
            answer = caller.ask(write(path, key=key))
            self.assertEqual(answer.status, status)
            self.assert_kept(caller)

    def test_errors_of_upstreams(self):
        caller = self.open(self.router.port)
        for status in (500, 404, 204, 304, 200):
            self.upstreams[1].status = status
            answer = caller.ask(write("/read/x", "GET"), "GET")
            self.assertEqual(answer.status, status)
            self.assertFalse(answer.is_open)
            self.assert_kept(caller)
        self.upstreams[1].shed = True
        for _ in range(3):
            self.assertEqual(caller.ask(write("/write/x")).status, 503)
            self.assert_kept(caller)

    def test_cut_answers(self):
        caller = self.open(self.router.port)
        self.upstreams[1].cut_calls = True
        self.assertEqual(caller.ask(write("/write/x")).status, 502)
        self.assert_kept(caller)

    def test_deadlines(self):
        self.upstreams[1].pause_s = 2
        caller = self.open(self.router.port)
        answer = caller.ask(write("/write/x", wait_ms=300))
        self.assertIn(answer.status, (502, 504))
        self.assert_kept(caller)

    def test_requests_that_are_refused_as_they_are_read(self):
        caller = self.open(self.router.port)
        self.assertEqual(caller.ask(write("/read/x")).status, 200)
        answer = caller.ask(b"POST /read/x HTTP/1.0\r\nX: a\n\r\n")
        self.assertEqual(answer.status, 400)
        self.assert_ended(caller)

    def test_answers_that_end_with_their_connection(self):
        self.upstreams[1].framed = False
        caller = self.open(self.router.port)
        answer = caller.ask(write("/read/x"))
        self.assertEqual((answer.status, answer.is_open), (200, True))
        self.assertIn(caller.options, ([], ["close"]))

    # They were told "close" and "keep-alive".
    def test_a_stop_under_way(self):
        for upstream in self.upstreams:
            upstream.pause_s = SLOW_S
        callers = [self.open(self.router.port) for _ in range(4)]
        data = [write(path, method) for path, method in
                (("/read/x", "POST"), ("/write/x", "POST"),
                 ("/read/x", "GET"), ("/read/x", "HEAD"))]
        for caller, one in zip(callers, data):
            caller.socket.sendall(one)
        wait_for(lambda: len(self.upstreams[1].seen) == len(callers), "runs")
        self.router.signal(signal.SIGTERM)
        for caller, one in zip(callers, data):
            answer = caller.read_answer(None, one.split(b" ")[0].decode())
            self.assertEqual((answer.status, answer.is_whole), (200, True))
            self.assert_ended(caller)
        self.assertEqual(self.router.process.wait(10), 0)

    def test_a_stop_between_requests(self):
        caller = self.open(self.router.port)
        self.assertEqual(caller.ask(write("/read/x")).status, 200)
        self.assert_kept(caller)
        self.router.signal(signal.SIGTERM)
        self.router.wait_event("router_stopping")
        try:
            answer = caller.ask(write("/read/x"))
        except OSError:  # closed before it asked
            answer = None
        if answer:
            self.assertIn(answer.status, (200, 503))
            self.assert_ended(caller)
        self.assertEqual(self.router.process.wait(10), 0)

    def test_requests_behind_others_at_a_stop(self):
        self.upstreams[1].pause_s = SLOW_S
        caller = self.open(self.router.port)
        caller.socket.sendall(b"".join(write("/write/x") for _ in range(3)))
        time.sleep(SLOW_S / 2)
        self.router.signal(signal.SIGTERM)
        for left in (2, 1, 0):
            answer = caller.read_answer(None, "POST")
            self.assertEqual(answer and answer.status, 200)
            if left:
                self.assert_kept(caller)
        self.assert_ended(caller)
        self.assertEqual(self.router.process.wait(10), 0)


class NativeTest(OlderTest):
    """As RelayedTest, on the native interface."""

    def test_calls_and_refusals(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        router = cluster.start()
        caller = self.open(router.port)
        for path, key, status in ((b"/v1/models", b"acme-key", 200),
                                  (b"/none", b"acme-key", 404),
                                  (b"/v1/models", b"none", 401),
                                  (b"/healthz", b"none", 200)):
            answer = caller.ask(
                b"GET %s HTTP/1.0\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
                % (path, key) + KEEP + b"\r\n", "GET")
            self.assertEqual((answer.status, answer.is_open), (status, False))
            self.assert_kept(caller)

    def test_other_listeners(self):
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.engine("e1")
        router = fleet.start()
        for port, path in ((router.ready_port, b"/v1/ready"),
                           (router.operator_port, b"/metrics")):
            caller = self.open(port)
            for _ in range(3):
                answer = caller.ask(b"GET %s HTTP/1.0\r\n" % path + KEEP
                                    + b"\r\n", "GET")
                self.assertEqual((answer.status, answer.is_open),
                                 (200, False))
                self.assert_kept(caller)


if __name__ == "__main__":
    unittest.main()
