"""Callers that go on sending after the last answer of their connection."""
import socket
import time
import unittest

from cluster import HOST
from fleet import Fleet

HEAD = (b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-a\r\n"
        b"X-Request-Id: id%d\r\nX-Deadline-Ms: 5000\r\n")
AFTERWARDS = {
    "bad_header": b"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n",
    "too_many_fields": b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 300,
    # Its field looks like one of another router until it is whole.
    "another_request": b"GET / HTTP/1.1\r\nWheattiller-Forward-Proof: x\r\n\r\n",
}
PAUSES_S = (0, 0.02)  # within the turn of the loop that ends it, and later


class AfterTheEndTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.plain("p1")
        self.router = self.fleet.start(read_timeout="1s")

    def send_afterwards(self, number, more, pause_s):
        with socket.create_connection((HOST, self.router.port)) as link:
            link.settimeout(60)
            link.sendall(HEAD % number + b"Connection: close\r\n\r\n")
            answer = b""
            while part := link.recv(65536):
                answer += part
            self.assertIn(b" 200 ", answer.split(b"\r\n")[0])
            time.sleep(pause_s)
            try:
                for start in range(0, len(more), 40):
                    link.sendall(more[start:start + 40])
                    time.sleep(pause_s / 10)
            except OSError:
                pass  # the router has closed it

    # The process of the router ended.
    def test_what_comes_after_the_last_answer_is_dropped(self):
        for number, (name, more) in enumerate(AFTERWARDS.items()):
            for pause_s in PAUSES_S:
                with self.subTest(name, pause_s=pause_s):
                    self.send_afterwards(number, more, pause_s)
                    time.sleep(0.05)
                    self.assertIsNone(self.router.process.poll())
        answer = self.fleet.ask(self.router, "/read/x", method="GET")
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
