"""Callers that stop reading, whose connections the router closes in the end,
and those that read on, whose connections it keeps."""
import socket
import time
import unittest
import uuid

from answers import Connection, request_bytes
from cluster import HOST, wait_for
from fleet import Fleet, Upstream

LONG = 6000000  # bytes, more than the kernel's buffers hold
STOPPED_S = 2.5  # longer than the router waits for a caller to read
SILENT_S = 1.8  # longer than it waits for a caller to send
STEADY_BYTES_PER_S = 3000000  # at which LONG takes longer than that, too
EVENTS = 4


class LongAnswers(Upstream):
    def answer_call(self, call, body, headers):
        call.head(200, {"Content_Length": str(LONG)} if self.framed else None,
                  **headers)
        call.wfile.write(b"y" * LONG)

    def stream(self, call, headers):
        event = b"id: 0\ndata: %s\n\n" % (b"y" * 60000)
        call.head(200, {"Transfer_Encoding": "chunked"} if self.framed
                  else None, **headers)
        for number in range(LONG // len(event)):
            self.write_part(call, self.framed,
                            event.replace(b"0", b"%d" % number, 1))
        if self.framed:
            call.wfile.write(b"0\r\n\r\n")


class SlowCallerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [
            self.fleet.add(LongAnswers(self.fleet.store, "p1", "plain")),
            self.fleet.add(LongAnswers(self.fleet.store, "e1", "engines",
                                       "m"))]
        self.fleet.config(limits={"idle_timeout_ms": 1000})
        self.router = self.fleet.start(read_timeout="1s",
                                       token_timeout="20s")

    def read_late(self, path, version="1.1"):
        """Returns the request's id, the bytes that its caller read after it
        had stopped for a while, and whether the end was orderly."""
        request_id = uuid.uuid4().hex
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(20)
            caller.connect((HOST, self.router.port))
            caller.sendall(request_bytes("POST", path, request_id, b"x",
                                         wait_ms=19000, version=version))
            time.sleep(STOPPED_S)
            received = bytearray()
            try:
                while part := caller.recv(65536):
                    received += part
                    if len(received) > LONG:
                        break
            except ConnectionResetError:
                return request_id, received, False
        return request_id, received, True

    def check(self, version="1.1"):
        for path in ("/read/x", "/write/x", "/ask/x", "/ask/once/x"):
            request_id, received, is_orderly = self.read_late(path, version)
            self.assertLess(len(received), LONG, path)
            if b"content-length:" not in received.lower() and \
                    b"chunked" not in received:
                self.assertFalse(is_orderly, (path, len(received)))
            self.check_line(path, request_id)

    def check_line(self, path, request_id):
        """An answer that was not received to its end yet is no whole one."""
        event = "request_done" if path.startswith("/ask") else "answer_unsent"
        line, = wait_for(lambda: [
            line for line in self.router.events(event)
            if line["request"].strip('"') == request_id], path)
        if event == "answer_unsent":
            self.assertEqual(line["cause"].strip('"'), "not_read")
            self.assertGreater(int(line["bytes"]), 0)
        else:
            self.assertEqual(line["answer"].strip('"'), "none")
            self.check_reason(request_id, line)

    def check_reason(self, request_id, done):
        """It could not be told from a caller that left."""
        refused, = [line for line in self.router.events("request_refused")
                    if line["request"].strip('"') == request_id]
        self.assertEqual(refused["reason"].strip('"'), "answer_not_read")
        self.assertEqual(done["outcome"].strip('"'), "answer_not_read")

    def test_answers_with_a_frame(self):
        """A part of an answer was counted as whole, without a line."""
        self.check()

    def test_answers_without_a_frame(self):
        """A part of an answer does not end as a whole one does."""
        for upstream in self.upstreams:
            upstream.framed = False
        self.check()

    def test_callers_of_http_1_0(self):
        """A part of an answer does not end as a whole one does."""
        self.check("1.0")


class PausingEngine(Upstream):
    """Is silent in the middle of its streams."""

    def stream(self, call, headers):
        call.head(200, {"Transfer_Encoding": "chunked"}, **headers)
        for number in range(EVENTS):
            if number == EVENTS // 2:
                time.sleep(SILENT_S)
            self.write_part(call, True, b"id: %d\ndata: x\n\n" % number)
        call.wfile.write(b"0\r\n\r\n")


class ReadingCallerTest(unittest.TestCase):
    """A caller that has read all there is owes nothing, yet evhttp waited
    for its next bytes as soon as a part of its answer was written."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.add(LongAnswers(self.fleet.store, "p1", "plain"))
        self.fleet.add(PausingEngine(self.fleet.store, "e1", "engines", "m"))
        self.fleet.config(limits={"idle_timeout_ms": 1000})
        self.router = self.fleet.start(read_timeout="1s",
                                       token_timeout="20s")

    def connect(self, rate=None):
        connection = Connection(self.router.port, rate)
        self.addCleanup(connection.close)
        return connection

    def ask(self, connection, path, version="1.1"):
        request_id = uuid.uuid4().hex
        connection.socket.sendall(request_bytes(
            "POST", path, request_id, b"x", wait_ms=19000, version=version))
        return connection.read_answer(request_id, "POST")

    def check_stream(self, version):
        for path in ("/ask/x", "/ask/once/x"):
            answer = self.ask(self.connect(), path, version)
            self.assertTrue(answer.is_whole, path)
            self.assertEqual(answer.body.count(b"id: "), EVENTS, path)

    def test_streams_of_a_silent_engine(self):
        """They were broken off after read_timeout, as not read."""
        self.check_stream("1.1")

    def test_streams_of_a_silent_engine_to_callers_of_http_1_0(self):
        """They ended after read_timeout as whole ones do."""
        self.check_stream("1.0")

    def test_a_long_answer_that_is_read_slowly(self):
        """It was broken off after read_timeout, whatever was read."""
        answer = self.ask(self.connect(STEADY_BYTES_PER_S), "/read/x")
        self.assertTrue(answer.is_whole)
        self.assertEqual(len(answer.body), LONG)

    def test_a_connection_at_rest_is_closed_all_the_same(self):
        connection = self.connect()
        self.assertTrue(self.ask(connection, "/ask/x").is_whole)
        self.assertEqual(connection.socket.recv(1), b"")


if __name__ == "__main__":
    unittest.main()
