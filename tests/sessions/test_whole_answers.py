"""Answers that were not an upstream's own whole answer and looked like it."""
import time
import unittest

import test_fleet
from cluster import Cluster, uuid7, wait_for
from fleet import Fleet, Server, Upstream
from test_close_delimited import receive
from test_forwarding import ForwardedTest as Forwarded
from test_framing import AMBIGUOUS, BROKEN_CHUNKS, MALFORMED
from test_framing import receive as receive_bytes

SOUND_CHUNKS = [b"0\r\n", b"000\r\n", b"05\r\nworld\r\n0\r\n",
                b"5  \r\nworld\r\n0 \r\n", b"0\r\nX-Trailer: 1\r\n"]
PATHS = ("/read/x", "/write/x", "/ask/x", "/ask/once/x")
EVENT = b"id: 0\ndata: piece-0\n\n"


class ChunkingUpstream(Upstream):
    """Answers with one chunk and what `rest` holds, in one part or two."""

    rest = SOUND_CHUNKS[0]
    in_parts = False

    def serve(self, call, body):
        self.seen.append(dict(call.headers))
        head = (b"HTTP/1.1 200 x\r\nX-Request-Id: %s\r\nX-Server-Seal: s\r\n"
                b"X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                % call.headers["X-Request-Id"].encode())
        chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
        parts = [head, chunk, self.rest + b"\r\n"]
        for part in parts if self.in_parts else [b"".join(parts)]:
            call.wfile.write(part)


class BrokenChunksTest(unittest.TestCase):
    """A caller got a part of an answer as a whole one.

    The router took a chunk size that is no number, or what followed a chunk
    that was longer than its size, for the last chunk.
    """

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [
            self.fleet.add(ChunkingUpstream(self.fleet.store, "p1", "plain")),
            self.fleet.add(ChunkingUpstream(self.fleet.store, "e1", "engines",
                                            "m"))]
        self.router = self.fleet.start(eject_failures="1000")

    def ask(self, path, rest):
        for upstream in self.upstreams:
            upstream.rest = rest
        return receive(self.fleet.request(self.router, path, wait_ms=2000))

    def check_all(self, check):
        for in_parts in (False, True):
            for upstream in self.upstreams:
                upstream.in_parts = in_parts
            for path in PATHS:
                check(path)

    def test_broken_chunks(self):
        def check(path):
            for rest in BROKEN_CHUNKS:
                answer = self.ask(path, rest)
                self.assertFalse(answer.status == 200 and answer.ended,
                                 (path, rest, answer))
                self.assertIn(answer.status, (200, 502, 503), (path, rest))
        self.check_all(check)

    def test_sound_chunks(self):
        def check(path):
            for rest in SOUND_CHUNKS:
                answer = self.ask(path, rest)
                self.assertEqual((answer.status, answer.ended), (200, True),
                                 (path, rest, answer))
                self.assertTrue(answer.body.startswith(EVENT), answer)
        self.check_all(check)


class ForwardedBrokenChunksTest(Forwarded):
    """As BrokenChunksTest, at the router that the call was forwarded to."""

    def test_broken_chunks(self):
        self.lose("r0")
        for upstream in self.upstreams:
            upstream.serve = lambda call, body, u=upstream: \
                ChunkingUpstream.serve(u, call, body)
            upstream.in_parts = False
        for path in PATHS:
            for rest in BROKEN_CHUNKS:
                for upstream in self.upstreams:
                    upstream.rest = rest
                answer = receive(self.open("r0", path, wait_ms=2000))
                self.assertFalse(answer.status == 200 and answer.ended,
                                 (path, rest, answer))


# Heads of answers of which a lenient reader sees other fields than a strict
# one.
SOUND_LINE = b"Content-Length: %d" % len(EVENT)
HEADS = [line + b"\r\n" + SOUND_LINE
         for line in MALFORMED] + AMBIGUOUS


class HeadUpstream(Upstream):
    """Answers with `line` in the head."""

    line = None
    first = b"HTTP/1.1 200 x\r\n"

    def serve(self, call, body):
        self.seen.append(dict(call.headers))
        call.wfile.write(
            self.first + b"X-Request-Id: %s\r\nX-Server-Seal: s\r\n"
            b"X-Weight-Versions: 1\r\n%s\r\n\r\n%s"
            % (call.headers["X-Request-Id"].encode(), self.line, EVENT))


class HeadLinesTest(unittest.TestCase):
    """The head of an answer was read as evhttp reads it, so that a caller got
    an answer of another length than its upstream gave."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [
            self.fleet.add(HeadUpstream(self.fleet.store, "p1", "plain")),
            self.fleet.add(HeadUpstream(self.fleet.store, "e1", "engines",
                                        "m"))]
        self.router = self.fleet.start(eject_failures="1000")

    def status(self, path, line, first=HeadUpstream.first):
        for upstream in self.upstreams:
            upstream.line = line
            upstream.first = first
        return self.fleet.ask(self.router, path, wait_ms=2000).status

    def assert_refused(self, line, first=HeadUpstream.first):
        """An upstream that is in use gives each of these answers."""
        for path in PATHS:
            wait_for(lambda path=path: self.status(path, SOUND_LINE) == 200,
                     "a sound answer")
            seen = sum(len(upstream.seen) for upstream in self.upstreams)
            status = self.status(path, line, first)
            self.assertIn(status, (502, 503), (line, first))
            self.assertGreater(
                sum(len(upstream.seen) for upstream in self.upstreams), seen,
                (line, first))

    def test_malformed_lines(self):
        for line in HEADS:
            self.assert_refused(line)

    def test_malformed_first_lines(self):
        for first in (b"HTTP/1.1 200 x\n", b"HTTP/1.1 200 x\rX-Note: a\r\n",
                      b"HTTP/1.1 200 x\r\n X-Note: a\r\n",
                      b"HTTP/1.1 200\0 x\r\n",
                      b"HTTP/1.1 100 x\r\nX-Note: a\n\r\n"
                      b"HTTP/1.1 200 x\r\n"):
            self.assert_refused(SOUND_LINE, first)

    def test_sound_lines(self):
        for line in (b"X-Note: a\r\nContent-Length: %d", b"X-Note:\r\n"
                     b"content-length:%d", b"X_Note: \xff\t\r\n"
                     b"Content-Length:  %d "):
            for path in PATHS:
                self.assertEqual(self.status(path, line % len(EVENT)), 200,
                                 line)


class NativeService(Server):
    rest = None
    head = b"Transfer-Encoding: chunked"

    def handle(self, call):
        call.body()
        call.wfile.write(b"HTTP/1.1 200 x\r\nX-Attempt-Id: %s\r\n"
                         b"%s\r\n\r\n5\r\nhello\r\n"
                         % (call.headers.get("X-Attempt-Id", "").encode(),
                            self.head) + self.rest + b"\r\n")


class NativeBrokenChunksTest(unittest.TestCase):
    """As BrokenChunksTest, for plain services of the native interface."""

    def setUp(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        self.service = NativeService()
        self.addCleanup(self.service.close)
        cluster.declare_upstream("s1", self.service.address, "ledger",
                                 "service")
        self.router = cluster.start(eject_failures="1000")

    def ask(self, rest):
        self.service.rest = rest
        return self.router.complete(
            {}, path="/v1/services/ledger/x",
            **{"Idempotency-Key": uuid7(), "X-Request-Deadline-Ms": "1000"})

    def test_broken_chunks(self):
        for rest, statuses in [(rest, {502, 503}) for rest in BROKEN_CHUNKS] \
                + [(SOUND_CHUNKS[0], {200})]:
            self.assertIn(self.ask(rest).status, statuses, rest)

    def test_malformed_lines(self):
        for line in MALFORMED:
            self.service.head = line + b"\r\nTransfer-Encoding: chunked"
            self.assertIn(self.ask(SOUND_CHUNKS[0]).status, (502, 503), line)


def refuse_to_continue(engine):
    """Answers what is to go on with a stream without a body."""
    stream = engine.stream

    def answer(call, headers):
        if "Last-Event-Id" in call.headers:
            call.head(204, {"X_Empty": "1"}, **headers)
        else:
            stream(call, headers)
    engine.stream = answer


class ContinuedStreamTest(test_fleet.SilentStreamTest):
    """A stream that was begun ended as a whole one: the upstream that was to
    go on with it gave an answer without a body."""

    def test_after_a_cut(self):
        for engine in self.add_two_engines():
            engine.cut_after = 3
            refuse_to_continue(engine)
        router = self.fleet.start()
        self.wait_listed(router, 2)
        answer = receive(self.fleet.request(router, "/ask/x"))
        self.assertEqual(answer.status, 200)
        self.assertTrue(answer.body.startswith(EVENT))
        self.assertFalse(answer.ended, answer)

    def test_after_a_silence(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        for engine in self.others:
            refuse_to_continue(engine)
        self.fall_silent()
        wait_for(lambda: [e for e in self.others if e.seen],
                 "a request at another engine")
        time.sleep(0.3)
        self.speak_again()
        self.assert_whole()


REFUSED = (b"404 ", b"401 ", b"502 ", b"405 ")
HEAD = (b"%s %s HTTP/%s\r\nHost: shop.example\r\nX-Request-Id: %s\r\n"
        b"X-Deadline-Ms: 2000\r\nX-Model: m\r\n%s\r\n\r\n")


class HeadTest(unittest.TestCase):
    """The body of a refusal stood where a caller's next answer was due: it
    had asked with HEAD, which no body follows."""

    def check(self, port, paths, key, other_key):
        for path in paths:
            for header in (key, other_key):
                request = HEAD % (b"HEAD", path, b"1.1", b"h", header)
                received, _ = receive_bytes(
                    port, request + HEAD % (b"GET", b"/none", b"1.1", b"g",
                                            key), 0.3)
                first, *rest = received.split(b"\r\n\r\n", 1)
                self.assertIn(first[9:13], REFUSED, (path, header))
                self.assertTrue(rest[0].startswith(b"HTTP/1.1 404 "),
                                (path, header, received))

    def test_relayed(self):
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.plain("p1").sealed = False
        fleet.engine("e1").sealed = False
        router = fleet.start(eject_failures="1000")
        self.check(router.port, (b"/none/x", b"/read/x", b"/write/x",
                                 b"/ask/x", b"/ask/once/x"),
                   b"Api-Key: key-a", b"Api-Key: other")

    def test_native(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        router = cluster.start()
        self.check(router.port, (b"/none", b"/v1/models", b"/v1/completions",
                                 b"/v1/services/none/x"),
                   b"Authorization: Bearer acme-key",
                   b"Authorization: Bearer other")

    def test_operators(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        router = cluster.start()
        for path in (b"/metrics", b"/none", b"/"):
            received, _ = receive_bytes(
                router.operator_port,
                HEAD % (b"HEAD", path, b"1.1", b"h", b"Authorization: x"), 0.2)
            head, body = received.split(b"\r\n\r\n", 1)
            self.assertEqual(body, b"", (path, head))


if __name__ == "__main__":
    unittest.main()
