"""Callers that wait while idle ones hold the router's descriptors."""
import os
import resource
import signal
import time
import unittest
import uuid

from answers import Connection, request_bytes

import test_fleet

DESCRIPTORS = 128
IDLE = 200
WAITING = 40
BUSY = 45  # more than the router keeps descriptors for
RUN_S = 1.5
LINGER_S = 1.2  # in which a refused caller may read its refusal
BROKEN_HEAD = b"POST /write/x HTTP/1.1\nHost: shop.example\r\n"
STOP_LIMIT_S = 6


class IdleCallersTest(test_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.upstream = self.fleet.plain("p1")
        self.router = self.fleet.start(stop_limit="%ds" % STOP_LIMIT_S,
                                       stop_grace="1s")
        resource.prlimit(self.router.process.pid, resource.RLIMIT_NOFILE,
                         (DESCRIPTORS, DESCRIPTORS))

    def connect(self):
        connection = Connection(self.router.port)
        self.addCleanup(connection.close)
        return connection

    def send(self, connection, path="/write/x"):
        request_id = uuid.uuid4().hex
        connection.socket.sendall(request_bytes("POST", path, request_id,
                                                b"x", wait_ms=14000))
        return connection, request_id

    def statuses(self, sent):
        answers = [connection.read_answer(request_id, "POST")
                   for connection, request_id in sent]
        return [answer and answer.status for answer in answers]

    def hold_all(self):
        """Lets idle callers hold all descriptors, some after an answer."""
        kept = [self.connect() for _ in range(10)]
        self.assertEqual(set(self.statuses([self.send(each)
                                            for each in kept])), {200})
        idle = [self.connect() for _ in range(IDLE)]
        self.router.wait_event("accept_paused")
        return kept + idle

    # Requests waited until idle callers left, or their own left.
    def test_requests_behind_idle_callers_are_served_at_once(self):
        self.hold_all()
        began = time.monotonic()
        sent = [self.send(self.connect()) for _ in range(WAITING)]
        self.assertEqual(self.statuses(sent), WAITING * [200])
        self.assertLess(time.monotonic() - began, 3)
        self.router.wait_event("idle_callers_closed")

    # Requests that were read waited for each other's connections, while idle
    # callers held what they lacked.
    def test_requests_that_were_read_get_descriptors_of_idle_callers(self):
        held = len(os.listdir("/proc/%d/fd" % self.router.process.pid))
        callers = [self.connect() for _ in range(DESCRIPTORS - held - 2)]
        time.sleep(0.3)
        self.upstream.pause_s = RUN_S
        began = time.monotonic()
        sent = [self.send(each) for each in callers[-BUSY:]]
        self.assertEqual(self.statuses(sent), BUSY * [200])
        self.assertLess(time.monotonic() - began, 2 * RUN_S)

    # Connections that wait for their end held the descriptors.
    def test_requests_behind_refused_callers_that_send_on_are_served(self):
        refused = [self.connect() for _ in range(IDLE)]
        for each in refused:
            each.socket.sendall(BROKEN_HEAD)
        self.router.wait_event("accept_paused")
        time.sleep(LINGER_S)
        began = time.monotonic()
        sent = [self.send(self.connect()) for _ in range(WAITING)]
        for each in refused:
            self.send_on(each)
        self.assertEqual(self.statuses(sent), WAITING * [200])
        self.assertLess(time.monotonic() - began, 3)

    @staticmethod
    def send_on(connection):
        try:
            connection.socket.sendall(b"x")
        except OSError:
            pass  # closed for another caller

    # A caller whose next request had arrived was not told apart from others.
    def test_a_request_that_has_arrived_is_read(self):
        kept = [self.connect() for _ in range(10)]
        self.assertEqual(set(self.statuses([self.send(each)
                                            for each in kept])), {200})
        self.router.signal(signal.SIGSTOP)
        idle = [self.connect() for _ in range(IDLE)]
        sent = [self.send(each) for each in kept]
        time.sleep(0.2)
        self.router.signal(signal.SIGCONT)
        self.assertEqual(self.statuses(sent), len(kept) * [200])
        self.router.wait_event("idle_callers_closed")
        self.assertEqual(len(idle), IDLE)

    # All requests in the accept queue were reset at the stop's limit.
    def test_requests_behind_idle_callers_end_at_a_stop(self):
        self.hold_all()
        sent = [self.send(self.connect()) for _ in range(WAITING)]
        began = time.monotonic()
        self.router.signal(signal.SIGTERM)
        self.assertEqual(self.statuses(sent), WAITING * [200])
        self.router.process.wait(15)
        self.assertLess(time.monotonic() - began, STOP_LIMIT_S - 1)

    # The same, behind requests that run longer than the grace period.
    def test_requests_behind_running_ones_end_at_a_stop(self):
        self.upstream.pause_s = 1.2
        running = [self.send(self.connect()) for _ in range(DESCRIPTORS)]
        self.router.wait_event("accept_paused")
        began = time.monotonic()
        self.router.signal(signal.SIGTERM)
        statuses = self.statuses(running)
        self.assertNotIn(None, statuses)
        self.router.process.wait(15)
        self.assertLess(time.monotonic() - began, STOP_LIMIT_S - 1)


class IdleLimitTest(test_fleet.FleetTest):
    LIMIT_S = 1

    def setUp(self):
        super().setUp()
        self.fleet.plain("p1")
        self.fleet.config(limits={"idle_timeout_ms": 1000 * self.LIMIT_S})
        self.router = self.fleet.start(read_timeout="%ds" % self.LIMIT_S)

    def ask(self, connection):
        request_id = uuid.uuid4().hex
        connection.socket.sendall(request_bytes("GET", "/read/x", request_id,
                                                wait_ms=5000))
        return connection, request_id

    def status(self, connection, request_id):
        answer = connection.read_answer(request_id, "GET")
        return answer and answer.status

    # A router that was stopped past the limit closed connections unread.
    def test_a_request_that_has_arrived_meanwhile_is_read(self):
        connections = [Connection(self.router.port) for _ in range(10)]
        for each in connections:
            self.addCleanup(each.close)
        for each in connections[:5]:
            self.assertEqual(self.status(*self.ask(each)), 200)
        time.sleep(self.LIMIT_S / 2)
        self.router.signal(signal.SIGSTOP)
        sent = [self.ask(each) for each in connections]
        time.sleep(self.LIMIT_S)
        self.router.signal(signal.SIGCONT)
        self.assertEqual([self.status(*each) for each in sent],
                         len(sent) * [200])

    def test_a_connection_is_closed_at_its_limit(self):
        connections = [Connection(self.router.port) for _ in range(4)]
        for each in connections:
            self.addCleanup(each.close)
        for each in connections[:2]:
            self.assertEqual(self.status(*self.ask(each)), 200)
        began = time.monotonic()
        for each in connections:
            self.assertEqual(each.socket.recv(1), b"")
        self.assertLess(time.monotonic() - began, self.LIMIT_S + 1)


if __name__ == "__main__":
    unittest.main()
