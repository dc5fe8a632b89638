"""Plays the forms of a request against a router's listeners."""
import json
import socket
import time
import unittest

import request_forms
from cluster import Cluster, wait_for
from cluster import HOST
from fleet import Fleet

SLOW_PARTS = 2000  # at the most, else a byte each
BYTE_PAUSE_S = 0.0001
STREAM = (b"X-Model: m\r\nX-Token-Usage: 300,10\r\n"
          b"X-Prompt-Prefix: ab:100,cd:100,%x:100\r\n")
REFUSALS = ("request_refused", "request_excessive", "request_unreadable")


def send(link, data, is_slow):
    step = max(1, len(data) // SLOW_PARTS) if is_slow else len(data)
    try:
        for at in range(0, len(data), step):
            link.sendall(data[at:at + step])
            if is_slow:
                time.sleep(BYTE_PAUSE_S)
    except OSError:
        pass  # refused before all was sent


def exchange(port, data, is_slow=False, limit_s=5):
    """Returns what comes until the router closes the connection."""
    received = b""
    with socket.create_connection((HOST, port)) as link:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link.settimeout(limit_s)
        send(link, data, is_slow)
        while True:
            part = link.recv(65536)
            if not part:
                return received
            received += part


def without_interim(received):
    while received.startswith(b"HTTP/1.1 100 "):
        received = received.partition(b"\r\n\r\n")[2]
    return received


def assert_typed(case, received, status, code):
    case.assertTrue(received.startswith(b"HTTP/1.1 %d " % status), received)
    case.assertEqual(received.count(b"HTTP/1."), 1, received)
    error = json.loads(received.partition(b"\r\n\r\n")[2])["error"]
    case.assertEqual((error["code"], error["run"]), (code, "not_run"))


class RelayedFormsTest(unittest.TestCase):
    """What callers send on routes."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.engine = self.fleet.engine("e1")
        self.plain = self.fleet.plain("p1")
        for upstream in (self.engine, self.plain):
            upstream.received = []
        self.router = self.fleet.start(max_body="64KiB", max_header="16KiB")
        self.places = [(b"/write/x", b"", self.plain),
                       (b"/ask/x", STREAM, self.engine)]
        self.number = 0

    def count_refusals(self, code):
        return sum(line.get("reason") == code for name in REFUSALS
                   for line in self.router.events(name))

    def assert_passed(self, form, path, upstream, received):
        self.assertRegex(received[:13], b"HTTP/1.[01] 200 ", form.name)
        self.assertEqual(received.count(b"HTTP/1."), 1, form.name)
        self.assertEqual(len(upstream.received), 1, form.name)
        got = upstream.received[0]
        self.assertEqual((got.method, got.target, got.body),
                         form.arrives(path), form.name)
        hosts = [value.lower().partition(":")[0]
                 for name, value in got.headers if name.lower() == "host"]
        self.assertEqual(hosts, ["shop.example"], form.name)
        self.assertEqual(dict(got.headers)["X-Request-Id"],
                         "id%d" % self.number, form.name)

    def assert_refused(self, form, upstream, received, before):
        status, code = form.refused
        self.assertRegex(received[:13], b"HTTP/1.. %d " % status, form.name)
        self.assertEqual(received.count(b"HTTP/1."), 1, form.name)
        body = received.partition(b"\r\n\r\n")[2]
        if not form.line.startswith(b"HEAD"):
            error = json.loads(body)["error"]
            self.assertEqual((error["code"], error["run"]), (code, "not_run"),
                             form.name)
        self.assertEqual(upstream.received, [], form.name)
        wait_for(lambda: self.count_refusals(code) > before,
                 "line of " + form.name)

    def play(self, form, is_slow):
        for path, more, upstream in self.places:
            self.number += 1
            upstream.received.clear()
            code = form.refused[1] if form.refused else None
            before = self.count_refusals(code)
            if more:
                more = more % self.number
            received = without_interim(exchange(
                self.router.port,
                form.write(path, b"id%d" % self.number, more), is_slow))
            if form.refused:
                self.assert_refused(form, upstream, received, before)
            else:
                self.assert_passed(form, path, upstream, received)

    def test_forms(self):
        for form in sum(request_forms.FORMS, []):
            for is_slow in (False, True):
                with self.subTest(form=form.name, is_slow=is_slow):
                    self.play(form, is_slow)

    # Requests that follow each other must not get each other's methods.
    def test_methods_of_a_connection(self):
        methods = [b"POST", b"FOO", b"X", b"PUT", b"PROPFIND", b"GET"]
        for is_slow in (False, True):
            self.plain.received.clear()
            data = b"".join(
                request_forms.Form(
                    "one", line=method + b" %s HTTP/1.1\r\n",
                    connection=b"" if method != b"GET" else
                    request_forms.CLOSE).write(b"/write/x", b"i" + method)
                for method in methods)
            received = exchange(self.router.port, data, is_slow)
            self.assertEqual(received.count(b"HTTP/1.1 200 "), len(methods))
            self.assertEqual([got.method.encode()
                              for got in self.plain.received], methods)

    # What only looks like it must not close the connection.
    def test_a_connection_is_kept(self):
        for fields in (b"", b"Connection: keep-alive\r\n",
                       b"Connection: closed, not-close\r\n",
                       b"Connection: foo\r\nX-Connection: close\r\n"):
            first = request_forms.Form("first", connection=fields)
            data = first.write(b"/write/x", b"i1")
            data += request_forms.Form("last").write(b"/write/x", b"i2")
            received = exchange(self.router.port, data)
            self.assertEqual(received.count(b"HTTP/1.1 200 "), 2, fields)

    # The next request of a kept connection got 400 and the library's page.
    def test_empty_lines_between_requests_of_a_connection(self):
        first = request_forms.Form("first", connection=b"")
        last = request_forms.Form("last")
        for gap in (b"", b"\r\n", b"\r\n\r\n"):
            for is_slow in (False, True):
                self.plain.received.clear()
                data = b"".join(
                    form.write(b"/write/x", request_id) + gap
                    for form, request_id in ((first, b"i1"), (first, b"i2"),
                                             (last, b"i3")))
                received = exchange(self.router.port, data, is_slow)
                self.assertEqual(received.count(b"HTTP/1.1 200 "), 3, gap)
                self.assertEqual(received.count(b"HTTP/1.1 "), 3, gap)
                self.assertEqual(
                    [(got.method, got.target, got.body)
                     for got in self.plain.received],
                    [("POST", "/write/x", b"x")] * 3)


class OtherListenersTest(unittest.TestCase):
    """What operators and the platform send."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.engine("e1")
        self.router = self.fleet.start()

    def test_lines(self):
        for port, path in ((self.router.ready_port, b"/v1/ready"),
                           (self.router.operator_port, b"/metrics")):
            for before, target in request_forms.GETS:
                for is_slow in (False, True):
                    received = exchange(
                        port, before + b"GET " + target % path
                        + b" HTTP/1.1\r\nHost: \t any\t\r\n"
                        b"Connection: close\r\n\r\n", is_slow)
                    self.assertTrue(received.startswith(b"HTTP/1.1 200 "),
                                    (target % path, received))

    # They take no method that the library has no name for.
    def test_methods(self):
        for port, path in ((self.router.ready_port, b"/v1/ready"),
                           (self.router.operator_port, b"/metrics")):
            received = exchange(
                port, b"FOO %s HTTP/1.1\r\nHost: any\r\n\r\n" % path)
            assert_typed(self, received, 501, "unknown_method")

    # The library's own pages do not tell whether a request ran.
    def test_unreadable_requests(self):
        for port in (self.router.ready_port, self.router.operator_port):
            for data, status, code in request_forms.UNREADABLE_GETS:
                assert_typed(self, exchange(port, data), status, code)


class NativeFormsTest(unittest.TestCase):
    """As RelayedFormsTest, on the native interface."""

    HEAD = (b"Host: x\r\nAuthorization: \t Bearer acme-key \t\r\n"
            b"Connection: close\r\n\r\n")

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.router = self.cluster.start()

    def test_lines(self):
        for before, target in request_forms.GETS:
            for is_slow in (False, True):
                received = exchange(
                    self.router.port, before + b"GET " + target % b"/v1/models"
                    + b" HTTP/1.1\r\n" + self.HEAD, is_slow)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "),
                                (target, received))

    # A method that the library has no name for became another word.
    def test_unknown_methods(self):
        for method in (b"FOO", b"PROPFIND", b"post", b"CONNECT"):
            for path in (b"/v1/completions", b"/v1/services/ledger/x"):
                received = exchange(
                    self.router.port,
                    b"%s %s HTTP/1.1\r\n" % (method, path) + self.HEAD)
                assert_typed(self, received, 405, "bad_method")

    def test_two_hosts(self):
        received = exchange(self.router.port, b"GET /v1/models HTTP/1.1\r\n"
                            b"Host: y\r\n" + self.HEAD)
        assert_typed(self, received, 400, "header_twice")

    # The library's own pages do not tell whether a request ran.
    def test_unreadable_requests(self):
        for data, status, code in request_forms.UNREADABLE_GETS:
            assert_typed(self, exchange(self.router.port, data), status, code)


if __name__ == "__main__":
    unittest.main()
