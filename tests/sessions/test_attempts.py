"""Further attempts of streams and calls that are already under way."""
import signal
import socket
import threading
import time
import unittest

import test_fleet
from cluster import HOST, Cluster, places, wait_for
from test_fleet import EVENTS, Gate

REQUEST = (b"POST /ask/x HTTP/1.1\r\nHost: shop.example\r\n"
           b"X-Request-Id: s1\r\nApi-Key: key-a\r\nX-Model: m\r\n"
           b"X-Deadline-Ms: 20000\r\nContent-Length: 0\r\n"
           b"Connection: close\r\n\r\n")


def read_all(sock, silence_s):
    """Reads until end of file, a reset, or silence_s without data."""
    sock.settimeout(silence_s)
    received = b""
    try:
        while True:
            chunk = sock.recv(1 << 20)
            if not chunk:
                return received
            received += chunk
    except (ConnectionResetError, socket.timeout):
        return received


def declare_new_weights(fleet):
    fleet.store.put("keyed.op", "version/m", {"model": "m", "version": 2})


class RestRefusedTest(test_fleet.FleetTest):
    """A caller received the head of a second answer inside the first one.

    A stream breaks after some events, and the engine that is asked to resume
    it answers with status 4xx. The router relayed that answer in full,
    without checking what the caller had already received, so the caller read
    two status lines.
    """

    def test_no_second_head_in_a_stream(self):
        for engine in (self.fleet.engine("e1"), self.fleet.engine("e2")):
            engine.cut_after = 3
            engine.stream = self.refuse_resumes(engine.stream)
        router = self.fleet.start()
        self.wait_listed(router, 2)
        with socket.create_connection((HOST, router.port)) as sock:
            sock.sendall(REQUEST)
            received = read_all(sock, 10)
        self.assertIn(b"piece-2", received)
        self.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
        self.assertNotIn(b"no such stream", received)

    def refuse_resumes(self, stream):
        def refuse_or_stream(call, headers):
            if "Last-Event-Id" in call.headers:
                call.reply(409, b"no such stream", **headers)
            else:
                stream(call, headers)
        return refuse_or_stream


class HangingAnswerTest(test_fleet.FleetTest):
    """A caller got the beginning of an answer as a whole one.

    The first upstream answers with an error, the second one begins a success
    and hangs until the deadline. The router sent what it had of the success
    as the first one's error, with a length that matched.
    """

    FRAMINGS = ("Content-Length: 100\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\na\r\n",
                "Connection: close\r\n\r\n")

    def check(self, path, upstreams):
        answered = []

        def serve(call, body):
            answered.append(call)
            status = 500 if len(answered) == 1 else 200
            framing = "Content-Length: 0\r\n\r\n" if status == 500 \
                else self.framing
            call.wfile.write((
                "HTTP/1.1 %d x\r\nX-Request-Id: %s\r\nX-Server-Seal: s\r\n"
                "X-Weight-Versions: 1\r\n%s" % (
                    status, call.headers["X-Request-Id"], framing)).encode())
            if status == 200 and not path.startswith("/ask"):
                call.wfile.write(b"0123456789")
            time.sleep(1.5 if status == 200 else 0)
            call.close_connection = status == 200
        for upstream in upstreams:
            upstream.serve = serve
        router = self.fleet.start()
        self.wait_listed(router, 4)
        for self.framing in self.FRAMINGS:
            answered.clear()
            answer = self.fleet.ask(router, path, wait_ms=500)
            self.assertEqual(len(answered), 2)
            self.assertIn(answer.status, (502, 504), self.framing)

    def setUp(self):
        super().setUp()
        self.calls = [self.fleet.plain("p1"), self.fleet.plain("p2")]
        self.engines = [self.fleet.engine("e1"), self.fleet.engine("e2")]

    def test_calls(self):
        self.check("/read/x", self.calls)

    def test_streams(self):
        self.check("/ask/x", self.engines)


class HeldMoveTest(test_fleet.FleetTest):
    """A slow caller received nothing more from a stream that was moved.

    The router stops reading from the engine while too much data waits for the
    caller; then it moves the stream. The caller reads a part, so at the next
    engine's first event less data waits than makes the router stop reading,
    but soon enough waits again. The router relayed that event without asking
    to be notified when the caller has read all data, so it never resumed
    reading: the caller got what the router had buffered and then nothing,
    while the next engine was blocked in the middle of an event.
    """

    PIECE = b"x" * 40000
    PIECES = 500
    BUFFER = 4 << 20  # exceeds what the kernel's socket buffers take

    def test_a_stream_that_is_held_back_goes_on_when_it_is_moved(self):
        engines = [self.large_event_engine("e%d" % i) for i in range(4)]
        router = self.fleet.start(stream_buffer="%dB" % self.BUFFER,
                                  token_timeout="60s")
        self.wait_listed(router, len(engines))
        sock = self.connect(router)
        first = wait_for(lambda: [e for e in engines
                                  if e.gate.reached.is_set()],
                         "a request at an engine")[0]
        first.gate.open(self.PIECES)
        self.wait_engine_blocked(first)
        declare_new_weights(self.fleet)
        second = wait_for(lambda: [e for e in engines
                                   if e is not first and e.seen],
                          "a request at another engine")[0]
        self.read_bytes(sock, self.BUFFER // 2)
        second.gate.open(self.PIECES)
        router.wait_event("stream_moved")
        self.assertTrue(read_all(sock, 5).endswith(b"0\r\n\r\n"))

    def large_event_engine(self, name):
        engine = self.fleet.engine(name)
        engine.gate = Gate()
        engine.queued = 1   # delays the order to load weights
        engine.sent = 0
        engine.stream = lambda call, headers: self.stream(engine, call,
                                                          headers)
        return engine

    def stream(self, engine, call, headers):
        call.send_response(200)
        for key, value in headers.items():
            call.send_header(key.replace("_", "-"), value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        last = int(call.headers.get("Last-Event-Id", -1))
        for event_id in range(last + 1, self.PIECES):
            engine.gate.wait(60)
            chunk = b"id: %d\ndata: %s\n\n" % (event_id, self.PIECE)
            call.wfile.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            engine.sent += 1
        call.wfile.write(b"0\r\n\r\n")

    def connect(self, router):
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.connect((HOST, router.port))
        sock.sendall(REQUEST)
        return sock

    def wait_engine_blocked(self, engine):
        """Waits until full buffers keep the engine from sending more."""
        sent = -1
        while sent != engine.sent:
            sent = engine.sent
            time.sleep(0.5)
        self.assertLess(sent, self.PIECES)

    def read_bytes(self, sock, size):
        while size > 0:
            size -= len(sock.recv(65536))


class RefusedNextTest(test_fleet.SilentStreamTest):
    """A stream was cut although its engine went on to send more events.

    The engine pauses for longer than token_timeout and does not report its
    state. The router gave up the attempt because other engines could be
    asked, but all of them refused the remainder as not run. The log shows
    attempt_failed with reason=silent, then only reason=not_run up to
    next=give_up, and request_refused with reason=stream_cut.
    """

    def test_a_silent_stream_waits_when_others_refuse_the_remainder(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        for engine in self.others:
            engine.shed = True
        self.fall_silent()
        self.wait_looked_at()
        self.reader.join(5)
        self.speak_again()
        self.assert_whole()


class MoveTriesTest(test_fleet.StreamTest):
    """A request ran at three engines though its route allows two attempts.

    The next engine of a move receives the request and stays silent past
    move_wait, so the stream stays; then its own engine breaks and a third
    engine continues it. The abandoned move was not counted as an attempt,
    although it may have run.
    """

    def test_a_move_that_may_have_run_counts_as_an_attempt(self):
        self.start_stream("/ask/x", move_wait="50ms")
        declare_new_weights(self.fleet)
        stays = self.router.wait_event("stream_stays")[0]
        self.assertEqual(stays["reason"], "silent")
        for engine in self.others:
            engine.gate.open()
        self.first.cut_after = 1
        self.first.gate.open()
        self.reader.join()
        self.assertLessEqual(sum(len(e.seen) for e in self.engines), 2)


class NotBegunTest(test_fleet.FleetTest):
    """A request was refused long before its deadline, without waiting.

    The only upstream is silent for longer than first_token_timeout and does
    not report its state. The router checked for another upstream before
    giving up an attempt only if the answer had begun. The log shows
    attempt_failed with reason=silent and next=elsewhere, and in the same
    millisecond request_refused with reason=no_upstream.
    """

    def request_silent_upstream(self, upstream, path):
        router = self.fleet.start(first_token_timeout="200ms")
        self.wait_listed(router, 1)
        answers = []
        reader = threading.Thread(target=lambda: answers.append(
            self.fleet.ask(router, path)))
        reader.start()
        wait_for(lambda: upstream.seen, "the request at the upstream")
        upstream.probed = threading.Event()
        self.addCleanup(upstream.probed.set)
        reader.join(4)
        if upstream.gate:
            upstream.gate.open()
        reader.join()
        return answers[0]

    def test_a_read_waits_for_the_only_upstream(self):
        plain = self.fleet.plain("p1")
        plain.pause_s = 4
        answer = self.request_silent_upstream(plain, "/read/x")
        self.assertEqual(answer.status, 200)

    def test_a_stream_waits_for_the_only_engine(self):
        engine = self.fleet.engine("e1")
        engine.gate = Gate()
        answer = self.request_silent_upstream(engine, "/ask/x")
        self.assertEqual(answer.body, EVENTS)


class OwnFormTest(unittest.TestCase):
    """A stream was cut with time left, on the native platform form.

    The only engine stalls for some seconds. The router gave up each attempt
    for silence without checking for another engine, until no attempt was
    left: four attempt_failed events with reason=silent for one engine.
    """

    def test_a_stream_waits_for_the_only_engine(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        engine = cluster.engine("e1", decode_ms=20)
        router = cluster.start(token_timeout="200ms",
                               first_token_timeout="300ms")
        stream = router.stream({"model": "m", "prompt": "a prompt " * 20,
                                "max_tokens": 30}).read(2)
        engine.signal(signal.SIGSTOP)
        resume_timer = threading.Timer(8, engine.signal, [signal.SIGCONT])
        resume_timer.start()
        stream.read()
        resume_timer.join()
        self.assertTrue(stream.whole, [
            e for name in ("attempt_failed", "request_refused")
            for e in router.events(name)])
        self.assertEqual(places(stream.tokens()), list(range(30)))


class KeyOfAnotherTest(test_fleet.StreamTest):
    """A request ran for a customer that no longer held its API key.

    During a stream, a configuration assigns the key to another customer; then
    the stream breaks and another engine continues it. Before the next attempt
    the router checked only that some customer holds the key, so that attempt
    still named the first customer.
    """

    def test_a_stream_is_not_continued_after_its_customer_lost_the_key(self):
        self.start_stream("/ask/x")
        self.fleet.config(customers=[
            {"name": "a", "api_keys": ["key-new"]},
            {"name": "b", "api_keys": ["key-a", "key-b"]}])
        self.router.wait_event("config_in_force", 2)
        for engine in self.others:
            engine.gate.open()
        self.first.cut_after = 1
        self.first.gate.open()
        self.router.wait_event("request_done")
        self.reader.join()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 1)
        refused = self.router.wait_event("request_refused")[0]
        self.assertEqual(refused["reason"], "key_revoked")


if __name__ == "__main__":
    unittest.main()
