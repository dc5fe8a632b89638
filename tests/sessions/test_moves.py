"""Streams whose engine falls silent or is to load weights: hedges, moves."""
import signal
import threading
import time
import unittest

import test_fleet
from cluster import Cluster, wait_for
from test_fleet import EVENTS, Gate


def declare_new_weights(fleet):
    fleet.store.put("keyed.op", "version/m", {"model": "m", "version": 2})


class EmptyRestTest(test_fleet.SilentStreamTest):
    """A caller had all events, but its stream ended as cut at the deadline.

    The engine falls silent after its last event, and the hedged engine
    answers that nothing remains. An answer without an event was treated as a
    failed attempt: stream_stays with reason=whole, and no request_done until
    the deadline.
    """

    def test_a_stream_whose_rest_is_empty_is_whole(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        for engine in self.others:
            engine.pieces = 1  # the caller already has this one event
        self.fall_silent()
        wait_for(lambda: [e for e in self.others if e.seen],
                 "a request at another engine")
        self.reader.join(5)
        # The answer ends while the first engine is still silent.
        self.assertFalse(self.reader.is_alive())
        # The router logs request_done after the end of the answer.
        done = wait_for(lambda: self.router.events("request_done"),
                        "request_done", limit=1)
        self.speak_again()
        self.reader.join()
        self.assertEqual([d["outcome"] for d in done], ["whole"])
        self.assertEqual(self.answers[0].body, b"id: 0\ndata: piece-0\n\n")


class MoveAfterSilenceTest(test_fleet.SilentStreamTest):
    """A stream stayed at an engine that is to load weights, and paused there.

    The engine was silent for a moment before, the others refused the
    remainder as not run, and the engine continued. Any hedge excluded the
    stream from later moves, whatever its reason, though the route allowed
    another attempt: stream_stays with reason=not_run, later order_sent for
    its engine, and no second hedge.
    """

    def test_a_stream_leaves_a_loading_engine_that_was_silent(self):
        self.start_stream("/ask/x", token_timeout="100ms", eject_time="10ms")
        for engine in self.others:
            engine.shed = True
        self.fall_silent()
        self.router.wait_event("stream_stays")
        self.first.probed.set()
        self.first.gate.open(1)
        # Until then the router still counts the engine as silent.
        wait_for(lambda: self.first.name in [
            event["upstream"] for event in
            self.router.events("upstream_reached")], "an answer to a probe")
        for engine in self.others:
            engine.shed = False
            engine.gate.open()
        declare_new_weights(self.fleet)
        self.reader.join(5)
        self.first.gate.open()
        self.assert_whole()
        moved = self.router.wait_event("stream_moved")
        self.assertEqual([m["reason"] for m in moved], ["unloading"])


class SilentStartTest(test_fleet.SilentStreamTest):
    """An engine falls silent before it has confirmed its start.

    Its first event was passed on as that of an unknown start, which no other
    engine can go on with: attempt_kept with reason=no_upstream, and the stream
    was cut at its deadline.
    """

    SERVED_S = 8  # well before the deadline

    def start_stream(self, path, **settings):
        engine = self.fleet.engine

        def silent_engine(name):
            stand_in = engine(name)
            stand_in.probed = threading.Event()
            self.addCleanup(stand_in.probed.set)
            return stand_in
        self.fleet.engine = silent_engine
        super().start_stream(path, **settings)
        for engine in self.others:
            engine.probed.set()
            engine.gate.open()

    def test_a_stream_begins_elsewhere(self):
        self.start_stream("/ask/x")
        self.reader.join(self.SERVED_S)
        self.assertFalse(self.reader.is_alive())
        self.assert_whole()

    def test_a_stream_waits_for_the_only_engine(self):
        self.ENGINES = 1
        self.start_stream("/ask/x")
        self.router.wait_event("upstream_start_unproven")
        self.speak_again()
        self.reader.join(self.SERVED_S)
        self.assertFalse(self.reader.is_alive())
        self.assert_whole()


class UnmarkedEndTest(test_fleet.StreamTest):
    # A stream moved, and could not end where its new engine marked no end.
    def test_a_framed_stream_stays_where_the_next_engine_marks_no_end(self):
        self.start_stream("/ask/x")
        for engine in self.others:
            engine.framed = False
            engine.gate.open()
        declare_new_weights(self.fleet)
        stays = self.router.wait_event("stream_stays")[0]
        self.assertEqual(stays["reason"], "end_not_marked")
        self.first.gate.open()
        self.assert_whole()


class NamedEventsTest(test_fleet.StreamTest):
    """A caller received an event twice.

    A stream whose event ids are not numbers is hedged; the other engine sends
    one more event, and so does its own engine. Only numeric ids let the
    router recognize an event that it has already relayed.
    """

    def start_stream(self, path, **settings):
        engine = self.fleet.engine

        def engine_with_named_ids(name):
            stand_in = engine(name)
            stand_in.stream = lambda call, headers: self.stream(
                stand_in, call, headers)
            return stand_in
        self.fleet.engine = engine_with_named_ids
        super().start_stream(path, **settings)

    def stream(self, engine, call, headers):
        call.send_response(200)
        for name, value in headers.items():
            call.send_header(name.replace("_", "-"), value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        last = call.headers.get("Last-Event-Id", "k-")[2:]
        for number in range(int(last) + 1 if last else 0, engine.pieces):
            engine.gate.wait(60)
            chunk = b"id: k-%d\ndata: piece-%d\n\n" % (number, number)
            call.wfile.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        call.wfile.write(b"0\r\n\r\n")

    def test_a_stream_whose_events_have_no_numbers_stays(self):
        self.start_stream("/ask/x")
        declare_new_weights(self.fleet)
        wait_for(lambda: all(e.version == 2 for e in self.engines), "the load")
        for engine in self.engines:
            engine.gate.open()
        self.reader.join()
        self.assertEqual(self.answers[0].body.count(b"data: "), 5)
        self.assertEqual([e.seen for e in self.others], [[], [], []])


class CountedTest(test_fleet.SilentStreamTest):
    """Streams left silent engines, but no retry for silence was counted.

    Every hedge was counted as one for an engine that is to load weights:
    retries_total showed reason="moved" alone.
    """

    def test_a_hedge_for_a_silent_engine_is_counted_as_silent(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        for engine in self.others:
            engine.gate.open()
        self.fall_silent()
        self.assert_whole()
        port = int(self.router.events("router_started")[0]["operator_port"])
        counters = self.fleet.get(port, "/metrics").body
        self.assertIn(b'retries_total{reason="silent"', counters)
        self.assertNotIn(b'retries_total{reason="moved"', counters)


class FirstOnceTest(test_fleet.SilentStreamTest):
    """Streams that began in time were logged as late from the first event.

    Another engine continues the stream seconds later. The first event of each
    attempt was treated as the first event that the caller receives, so
    request_done had late=first and a first_us longer than the caller's wait,
    and first_token_us had more entries than there were streams.
    """

    def test_the_first_event_of_a_stream_is_that_of_its_first_attempt(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        for engine in self.others:
            engine.gate.open()
        self.fall_silent()
        self.assert_whole()
        self.router.wait_event("stream_moved")
        done = self.router.wait_event("request_done")[0]
        self.assertLess(int(done["first_us"]), int(done["pause_us"]))
        self.assertEqual(done["late"], "pause")
        port = int(self.router.events("router_started")[0]["operator_port"])
        self.assertIn(b"first_token_us_count 1\n",
                      self.fleet.get(port, "/metrics").body)


class SeveralEventsTest(test_fleet.StreamTest):
    """A stream was not moved, and small events were counted as too large.

    The next engine has many events ready and sends them in one chunk. The
    size of the whole chunk was compared with event_max, although each event
    is smaller: stream_stays with reason=oversized.
    """

    def test_events_in_one_piece_are_bounded_one_by_one(self):
        self.start_stream("/ask/x", event_max="1024B")
        for engine in self.others:
            engine.stream = self.send_one_chunk
        declare_new_weights(self.fleet)
        wait_for(lambda: self.router.events("stream_moved") or
                 self.router.events("stream_stays"), "the result of the move")
        self.first.gate.open()
        self.reader.join()
        self.assertEqual(self.router.events("stream_stays"), [])
        self.assertTrue(self.answers[0].body.endswith(b"x\n\n"))

    def send_one_chunk(self, call, headers):
        call.send_response(200)
        for name, value in headers.items():
            call.send_header(name.replace("_", "-"), value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        chunk = b"".join(b"id: %d\ndata: %s\n\n" % (i, b"x" * 400)
                         for i in range(1, 5))
        call.wfile.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(chunk), chunk))


class BesideTest(test_fleet.SilentStreamTest):
    """Events during a hedge, before either engine has sent an event."""

    def start_hedge(self, **settings):
        settings = {"token_timeout": "100ms", **settings}
        self.start_stream("/ask/x", **settings)
        self.fall_silent()
        return wait_for(lambda: [e for e in self.others if e.seen],
                        "a request at another engine")[0]

    def test_the_silent_engine_dies(self):
        second = self.start_hedge()
        self.first.cut_after = 1
        self.first.gate.open()
        self.router.wait_event("stream_moved")
        second.gate.open()
        self.assert_whole()
        self.assertEqual(self.router.events("attempt_failed"), [])

    def test_the_other_engine_dies(self):
        second = self.start_hedge()
        second.cut_after = 0
        second.gate.open()
        self.router.wait_event("stream_stays")
        self.speak_again()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_the_other_engine_falls_silent_too(self):
        self.start_hedge(first_token_timeout="300ms")
        stays = self.router.wait_event("stream_stays")[0]
        self.assertEqual(stays["reason"], "silent")
        self.speak_again()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_the_silent_engine_is_to_load_weights(self):
        second = self.start_hedge()
        declare_new_weights(self.fleet)
        wait_for(lambda: all(e.version == 2 for e in self.others), "the load")
        second.gate.open()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_a_loading_engine_falls_silent(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        declare_new_weights(self.fleet)
        second = wait_for(lambda: [e for e in self.others if e.seen],
                          "a request at another engine")[0]
        self.fall_silent()
        time.sleep(2)  # the router detects the silence
        second.gate.open()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_both_engines_speak_at_once(self):
        second = self.start_hedge()
        for engine in (self.first, second):
            engine.gate.open()
        self.assert_whole()

    def test_the_deadline_passes(self):
        ask = self.fleet.ask
        self.fleet.ask = lambda router, path: ask(router, path, wait_ms=5000)
        self.start_hedge()
        self.reader.join()
        done = self.router.wait_event("request_done")
        self.assertEqual([d["outcome"] for d in done], ["deadline_passed"])

    def test_the_router_stops(self):
        second = self.start_hedge()
        self.router.signal(signal.SIGTERM)
        time.sleep(0.5)
        second.gate.open()
        self.assert_whole()


class EjectedWhileKeptTest(unittest.TestCase):
    """Requests went to a stalled engine, on the native platform form.

    The requests may run only once, or the retry allowance is spent, so each
    one waits at the silent engine until its deadline. An attempt that is kept
    despite the silence was not counted as a failure of the engine, so the
    engine was never ejected (no upstream_ejected event) while it stalled.
    """

    def test_a_silent_engine_is_ejected_though_its_requests_wait(self):
        cluster = Cluster()
        self.addCleanup(cluster.close)
        engine = cluster.engine("e1", decode_ms=20)
        router = cluster.start(first_token_timeout="300ms", retry_percent="0")
        engine.signal(signal.SIGSTOP)
        callers = [threading.Thread(target=router.complete, args=(
            {"model": "m", "prompt": "p%d " % i * 20, "max_tokens": 3},),
            kwargs={"X_Request_Deadline_Ms": "8000"}) for i in range(3)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        ejected = router.events("upstream_ejected")
        self.assertEqual([e["reason"] for e in ejected], ["silent"])


if __name__ == "__main__":
    unittest.main()
