"""Every reader of answers takes the legal forms of HTTP, and refuses those
that leave open what they state."""
import random
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import forms
from cluster import Cluster, uuid7, wait_for
from fleet import CUSTOMERS, Fleet, Server, read_parts
from forms import FOLDED, REFUSED, SOUND, FormedStore, FormedUpstream

STORES_AT_ONCE = 6
READY_S = 6  # of a sound store, on a busy machine
WATCH_S = 2.5  # in which a router of a sound store is ready long since
BODY = b"POST /read/x 1 bytes"
EVENTS = b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(5))


def wait_until(condition, seconds=READY_S):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return condition()


class FormedFleet(Fleet):
    def __init__(self):
        super().__init__()
        self.store.close()
        self.store = self.add(FormedStore())
        self.parts.remove(self.parts[0])

    def upstream(self, name, service, model=None):
        return self.add(FormedUpstream(self.store, name, service, model))


class StoreTest(unittest.TestCase):
    """No router was ever ready, and nobody was served."""

    def check_all(self, check, table):
        with ThreadPoolExecutor(STORES_AT_ONCE) as pool:
            faults = [fault for fault in pool.map(check, table) if fault]
        self.assertEqual(faults, [])

    @staticmethod
    def watch(fleet, form, seconds):
        """Starts a router on a store of this form; returns it once it is
        ready, or the time is over."""
        fleet.upstream("e1", "engines", "m")
        fleet.upstream("p1", "plain")
        fleet.config()
        fleet.store.form = form
        router = fleet.router()
        wait_until(lambda: fleet.is_ready(router), seconds)
        return router

    def check_sound(self, form):
        fleet = FormedFleet()
        try:
            router = self.watch(fleet, form, READY_S)
            if not fleet.is_ready(router):
                return form.name, "not ready"
            call, stream = (fleet.ask(router, path, wait_ms=5000)
                            for path in ("/read/x", "/ask/x"))
            if (call.status, call.body) != (200, BODY):
                return form.name, call.status, call.body
            if (stream.status, stream.body) != (200, EVENTS):
                return form.name, stream.status, stream.body
            # Changes of the configuration arrive as well.
            fleet.config(customers=CUSTOMERS[1:])
            if not wait_until(lambda: fleet.ask(router, "/read/x").status
                              == 401):
                return form.name, "no change"
            lost = router.events("topic_lost")
            return (form.name, lost) if lost else None
        finally:
            fleet.close()

    def check_refused(self, form):
        fleet = FormedFleet()
        try:
            router = self.watch(fleet, form, WATCH_S)
            if fleet.is_ready(router):
                return form.name, "ready"
            return self.check_reasons(form, router)
        finally:
            fleet.close()

    @staticmethod
    def check_reasons(form, router):
        """The log tells more than once what can't be read, by which call and
        why, and no line that its connection closed."""
        lines = router.events("topic_lost") + router.events("topic_unread")
        calls = {(line["topic"], line["call"], "closed" in line["reason"])
                 for line in lines}
        if calls != {("keyed.op", "list", False),
                     ("keyed.servers", "list", False)}:
            return form.name, calls
        again = [int(line["lost_ms"]) for line
                 in router.events("topic_unread")]
        if not again or min(again) < 1000:
            return form.name, again
        return None

    def test_sound_forms(self):
        self.check_all(self.check_sound, SOUND + FOLDED)

    def test_refused_forms(self):
        self.check_all(self.check_refused, REFUSED)


class CutAnswersTest(unittest.TestCase):
    """A store some of whose answers end early, inside the body, where no
    length tells of it: what was cut off never passes for the whole."""

    SHARE = 0.6
    CHANGES = 8
    UPSTREAMS = 12

    def play(self, resets):
        rng = random.Random(1)
        fleet = FormedFleet()
        self.addCleanup(fleet.close)
        cuts = []

        def write(status, fields, body):
            whole = forms.head(status, fields) + body
            if status != 200 or rng.random() > self.SHARE:
                return [whole]
            cuts.append(rng.randrange(max(len(body), 1)))
            return [whole[:len(whole) - len(body) + cuts[-1]]]

        def send(call, *answer):
            before = len(cuts)
            plain_send(call, *answer)
            if resets and len(cuts) > before:
                call.cut()
        plain_send, forms.send = forms.send, send
        self.addCleanup(setattr, forms, "send", plain_send)
        names = ["e%d" % n for n in range(self.UPSTREAMS)]
        for name in names:
            fleet.upstream(name, "engines", "m")
        fleet.upstream("p1", "plain")
        fleet.config()
        fleet.store.form = forms.sound("cut", write, ends=True)
        router = fleet.router()
        wait_for(lambda: fleet.is_ready(router), "ready")
        wait_for(lambda: len({listed["upstream"] for listed in
                              router.events("upstream_listed")})
                 == self.UPSTREAMS + 1, "all upstreams")
        for number in range(self.CHANGES):
            revokes = number % 2 == 0
            fleet.config(customers=CUSTOMERS[1:] if revokes else CUSTOMERS)
            status = 401 if revokes else 200
            wait_for(lambda status=status: fleet.ask(router, "/read/x").status
                     == status, "the change")
        self.assertGreater(len(cuts), 5)
        for event in ("upstream_gone", "upstream_missing",
                      "record_key_invalid", "crash_record_unreadable",
                      "config_unreadable", "config_patch_unusable"):
            self.assertEqual(router.events(event), [])

    def test_orderly_ends(self):
        self.play(False)

    def test_resets(self):
        self.play(True)


class UpstreamTest(unittest.TestCase):
    """Callers got 502, and a sound upstream was avoided."""

    PATHS = (("/read/x", BODY), ("/ask/x", EVENTS),
             ("/ask/once/x", EVENTS), ("/write/x", b"POST /write/x 1 bytes"))

    def setUp(self):
        self.fleet = FormedFleet()
        self.addCleanup(self.fleet.close)
        self.upstreams = [self.fleet.upstream("e1", "engines", "m"),
                          self.fleet.upstream("p1", "plain")]
        self.router = self.fleet.start()

    def use(self, form):
        for upstream in self.upstreams:
            upstream.form = form

    def ask(self, path):
        response = self.fleet.request(self.router, path, wait_ms=5000)
        body, whole = read_parts(response)
        return response.status, body, whole

    def test_sound_forms(self):
        faults = []
        for form in SOUND:
            self.use(form)
            for path, body in self.PATHS:
                answer = self.ask(path)
                if answer != (200, body, True):
                    faults.append((form.name, path, answer))
        self.assertEqual(faults, [])
        # That of an answer that its connection ended.
        self.assertLessEqual({attempt["end"] for attempt in
                              self.router.events("attempt_ended")},
                             {"closed"})
        for event in ("attempt_failed", "upstream_doubted",
                      "upstream_ejected"):
            self.assertEqual(self.router.events(event), [])

    def test_refused_forms(self):
        faults = []
        for form in REFUSED + FOLDED:
            for path, body in self.PATHS:
                self.use(form)
                answer = self.ask(path)
                if answer[0] not in (502, 503, 504):
                    faults.append((form.name, path, answer))
                self.use(SOUND[0])
                wait_for(lambda path=path: self.ask(path)[0] == 200,
                         "a sound answer")
        self.assertEqual(faults, [])
        # Nobody is doubted, and each refusal has a reason.
        self.assertEqual([attempt for attempt in
                          self.router.events("attempt_ended")
                          if attempt["end"] == "cut" or "reason" not in
                          attempt and attempt["end"] != "oversized"], [])
        self.assertEqual(self.router.events("upstream_doubted"), [])

    # The upstream was doubted for good: the probe's answer was refused.
    def test_answers_to_probes(self):
        faults = []
        for form in SOUND:
            self.use(form)
            for upstream in self.upstreams:
                upstream.cut_calls = True
            statuses = [self.ask(path)[0] for path in ("/read/x", "/ask/x")]
            for upstream in self.upstreams:
                upstream.cut_calls = False
            if statuses != [502, 502]:
                faults.append((form.name, statuses))
            for path in ("/read/x", "/ask/x"):
                if not wait_until(lambda p=path: self.ask(p)[0] == 200, 3):
                    faults.append((form.name, path))
        self.assertEqual(faults, [])


class OrdersTest(unittest.TestCase):
    """Engines whose answers to orders, and whose reports, have these forms."""

    def test_orders(self):
        fleet = FormedFleet()
        self.addCleanup(fleet.close)
        engines = []
        for number, form in enumerate(SOUND + FOLDED):
            engine = fleet.upstream("e%d" % number, "engines", "m")
            engine.form = form
            engines.append(engine)
        router = fleet.start()
        fleet.store.put("keyed.op", "version/m", {"model": "m", "version": 2})
        wait_until(lambda: all(engine.version == 2 for engine in engines), 30)
        self.assertEqual([engine.form.name for engine in engines
                          if engine.version != 2
                          or len(engine.orders) != 1], [])
        for event in ("order_unanswered", "engine_state_unanswered"):
            self.assertEqual(router.events(event), [])


class ServiceServer(Server):
    def handle(self, call):
        call.body()
        call.reply(200, b"hello", X_Attempt_Id=call.headers.get(
            "X-Attempt-Id", ""))


class FormedService(forms.FormedReply, ServiceServer):
    pass


class NativeServiceTest(unittest.TestCase):
    """As UpstreamTest, for plain services of the native interface."""

    def setUp(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        self.service = FormedService()
        self.addCleanup(self.service.close)
        cluster.declare_upstream("s1", self.service.address, "ledger",
                                 "service")
        self.router = cluster.start(eject_failures="1000")

    def ask(self, form):
        self.service.form = form
        answer = self.router.complete(
            {}, path="/v1/services/ledger/x",
            **{"Idempotency-Key": uuid7(), "X-Request-Deadline-Ms": "2000"})
        return answer.status, answer.body

    def test_sound_forms(self):
        answers = [(form.name, self.ask(form)) for form in SOUND]
        self.assertEqual([answer for answer in answers
                          if answer[1] != (200, b"hello")], [])

    def test_refused_forms(self):
        statuses = [(form.name, self.ask(form)[0])
                    for form in REFUSED + FOLDED]
        self.assertEqual([status for status in statuses
                          if status[1] not in (502, 503)], [])
        self.assertEqual(self.ask(SOUND[0]), (200, b"hello"))


if __name__ == "__main__":
    unittest.main()
