"""Requests whose head leaves open where their body ends: refused, and nothing
behind them is read as another request."""
import socket
import time
import unittest

from cluster import Cluster
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


def receive(port, data, silence_s=1.0):
    """Returns what comes until the end, or until a silence."""
    received = b""
    with socket.create_connection(("127.0.0.1", port)) as link:
        link.settimeout(silence_s)
        link.sendall(data)
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
        for method in (b"REPORT", b"PROPFIND", b"post", b"X"):
            received, _ = self.send(b"Content-Length: 0", b"", method)
            self.assertTrue(received.startswith(b"HTTP/1.1 405 "), received)
        time.sleep(0.1)
        self.assertEqual(self.plain.seen, [])


class NativeTest(unittest.TestCase):
    """As RelayedTest, on the native interface."""

    def test_ambiguous_heads(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        router = cluster.start()
        inner = (b"GET /v1/models HTTP/1.1\r\nHost: x\r\n"
                 b"Authorization: Bearer acme-key\r\n\r\n")
        for framing in AMBIGUOUS:
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
