"""Requests that are lost at engines that work."""
import threading
import unittest

from cluster import wait_for
from fleet import Upstream

import test_fleet
from test_fleet import EVENTS

WAIT_MS = 6000  # of a caller


class ListingEngine(Upstream):
    """An engine whose reports list the requests that it runs. It may lose the
    first request that comes: its connection stays open, and nothing more is
    sent on it."""

    def __init__(self, *arguments, **more):
        self.keeps = None   # number of events sent of the request that it loses
        self.waits = False  # the request waits behind others
        self.loads = False  # an order is in progress
        self.made = None    # number of events made of it while it runs
        self.went_on = threading.Event()
        super().__init__(*arguments, **more)

    def report(self, call):
        self.reports += 1
        call.reply(200, {"models": [{"name": self.model,
                                     "version": self.version}],
                         "born": self.born, "busy": self.loads,
                         "call_seq": self.sequence, "queued": int(self.waits),
                         "runs": [] if self.made is None else [
                             [seen["X-Request-Id"], 300, self.made, 5]
                             for seen in self.seen[:1]]})

    def handle(self, call):
        if call.path == "/v1/report":
            call.body()
            self.report(call)
        else:
            super().handle(call)

    def run(self, call, body, request_id):
        if self.keeps is None or len(self.seen) > 1:
            super().run(call, body, request_id)
            return
        write = call.wfile.write
        call.wfile.write = lambda part: self.write_some(write, part)
        if self.keeps == 0:
            self.went_on.wait(60)
        super().run(call, body, request_id)

    def write_some(self, write, part):
        """Waits behind the events that it keeps."""
        if b"id: %d\n" % self.keeps in part:
            self.went_on.wait(60)
        write(part)


class LostAttemptTest(test_fleet.FleetTest):
    """Callers of a stream that may go on waited until their deadlines, beside
    engines that were free: its engine had answered its probe, and counted as
    busy."""

    def start(self, **faults):
        self.engines = [self.fleet.add(ListingEngine(
            self.fleet.store, "e%d" % i, "engines", "m")) for i in range(4)]
        for engine in self.engines:
            self.addCleanup(engine.went_on.set)
            for name, value in faults.items():
                setattr(engine, name, value)
        self.router = self.fleet.start(
            probe_silent="yes", first_token_timeout="600ms",
            token_timeout="300ms")
        self.wait_listed(self.router, 4)

    def ask(self, path):
        return self.fleet.ask(self.router, path, wait_ms=WAIT_MS)

    def ask_beside(self, path="/ask/x"):
        """Returns a thread that asks, and the engine that has its request."""
        self.answers = []
        reader = threading.Thread(
            target=lambda: self.answers.append(self.ask(path)))
        reader.start()
        engine = wait_for(lambda: [e for e in self.engines if e.seen],
                          "the request at an engine")[0]
        return reader, engine

    def lose_once(self, keeps, made=None):
        """The engine that gets the request loses it; the others do not."""
        self.start(keeps=keeps, made=made)
        reader, engine = self.ask_beside()
        for other in self.engines:
            if other is not engine:
                other.keeps = None
        reader.join()
        self.assertEqual(self.answers[0].body, EVENTS)
        lost = self.router.events("attempt_lost")
        self.assertEqual([(e["upstream"], e["events"]) for e in lost],
                         [(engine.name, str(keeps))])
        self.assertEqual(sum(len(e.seen) for e in self.engines), 2)

    def test_before_the_first_event(self):
        self.lose_once(0)

    def test_behind_some_events(self):
        self.lose_once(2)

    def test_while_the_engine_makes_more_events(self):
        self.lose_once(2, made=3)

    def assert_kept(self, path="/ask/x", reports=3, **faults):
        """The request stays, though the router has read some reports. One of
        them is that of the connection."""
        self.start(**faults)
        reader, engine = self.ask_beside(path)
        wait_for(lambda: engine.reports >= reports, "reports")
        engine.went_on.set()
        reader.join()
        self.assertEqual(self.answers[0].body, EVENTS)
        self.assertEqual(sum(len(e.seen) for e in self.engines), 1)
        self.assertEqual(self.router.events("attempt_lost"), [])

    def test_a_request_that_waits_is_kept(self):
        self.assert_kept(keeps=0, waits=True)

    def test_a_request_at_an_engine_that_loads_is_kept(self):
        self.assert_kept(keeps=0, loads=True)

    def test_a_stream_whose_engine_is_slow_is_kept(self):
        self.assert_kept(keeps=2, made=2)

    def test_a_stream_that_may_not_go_on_is_kept(self):
        self.assert_kept("/ask/once/x", reports=1, keeps=2)


if __name__ == "__main__":
    unittest.main()
