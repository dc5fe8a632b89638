"""Headers that a Connection field names concern one connection only (RFC 9110,
7.6.1), except those that the router relies on or sets itself."""
import unittest

from fleet import Fleet
from test_forwarding import ForwardedTest
from test_request_forms import STREAM, exchange

HOP = b"X-Hop: 1\r\nx-other-hop: 2\r\n"
NAMES = [
    b"Connection: close, X-Hop, X-Other-Hop\r\n",
    b"connection: x-hop,X-OTHER-HOP ,\tclose\r\n",
    b"Connection: close\r\nConnection: X-Hop\r\nX-Between: a\r\n"
    b"Connection: ,, x-other-hop\r\n",
    b"Connection: X-Hop, X-Hop, X-Other-Hop, X-None, close\r\n",
]
RELIED_ON = [
    b"Host", b"X-Request-Id", b"Api-Key", b"X-Deadline-Ms", b"X-Model",
    b"X-Token-Usage", b"X-Prompt-Prefix", b"Content-Length", b"Connection",
    b"Content-Type", b"Content-Encoding", b"X-Expect-Instance", b"X-Tenant",
    b"X-Request-Priority", b"Idempotency-Key",
    b"Wheattiller-Forwarded-By", b"Wheattiller-Forward-Proof"]
ANSWER_RELIED_ON = ["X-Request-Id", "X-Server-Seal", "X-Weight-Versions",
                    "Content-Type", "Content-Length", "Transfer-Encoding",
                    "X-Instance-Id", "Server-Limit", "Connection"]


def write(path, connection, more=b""):
    return (b"POST %s HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-a\r\n"
            b"X-Request-Id: i1\r\nX-Deadline-Ms: 3000\r\n"
            b"Content-Type: text/x\r\nContent-Encoding: x\r\n"
            b"X-End: yes\r\n%s%sContent-Length: 1\r\n\r\nx"
            % (path, connection, more))


class RequestTest(unittest.TestCase):
    """They went on to upstreams."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.use(self.fleet.engine("e1"), self.fleet.plain("p1"),
                 self.fleet.start())

    def use(self, engine, plain, router):
        for upstream in (engine, plain):
            upstream.received = []
        self.router = router
        self.places = [(b"/write/x", b"", plain),
                       (b"/ask/x", STREAM % 1, engine)]

    def play(self, connection):
        """Returns what the upstreams got."""
        for path, more, upstream in self.places:
            upstream.received.clear()
            received = exchange(self.router.port,
                                write(path, connection, HOP + more))
            self.assertRegex(received[:13], b"HTTP/1.1 200 ", connection)
            got, = upstream.received
            headers = {name.lower(): value for name, value in got.headers}
            self.assertEqual(headers["x-end"], "yes")
            self.assertEqual(headers["content-type"], "text/x")
            self.assertEqual(headers["content-encoding"], "x")
            self.assertEqual(headers["x-request-id"], "i1")
            self.assertEqual(headers["host"], "shop.example")
            self.assertEqual(got.body, b"x")
            yield headers

    def test_named_headers(self):
        for connection in NAMES:
            for headers in self.play(connection):
                self.assertNotIn("x-hop", headers, connection)
                self.assertNotIn("x-other-hop", headers, connection)

    def test_others_go_on(self):
        for connection in (b"Connection: close\r\n",
                           b"Connection: close, X-Ho, X-Hop-Other\r\n",
                           b"X-Connection: X-Hop\r\nConnection: close\r\n"):
            for headers in self.play(connection):
                self.assertEqual((headers["x-hop"], headers["x-other-hop"]),
                                 ("1", "2"))

    def test_what_the_router_relies_on_stays(self):
        for name in RELIED_ON:
            for headers in self.play(b"Connection: close, %s\r\n" % name):
                self.assertIn("x-expect-instance", headers)
                self.assertIn("x-deadline-ms", headers)
                if "x-model" in headers:
                    self.assertIn("x-prompt-prefix", headers)
                    self.assertIn("x-token-usage", headers)


class ForwardedRequestTest(ForwardedTest, RequestTest):
    """As RequestTest, over another router."""
    ROUTERS = 2
    ENGINES = 1

    def setUp(self):
        super().setUp()
        self.lose("r0")
        self.use(self.engines[0], self.plain, self.routers["r0"])


class AnswerTest(unittest.TestCase):
    """They went on to callers."""
    PATHS = ("/read/x", "/write/x", "/ask/x", "/ask/once/x")

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [self.fleet.engine("e1"), self.fleet.plain("p1")]
        self.router = self.fleet.start()

    def ask(self, path):
        return self.fleet.ask(self.router, path, wait_ms=5000)

    def play(self, connection, framed):
        """Returns the answers to requests of all kinds."""
        for upstream in self.upstreams:
            upstream.framed = framed
            upstream.more_headers = {"Connection": connection, "X_Hop": "1",
                                     "X_End": "yes", "Server_Limit": "100"}
        for path in self.PATHS:
            answer = self.ask(path)
            self.assertEqual(answer.status, 200, connection)
            self.assertTrue(answer.body, path)
            self.assertEqual(answer.headers["X-End"], "yes")
            for name in ("X-Request-Id", "X-Server-Seal", "Content-Type"):
                self.assertIn(name, answer.headers)
            yield answer.headers

    def test_named_headers(self):
        for connection in ("X-Hop", "close, x-hop", "keep-alive,X-HOP ,\ta"):
            for framed in (True, False):
                for headers in self.play(connection, framed):
                    self.assertNotIn("X-Hop", headers, connection)

    def test_others_go_on(self):
        for connection in ("close", "X-Ho, X-Hop-Other"):
            for framed in (True, False):
                for headers in self.play(connection, framed):
                    self.assertEqual(headers["X-Hop"], "1")

    def test_what_the_router_relies_on_stays(self):
        for name in ANSWER_RELIED_ON:
            for framed in (True, False):
                for _ in self.play(name, framed):
                    pass


class ForwardedAnswerTest(ForwardedTest, AnswerTest):
    """As AnswerTest, over another router."""
    ROUTERS = 2
    ENGINES = 1

    def setUp(self):
        super().setUp()
        self.lose("r0")
        self.router = self.routers["r0"]


if __name__ == "__main__":
    unittest.main()
