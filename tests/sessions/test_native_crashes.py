"""Prompts that crash engines, on the native interface.

Guards against the fault of test_crashes.py: a prompt that crashes each engine
that starts to run it was sent to all engines, as the router decided on each
attempt without regard to the earlier ones. Engines are not probed here: a
router detects a crash when it cannot connect for the next request, or when the
engine is back as another incarnation.
"""
import time
import unittest

from cluster import Cluster, wait_for

CRASHES_MAX = 3
POISON = {"model": "m", "prompt": "[ends the engine]", "max_tokens": 4}
HARMLESS = {"model": "m", "prompt": "as usual", "max_tokens": 4}


class NativeCrashTest(unittest.TestCase):
    ENGINES = 7

    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.engines = [self.cluster.engine("e%d" % n)
                        for n in range(self.ENGINES)]

    def crashed_engines(self):
        return [e for e in self.engines if e.process.poll() is not None]

    def send(self, router, body):
        return router.complete(body)

    def expose_crashes(self, router):
        """Sends harmless requests, so that failed connections show crashes."""
        for number in range(2 * self.ENGINES):
            self.send(router, dict(HARMLESS, prompt="usual %d" % number))

    def test_a_prompt_that_ends_engines_is_sent_to_no_more_than_three(self):
        routers = self.cluster.start("r1", "r2")
        wait_for(lambda: all(len(r.events("member_joined")) >= 1
                             for r in routers), "known")
        for number in range(2 * self.ENGINES):
            self.send(routers[number % 2], POISON)
            self.expose_crashes(routers[number % 2])
            if len(self.crashed_engines()) >= CRASHES_MAX:
                # On a busy machine the crash record can reach the other router
                # after the next request.
                for router in routers:
                    router.wait_event("request_held")
        self.assertEqual(len(self.crashed_engines()), CRASHES_MAX)
        for router in routers:
            answer = self.send(router, POISON)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.error()["code"], "crashes_upstreams")
            self.assertEqual(answer.error()["run"], "not_run")
            self.assertEqual(self.send(router, HARMLESS).status, 200)

    def test_a_router_that_starts_anew_reads_it_from_the_log(self):
        router = self.cluster.start("r1", max_attempts="1")
        for _ in range(self.ENGINES):
            self.send(router, POISON)
            self.expose_crashes(router)
        self.assertEqual(len(self.crashed_engines()), CRASHES_MAX)
        router.kill()
        self.cluster.peers.clear()
        time.sleep(0.2)
        started = self.cluster.router("r2", max_attempts="1").wait_ready()
        started.wait_event("request_held")
        self.assertEqual(self.send(started, POISON).status, 503)
        self.assertEqual(len(self.crashed_engines()), CRASHES_MAX)


if __name__ == "__main__":
    unittest.main()
