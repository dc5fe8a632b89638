"""Callers that leave while their requests run."""
import os
import socket
import struct
import time
import unittest
import uuid

from answers import request_bytes
from cluster import HOST, Cluster, uuid7, wait_for
from fleet import Fleet


def processor_s(router):
    """Returns the processor time that a router has used."""
    with open("/proc/%d/stat" % router.process.pid) as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class LeavingTest(unittest.TestCase):
    PATHS = ("/read/x", "/write/x", "/ask/x", "/ask/once/x")

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [self.fleet.plain("p1"), self.fleet.engine("e1")]
        for upstream in self.upstreams:
            upstream.pause_s = 0.5
        self.router = self.fleet.start()

    def runs(self, request_id):
        return sum(seen["X-Request-Id"] == request_id
                   for upstream in self.upstreams for seen in upstream.seen)

    def leave(self, path, end, behind=b""):
        """Ends a connection while its request runs."""
        request_id = uuid.uuid4().hex
        with socket.create_connection((HOST,
                                       self.router.port)) as caller:
            caller.settimeout(5)
            caller.sendall(request_bytes("POST", path, request_id, b"x",
                                         wait_ms=9000) + behind)
            wait_for(lambda: self.runs(request_id), "a run")
            end(caller)
        self.check_line(path, request_id)
        return request_id

    def check_line(self, path, request_id):
        """A call that may run once goes on, so that its outcome is known."""
        event = "request_done" if path == "/write/x" else "request_refused"
        line, = wait_for(lambda: [
            line for line in self.router.events(event)
            if line["request"].strip('"') == request_id], path)
        if event == "request_done":
            self.assertEqual(line["answer"].strip('"'), "none")
            return
        self.assertEqual(line["reason"].strip('"'), "caller_left")
        self.assertEqual(line["run"].strip('"'), "may_have_run")

    def test_callers_that_close(self):
        for path in self.PATHS:
            self.leave(path, lambda caller: None)

    # Those that only do the former stay: test_half_closed.
    def test_callers_that_close_their_sending_side_first(self):
        for path in self.PATHS:
            self.leave(path, lambda caller: caller.shutdown(socket.SHUT_WR))

    def used_s(self):
        return processor_s(self.router)

    @staticmethod
    def reset(caller):
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))

    def test_callers_that_reset(self):
        """Their requests ran on, and nothing told that they had left."""
        for upstream in self.upstreams:
            upstream.pause_s = 2
        for path in self.PATHS:
            left = time.monotonic()
            self.leave(path, self.reset)
            if path != "/write/x":
                self.assertLess(time.monotonic() - left, 1, path)

    def test_a_reset_does_not_keep_the_router_busy(self):
        """It spun until the upstream had answered."""
        self.upstreams[0].pause_s = 2
        request_id = uuid.uuid4().hex
        with socket.create_connection((HOST,
                                       self.router.port)) as caller:
            caller.sendall(request_bytes("POST", "/write/x", request_id, b"x"))
            wait_for(lambda: self.runs(request_id), "a run")
            self.reset(caller)
        used_s = self.used_s()
        time.sleep(1)
        self.assertLess(self.used_s() - used_s, 0.5)

    def test_callers_that_reset_with_bytes_behind(self):
        """Bytes that wait neither keep the router busy nor hide the end."""
        for upstream in self.upstreams:
            upstream.pause_s = 3

        def end(caller):
            used_s = self.used_s()
            time.sleep(1)
            self.assertLess(self.used_s() - used_s, 0.5)
            self.reset(caller)
        for path in self.PATHS[::2]:
            left = time.monotonic()
            self.leave(path, end, b"GET /none HTTP/1.1\r\n")
            self.assertLess(time.monotonic() - left, 2, path)

    def test_a_request_behind_one_under_way_does_not_run(self):
        """Its caller left before the first one was answered."""
        for path in self.PATHS:
            second = uuid.uuid4().hex
            self.leave(path, lambda caller: None,
                       request_bytes("POST", path, second, b"x"))
            time.sleep(2 * self.upstreams[0].pause_s)
            self.assertEqual(self.runs(second), 0, path)


class NativeTest(unittest.TestCase):
    """Calls of services on the native interface."""

    RUN_MS = 2000

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.services = {name: self.cluster.service("s-" + name, name,
                                                    delay_ms=self.RUN_MS)
                         for name in ("notes", "ledger")}
        self.router = self.cluster.start()

    def begin(self, name, key=None):
        key = key or uuid7()
        caller = socket.create_connection((HOST, self.router.port))
        self.addCleanup(caller.close)
        caller.settimeout(5)
        caller.sendall(b"POST /v1/services/%s/x HTTP/1.1\r\nHost: h\r\n"
                       b"Authorization: Bearer acme-key\r\n"
                       b"Idempotency-Key: %s\r\nContent-Length: 1\r\n\r\nx"
                       % (name.encode(), key.encode()))
        wait_for(lambda: self.services[name].call("GET", "/records").get(key),
                 "a run")
        return caller

    def wait_line(self, event, wait_s):
        began = time.monotonic()
        line, = wait_for(lambda: self.router.events(event), event)
        self.assertLess(time.monotonic() - began, wait_s)
        return line

    def check(self, end):
        """One that may be given up frees its place, the other one goes on."""
        with self.begin("notes") as caller:
            end(caller)
        line = self.wait_line("request_refused", 1)
        self.assertEqual(line["reason"].strip('"'), "caller_left")
        self.assertEqual(line["run"].strip('"'), "may_have_run")
        key = uuid7()
        with self.begin("ledger", key) as caller:
            end(caller)
        time.sleep(0.5)
        self.assertEqual(len(self.router.events("request_refused")), 1)
        wait_for(lambda: len(self.router.events("request_done")) == 2, "ends")
        done = self.router.events("request_done")[1]
        self.assertEqual(done["outcome"].strip('"'), "whole")
        self.assertGreater(int(done["us"]), (self.RUN_MS - 500) * 1000)
        wait_for(lambda: self.repeat(key) == "already_ran", "an outcome", 5)

    def repeat(self, key):
        """The outcome is in doubt until the log has it; nothing runs twice."""
        answer = self.router.complete({}, path="/v1/services/ledger/x",
                                      Idempotency_Key=key)
        code = answer.error()["code"]
        self.assertIn(code, ("repeat_in_doubt", "already_ran"))
        self.assertEqual(self.services["ledger"].call("GET", "/records"),
                         {key: 1})
        return code

    # Nothing told that they had left.
    def test_callers_that_close(self):
        self.check(lambda caller: None)

    def test_callers_that_close_their_sending_side_first(self):
        self.check(lambda caller: caller.shutdown(socket.SHUT_WR))

    def test_callers_that_only_close_their_sending_side(self):
        """Their connections were closed without an answer."""
        for name in self.services:
            with self.begin(name) as caller:
                caller.shutdown(socket.SHUT_WR)
                received = b""
                while part := caller.recv(65536):
                    received += part
            interim, head = received.split(b"HTTP/1.1 200 ", 1)
            self.assertEqual(interim.replace(
                b"HTTP/1.1 100 Continue\r\n\r\n", b""), b"")
            self.assertGreater(len(interim), 0)
            head, body = head.split(b"\r\n\r\n", 1)
            self.assertIn(b"content-length: %d\r\n" % len(body),
                          head.lower() + b"\r\n")
        self.assertEqual(self.router.events("request_refused"), [])

    def test_callers_that_reset(self):
        self.check(LeavingTest.reset)

    def test_a_reset_does_not_keep_the_router_busy(self):
        """It spun until the upstream had answered."""
        with self.begin("ledger") as caller:
            LeavingTest.reset(caller)
        used_s = processor_s(self.router)
        time.sleep(1)
        self.assertLess(processor_s(self.router) - used_s, 0.5)


if __name__ == "__main__":
    unittest.main()
