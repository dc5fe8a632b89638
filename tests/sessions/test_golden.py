"""Compares requests, events and log lines of sessions with golden files."""
import unittest

from cluster import (BASE_DECLARATIONS, Cluster, key_hash, places, request,
                     uuid7, wait_for)
from golden import Transcript

PROMPT = {"model": "m", "prompt": "the renewal policy " * 10, "max_tokens": 6}
CHAT = {"model": "m", "max_tokens": 4, "messages": [
    {"role": "system", "content": "You answer at the desk."},
    {"role": "user", "content": "May I freeze my plan?"}]}
# Prefix level in bytes of the prompt; its hash ranks engine e2 first.
PREFIX_LEVEL = 120
EVENTS = ("request_done", "request_refused", "attempt_failed",
          "upstream_ejected", "upstream_leaving")


class GoldenTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.transcript = Transcript(self._testMethodName.removeprefix(
            "test_"))

    def finish(self, *routers):
        """Stops the routers so that all log lines are written, then checks
        the transcript."""
        for router in routers:
            self.assertEqual(router.stop(), 0)
            self.transcript.logs(router, *EVENTS)
        self.transcript.check(self)

    def request_stream(self, router, body, path="/v1/completions", **headers):
        self.transcript.ask("POST %s (streamed) %s" % (path, headers or ""))
        stream = router.stream(body, path=path, **headers).read()
        self.transcript.stream(stream)
        return stream

    def request_answer(self, router, body, path="/v1/completions", **more):
        self.transcript.ask("POST %s %s" % (path, more or ""))
        answer = router.complete(body, path=path, **more)
        self.transcript.answer(answer)
        return answer

    def test_plain_answer(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        self.request_answer(router, PROMPT)
        self.request_answer(router, CHAT, "/v1/chat/completions")
        self.finish(router)

    def test_stream(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        self.assertTrue(self.request_stream(router, PROMPT).whole)
        self.assertTrue(
            self.request_stream(router, CHAT, "/v1/chat/completions").whole)
        self.finish(router)

    def test_stream_cut_and_resumed_on_the_same_engine(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start()
        engine.control(cut_after=3, cuts=1)
        stream = self.request_stream(router, PROMPT)
        self.assertTrue(stream.whole)
        self.assertEqual(places(stream.tokens()), list(range(6)))
        self.assertEqual(engine.state()["runs"], 1)
        self.assertEqual(engine.state()["resumed"], 1)
        self.finish(router)

    def test_stream_continued_on_another_engine(self):
        first = self.cluster.engine("e1")
        second = self.cluster.engine("e2", refuse=1)
        router = self.cluster.start(eject_failures="1")
        first.control(die_after=3)
        # The dying process may still accept the connection of the resume,
        # so the reason of this attempt depends on a race.
        self.transcript.equal = [
            (r"reason=(cut|not_sent)(?= failures=2| next=elsewhere "
             r"upstream=e1 attempts=3)", "reason=gone")]
        # With a prefix level the hash, not a random draw, ranks the engines.
        body = dict(PROMPT, prompt_levels=[PREFIX_LEVEL])
        stream = self.request_stream(router, body)
        self.assertTrue(stream.whole, (stream.error(), router.lines))
        self.assertEqual(places(stream.tokens()), list(range(6)))
        self.assertEqual(second.state()["runs"], 1)
        self.finish(router)

    def test_caller_resumes_at_a_second_router(self):
        engine = self.cluster.engine("e1", decode_ms=20)
        one, two = self.cluster.start("r1", "r2")
        body = dict(PROMPT, max_tokens=30)
        self.transcript.ask("POST /v1/completions (streamed) to r1")
        stream = one.stream(body).read(3)
        one.kill()
        stream.read()
        self.assertFalse(stream.whole)
        self.transcript.add("(r1 is killed)")
        self.transcript.ask("POST /v1/completions (Last-Event-ID) to r2")
        remainder = two.stream(None, Last_Event_ID=stream.last_id()).read()
        self.transcript.stream(remainder, first=len(remainder.events) - 2)
        self.assertTrue(remainder.whole)
        self.assertEqual(places(stream.tokens() + remainder.tokens()),
                         list(range(30)))
        self.assertEqual(engine.state()["runs"], 1)
        self.transcript.check(self)

    def test_crossed_answer(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start()
        engine.control(mismatch=1)
        self.assertTrue(self.request_stream(router, PROMPT).whole)
        engine.control(cross=1)
        self.assertTrue(self.request_stream(router, CHAT,
                                        "/v1/chat/completions").whole)
        self.assertEqual(router.count("answer_mismatch_total"), 2)
        self.finish(router)

    def test_refusals_of_bad_requests(self):
        self.cluster.engine("e1")
        router = self.cluster.start(max_body="1KiB")
        chat = "/v1/chat/completions"
        self.request_answer(router, "{")
        self.request_answer(router, "[]")
        self.request_answer(router, '{"model":"m","model":"m","prompt":"x"}')
        self.request_answer(router, {"model": "m"})
        self.request_answer(router, {"model": 3, "prompt": "x"})
        self.request_answer(router, dict(PROMPT, max_tokens=0))
        self.request_answer(router, dict(PROMPT, max_tokens="6"))
        self.request_answer(router, dict(PROMPT, stream="yes"))
        self.request_answer(router, dict(PROMPT, prompt_levels=[5, 4]))
        self.request_answer(router, {"model": "m", "messages": []}, chat)
        self.request_answer(router, {"model": "m", "messages": [{"role": 1}]},
                            chat)
        self.request_answer(router, dict(PROMPT, model="nobody"))
        self.request_answer(router, dict(PROMPT, model="m:nobody"))
        self.request_answer(router, PROMPT, customer="nobody")
        self.request_answer(router, PROMPT, X_Request_Deadline_Ms="soon")
        self.request_answer(router, PROMPT, X_Priority="urgent")
        self.request_answer(router, PROMPT, X_Repeatable="perhaps")
        self.request_answer(router, PROMPT, Last_Event_ID="x.1")
        self.request_answer(router, PROMPT, "/v1/nothing")
        self.request_answer(router, PROMPT, "/v1/services/nobody/x")
        self.request_answer(router, None, method="GET")
        self.finish(router)

    def test_refusals_of_limits(self):
        engine = self.cluster.engine("e1", decode_ms=20)
        text = BASE_DECLARATIONS + self.cluster.upstreams + (
            "[customer slow]\nkey_hash = %s\nmax_priority = low\nrate = 1\n"
            "burst = 1\n\n[customer narrow]\nkey_hash = %s\n"
            "max_priority = low\nconcurrency = 1\n"
            % (key_hash("slow-key"), key_hash("narrow-key")))
        router = self.cluster.router()
        self.assertEqual(self.cluster.apply([router], text).returncode, 0)
        router.complete(PROMPT, customer="slow")
        self.request_answer(router, PROMPT, customer="slow")
        stream = router.stream(dict(PROMPT, max_tokens=500),
                               customer="narrow").read(1)
        self.request_answer(router, PROMPT, customer="narrow")
        stream.close()
        engine.control(silent=1)
        self.request_answer(router, dict(PROMPT, prompt="another " * 20),
                            X_Request_Deadline_Ms="150")
        self.transcript.check(self)

    def test_refusals_of_upstreams(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start(max_attempts="1")
        engine.control(refuse=1)
        self.request_answer(router, PROMPT)
        engine.control(mismatch=1)
        self.request_answer(router, PROMPT)
        engine.control(cut_after=3, cuts=1)
        self.assertTrue(self.request_stream(router, PROMPT).broken)
        engine.control(leaving=1)
        self.request_answer(router, PROMPT)
        self.request_answer(router, PROMPT)
        self.finish(router)

    def test_refusals_of_resumes(self):
        engine = self.cluster.engine("e1", decode_ms=20)
        router = self.cluster.start(resume_grace="0s")
        stream = router.stream(dict(PROMPT, max_tokens=100)).read(2)
        token = stream.last_id()
        self.request_stream(router, None, customer="other",
                            Last_Event_ID=token)
        stream.close()
        wait_for(lambda: engine.state()["cancelled"] == 1, "the cancellation")
        self.request_stream(router, None, Last_Event_ID=token)
        self.transcript.check(self)

    def test_refusals_without_a_configuration_and_while_stopping(self):
        self.cluster.engine("e1", decode_ms=20)
        router = self.cluster.router(stop_grace="0s")
        self.request_answer(router, PROMPT)
        self.transcript.ask("GET /readyz")
        self.transcript.answer(request(router.port, "GET", "/readyz"))
        self.assertEqual(self.cluster.apply([router]).returncode, 0)
        stream = router.stream(dict(PROMPT, max_tokens=60)).read(1)
        router.process.terminate()
        router.wait_event("router_stopping")
        self.request_answer(router, PROMPT)
        self.transcript.ask("GET /healthz")
        self.transcript.answer(request(router.port, "GET", "/healthz"))
        stream.read()
        self.assertTrue(stream.whole)
        self.finish(router)

    def has_run(self, router, path, key):
        answer = router.complete({"member": 7}, path=path,
                                 Idempotency_Key=key)
        return answer.error()["code"] == "already_ran"

    def test_plain_service(self):
        service = self.cluster.service("l1", "ledger")
        self.cluster.service("n1", "notes")
        router = self.cluster.start()
        renew = "/v1/services/ledger/renew"
        first_key, lost_key, refused_key = uuid7(), uuid7(), uuid7()
        self.request_answer(router, {"member": 7}, renew + "?x=1")
        self.request_answer(router, {"member": 7}, renew, Idempotency_Key="x")
        self.request_answer(router, {"member": 7}, renew,
                            Idempotency_Key=uuid7(age_seconds=7200))
        self.request_answer(router, {"member": 7}, renew + "?x=1",
                            Idempotency_Key=first_key)
        wait_for(lambda: self.has_run(router, renew, first_key),
                 "the record of the outcome")
        self.request_answer(router, {"member": 7}, renew,
                            Idempotency_Key=first_key)
        service.control(lose_answers=1)
        self.request_answer(router, {"member": 8}, renew,
                            Idempotency_Key=lost_key)
        self.request_answer(router, {"member": 8}, renew,
                            Idempotency_Key=lost_key)
        service.control(refuse=1)
        self.request_answer(router, {"member": 9}, renew,
                            Idempotency_Key=refused_key)
        self.cluster.log.control(down=1)
        self.request_answer(router, {"member": 9}, renew,
                            Idempotency_Key=uuid7(),
                            X_Request_Deadline_Ms="300")
        self.request_answer(router, {"note": 1}, "/v1/services/notes/add")
        self.assertEqual(set(service.call("GET", "/records").values()), {1})
        self.assertEqual(router.stop(), 0)
        self.transcript.check(self)


if __name__ == "__main__":
    unittest.main()
