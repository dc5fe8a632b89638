"""Callers' connections while a router ends after SIGTERM."""
import signal
import socket
import threading
import time
import unittest

from cluster import HOST, wait_for
from fleet import ROUTES, Fleet

HEAD = ("POST /write/x HTTP/1.1\r\nHost: shop.example\r\nApi-Key: key-a\r\n"
        "X-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nContent-Length: 1\r\n\r\n")
STOP_GRACE_S = 0.3  # of the routers that fleet.py starts
PARTS = 50  # of a request that takes longer than the shortest stop
PART_PAUSE_S = 0.05
FINE = (b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")
REVOKED = b"HTTP/1.1 401 "


def request(name):
    return HEAD.encode() % name.encode() + b"x"


def read_answer(connection):
    """Returns what arrives until the connection ends or the body is whole."""
    text = b""
    try:
        while True:
            part = connection.recv(65536)
            text += part
            if not part or is_whole(text):
                return text
    except OSError:
        return text


def is_whole(text):
    head, blank, body = text.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return bool(blank) and len(body) >= int(line.split(b":")[1])
    return False


def is_answered(text):
    return text.startswith(FINE) and is_whole(text)


class StopTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.service = self.fleet.plain("p1")
        self.router = self.fleet.start()
        self.answers = []

    def connect(self):
        connection = socket.create_connection(
            (HOST, self.router.port), timeout=60)
        self.addCleanup(connection.close)
        return connection

    def stop(self):
        self.router.signal(signal.SIGTERM)
        self.router.wait_event("router_stopping")
        self.stopping_at = time.monotonic()

    def sleep_until(self, seconds):
        """Waits until that time after the router was told to end."""
        time.sleep(max(0, self.stopping_at + seconds - time.monotonic()))

    def assert_end(self):
        self.assertEqual(self.router.process.wait(60), 0)

    def send(self, name):
        """Sends a request on a connection of its own."""
        connection = socket.create_connection(
            (HOST, self.router.port), timeout=60)
        try:
            connection.sendall(request(name))
        except OSError:
            pass
        return connection

    def call(self, names):
        """Makes several calls at once; returns whether all were connected."""
        sent = []
        try:
            for name in names:
                sent.append((name, self.send(name)))
        except OSError:
            pass
        for name, connection in sent:
            self.answers.append((name, read_answer(connection)))
            connection.close()
        return len(sent) == len(names)

    def call_until_refused(self, caller):
        number = 0
        while self.call(["id-%d-%d-%d" % (caller, number, i)
                         for i in range(8)]):
            number += 1

    def test_callers_that_connect_until_the_end_are_answered(self):
        """Connections in the kernel's queue, or accepted and not read yet,
        were reset as the router closed its listener."""
        callers = [threading.Thread(target=self.call_until_refused, args=(i,))
                   for i in range(4)]
        for caller in callers:
            caller.start()
        wait_for(lambda: self.service.seen, "requests at the service")
        self.stop()
        for caller in callers:
            caller.join()
        self.assert_end()
        self.assertEqual([answer for answer in self.answers
                          if not is_answered(answer[1])], [])

    def test_connections_queued_while_the_router_stood_still_are_answered(
            self):
        """Requests that arrived in one turn of the event loop with the end of
        the grace period were reset."""
        self.stop()
        self.router.signal(signal.SIGSTOP)
        connections = [self.connect() for _ in range(8)]
        for i, connection in enumerate(connections):
            connection.sendall(request("id-%d" % i))
        self.sleep_until(2 * STOP_GRACE_S)
        self.router.signal(signal.SIGCONT)
        for connection in connections:
            self.assertTrue(is_answered(read_answer(connection)))
        self.assert_end()

    def test_a_request_soon_after_its_connection_is_answered(self):
        """A connection whose request had not arrived yet was closed as soon as
        no request was open."""
        self.stop()
        self.sleep_until(STOP_GRACE_S - 0.1)
        connection = self.connect()
        self.sleep_until(STOP_GRACE_S + 0.2)
        connection.sendall(request("id"))
        self.assertTrue(is_answered(read_answer(connection)))
        self.assert_end()

    def test_a_kept_connection_is_served_until_the_listener_is_closed(self):
        """A request on a kept connection was lost if it came as the grace
        period ended."""
        connection = self.connect()
        connection.sendall(request("id-1"))
        self.assertIn(b" 200 ", read_answer(connection))
        self.stop()
        self.sleep_until(STOP_GRACE_S + 0.2)
        connection.sendall(request("id-2"))
        answer = read_answer(connection)
        self.assertTrue(is_answered(answer))
        self.assertIn(b"Connection: close", answer)
        self.assertEqual(connection.recv(1), b"")
        self.assert_end()

    def send_slowly(self, connection, text):
        try:
            for byte in text:
                connection.sendall(bytes([byte]))
                time.sleep(PART_PAUSE_S)
        except OSError:
            pass

    def test_a_request_that_arrives_as_the_router_could_end_is_answered(self):
        """Its connection was reset in the middle of its body, long before the
        limit of the stop."""
        connection = self.connect()
        text = request("id").replace(b"Length: 1", b"Length: %d" % PARTS)
        connection.sendall(text)
        self.stop()
        self.send_slowly(connection, (PARTS - 1) * b"x")
        answer = read_answer(connection)
        self.assertEqual(answer[:13], b"HTTP/1.1 503 ")
        self.assertTrue(is_whole(answer))
        self.assert_end()
        self.assertEqual(self.service.seen, [])
        self.assertTrue(self.router.events("stop_awaits_requests"))

    def test_a_request_that_does_not_go_on_does_not_keep_the_router(self):
        """What has come of it was long ago when the router could end."""
        connection = self.connect()
        connection.sendall(request("id")[:-1])
        self.stop()
        self.assert_end()
        self.assertEqual(read_answer(connection), b"")

    def start_with_limit(self):
        router = self.fleet.router("r2", stop_limit="1s")
        wait_for(lambda: self.fleet.is_ready(router), "ready")
        self.router = router

    def test_a_request_under_way_at_the_limit_is_answered(self):
        """Its connection was closed without an answer."""
        self.start_with_limit()
        self.service.pause_s = 10
        connection = self.connect()
        connection.sendall(request("id"))
        wait_for(lambda: self.service.seen, "the request at the service")
        self.stop()
        answer = read_answer(connection)
        self.assertEqual(answer[:13], b"HTTP/1.1 502 ")
        self.assertTrue(is_whole(answer))
        self.assertEqual(self.router.process.wait(60), 0)

    def test_a_request_that_waits_at_the_limit_is_refused_as_not_run(self):
        """Its connection was closed without an answer."""
        self.start_with_limit()
        self.service.shed = True
        connection = self.connect()
        connection.sendall(request("id"))
        wait_for(lambda: self.service.arrivals, "the request at the service")
        self.stop()
        answer = read_answer(connection)
        self.assertEqual(answer[:13], b"HTTP/1.1 503 ")
        self.assertTrue(is_whole(answer))
        self.assertEqual(self.service.seen, [])
        self.assertEqual(self.router.process.wait(60), 0)


class ChangeTest(unittest.TestCase):
    """Requests during changes that are no stop."""

    LENGTH_S = 3

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.service = self.fleet.plain("p1")
        self.service.pause_s = 0.05
        self.router = self.fleet.start()
        self.is_over = threading.Event()
        self.answers = []

    def call(self, caller):
        """Calls on a kept connection until the end."""
        number = 0
        with socket.create_connection((HOST, self.router.port),
                                      timeout=60) as connection:
            while not self.is_over.is_set():
                number += 1
                connection.sendall(request("id-%d-%d" % (caller, number)))
                self.answers.append(read_answer(connection))

    def assert_nothing_is_cut_off(self, change, fine=(b"HTTP/1.1 200 ",)):
        callers = [threading.Thread(target=self.call, args=(i,))
                   for i in range(8)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + self.LENGTH_S
        while time.monotonic() < end:
            change()
            time.sleep(0.05)
        self.is_over.set()
        for caller in callers:
            caller.join()
        self.assertGreater(len(self.answers), 100)
        self.assertEqual([answer for answer in self.answers
                          if not answer.startswith(fine)
                          or not is_whole(answer)], [])

    def test_reading_the_settings_again_cuts_nothing_off(self):
        self.assert_nothing_is_cut_off(
            lambda: self.router.signal(signal.SIGHUP))

    def test_configurations_in_a_row_cut_nothing_off(self):
        def change():
            self.fleet.config(routes=[
                dict(fields, timeout_ms=20000 - self.fleet.version)
                for fields in ROUTES])
        self.assert_nothing_is_cut_off(change)

    def test_a_revoked_key_cuts_nothing_off(self):
        """Requests with the key are run or refused."""
        def change():
            keys = ["key-a"] if self.fleet.version % 2 else []
            self.fleet.config(customers=[
                {"name": "a", "api_keys": keys + ["key-b"]}])
        self.assert_nothing_is_cut_off(change, FINE + (REVOKED,))
        self.assertTrue(any(answer.startswith(REVOKED)
                            for answer in self.answers))


if __name__ == "__main__":
    unittest.main()
