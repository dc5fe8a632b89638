"""Streams whose engine falls silent, and what follows it."""
import signal
import threading
import time
import unittest

import test_fleet
from cluster import Cluster, wait_for
from test_fleet import EVENTS, Gate


def name_weights(fleet):
    fleet.store.put("keyed.op", "version/m", {"model": "m", "version": 2})


class EmptyRestTest(test_fleet.SilentStreamTest):
    """Symptom: a caller has all events of a stream, but its end comes only at
    the deadline, as a cut.
    Sequence: the engine falls silent behind its last event; the engine that is
    asked beside it answers that there is no rest.
    Cause: an answer without an event was taken for a try that failed.
    Settled by: stream_stays with reason=whole, and no request_done until the
    deadline.
    """

    def test_a_stream_whose_rest_is_empty_is_whole(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        for engine in self.others:
            engine.pieces = 1  # of which the caller has the only one
        self.fall_silent()
        wait_for(lambda: [e for e in self.others if e.seen],
                 "another engine is asked")
        self.reader.join(5)
        self.assertFalse(self.reader.is_alive())  # before the first speaks
        # Its line is written after the end of the answer.
        done = wait_for(lambda: self.router.events("request_done"),
                        "request_done", limit=1)
        self.speak_again()
        self.reader.join()
        self.assertEqual([d["outcome"] for d in done], ["whole"])
        self.assertEqual(self.answers[0].body, b"id: 0\ndata: piece-0\n\n")


class MoveAfterSilenceTest(test_fleet.SilentStreamTest):
    """Symptom: a stream stays at an engine that is to load weights, and pauses
    there, though its route allows another attempt.
    Sequence: the engine was silent for a moment before; the others refused the
    rest as not run; it went on.
    Cause: the stream was taken from those that may be moved at the first try
    beside its engine, whatever that was for.
    Settled by: stream_stays with reason=not_run, later order_sent for its
    engine, and no second try.
    """

    def test_a_stream_leaves_a_loading_engine_that_was_silent(self):
        self.start_stream("/ask/x", token_timeout="100ms", eject_time="10ms")
        for engine in self.others:
            engine.shed = True
        self.fall_silent()
        self.router.wait_event("stream_stays")
        self.first.probed.set()
        self.first.gate.open(1)
        self.router.wait_event("upstream_reached")  # else it stays silent
        for engine in self.others:
            engine.shed = False
            engine.gate.open()
        name_weights(self.fleet)
        self.reader.join(5)
        self.first.gate.open()
        self.assert_whole()
        moved = self.router.events("stream_moved")
        self.assertEqual([m["reason"] for m in moved], ["unloading"])


class NamedEventsTest(test_fleet.StreamTest):
    """Symptom: a caller has an event twice.
    Sequence: a stream whose event ids are no numbers is tried at another
    engine beside its own, which sends one more event; both engines send it.
    Cause: only numbers tell that an event has passed.
    Settled by: the same id twice in what the caller reads.
    """

    def start_stream(self, path, **settings):
        engine = self.fleet.engine

        def named(name):
            made = engine(name)
            made.stream = lambda call, headers: self.stream(made, call,
                                                            headers)
            return made
        self.fleet.engine = named
        super().start_stream(path, **settings)

    def stream(self, engine, call, headers):
        call.send_response(200)
        for name, value in headers.items():
            call.send_header(name.replace("_", "-"), value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        last = call.headers.get("Last-Event-Id", "k-")[2:]
        for place in range(int(last) + 1 if last else 0, engine.pieces):
            engine.gate.wait(60)
            piece = b"id: k-%d\ndata: piece-%d\n\n" % (place, place)
            call.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        call.wfile.write(b"0\r\n\r\n")

    def test_a_stream_whose_events_have_no_numbers_stays(self):
        self.start_stream("/ask/x")
        name_weights(self.fleet)
        wait_for(lambda: all(e.version == 2 for e in self.engines), "loaded")
        for engine in self.engines:
            engine.gate.open()
        self.reader.join()
        self.assertEqual(self.answers[0].body.count(b"data: "), 5)
        self.assertEqual([e.seen for e in self.others], [[], [], []])


class CountedTest(test_fleet.SilentStreamTest):
    """Symptom: streams leave silent engines, and no retry for silence is
    counted.
    Sequence: an engine is silent; its stream is tried at another one.
    Cause: all tries beside an attempt were counted as those of streams whose
    engine is to load weights.
    Settled by: retries_total with reason="moved" alone.
    """

    def test_a_try_beside_a_silent_engine_counts_as_one_for_silence(self):
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
    """Symptom: streams that began in time are told of as late from the first
    event on, and first_token_us has more entries than there are streams.
    Sequence: a stream goes on at another engine seconds later.
    Cause: the first event of each attempt was taken for the first one that the
    caller gets.
    Settled by: request_done with late=first and a first_us that is longer than
    what the caller waited.
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
    """Symptom: a stream is not moved, and events are counted as too large that
    are not.
    Sequence: it is to move; the next engine has many events ready and sends
    them in one piece.
    Cause: the whole piece was held against the bound of one event.
    Settled by: stream_stays with reason=oversized; each event is below
    event_max.
    """

    def test_events_in_one_piece_are_bounded_one_by_one(self):
        self.start_stream("/ask/x", event_max="1024B")
        for engine in self.others:
            engine.stream = self.in_one_piece
        name_weights(self.fleet)
        wait_for(lambda: self.router.events("stream_moved") or
                 self.router.events("stream_stays"), "it is tried")
        self.first.gate.open()
        self.reader.join()
        self.assertEqual(self.router.events("stream_stays"), [])
        self.assertTrue(self.answers[0].body.endswith(b"x\n\n"))

    def in_one_piece(self, call, headers):
        call.send_response(200)
        for name, value in headers.items():
            call.send_header(name.replace("_", "-"), value)
        call.send_header("Transfer-Encoding", "chunked")
        call.end_headers()
        piece = b"".join(b"id: %d\ndata: %s\n\n" % (i, b"x" * 400)
                         for i in range(1, 5))
        call.wfile.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(piece), piece))


class BesideTest(test_fleet.SilentStreamTest):
    """Another engine is asked beside the silent one, and something else
    happens before either has spoken."""

    def ask_beside(self, **settings):
        settings = {"token_timeout": "100ms", **settings}
        self.start_stream("/ask/x", **settings)
        self.fall_silent()
        return wait_for(lambda: [e for e in self.others if e.seen],
                        "another engine is asked")[0]

    def test_the_silent_engine_dies(self):
        second = self.ask_beside()
        self.first.cut_after = 1
        self.first.gate.open()
        self.router.wait_event("stream_moved")
        second.gate.open()
        self.assert_whole()
        self.assertEqual(self.router.events("attempt_failed"), [])

    def test_the_other_engine_dies(self):
        second = self.ask_beside()
        second.cut_after = 0
        second.gate.open()
        self.router.wait_event("stream_stays")
        self.speak_again()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_the_other_engine_falls_silent_too(self):
        self.ask_beside(first_token_timeout="300ms")
        stays = self.router.wait_event("stream_stays")[0]
        self.assertEqual(stays["reason"], "silent")
        self.speak_again()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_the_silent_engine_is_to_load_weights(self):
        second = self.ask_beside()
        name_weights(self.fleet)
        wait_for(lambda: all(e.version == 2 for e in self.others), "loaded")
        second.gate.open()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_a_loading_engine_falls_silent(self):
        self.start_stream("/ask/x", token_timeout="100ms")
        name_weights(self.fleet)
        second = wait_for(lambda: [e for e in self.others if e.seen],
                          "another engine is asked")[0]
        self.fall_silent()
        time.sleep(2)  # its silence is noticed
        second.gate.open()
        self.assert_whole()
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_both_engines_speak_at_once(self):
        second = self.ask_beside()
        for engine in (self.first, second):
            engine.gate.open()
        self.assert_whole()

    def test_the_deadline_passes(self):
        ask = self.fleet.ask
        self.fleet.ask = lambda router, path: ask(router, path, wait_ms=5000)
        self.ask_beside()
        self.reader.join()
        done = self.router.events("request_done")
        self.assertEqual([d["outcome"] for d in done], ["deadline_passed"])

    def test_the_router_stops(self):
        second = self.ask_beside()
        self.router.signal(signal.SIGTERM)
        time.sleep(0.5)
        second.gate.open()
        self.assert_whole()


class EjectedWhileKeptTest(unittest.TestCase):
    """Symptom, on the router's own form: requests are sent to an engine that
    stands still for as long as it does.
    Sequence: the requests may run only once, or the retry allowance is spent;
    the engine falls silent; each request waits there for its deadline.
    Cause: an attempt that is kept although its engine is silent was no failure
    of that engine, so that it was never ejected.
    Settled by: no upstream_ejected beside requests that end at their deadline.
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
