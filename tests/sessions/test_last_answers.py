"""Last answers on callers' connections, which the router closes while more
bytes of the caller arrive."""
import signal
import socket
import time
import unittest

from cluster import HOST
from fleet import Fleet, Upstream
from test_stop import read_answer, request

REST = b"z" * 3000000  # more than the kernel's buffers hold
LONG_ANSWER = b"y" * 600000
BROKEN_HEAD = b"POST /read/x HTTP/1.1\nHost: shop.example\r\n"
SECOND_HALF_S = 0.2
READ_LATER_S = 0.5
AT_ONCE = 150  # more than the event loop ends in one turn
PART_BYTES = 100000
PARTS = 16
PART_S = 0.25
PAUSE_S = 3


class LongAnswers(Upstream):
    def answer_call(self, call, body, headers):
        call.head(200, {"Content_Length": str(len(LONG_ANSWER))}, **headers)
        call.wfile.write(LONG_ANSWER)


class LastAnswerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def connect(self, router):
        connection = socket.create_connection((HOST, router.port),
                                              timeout=60)
        self.addCleanup(connection.close)
        return connection

    def start(self, **settings):
        self.fleet.add(LongAnswers(self.fleet.store, "p1", "plain"))
        return self.fleet.start(**settings)

    def send_and_read_later(self, router, first, rest):
        """Returns the answer of a caller that sends all it has first."""
        connection = self.connect(router)
        connection.sendall(first + rest[:len(rest) // 2])
        time.sleep(SECOND_HALF_S)
        connection.sendall(rest[len(rest) // 2:])
        time.sleep(READ_LATER_S)
        return read_answer(connection)

    def assert_refused(self, answer, status):
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertEqual(head[:13], b"HTTP/1.1 %d " % status)
        self.assertTrue(body.strip())

    def assert_long_answer(self, answer):
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertEqual(head[:13], b"HTTP/1.1 200 ")
        self.assertEqual(len(body), len(LONG_ANSWER))

    def test_a_body_beyond_the_limit_is_refused_with_a_whole_answer(self):
        """The rest of the body reset the connection."""
        router = self.start(max_body="64KiB")
        head = request("id").replace(b"Content-Length: 1\r\n",
                                     b"Content-Length: %d\r\n" % len(REST))
        self.assert_refused(
            self.send_and_read_later(router, head[:-1], REST), 413)

    def test_a_bad_head_is_refused_with_a_whole_answer(self):
        """What followed the head reset the connection."""
        router = self.start()
        self.assert_refused(
            self.send_and_read_later(router, b"nonsense\r\n\r\n", REST), 400)

    def test_an_ambiguous_head_is_refused_with_a_whole_answer(self):
        """What followed the request reset the connection."""
        router = self.start()
        head = request("id").replace(b"Content-Length: 1\r\n",
                                     b"Content-Length: 1\r\n"
                                     b"Content-Length: 1\r\n")
        self.assert_refused(
            self.send_and_read_later(router, head, REST), 400)

    def test_the_last_answer_is_whole_whatever_follows_its_request(self):
        """An answer under way was lost by bytes behind its request."""
        router = self.start()
        last = request("id").replace(b"Host:", b"Connection: close\r\nHost:")
        self.assert_long_answer(
            self.send_and_read_later(router, last, REST))

    def test_the_answer_of_a_router_that_ends_is_whole(self):
        """An answer under way was lost by the next request behind it."""
        router = self.start()
        router.signal(signal.SIGTERM)
        router.wait_event("router_stopping")
        answers = self.send_and_read_later(
            router, request("id-1"), 2000 * request("id-2"))
        first, *refusals = answers.split(b"HTTP/1.1 ")[1:]
        self.assert_long_answer(b"HTTP/1.1 " + first)
        for refusal in refusals[:-1]:  # the last one may be cut
            self.assertEqual(refusal[:4], b"503 ")
            self.assertIn(b"not_run", refusal)
        self.assertEqual(router.process.wait(60), 0)

    def test_callers_that_are_refused_at_once_get_whole_answers(self):
        """Connections beyond the first 32 of a turn were reset."""
        router = self.start()
        connections = [self.connect(router) for _ in range(AT_ONCE)]
        router.signal(signal.SIGSTOP)
        for connection in connections:
            connection.sendall(BROKEN_HEAD + REST[:PART_BYTES])
        router.signal(signal.SIGCONT)
        time.sleep(SECOND_HALF_S)
        for connection in connections:
            connection.sendall(REST[:PART_BYTES])
        for connection in connections:
            self.assert_refused(read_answer(connection), 400)

    def test_a_caller_that_sends_on_for_long_gets_its_refusal(self):
        """The connection was reset a second after the refusal."""
        router = self.start()
        connection = self.connect(router)
        connection.sendall(BROKEN_HEAD)
        for _ in range(PARTS):
            connection.sendall(REST[:PART_BYTES])
            time.sleep(PART_S)
        self.assert_refused(read_answer(connection), 400)

    def test_a_caller_that_pauses_gets_its_refusal(self):
        """As before, between two parts of a body."""
        router = self.start()
        connection = self.connect(router)
        connection.sendall(BROKEN_HEAD + REST[:PART_BYTES])
        time.sleep(PAUSE_S)
        connection.sendall(REST)
        time.sleep(READ_LATER_S)
        self.assert_refused(read_answer(connection), 400)

    def test_a_caller_that_does_not_close_is_closed(self):
        router = self.start()
        connection = self.connect(router)
        connection.sendall(b"nonsense\r\n\r\n")
        self.assert_refused(read_answer(connection), 400)
        with self.assertRaises(OSError):
            for _ in range(100):  # for 10 s
                connection.sendall(b"x")
                time.sleep(0.1)

    def test_a_connection_is_kept_as_long_as_the_configuration_says(self):
        """It was closed after the shorter read_timeout of the settings."""
        self.fleet.config(limits={"idle_timeout_ms": 4000})
        router = self.start(read_timeout="1s")
        connection = self.connect(router)
        for name in ("id-1", "id-2"):
            connection.sendall(request(name))
            self.assert_long_answer(read_answer(connection))
            time.sleep(2)
        connection.settimeout(10)
        self.assertEqual(connection.recv(1), b"")  # closed in the end


if __name__ == "__main__":
    unittest.main()
