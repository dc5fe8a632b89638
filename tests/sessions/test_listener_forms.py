"""Plays the forms of a request against the native interface and against the
listeners that take no requests of callers."""
import dataclasses
import json
import unittest

import request_forms
from cluster import OPERATOR_KEY, Cluster, uuid7
from fleet import Fleet, Received, Server
from test_request_forms import exchange, without_interim

FORMS = sum(request_forms.FORMS, [])
# The native interface knows no hosts, and takes the methods that the HTTP
# library has a name for.
HOSTLESS = ("no host", "absolute of another host", "absolute without a host",
            "absolute with a user", "absolute of a scheme unknown",
            "absolute without a host header")
NO_PATH = "a tunnel to an authority"
UNNAMED = [form.name for form in request_forms.UNNAMED_METHODS if form.passed]
# What listeners that take no requests of callers do not look at.
UNSEEN = HOSTLESS + (
    "two hosts", "a host twice", "two hosts beside an absolute form",
    "a tunnel", NO_PATH, "a long method")
# Bodies whose content is a request, where evhttp reads none.
NEXT = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
UNREAD_BODIES = {
    "HEAD with a length": b"HEAD %s HTTP/1.1\r\nHost: x\r\n"
                          b"Content-Length: " + b"%d" % len(NEXT)
                          + b"\r\n\r\n" + NEXT,
    "HEAD with chunks": b"HEAD %s HTTP/1.1\r\nHost: x\r\n"
                        b"Transfer-Encoding: chunked\r\n\r\n" + NEXT,
    "chunks of HTTP/1.0": b"GET %s HTTP/1.0\r\nHost: x\r\n"
                          b"Connection: keep-alive\r\n"
                          b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                          + NEXT,
}
# Methods that only callers' listeners take.
NO_OPERATORS = (b"OPTIONS", b"PATCH", b"TRACE")
PAGE = b"<HTML>"


def error_of(received):
    return json.loads(received.partition(b"\r\n\r\n")[2])["error"]


class RecordingService(Server):
    def __init__(self):
        self.received = []
        super().__init__()

    def handle(self, call):
        body = call.body()
        self.received.append(Received(call.command, call.path,
                                      call.headers.items(), body))
        call.reply(200, b"" if call.command == "HEAD" else b"hello",
                   X_Attempt_Id=call.headers.get("X-Attempt-Id", ""))


class ServiceFormsTest(unittest.TestCase):
    """Calls of a plain service on the native interface."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.service = RecordingService()
        self.addCleanup(self.service.close)
        self.cluster.declare_upstream("s1", self.service.address, "ledger",
                                      "service")
        self.router = self.cluster.start(max_body="64KiB", max_header="16KiB",
                                         eject_failures="1000")

    def write(self, form, path):
        own = dataclasses.replace(
            form, key=form.key.replace(b"Api-Key", b"Authorization")
            .replace(b"key-a", b"Bearer acme-key"))
        return own.write(path, b"id", b"Idempotency-Key: %s\r\n"
                         % uuid7().encode())

    def expected(self, form):
        if form.name in HOSTLESS:
            return "POST", "/x", b"x"
        if not form.passed or form.name in UNNAMED:
            return None
        method, target, body = form.passed
        target = (target % b"/x" if b"%s" in target else target).decode()
        return method.decode(), target, body

    def assert_passed(self, form, expected, received):
        self.assertRegex(received[:13], b"HTTP/1.[01] 200 ", form.name)
        got, = self.service.received
        self.assertEqual((got.method, got.target, got.body), expected)

    def assert_refused(self, form, received):
        status, code = form.refused or (405, "bad_method")
        if form.name == NO_PATH:
            status, code = 404, "unknown_path"
        self.assertRegex(received[:13], b"HTTP/1.. %d " % status, form.name)
        if not form.line.startswith(b"HEAD"):
            error = error_of(received)
            self.assertEqual((error["code"], error["run"]),
                             (code, "not_run"))
        self.assertEqual(self.service.received, [])

    def play(self, form, is_slow):
        self.service.received.clear()
        received = without_interim(exchange(
            self.router.port, self.write(form, b"/v1/services/ledger/x"),
            is_slow))
        self.assertEqual(received.count(b"HTTP/1."), 1, received)
        expected = self.expected(form)
        if expected:
            self.assert_passed(form, expected, received)
        else:
            self.assert_refused(form, received)

    def test_forms(self):
        for form in FORMS:
            for is_slow in (False, True):
                with self.subTest(form=form.name, is_slow=is_slow):
                    self.play(form, is_slow)


class EngineFormsTest(unittest.TestCase):
    """Requests for tokens on the native interface; the body of the table is
    none that it takes."""

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.router = self.cluster.start(max_body="64KiB", max_header="16KiB")

    write = ServiceFormsTest.write

    def expected(self, form):
        if form.name in HOSTLESS:
            return 400, "bad_json"
        if form.name == NO_PATH:
            return 404, "unknown_path"
        if form.refused:
            return form.refused
        if form.name in UNNAMED or form.passed[0] != b"POST":
            return 405, "bad_method"
        return 400, "bad_json"

    def play(self, form, is_slow):
        received = without_interim(exchange(
            self.router.port, self.write(form, b"/v1/completions"), is_slow))
        status, code = self.expected(form)
        if form.name.startswith("marks in") or form.name == "long target":
            status, code = 404, "unknown_path"
        self.assertRegex(received[:13], b"HTTP/1.. %d " % status, form.name)
        self.assertEqual(received.count(b"HTTP/1."), 1, received)
        if not form.line.startswith(b"HEAD"):
            error = error_of(received)
            self.assertEqual((error["code"], error["run"]), (code, "not_run"))

    def test_forms(self):
        for form in FORMS:
            for is_slow in (False, True):
                with self.subTest(form=form.name, is_slow=is_slow):
                    self.play(form, is_slow)


class OtherListenersTest(unittest.TestCase):
    """What operators and the platform send."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.engine("e1")
        self.router = self.fleet.start(max_body="64KiB", max_header="16KiB")

    def assert_sound(self, form, received):
        unnamed = form.name in UNNAMED or form.passed[0] in NO_OPERATORS
        status = b"501" if unnamed else b"(200|404)"
        self.assertRegex(received[:13], b"HTTP/1.[01] %s " % status)

    def assert_refused(self, form, received):
        self.assertRegex(received[:13], b"HTTP/1.. [45]")
        if form.refused[1] != "unknown_path" and \
                not form.line.startswith(b"HEAD"):
            error = error_of(received)
            self.assertEqual((error["code"], error["run"]),
                             (form.refused[1], "not_run"))

    def play(self, port, path, form, is_slow):
        received = without_interim(exchange(
            port, form.write(path, b"id"), is_slow))
        self.assertEqual(received.count(b"HTTP/1."), 1, received)
        self.assertNotIn(PAGE, received)
        if form.passed:
            self.assert_sound(form, received)
        elif form.name not in UNSEEN:
            self.assert_refused(form, received)

    def test_forms(self):
        for port, path in ((self.router.ready_port, b"/v1/ready"),
                           (self.router.operator_port, b"/metrics")):
            for form in FORMS:
                for is_slow in (False, True):
                    with self.subTest(path=path, form=form.name,
                                      is_slow=is_slow):
                        self.play(port, path, form, is_slow)


    # What followed a head was answered as a request of its own.
    def test_bodies_that_are_not_read(self):
        for port, path in ((self.router.ready_port, b"/v1/ready"),
                           (self.router.operator_port, b"/metrics")):
            for name, data in UNREAD_BODIES.items():
                with self.subTest(path=path, form=name):
                    received = exchange(port, data % path)
                    self.assertEqual(received.count(b"HTTP/1."), 1, received)
                    self.assertRegex(received[:13], b"HTTP/1.. 400 ")


class OperatorFormsTest(unittest.TestCase):
    """Calls of operators. The body of the table is none of their messages,
    and an empty one is."""

    PATH = b"/rpc/OperatorQuery/Counters"

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.router = self.cluster.start(max_body="64KiB", max_header="16KiB")

    def expected(self, form):
        method, target, body = form.passed
        if form.name in UNNAMED or method in NO_OPERATORS:
            return b"501"
        if target.partition(b"?")[0] != b"%s":
            return b"404"
        return b"400" if body else b"200"

    def play(self, form, is_slow):
        own = dataclasses.replace(
            form, key=form.key.replace(b"Api-Key", b"Authorization")
            .replace(b"key-a", b"Bearer " + OPERATOR_KEY.encode()))
        received = without_interim(exchange(
            self.router.operator_port, own.write(self.PATH, b"id"), is_slow))
        self.assertEqual(received.count(b"HTTP/1."), 1, received)
        self.assertNotIn(PAGE, received)
        if form.passed:
            self.assertEqual(received[9:12], self.expected(form))
        elif form.name not in UNSEEN:
            self.assertRegex(received[9:12], b"4..|501")

    def test_forms(self):
        for form in FORMS:
            for is_slow in (False, True):
                with self.subTest(form=form.name, is_slow=is_slow):
                    self.play(form, is_slow)


if __name__ == "__main__":
    unittest.main()
