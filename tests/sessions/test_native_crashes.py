"""Prompts under which engines end, on the project's own interface.

The same fault as in test_crashes.py: a prompt that ends each engine that
begins to run it was sent to all of them, as each try was decided by itself.
Here nobody probes engines: that one has ended is seen as the next request for
it finds no connection, or as it is back as another incarnation.
"""
import time
import unittest

from cluster import Cluster, wait_for

CRASHES_MOST = 3
DEADLY = {"model": "m", "prompt": "[ends the engine]", "max_tokens": 4}
USUAL = {"model": "m", "prompt": "as usual", "max_tokens": 4}


class NativeCrashTest(unittest.TestCase):
    ENGINES = 7

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.engines = [self.cluster.engine("e%d" % n)
                        for n in range(self.ENGINES)]

    def ended(self):
        return [e for e in self.engines if e.process.poll() is not None]

    def send(self, router, body):
        return router.complete(body)

    def find_ended(self, router):
        """Requests that find no connection show that engines have ended."""
        for number in range(2 * self.ENGINES):
            self.send(router, dict(USUAL, prompt="usual %d" % number))

    def test_a_prompt_that_ends_engines_is_sent_to_no_more_than_three(self):
        routers = self.cluster.start("r1", "r2")
        wait_for(lambda: all(len(r.events("member_joined")) >= 1
                             for r in routers), "known")
        for number in range(2 * self.ENGINES):
            self.send(routers[number % 2], DEADLY)
            self.find_ended(routers[number % 2])
            if len(self.ended()) >= CRASHES_MOST:
                # Beside other work the news takes longer than the next call.
                for router in routers:
                    router.wait_event("request_held")
        self.assertEqual(len(self.ended()), CRASHES_MOST)
        for router in routers:
            answer = self.send(router, DEADLY)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.error()["code"], "crashes_upstreams")
            self.assertEqual(answer.error()["run"], "not_run")
            self.assertEqual(self.send(router, USUAL).status, 200)

    def test_a_router_that_starts_anew_reads_it_from_the_log(self):
        router = self.cluster.start("r1", max_attempts="1")
        for _ in range(self.ENGINES):
            self.send(router, DEADLY)
            self.find_ended(router)
        self.assertEqual(len(self.ended()), CRASHES_MOST)
        router.kill()
        self.cluster.peers.clear()
        time.sleep(0.2)
        started = self.cluster.router("r2", max_attempts="1").wait_ready()
        started.wait_event("request_held")
        self.assertEqual(self.send(started, DEADLY).status, 503)
        self.assertEqual(len(self.ended()), CRASHES_MOST)


if __name__ == "__main__":
    unittest.main()
