"""Requests whose head leaves open where their body ends: refused, and nothing
behind them is read as another request."""
import socket
import time
import unittest

from cluster import HOST, Cluster
from fleet import Fleet

INNER = (b"POST /write/inside HTTP/1.1\r\nHost: shop.example\r\n"
         b"X-Request-Id: inside\r\nX-Deadline-Ms: 3000\r\nApi-Key: key-a\r\n"
         b"Content-Length: 0\r\n\r\n")
SIZE = b"%d" % len(INNER)
# Heads of which one reader may take INNER for the body and another for a
# request of its own.
AMBIGUOUS = [
    b"Content-Length: 0\r\nContent-Length: " + SIZE,
    b"Content-Length: " + SIZE + b"\r\nContent-Length: 0",
    b"Content-Length: " + SIZE + b"\r\nContent-Length: " + SIZE,
    b"Content-Length: 0, " + SIZE,
    b"Content-Length: +" + SIZE,
    b"Content-Length: -1",
    b"Content-Length: 0x1",
    b"Content-Length: 1 1",
    b"Content-Length:",
    b"Content-Length : " + SIZE,
    b"Content-Length\t: " + SIZE,
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding: chunked, identity",
    b"Transfer-Encoding: identity, chunked",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: xchunked",
    b"Transfer-Encoding: \"chunked\"",
    b"Transfer-Encoding: chunked;q=1",
    b"Transfer-Encoding:",
    b"Transfer-Encoding: identity\r\nContent-Length: " + SIZE,
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
    b"Transfer-Encoding : chunked",
    b"Transfer-Encoding: identity\r\n chunked",
    b"Content-Length: 0\r\n " + SIZE,
]
# Lines that a lenient reader takes for others than a strict one (RFC 9112,
# sections 2.2, 5.1 and 5.2).
MALFORMED = [
    b"X-Note: a\rb",
    b"X-Note: a\rContent-Length: " + SIZE,
    b"X-Note: a\nContent-Length: " + SIZE,
    b"X-Note: a\n\r\nContent-Length: " + SIZE,
    b"Content-Length: " + SIZE + b"\n",
    b"Content-Length: 0\r",
    b"Transfer-\rEncoding: chunked",
    b"Transfer-Encoding:\rchunked",
    b"X-Note: a\r\n b",
    b"X-Note: a\r\n\tContent-Length: " + SIZE,
    b" Content-Length: " + SIZE,
    b"Content-Length: " + SIZE + b"\0",
    b"X-Note: a\0b",
    b"X-Note",
    b"Content-Length " + SIZE,
    b": a",
    b"X Note: a",
    b"X-Note : a",
]
# Request lines that are not a method, a target and a version.
FIRST_LINES = [
    b"POST /write/x", b"POST  /write/x HTTP/1.1", b"POST /write/x  HTTP/1.1",
    b"POST /write/x HTTP/1.1 ", b"POST /write/x y HTTP/1.1",
    b"POST\t/write/x\tHTTP/1.1", b"POST /write/x HTTP/1.1\rX-Note: a",
    b" POST /write/x HTTP/1.1", b"POST /write/x\0 HTTP/1.1",
]
# They come too late to tell where the body ends.
TRAILERS = [
    b"Content-Length: " + SIZE, b"Transfer-Encoding: chunked",
    b"X-Note: a\r\n b", b"X-Note: a\nX-Note: b", b"X-Note : a",
    b"X-Note: a\r\nContent-Length: 0",
]
CHUNKED = b"0\r\n\r\n"
# What follows a first chunk.
BROKEN_CHUNKS = [
    b" \r\n", b"\t0\r\n", b" x\r\n", b"-0\r\n", b"+0\r\n", b"0x0\r\n",
    b"\r\n0\r\n", b"\n0\n", b"0\n", b"0 junk\r\n", b"-1\r\n", b"G\r\n",
    b" 5\r\nworld\r\n0\r\n", b"+5\r\nworld\r\n0\r\n",
    b"0x5\r\nworld\r\n0\r\n", b"FFFFFFFFFFFFFFFFF\r\n",
    b"3\r\nworld\r\n0\r\n", b"3\r\nwor 0\r\n", b"3\r\nwor0\r\n",
    b"3\r\nwor ld\r\n", b"5\r\nwor\r\n0\r\n",
]
# The second one is evhttp's own.
REFUSED = (b"HTTP/1.1 400 ", b"HTTP/1.1 413 ")
HEAD = (b"POST /write/x HTTP/1.1\r\nHost: shop.example\r\n"
        b"X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nApi-Key: key-a\r\n"
        b"%s\r\n\r\n")
LATER_S = 0.2


def receive(port, data, silence_s=1.0, later=None):
    """Returns what comes until the end, or until a silence."""
    received = b""
    with socket.create_connection((HOST, port)) as link:
        link.settimeout(silence_s)
        link.sendall(data)
        if later:
            time.sleep(LATER_S)
            link.sendall(later)
        try:
            while True:
                part = link.recv(65536)
                if not part:
                    return received, True
                received += part
        except ConnectionResetError:
            return received, True
        except socket.timeout:
            return received, False


class RelayedTest(unittest.TestCase):
    """An upstream ran a request that stood in the body of another one."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.plain = self.fleet.plain("p1")
        self.router = self.fleet.start()

    def send(self, framing, body, method=b"POST"):
        return receive(self.router.port, (
            b"%s /write/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"X-Request-Id: outer\r\nX-Deadline-Ms: 3000\r\n"
            b"Api-Key: key-a\r\n%s\r\n\r\n" % (method, framing)) + body)

    def test_ambiguous_heads(self):
        for framing in AMBIGUOUS:
            for body in (INNER, CHUNKED + INNER):
                received, closed = self.send(framing, body)
                self.assertTrue(received.startswith(REFUSED),
                                (framing, received))
                self.assertEqual(received.count(b"HTTP/1.1 "), 1, framing)
                self.assertTrue(closed, framing)
        self.assertEqual(self.plain.seen, [])

    def assert_refused(self, head, rest, version=b"HTTP/1.1 "):
        received, closed = receive(self.router.port, head + rest)
        self.assertTrue(received.startswith(version + b"4"), (head, received))
        self.assertIn(received[9:13], (b"400 ", b"413 "), (head, received))
        self.assertEqual(received.count(b"HTTP/1."), 1, head)
        self.assertTrue(closed, head)

    # Line ends, folds and names were read as evhttp reads them.
    def test_malformed_lines(self):
        for line in MALFORMED:
            for body in (b"", INNER, CHUNKED + INNER):
                self.assert_refused(HEAD % (b"outer", line), body)
        self.assertEqual(self.plain.seen, [])

    def test_malformed_first_lines(self):
        for line in FIRST_LINES:
            self.assert_refused(
                b"%s\r\nHost: shop.example\r\nX-Request-Id: outer\r\n"
                b"X-Deadline-Ms: 3000\r\nApi-Key: key-a\r\n"
                b"Content-Length: 0\r\n\r\n" % line, INNER)
        self.assertEqual(self.plain.seen, [])

    def test_trailers_that_name_framing(self):
        for trailer in TRAILERS:
            received, closed = self.send(
                b"Transfer-Encoding: chunked",
                b"5\r\nhello\r\n0\r\n%s\r\n\r\n" % trailer + INNER)
            self.assertTrue(received.startswith(REFUSED), (trailer, received))
            self.assertEqual(received.count(b"HTTP/1.1 "), 1, trailer)
            self.assertTrue(closed, trailer)
        self.assertEqual(self.plain.seen, [])

    # HTTP/1.0 knows no codings.
    def test_chunks_of_the_older_version(self):
        self.assert_refused(
            b"POST /write/x HTTP/1.0\r\nHost: shop.example\r\n"
            b"X-Request-Id: outer\r\nX-Deadline-Ms: 3000\r\n"
            b"Api-Key: key-a\r\nTransfer-Encoding: chunked\r\n\r\n",
            CHUNKED + INNER, b"HTTP/1.0 ")
        self.assertEqual(self.plain.seen, [])

    # The refusal must not stand where the answer of the first one is due.
    def test_a_malformed_request_behind_one_that_runs(self):
        self.plain.pause_s = 0.5
        request = HEAD % (b"first", b"Content-Length: 0")
        received, closed = receive(
            self.router.port, request, 2.0,
            HEAD % (b"second", b"X-Note: a\nContent-Length: 0"))
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
        self.assertIn(b"X-Request-Id: first", received)
        self.assertTrue(closed)
        self.assertEqual(len(self.plain.seen), 1)

    def test_sound_heads(self):
        for framing, body in ((b"Content-Length: " + SIZE, INNER),
                              (b"content-length:" + SIZE, INNER),
                              (b"Transfer-Encoding: Chunked",
                               b"%x\r\n" % len(INNER) + INNER + b"\r\n"
                               + CHUNKED)):
            before = len(self.plain.seen)
            received, _ = self.send(framing, body)
            self.assertIn(b"%d bytes" % len(INNER), received, framing)
            self.assertEqual(len(self.plain.seen), before + 1)

    # The body of a request whose method has none ran as a request.
    def test_bodies_of_methods_without_one(self):
        for method in (b"HEAD", b"TRACE"):
            for framing, body in (
                    (b"Content-Length: " + SIZE, INNER),
                    (b"Transfer-Encoding: chunked",
                     b"%x\r\n" % len(INNER) + INNER + b"\r\n" + CHUNKED)):
                received, closed = self.send(framing, body, method)
                self.assertTrue(received.startswith(REFUSED), received)
                self.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
                self.assertTrue(closed, framing)
            received, _ = self.send(b"Content-Length: 0", b"", method)
            self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)
        self.assertEqual(len(self.plain.seen), 2)

    # A part of a body ran as the whole one, and its rest as a request.
    def test_broken_chunks(self):
        for rest in BROKEN_CHUNKS:
            received, closed = self.send(b"Transfer-Encoding: chunked",
                                         b"5\r\nhello\r\n" + rest + b"\r\n"
                                         + INNER)
            self.assertTrue(received.startswith(REFUSED), (rest, received))
            self.assertEqual(received.count(b"HTTP/1.1 "), 1, rest)
            self.assertTrue(closed, rest)
        self.assertEqual(self.plain.seen, [])

    # A method that the library has no name for became another word.
    def test_unknown_methods(self):
        self.plain.received = []
        for method in (b"REPORT", b"PROPFIND", b"post", b"X"):
            # Its body was read as the next request.
            for framing, body, whole in (
                    (b"Content-Length: 0", b"", b""),
                    (b"Content-Length: " + SIZE, INNER, INNER),
                    (b"Transfer-Encoding: chunked",
                     b"%x\r\n" % len(INNER) + INNER + b"\r\n" + CHUNKED,
                     INNER)):
                received, _ = self.send(framing, body, method)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "),
                                received)
                self.assertEqual(received.count(b"HTTP/1.1 "), 1, received)
                got = self.plain.received.pop()
                self.assertEqual((got.method.encode(), got.body),
                                 (method, whole))
                self.assertEqual(self.plain.received, [])


class NativeTest(unittest.TestCase):
    """As RelayedTest, on the native interface."""

    def test_ambiguous_heads(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        router = cluster.start()
        inner = (b"GET /v1/models HTTP/1.1\r\nHost: x\r\n"
                 b"Authorization: Bearer acme-key\r\n\r\n")
        for framing in AMBIGUOUS + MALFORMED:
            received, closed = receive(router.port, (
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer acme-key\r\n%s\r\n\r\n" % framing)
                + inner.ljust(len(INNER)))
            self.assertTrue(received.startswith(REFUSED),
                            (framing, received))
            self.assertEqual(received.count(b"HTTP/1.1 "), 1, framing)
            self.assertTrue(closed, framing)


if __name__ == "__main__":
    unittest.main()
