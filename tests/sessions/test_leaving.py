"""Upstreams that announce in their answers that they leave.

An engine announced this in the head of a stream while the store was
unavailable. The router that had relayed the answer sent it requests for
another 12.8 s:

     7.5 s  the engine begins to leave; the store accepts its entry at 20.3 s
     7.8 s  a stream, whose head contains the announcement, ends complete
    20.6 s  the router sends a new stream to the engine
"""
import signal
import threading
import time
import unittest

from cluster import wait_for
from fleet import Upstream
from pressing import PressingTest

# Time in which the announcement spreads and earlier requests arrive.
GRACE_S = 0.5


class LeavingTest(PressingTest):
    def announce_leaving(self, upstream, routers, path="/ask/x"):
        """Sends requests until each router has relayed an answer in which
        `upstream` announces that it leaves."""
        upstream.leaving = True
        arrivals_before = len(upstream.arrivals)
        others = [part for part in self.fleet.parts
                  if isinstance(part, Upstream) and part is not upstream
                  and part.service == upstream.service and not part.shed]
        for other in others:
            other.shed = True
        for router in routers:
            wait_for(lambda r=router: self.ask(r, path) and
                     self.has_noted(r, upstream), "told")
        for other in others:
            other.shed = False
        self.assertGreater(len(upstream.arrivals), arrivals_before)

    def has_noted(self, router, upstream):
        return any(line["upstream"] == upstream.name
                   for line in router.events("upstream_leaving"))

    def check_no_new_work(self, upstream, routers, path="/ask/x", seconds=1.5):
        time.sleep(GRACE_S)
        since = time.monotonic()
        answers = self.press(routers, seconds, path)
        self.assertEqual([t for t in upstream.arrivals if t > since], [])
        return answers


class ToldTest(LeavingTest):
    def test_no_new_stream_goes_to_an_engine_that_said_it_leaves(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start()
        self.fleet.store.down = True
        self.announce_leaving(first, routers)
        answers = self.check_no_new_work(first, routers)
        self.assertEqual({a.status for a in answers}, {200})

    def test_no_new_call_goes_to_a_service_that_said_it_leaves(self):
        first = self.fleet.plain("p1")
        second = self.fleet.plain("p2")
        routers = self.start()
        second.pause_s = 0.1
        self.announce_leaving(first, routers, "/write/x")
        answers = self.check_no_new_work(first, routers, "/write/x")
        self.assertEqual({a.status for a in answers}, {200})

    def test_a_refusal_says_it_as_well(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start()
        first.shed = True
        self.announce_leaving(first, routers)
        answers = self.check_no_new_work(first, routers)
        self.assertEqual({a.status for a in answers}, {200})

    def test_a_failure_of_the_upstream_says_it_as_well(self):
        first = self.fleet.plain("p1")
        self.fleet.plain("p2")
        routers = self.start()
        first.status = 500
        self.announce_leaving(first, routers, "/read/x")
        answers = self.check_no_new_work(first, routers, "/read/x")
        self.assertEqual({a.status for a in answers}, {200})

    def test_an_answer_without_a_signature_says_it_as_well(self):
        first = self.fleet.plain("p1")
        self.fleet.plain("p2")
        routers = self.start()
        first.sealed = False
        self.announce_leaving(first, routers, "/read/x")
        self.check_no_new_work(first, routers, "/read/x")

    def test_leaving_counts_from_the_head_and_the_stream_ends_whole(self):
        first = self.fleet.engine("e1")
        second = self.fleet.engine("e2")
        router = self.start()[0]
        for engine in (first, second):
            engine.gate = threading.Event()
        answers = []
        thread = threading.Thread(
            target=lambda: answers.append(self.ask(router)))
        first.leaving = second.leaving = True
        thread.start()
        wait_for(lambda: first.seen or second.seen, "under way")
        leaver, other = (first, second) if first.seen else (second, first)
        other.leaving = False
        other.gate.set()
        self.check_no_new_work(leaver, [router], seconds=0.7)
        leaver.gate.set()
        thread.join()
        self.assertEqual(answers[0].status, 200)
        self.assertIn(b"piece-4", answers[0].body)

    def test_a_closed_connection_alone_says_nothing(self):
        first = self.fleet.plain("p1")
        router = self.start()[0]
        first.naming = lambda **headers: dict(headers, Connection="close")
        self.assertEqual({a.status for a in self.press(
            [router], 1, "/read/x")}, {200})


class SpreadTest(LeavingTest):
    def test_one_router_is_told_and_none_sends_there(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start(3)
        self.fleet.store.down = True
        self.announce_leaving(first, routers[:1])
        answers = self.check_no_new_work(first, routers)
        self.assertEqual({a.status for a in answers}, {200})

    def test_a_router_that_starts_knows_it_when_it_is_ready(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start(2)
        self.announce_leaving(first, routers[:1])
        late = self.join(routers)
        wait_for(lambda: self.fleet.is_ready(late), "ready")
        since = time.monotonic()
        self.press([late], 1)
        self.assertEqual([t for t in first.arrivals if t > since], [])

    def test_a_router_that_was_paused_meanwhile_hears_of_it(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start(2)
        routers[1].signal(signal.SIGSTOP)
        self.announce_leaving(first, routers[:1])
        time.sleep(1)
        routers[1].signal(signal.SIGCONT)
        self.check_no_new_work(first, routers)

    def test_a_third_of_a_service_leaves(self):
        engines = [self.fleet.engine("e%d" % i) for i in range(9)]
        routers = self.start(3)
        self.fleet.store.down = True
        for engine in engines[:3]:
            self.announce_leaving(engine, routers[:1])
        time.sleep(GRACE_S)
        since = time.monotonic()
        answers = self.press(routers, 1.5)
        self.assertEqual({a.status for a in answers}, {200})
        for engine in engines[:3]:
            self.assertEqual([t for t in engine.arrivals if t > since], [])

    def test_the_update_outlasts_the_router_that_received_it(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start(3)
        self.announce_leaving(first, routers[:1])
        time.sleep(GRACE_S)
        routers[0].kill()
        self.check_no_new_work(first, routers[1:])


class EndTest(LeavingTest):
    def test_an_entry_that_reads_ready_does_not_end_leaving(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start()
        self.announce_leaving(first, routers)
        first.unlist()
        routers[0].wait_event("upstream_gone")
        first.list()
        time.sleep(GRACE_S)
        self.check_no_new_work(first, routers)

    def test_a_new_start_gets_work_at_once(self):
        first = self.fleet.engine("e1")
        self.fleet.engine("e2")
        routers = self.start(2)
        self.announce_leaving(first, routers)
        first.start_again()
        for router in routers:
            router.wait_event("upstream_reborn")
        since = time.monotonic()
        self.press(routers, 1)
        arrivals = [t for t in first.arrivals if t > since]
        self.assertGreater(len(arrivals), 5)


class AllLeaveTest(LeavingTest):
    def test_all_of_a_service_leave_and_requests_are_refused_at_once(self):
        services = [self.fleet.plain("p1"), self.fleet.plain("p2")]
        routers = self.start(2)
        for service in services:
            self.announce_leaving(service, routers[:1], "/write/x")
        time.sleep(GRACE_S)
        since = time.monotonic()
        answers = self.press(routers, 1, "/write/x")
        self.assertLess(time.monotonic() - since, 1.5)
        self.assertEqual({a.status for a in answers}, {503})
        self.assertIn(b'"code":"upstreams_leaving"', answers[0].body)
        self.assertIn(b'"run":"not_run"', answers[0].body)
        waits = {a.headers["Retry-After"] for a in answers}
        self.assertGreater(len(waits), 5)
        for service in services:
            self.assertEqual([t for t in service.arrivals if t > since], [])


if __name__ == "__main__":
    unittest.main()
