"""Plays the forms of requests and of answers against calls between routers: a
router without a path to upstreams has another one send them."""
import json
import unittest

from fleet import Fleet, read_parts
from forms import FOLDED, REFUSED, SOUND, FormedUpstream
from test_answer_forms import BODY, EVENTS, UpstreamTest
from test_forwarding import ForwardedTest
from test_request_forms import STREAM, RelayedFormsTest


class RequestsTest(ForwardedTest, RelayedFormsTest):
    ROUTERS = 2
    ENGINES = 1

    def start_router(self, name, **more):
        super().start_router(name, max_body="64KiB", max_header="16KiB",
                             **more)

    def setUp(self):
        super().setUp()
        self.engine, = self.engines
        for upstream in self.upstreams:
            upstream.received = []
        self.lose("r0")
        self.router = self.routers["r0"]
        self.places = [(b"/write/x", b"", self.plain),
                       (b"/ask/x", STREAM, self.engine)]
        self.number = 0

    def tearDown(self):
        self.assertGreater(len(self.router.events("request_forwarded")), 2)


class FormedFleet(Fleet):
    def engine(self, name):
        return self.add(FormedUpstream(self.store, name, "engines", "m"))

    def plain(self, name):
        return self.add(FormedUpstream(self.store, name, "plain"))


class AnswersTest(ForwardedTest):
    FLEET = FormedFleet
    ROUTERS = 2
    ENGINES = 1

    def setUp(self):
        super().setUp()
        self.lose("r0")

    def tearDown(self):
        self.assertGreater(len(self.routers["r0"].events(
            "request_forwarded")), len(REFUSED))

    def ask(self, path):
        response = self.open("r0", path, wait_ms=5000)
        body, whole = read_parts(response)
        return response.status, body, whole

    def play(self, form, path):
        for upstream in self.upstreams:
            upstream.form = form
        return self.ask(path)

    def test_sound_forms(self):
        faults = []
        for form in SOUND:
            for path, body in UpstreamTest.PATHS:
                answer = self.play(form, path)
                if answer != (200, body, True):
                    faults.append((form.name, path, answer))
        self.assertEqual(faults, [])
        for router in self.routers.values():
            self.assertEqual(router.events("upstream_ejected"), [])

    def test_refused_forms(self):
        faults = []
        for form in REFUSED + FOLDED:
            for path, _ in UpstreamTest.PATHS:
                before = self.count_runs()
                answer = self.play(form, path)
                if answer[0] not in (502, 503, 504) or \
                        self.says_wrong(answer, self.count_runs() - before):
                    faults.append((form.name, path, answer))
            self.wait_sound()
        self.assertEqual(faults, [])

    def count_runs(self):
        return sum(len(upstream.seen) for upstream in self.upstreams)

    @staticmethod
    def says_wrong(answer, runs):
        run = json.loads(answer[1])["error"]["run"]
        return run == "not_run" and runs > 0 or run == "done" and runs == 0

    def wait_sound(self):
        for path, body in (("/read/x", BODY), ("/ask/x", EVENTS)):
            self.wait_for_answer(path, body)

    def wait_for_answer(self, path, body):
        for _ in range(100):
            answer = self.play(SOUND[0], path)
            if answer == (200, body, True):
                return
        self.fail("no sound answer: %r" % (answer,))


if __name__ == "__main__":
    unittest.main()
