"""Plays the forms of a request against the native interface."""
import dataclasses
import json
import unittest

import request_forms
from cluster import Cluster, uuid7
from fleet import Received, Server
from test_request_forms import exchange, without_interim

FORMS = sum(request_forms.FORMS, [])
# The native interface knows no hosts, and takes the methods that the HTTP
# library has a name for.
HOSTLESS = ("no host", "absolute of another host", "absolute without a host",
            "absolute with a user", "absolute of a scheme unknown",
            "absolute without a host header")
NO_PATH = "a tunnel to an authority"
UNNAMED = [form.name for form in request_forms.UNNAMED_METHODS if form.passed]


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


if __name__ == "__main__":
    unittest.main()
