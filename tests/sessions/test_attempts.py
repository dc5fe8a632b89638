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


class HeldMoveTest(test_fleet.FleetTest):
    """Symptom: a caller that reads slowly gets nothing more, though it reads
    on and the engine has more.
    Sequence: the stream is held back as too much waits for the caller; it is
    moved; the caller reads a part; the next engine's first event finds less
    waiting than makes a stream wait, and the stream is held back again.
    Cause: that event was sent without asking to be told when all is read, so
    that nobody was told and the hold stayed.
    Settled by: the caller reads all that the router had, and then nothing,
    while the next engine is held in the middle of a piece.
    """

    PIECE = b"x" * 40000
    PIECES = 500
    BUFFER = 4 << 20  # more than the system lets go of at once

    def test_a_stream_that_is_held_back_goes_on_when_it_is_moved(self):
        engines = [self.big_engine("e%d" % i) for i in range(4)]
        router = self.fleet.start(stream_buffer="%dB" % self.BUFFER,
                                  token_timeout="60s")
        self.wait_listed(router, len(engines))
        raw = self.connect(router)
        first = wait_for(lambda: [e for e in engines
                                  if e.gate.reached.is_set()], "it runs")[0]
        first.gate.open(self.PIECES)
        self.wait_held(first)
        name_weights(self.fleet)
        second = wait_for(lambda: [e for e in engines
                                   if e is not first and e.seen],
                          "another engine is asked")[0]
        self.read(raw, self.BUFFER // 2)
        second.gate.open(self.PIECES)
        router.wait_event("stream_moved")
        self.assertTrue(read_all(raw, 5).endswith(b"0\r\n\r\n"))

    def big_engine(self, name):
        engine = self.fleet.engine(name)
        engine.gate = Gate()
        engine.queued = 1   # so that its order waits for a while
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
        for place in range(last + 1, self.PIECES):
            engine.gate.wait(60)
            piece = b"id: %d\ndata: %s\n\n" % (place, self.PIECE)
            call.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            engine.sent += 1
        call.wfile.write(b"0\r\n\r\n")

    def connect(self, router):
        raw = socket.socket()
        self.addCleanup(raw.close)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        raw.connect(("127.0.0.1", router.port))
        raw.sendall(REQUEST)
        return raw

    def wait_held(self, engine):
        """All buffers on the way are full: it sends nothing more."""
        sent = -1
        while sent != engine.sent:
            sent = engine.sent
            time.sleep(0.5)
        self.assertLess(sent, self.PIECES)

    def read(self, raw, size):
        while size > 0:
            size -= len(raw.recv(65536))


class RefusedNextTest(test_fleet.SilentStreamTest):
    """Symptom: a stream ends in the middle although its engine goes on.
    Sequence: the engine pauses for longer than token_timeout and its state is
    not told; the attempt is given up; all others refuse the rest as not run.
    Cause: that another engine may be asked is no promise that one takes the
    rest.
    Settled by: attempt_failed with reason=silent, then only reason=not_run to
    next=give_up, and request_refused with reason=stream_cut.
    """

    def test_a_stream_waits(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        for engine in self.others:
            engine.shed = True
        self.fall_silent()
        self.wait_looked_at()
        self.reader.join(5)
        self.speak_again()
        self.assert_whole()


class MoveTriesTest(test_fleet.StreamTest):
    """Symptom: a request ran at three engines where its route allows two
    attempts.
    Sequence: a stream is to move; the next engine has the request and says
    nothing in time, so that the stream stays; then its engine breaks, and it
    goes on at a third one.
    Cause: a move that is taken back is counted as no attempt, though it may
    have run.
    Settled by: three engines have seen the request.
    """

    def test_a_move_that_may_have_run_counts_as_an_attempt(self):
        self.start_stream("/ask/x", move_wait="50ms")
        name_weights(self.fleet)
        stays = self.router.wait_event("stream_stays")[0]
        self.assertEqual(stays["reason"], "silent")
        for engine in self.others:
            engine.gate.open()
        self.first.cut_after = 1
        self.first.gate.open()
        self.reader.join()
        self.assertLessEqual(sum(len(e.seen) for e in self.engines), 2)


class NotBegunTest(test_fleet.FleetTest):
    """Symptom: a request is refused although its upstream answers long before
    its deadline.
    Sequence: the only upstream says nothing for longer than
    first_token_timeout, and its state is not told; the attempt is given up;
    there is nothing else to ask.
    Cause: whether anything may follow is asked first only where an answer has
    begun.
    Settled by: attempt_failed with reason=silent and next=elsewhere, and in
    the same millisecond request_refused with reason=no_upstream.
    """

    def ask_silent(self, upstream, path):
        router = self.fleet.start(first_token_timeout="200ms")
        self.wait_listed(router, 1)
        answers = []
        reader = threading.Thread(target=lambda: answers.append(
            self.fleet.ask(router, path)))
        reader.start()
        wait_for(lambda: upstream.seen, "it runs")
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
        self.assertEqual(self.ask_silent(plain, "/read/x").status, 200)

    def test_a_stream_waits_for_the_only_engine(self):
        engine = self.fleet.engine("e1")
        engine.gate = Gate()
        self.assertEqual(self.ask_silent(engine, "/ask/x").body, EVENTS)


class OwnFormTest(unittest.TestCase):
    """Symptom, on the router's own form: a stream ends in the middle although
    its only engine goes on and nearly all of its time is left.
    Sequence: the engine stands still for some seconds.
    Cause: each attempt is given up for silence whether or not there is
    another engine, until none is left.
    Settled by: four times attempt_failed with reason=silent, of one engine.
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
        thaw = threading.Timer(8, engine.signal, [signal.SIGCONT])
        thaw.start()
        stream.read()
        thaw.join()
        self.assertTrue(stream.whole, [
            e for name in ("attempt_failed", "request_refused")
            for e in router.events(name)])
        self.assertEqual(places(stream.tokens()), list(range(30)))


class KeyOfAnotherTest(test_fleet.StreamTest):
    """Symptom: a request runs in the name of a customer who no longer holds
    its key.
    Sequence: a stream is under way; a configuration gives its key to another
    customer; the stream breaks and goes on at another engine.
    Cause: only whether anybody holds the key was asked before the next
    attempt.
    Settled by: that attempt names the customer of the first one.
    """

    def test_a_stream_does_not_go_on_in_the_name_of_who_lost_the_key(self):
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
