"""Callers that close their sending side behind their requests, and callers
that leave in the same phases."""
import select
import signal
import socket
import struct
import time
import unittest
import uuid

from answers import Connection, request_bytes
from cluster import wait_for
from fleet import Fleet, Upstream
from test_forwarding import ForwardedTest

PATHS = ("/read/x", "/write/x", "/ask/x", "/ask/once/x")
EVENTS = 4
SLOW_S = 0.7  # of a call, of a stream before its head, and between two events
LEFT_S = 0.5  # within which work for a caller that has left ends
LONG = 3000000  # bytes, more than the kernel's buffers hold
UNREAD_S = 1
LONG_S = 4
INTERIM_MAX = 4


class SlowUpstream(Upstream):
    """Notes when the connection of a request that it works on has ended."""

    def __init__(self, *arguments, **more):
        self.ends = {}
        self.long_answers = False
        self.event_s = 0
        self.events = EVENTS
        self.padding = b""
        self.cuts = False  # break off a stream behind its first event
        super().__init__(*arguments, **more)

    def work(self, call, request_id, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ready, _, _ = select.select([call.connection], [], [],
                                        max(end - time.monotonic(), 0))
            if ready:
                self.ends[request_id] = time.monotonic()
                raise ConnectionResetError

    def run(self, call, body, request_id):
        self.work(call, request_id, self.pause_s)
        pause_s, self.pause_s = self.pause_s, 0
        try:
            super().run(call, body, request_id)
        except OSError:  # a write may find the end first
            self.ends.setdefault(request_id, time.monotonic())
            raise
        finally:
            self.pause_s = pause_s

    def answer_call(self, call, body, headers):
        if not self.long_answers:
            super().answer_call(call, body, headers)
            return
        call.head(200, {"Content_Length": str(LONG)}, **headers)
        call.wfile.write(b"y" * LONG)

    def stream(self, call, headers):
        call.head(200, {"Transfer_Encoding": "chunked"}, **headers)
        for number in range(self.events):
            self.write_part(call, True, b"id: %d\ndata: e%s\n\n"
                            % (number, self.padding))
            self.work(call, call.headers["X-Request-Id"], self.event_s)
            if self.cuts:
                call.cut()
                return
        call.wfile.write(b"0\r\n\r\n")


class Caller(Connection):
    """Reads interim answers as any caller of HTTP/1.1 has to."""

    def __init__(self, port, rate=None):
        super().__init__(port, rate)
        self.interim = 0

    def read_head(self):
        while True:
            status, headers = super().read_head()
            if status != 100:
                return status, headers
            assert not headers, headers
            self.interim += 1

    def end_input(self):
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                               struct.pack("ii", 1, 0))
        self.socket.close()


def body_of(path):
    if path.startswith("/ask"):
        return b"".join(b"id: %d\ndata: e\n\n" % n for n in range(EVENTS))
    return b"POST %s 1 bytes" % path.encode()


class HalfClosedTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [self.upstream("p1", "plain"),
                          self.upstream("e1", "engines", "m")]
        self.fleet.config(limits={"idle_timeout_ms": 1000})
        self.router = self.fleet.start(
            stop_grace="2s", stop_limit="8s", read_timeout="1s",
            token_timeout="20s", first_token_timeout="20s")

    def upstream(self, *arguments):
        return self.fleet.add(SlowUpstream(self.fleet.store, *arguments))

    def set_all(self, **values):
        for upstream in self.upstreams:
            for name, value in values.items():
                setattr(upstream, name, value)

    def runs(self, request_id):
        return sum(seen["X-Request-Id"] == request_id
                   for upstream in self.upstreams for seen in upstream.seen)

    def end_of(self, request_id):
        ends = [upstream.ends[request_id] for upstream in self.upstreams
                if request_id in upstream.ends]
        return ends[0] if ends else None

    def begin(self, path, version="1.1", port=None, wait_ms=9000, **more):
        caller = Caller(port or self.router.port)
        self.addCleanup(caller.close)
        request_id = uuid.uuid4().hex
        caller.socket.sendall(request_bytes(
            "POST", path, request_id, b"x", wait_ms=wait_ms, version=version,
            **more))
        return caller, request_id

    def assert_ended(self, caller):
        """Nothing follows the last answer."""
        self.assertEqual(caller.buffer, b"")
        self.assertEqual(caller.socket.recv(1), b"")

    def assert_answered(self, caller, request_id, path, interim=None):
        answer = caller.read_answer(request_id, "POST")
        self.assertIsNotNone(answer, path)
        self.assertTrue(answer.is_whole, path)
        self.assertEqual((answer.status, answer.body), (200, body_of(path)))
        self.assertEqual(self.runs(request_id), 1)
        if interim is not None:
            self.assertEqual(caller.interim > 0, interim, path)
        self.assert_ended(caller)


class AnswerTest(HalfClosedTest):
    """Their connections were closed without an answer."""

    def check(self, path, version="1.1", interim=None):
        caller, request_id = self.begin(path, version)
        caller.end_input()
        self.assert_answered(caller, request_id, path, interim)

    def test_at_once(self):
        for path in PATHS:
            for _ in range(20):
                self.check(path)

    def test_slow_before_the_head(self):
        self.set_all(pause_s=SLOW_S)
        for path in PATHS:
            self.check(path, interim=True)

    def test_interim_answers_are_few(self):
        """Readers that bound their number gave up; some take five, of which
        one may answer an Expect header."""
        self.set_all(pause_s=LONG_S)
        begun = []
        for path in PATHS:
            begun.append((path, *self.begin(path)))
            begun[-1][1].end_input()
        for path, caller, request_id in begun:
            self.assert_answered(caller, request_id, path, True)
            self.assertLessEqual(caller.interim, INTERIM_MAX, path)

    def test_slow_streams(self):
        self.set_all(event_s=SLOW_S)
        for path in PATHS[2:]:
            self.check(path)

    def test_streams_after_their_heads(self):
        self.set_all(event_s=SLOW_S)
        for path in PATHS[2:]:
            caller, request_id = self.begin(path)
            while b"data: e" not in caller.buffer:
                caller.receive()
            caller.end_input()
            self.assert_answered(caller, request_id, path, False)

    def test_long_answers(self):
        self.set_all(long_answers=True)
        for path in PATHS[:2]:
            caller, request_id = self.begin(path)
            caller.end_input()
            time.sleep(0.2)
            answer = caller.read_answer(request_id, "POST")
            self.assertEqual((answer.status, answer.body),
                             (200, b"y" * LONG))
            self.assert_ended(caller)

    def test_http_1_0(self):
        """Its callers know no interim answers, and get none."""
        for times in ({}, {"pause_s": SLOW_S}, {"event_s": SLOW_S}):
            self.set_all(**times)
            for path in PATHS:
                self.check(path, "1.0", interim=False)

    def test_refused(self):
        for path, more, status in (("/none", {}, 404),
                                   ("/read/x", {"key": "none"}, 401),
                                   ("/ask/x", {"key": "none"}, 401)):
            caller, request_id = self.begin(path, **more)
            caller.end_input()
            answer = caller.read_answer(request_id, "POST")
            self.assertEqual(answer.status, status)
            self.assertTrue(answer.is_whole)
            self.assert_ended(caller)

    def count_lines(self, event, request_id):
        return sum(line["request"] == request_id
                   for line in self.router.events(event))

    def ended_at_upstream(self, request_id):
        """Whether the last attempt of a request that is over has not ended."""
        wait_for(lambda: self.count_lines("request_done", request_id), "lines")
        return (self.count_lines("request_placed", request_id)
                > self.count_lines("attempt_ended", request_id))

    def refuse_late(self, path):
        """Returns the status at the deadline, and whether the request was at
        an upstream then."""
        caller, request_id = self.begin(path, wait_ms=SLOW_S * 1000)
        caller.end_input()
        answer = caller.read_answer(request_id, "POST")
        self.assertTrue(answer.is_whole)
        self.assert_ended(caller)
        return answer.status, self.ended_at_upstream(request_id)

    def test_refused_by_upstreams_that_are_full(self):
        """The deadline may come just as one is asked again."""
        self.set_all(shed=True)
        for path in PATHS:
            self.assertIn(self.refuse_late(path),
                          [(503, False), (502, True), (504, True)])

    def test_refused_at_the_deadline(self):
        self.set_all(pause_s=5)
        for path in PATHS:
            self.assertIn(self.refuse_late(path), [(502, True), (504, True)])

    def test_part_of_a_request(self):
        """It is not waited for."""
        for part in (b"", b"POST /read/x HTTP/1.1\r\nHost: s\r\n",
                     request_bytes("POST", "/read/x", "p", b"xx")[:-1]):
            caller = Caller(self.router.port)
            self.addCleanup(caller.close)
            caller.socket.sendall(part)
            caller.end_input()
            began = time.monotonic()
            self.assertIsNone(caller.read_answer("p", "POST"))
            self.assertLess(time.monotonic() - began, LEFT_S)
        self.assertEqual(self.runs("p"), 0)

    def test_pipelined(self):
        """Interim answers come before an answer, never within one."""
        self.set_all(pause_s=SLOW_S, event_s=SLOW_S / 4)
        caller = Caller(self.router.port)
        self.addCleanup(caller.close)
        names = [uuid.uuid4().hex for _ in PATHS]
        caller.socket.sendall(b"".join(
            request_bytes("POST", path, name, b"x", wait_ms=9000)
            for path, name in zip(PATHS, names)))
        caller.end_input()
        for path, name in zip(PATHS, names):
            answer = caller.read_answer(name, "POST")
            self.assertEqual((answer.status, answer.body, answer.is_whole),
                             (200, body_of(path), True))
            self.assertEqual(answer.headers["x-request-id"], name)
            self.assertEqual(self.runs(name), 1)
        self.assertGreaterEqual(caller.interim, len(PATHS))
        self.assert_ended(caller)

    def test_a_stop(self):
        self.set_all(pause_s=SLOW_S, event_s=SLOW_S)
        callers = [(path, *self.begin(path)) for path in PATHS]
        for _, caller, request_id in callers:
            wait_for(lambda: self.runs(request_id), "a run")
            caller.end_input()
        self.router.signal(signal.SIGTERM)
        for path, caller, request_id in callers:
            self.assert_answered(caller, request_id, path)
        self.assertEqual(self.router.process.wait(10), 0)

    def test_the_limit_of_a_stop(self):
        self.set_all(pause_s=30)
        callers = [(path, *self.begin(path, wait_ms=30000))
                   for path in PATHS]
        for _, caller, request_id in callers:
            wait_for(lambda: self.runs(request_id), "a run")
            caller.end_input()
        self.router.signal(signal.SIGTERM)
        for path, caller, request_id in callers:
            answer = caller.read_answer(request_id, "POST")
            self.assertIn(answer.status, (502, 503), path)
        self.assertEqual(self.router.process.wait(10), 0)

    def test_answers_that_are_not_read(self):
        """They are given up as those of other callers."""
        self.set_all(long_answers=True, events=LONG // 60000,
                     padding=60000 * b"y")
        for path, event, reason in (
                ("/read/x", "answer_unsent", ("cause", "not_read")),
                ("/ask/x", "request_refused", ("reason", "answer_not_read"))):
            began = time.monotonic()
            caller, request_id = self.begin(path)
            caller.end_input()
            line, = wait_for(lambda: self.router.events(event), path, 10)
            self.assertEqual(line["request"].strip('"'), request_id)
            self.assertEqual(line[reason[0]].strip('"'), reason[1])
            self.assertGreater(time.monotonic() - began, UNREAD_S - 0.2)

    def begin_silent_stream(self):
        """The last byte received is none of the stream's own."""
        caller, _ = self.begin("/ask/once/x")
        while b"data: e" not in caller.buffer:
            caller.receive()
        caller.end_input()
        while not caller.buffer.endswith(b"\n\r\n0"):
            caller.receive()
        return caller

    def assert_reset(self, caller):
        with self.assertRaises(ConnectionResetError):
            while True:
                caller.receive()

    def test_a_broken_silent_stream_does_not_look_whole(self):
        """A reader may take a zero at the end of input for the last chunk."""
        self.set_all(event_s=SLOW_S, cuts=True)
        self.assert_reset(self.begin_silent_stream())

    def test_a_killed_router_leaves_no_stream_that_looks_whole(self):
        self.set_all(event_s=SLOW_S)
        caller = self.begin_silent_stream()
        self.router.process.kill()
        self.assert_reset(caller)

    def test_nothing_is_spent_on_waiting(self):
        """The end of input can be read all the time."""
        self.set_all(pause_s=3)
        for path in PATHS:
            caller, _ = self.begin(path)
            caller.end_input()
        time.sleep(0.5)
        before = self.processor_s()
        time.sleep(1.5)
        self.assertLess(self.processor_s() - before, 0.3)

    def processor_s(self):
        with open("/proc/%d/schedstat" % self.router.process.pid) as file:
            return int(file.read().split()[0]) / 1e9


class GoneTest(HalfClosedTest):
    """Callers that leave in the same phases. What may run once goes on where
    its outcome is to be known."""

    PATHS = ("/read/x", "/ask/x", "/ask/once/x")

    def check(self, path, leave, until=None, half_s=None):
        """Leaves once `until` was received, `half_s` after the end of input
        was sent."""
        caller, request_id = self.begin(path)
        wait_for(lambda: self.runs(request_id), "a run")
        while until and until not in caller.buffer:
            caller.receive()
        if half_s is not None:
            caller.end_input()
            time.sleep(half_s)
        else:
            time.sleep(0.1)
        left = time.monotonic()
        leave(caller)
        end = wait_for(lambda: self.end_of(request_id), "the end of a run")
        self.assertLess(end - left, LEFT_S, path)
        line, = wait_for(lambda: [
            line for line in self.router.events("request_refused")
            if line["request"].strip('"') == request_id], path)
        self.assertEqual(line["reason"].strip('"'), "caller_left")

    def check_all(self, leave, **more):
        self.set_all(pause_s=3)
        for path in self.PATHS:
            self.check(path, leave, **more)
        self.set_all(pause_s=0, event_s=3)
        for path in self.PATHS[1:]:
            self.check(path, leave, until=b"data: e", **more)

    def test_that_close(self):
        self.check_all(Caller.close)

    def test_that_reset(self):
        self.check_all(Caller.reset)

    def test_that_close_after_their_sending_side(self):
        for half_s in (0, 0.35):
            self.check_all(Caller.close, half_s=half_s)

    def test_that_reset_after_their_sending_side(self):
        for half_s in (0, 0.35):
            self.check_all(Caller.reset, half_s=half_s)

    def test_that_read_and_close_after_their_sending_side(self):
        """Their systems say nothing as they close."""
        def leave(caller):
            caller.receive()
            caller.close()
        self.check_all(leave, half_s=0)

    def test_that_leave_busy_streams(self):
        """A write of their next event may find that they have left."""
        self.set_all(event_s=0.005, events=1000)
        for path in self.PATHS[1:]:
            for half_s in (None, 0, 0.35):
                for leave in (Caller.close, Caller.reset):
                    self.check(path, leave, until=b"data: e", half_s=half_s)

    def test_requests_behind_do_not_run(self):
        self.set_all(pause_s=SLOW_S)
        for path in PATHS:
            caller, first = self.begin(path)
            second = uuid.uuid4().hex
            caller.socket.sendall(request_bytes("POST", path, second, b"x"))
            wait_for(lambda: self.runs(first), "a run")
            caller.close()
            time.sleep(2 * SLOW_S)
            self.assertEqual(self.runs(second), 0, path)

    def test_a_stop_does_not_wait_for_them(self):
        self.set_all(pause_s=6)
        for path in self.PATHS:
            caller, request_id = self.begin(path)
            wait_for(lambda: self.runs(request_id), "a run")
            caller.end_input()
            caller.receive()
            caller.close()
        began = time.monotonic()
        self.router.signal(signal.SIGTERM)
        self.assertEqual(self.router.process.wait(10), 0)
        self.assertLess(time.monotonic() - began, 4)


class OverRouterTest(ForwardedTest):
    """A router without a path to upstreams has another one send them."""

    def setUp(self):
        super().setUp()
        self.lose("r0")

    def send(self, path):
        caller = Caller(self.routers["r0"].port)
        self.addCleanup(caller.close)
        request_id = uuid.uuid4().hex
        caller.socket.sendall(request_bytes("POST", path, request_id, b"x",
                                            wait_ms=9000))
        return caller, request_id

    def test_answers(self):
        for pause_s in (0, SLOW_S):
            self.plain.pause_s = pause_s
            for path in ("/read/x", "/write/x"):
                caller, request_id = self.send(path)
                caller.end_input()
                answer = caller.read_answer(request_id, "POST")
                self.assertEqual((answer.status, answer.body),
                                 (200, body_of(path)))
                self.assertEqual(self.runs(request_id), 1)

    def test_streams(self):
        for pause_s in (0, SLOW_S):
            self.slow_engines(EVENTS, pause_s)
            for path in ("/ask/x", "/ask/once/x"):
                caller, request_id = self.send(path)
                caller.end_input()
                answer = caller.read_answer(request_id, "POST")
                self.assertTrue(answer.is_whole)
                self.assert_whole(answer.body, EVENTS)

    def test_a_caller_that_leaves_later_frees_the_engine(self):
        gate = self.slow_engines(400)
        caller, _ = self.send("/ask/x")
        caller.end_input()
        while b"data" not in caller.buffer:
            caller.receive()
        caller.close()
        left = time.monotonic()
        time.sleep(LEFT_S + 0.5)
        self.assertEqual([t for t in gate.times if t > left + LEFT_S], [])


if __name__ == "__main__":
    unittest.main()
