"""Streams stay complete, in order and with their caller, whatever fails."""
import signal
import socket
import threading
import unittest

from cluster import (BASE_DECLARATIONS, HOST, Cluster, places, request, uuid7,
                     wait_for)
from faultproxy import FaultProxy


def body_of(prompt="a prompt " * 20, tokens=12, **more):
    return {"model": "m", "prompt": prompt, "max_tokens": tokens, **more}


class StreamTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def engine_behind_proxy(self, name, **options):
        engine = self.cluster.engine(name, address="127.0.0.1:1", **options)
        proxy = self.cluster.add(FaultProxy(engine.port))
        self.cluster.upstreams = self.cluster.upstreams.replace(
            "127.0.0.1:1\n", proxy.address + "\n")
        return engine, proxy

    def assert_whole(self, stream, tokens=12):
        self.assertEqual(stream.status, 200)
        self.assertTrue(stream.whole, stream.error())
        self.assertEqual(places(stream.tokens()), list(range(tokens)))

    def test_plain_and_streamed_answer_are_the_same_text(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        plain = router.complete(body_of())
        stream = router.stream(body_of()).read()
        self.assert_whole(stream)
        self.assertEqual(plain.json()["choices"][0]["text"],
                         "".join(stream.tokens()))

    def test_cut_within_an_answer_is_resumed(self):
        engine, proxy = self.engine_behind_proxy("e1")
        router = self.cluster.start()
        for size in (700, 800, 900, 1000, 1100):
            proxy.cut_after_bytes, proxy.cuts = size, 1
            self.assert_whole(router.stream(body_of("cut %d " % size * 20))
                              .read())
        self.assertEqual(proxy.injected, 5)
        self.assertEqual(engine.state()["runs"], 5)
        self.assertEqual(router.count("retries_total"), 5)

    def test_request_delivered_then_cut_runs_again_only_if_repeatable(self):
        engine, proxy = self.engine_behind_proxy("e1")
        router = self.cluster.start()
        proxy.cut_after_request = 1
        self.assert_whole(router.stream(body_of("one " * 20)).read())
        runs = engine.state()["runs"]
        proxy.cut_after_request = 1
        answer = router.complete(body_of("two " * 20), X_Repeatable="no",
                                 Idempotency_Key=uuid7())
        self.assertEqual(answer.status, 502)
        self.assertEqual(answer.error()["run"], "may_have_run")
        self.assertEqual(engine.state()["runs"], runs + 1)

    def test_black_hole_is_left_for_another_engine(self):
        _, proxy = self.engine_behind_proxy("e1")
        self.cluster.engine("e2")
        router = self.cluster.start(first_token_timeout="300ms")
        proxy.black_hole = True
        for number in range(16):  # some are routed to the first engine
            self.assert_whole(router.stream(body_of("hole %d " % number * 20))
                              .read())
        self.assertGreater(proxy.injected, 0)
        self.assertGreater(router.count('retries_total{reason="silent"'), 0)

    def test_swapped_answers_reach_neither_caller(self):
        _, proxy = self.engine_behind_proxy("e1", decode_ms=20)
        router = self.cluster.start()
        expected = [router.complete(body_of("q%d " % n * 20)).json()
                    for n in range(2)]
        proxy.swap = 1
        # The proxy swaps only the first answer of a connection, so these
        # requests need new connections, not idle ones.
        answers = [None, None]

        def ask(n):
            answers[n] = router.complete(body_of("q%d " % n * 20),
                                         X_Repeatable="no",
                                         Idempotency_Key=uuid7())

        threads = [threading.Thread(target=ask, args=(n,)) for n in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(proxy.injected, 1)
        for n in range(2):
            self.assertEqual(answers[n].status, 502)
            self.assertEqual(answers[n].error()["code"], "answer_mismatch")
        self.assertEqual(router.count("answer_mismatch_total"), 2)
        for n in range(2):
            again = router.complete(body_of("q%d " % n * 20)).json()
            self.assertEqual(again["choices"], expected[n]["choices"])

    def test_duplicated_bytes_do_not_reach_the_caller(self):
        _, proxy = self.engine_behind_proxy("e1")
        router = self.cluster.start()
        proxy.duplicate = 1
        self.assert_whole(router.stream(body_of()).read())
        self.assertEqual(proxy.injected, 1)

    def test_slow_and_late_network_only_delays(self):
        _, proxy = self.engine_behind_proxy("e1")
        router = self.cluster.start()
        proxy.delay, proxy.throttle = 0.02, 20000
        self.assert_whole(router.stream(body_of()).read())
        self.assertEqual(router.count("retries_total"), 0)

    def test_refused_connection_goes_elsewhere_even_if_not_repeatable(self):
        engine = self.cluster.engine("e1")
        self.cluster.engine("e2")
        router = self.cluster.start()
        engine.kill()
        for number in range(4):
            answer = router.complete(body_of("gone %d " % number * 20),
                                     X_Repeatable="no",
                                     Idempotency_Key=uuid7())
            self.assertEqual(answer.status, 200)

    def test_missing_end_mark_is_not_taken_for_the_end(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start()
        engine.control(no_end=1)
        self.assert_whole(router.stream(body_of()).read())
        self.assertEqual(engine.state()["resumed"], 1)

    def test_engine_that_falls_silent_is_asked_for_the_rest(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start(token_timeout="200ms",
                                    first_token_timeout="1h")
        engine.control(silent=1)
        self.assert_whole(router.stream(body_of()).read())
        self.assertEqual(engine.state()["runs"], 1)

    def test_frozen_engine_is_left_and_its_late_answer_goes_nowhere(self):
        first = self.cluster.engine("e1")
        second = self.cluster.engine("e2")
        router = self.cluster.start(first_token_timeout="300ms")
        first.signal(signal.SIGSTOP)
        texts = ["frozen %d " % n * 20 for n in range(4)]
        for text in texts:
            self.assert_whole(router.stream(body_of(text)).read())
        first.signal(signal.SIGCONT)
        wait_for(lambda: first.state()["waiting"] == 0,
                 "the engine's answers after it continues")
        for text in texts:
            self.assert_whole(router.stream(body_of(text)).read())
        self.assertGreater(second.state()["runs"], 0)

    def test_slow_caller_holds_the_engine_back_and_gets_all(self):
        self.cluster.engine("e1", decode_ms=1)
        router = self.cluster.start(stream_buffer="4KiB", token_timeout="60s")
        stream = router.stream(body_of(tokens=5000), receive_buffer=4096)
        stream.read(1)
        wait_for(lambda: router.count("streams_held_total") > 0,
                 "a stream held back")
        self.assert_whole(stream.read(), 5000)

    def test_caller_that_leaves_ends_the_stream_upstream(self):
        engine = self.cluster.engine("e1", decode_ms=20)
        router = self.cluster.start(resume_grace="0s")
        stream = router.stream(body_of(tokens=5000)).read(2)
        stream.close()
        wait_for(lambda: engine.state()["cancelled"] == 1, "the cancellation")
        wait_for(lambda: router.count("open_requests") == 0,
                 "the end of the request")
        self.assertEqual(engine.state()["running"], 0)

    def test_resume_elsewhere_is_not_undone_by_the_late_cancel(self):
        engine = self.cluster.engine("e1", decode_ms=20)
        one, two = self.cluster.start("r1", "r2", resume_grace="300ms")
        stream = one.stream(body_of(tokens=100)).read(3)
        stream.close()
        remainder = two.stream(None, Last_Event_ID=stream.last_id()).read()
        self.assertTrue(remainder.whole)
        self.assertEqual(places(stream.tokens() + remainder.tokens()),
                         list(range(100)))
        wait_for(lambda: one.count("open_requests") == 0,
                 "the end of the grace period")
        self.assertEqual(engine.state()["cancelled"], 0)

    def begin_half_closed(self, sock, tokens):
        text = ('{"model":"m","prompt":"half","max_tokens":%d,'
                '"stream":true}' % tokens)
        sock.sendall(("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                      "Authorization: Bearer acme-key\r\n"
                      "Content-Length: %d\r\n\r\n%s"
                      % (len(text), text)).encode())
        sock.recv(10)
        sock.shutdown(socket.SHUT_WR)

    def test_caller_that_half_closes_gets_the_whole_stream(self):
        engine = self.cluster.engine("e1", decode_ms=20)
        router = self.cluster.start(resume_grace="0s")
        with socket.create_connection((HOST, router.port)) as sock:
            self.begin_half_closed(sock, 100)
            received = b""
            while part := sock.recv(65536):
                received += part
        self.assertEqual(received.count(b"data: {"), 100)
        self.assertTrue(received.endswith(
            b"data: [DONE]\n\n\r\n0\r\n\r\n"), received[-60:])
        self.assertEqual(engine.state()["cancelled"], 0)
        self.assertEqual(router.count("open_requests"), 0)

    def test_caller_that_closes_after_its_sending_side_is_noticed(self):
        engine = self.cluster.engine("e1", decode_ms=20)
        router = self.cluster.start(resume_grace="0s")
        with socket.create_connection((HOST, router.port)) as sock:
            self.begin_half_closed(sock, 5000)
        wait_for(lambda: engine.state()["cancelled"] == 1, "the cancellation")
        self.assertEqual(router.count("open_requests"), 0)

    def test_sender_that_stops_is_closed(self):
        self.cluster.engine("e1")
        router = self.cluster.start(read_timeout="200ms")
        for part in (b"POST /v1/comp", b"POST /v1/completions HTTP/1.1\r\n"
                     b"Content-Length: 100\r\n\r\n{"):
            with socket.create_connection((HOST, router.port)) as sock:
                sock.sendall(part)
                while sock.recv(65536):
                    pass
        self.assertEqual(router.complete(body_of()).status, 200)

    def test_stop_of_a_router_cuts_off_no_stream(self):
        self.cluster.engine("e1", decode_ms=10)
        router = self.cluster.start()
        streams = [router.stream(body_of("stop %d " % n * 20, 100)).read(1)
                   for n in range(5)]
        router.process.terminate()
        for stream in streams:
            self.assert_whole(stream.read(), 100)
        self.assertEqual(router.stop(), 0)

    def test_many_streams_over_a_bad_network_are_each_whole(self):
        _, proxy = self.engine_behind_proxy("e1")
        self.engine_behind_proxy("e2")
        router = self.cluster.start(retry_percent="100", eject_failures="1000")
        bodies = [body_of("many %d " % n * 20, 20) for n in range(40)]
        expected = [router.complete(body).json()["choices"][0]["text"]
                    for body in bodies]
        proxy.cut_after_bytes, proxy.cuts = 2000, 15
        streams = [router.stream(body) for body in bodies]
        for stream, text in zip(streams, expected):
            self.assert_whole(stream.read(), 20)
            self.assertEqual("".join(stream.tokens()), text)
        self.assertGreater(proxy.injected, 0)

    def test_caches_are_kept_apart_by_customer_and_weights(self):
        engine = self.cluster.engine("e1")
        # No router's order may change the weights during the test.
        router = self.cluster.start(order_timeout="1h")
        shared = "the same words for all " * 20
        for customer in ("acme", "other", "acme"):
            router.complete(body_of(shared, user=customer),
                            customer=customer)
        state = engine.state()
        self.assertGreater(state["cached_tokens"], 0)
        self.assertEqual(state["violations"], 0)
        engine.control(weights="v2")
        self.assertEqual(router.complete(body_of(shared, user="acme"))
                         .error()["run"], "not_run")
        text = self.cluster.upstreams
        done = self.cluster.apply([router], BASE_DECLARATIONS.replace(
            "weights = v1", "weights = v2") + text)
        self.assertEqual(done.returncode, 0, done.stderr)
        before = engine.state()["cached_tokens"]
        self.assertEqual(router.complete(body_of(shared, user="acme"))
                         .status, 200)
        self.assertEqual(engine.state()["cached_tokens"], before)
        self.assertEqual(engine.state()["violations"], 0)

    def test_prompt_beyond_any_watermark_is_taken(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        answer = router.complete(body_of("history " * 80000))
        self.assertEqual(answer.status, 200)

    def test_leaving_engine_gets_no_new_work(self):
        first = self.cluster.engine("e1")
        self.cluster.engine("e2")
        router = self.cluster.start()
        request(self.cluster.instances.port, "POST", "/instances",
                {"name": "e1", "state": "leaving"})
        router.wait_event("upstream_leaving")
        runs = first.state()["runs"]
        for number in range(10):
            answer = router.complete(body_of("leave %d " % number * 20))
            self.assertEqual(answer.status, 200)
        self.assertEqual(first.state()["runs"], runs)


if __name__ == "__main__":
    unittest.main()
