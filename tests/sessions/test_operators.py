"""Operator commands and queries, also while the log fails."""
import json
import threading
import unittest

from cluster import (BASE_DECLARATIONS, CONTINUE, Cluster, OPERATOR_KEY, STOP,
                     StandIn, request, wait_for)
from faultproxy import FaultProxy

EXIT_OK, EXIT_INVALID, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3
EXIT_CONFLICT, EXIT_UNKNOWN = 4, 5


class OperatorTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def declarations_with_level(self, level):
        return (BASE_DECLARATIONS + self.cluster.upstreams).replace(
            "level = 10", "level = %d" % level)

    def read_level(self, router, name="low"):
        """Returns the priority's level and its revision."""
        done = self.cluster.command("get", "priority", name, "--output",
                                    "json", routers=[router])
        self.assertEqual(done.returncode, 0, done.stderr)
        priority = json.loads(done.stdout)["objects"][0]
        return int(priority["fields"][0]["value"]), priority["revision"]

    def test_plan_shows_and_apply_makes_the_difference(self):
        router = self.cluster.router()
        path = self.cluster.write("all.ini", BASE_DECLARATIONS)
        planned = self.cluster.command("plan", path, routers=[router])
        self.assertIn("add model m base=0", planned.stdout)
        self.assertIn("7 changes", planned.stdout)
        self.assertEqual(self.cluster.apply([router]).returncode, EXIT_OK)
        planned = self.cluster.command("plan", path, routers=[router])
        self.assertEqual(planned.stdout, "0 changes\n")
        self.cluster.apply([router], self.declarations_with_level(11))
        self.assertEqual(self.read_level(router), (11, 2))
        planned = self.cluster.command("plan", path, routers=[router])
        self.assertEqual(planned.stdout,
                         "change priority low base=2\n1 change\n")

    def test_prune_removes_what_the_files_leave_out(self):
        router = self.cluster.start()
        text = BASE_DECLARATIONS.replace(
            "[service notes]\nrepeatable = yes\ntimeout = 3s\n", "")
        self.assertEqual(self.cluster.apply([router], text).stdout,
                         "0 changes\n")
        done = self.cluster.apply([router], text, "--prune")
        self.assertIn("remove service notes", done.stdout)
        missing = self.cluster.command("get", "service", "notes",
                                       routers=[router])
        self.assertEqual(missing.returncode, EXIT_INVALID)

    def test_bad_declarations_change_nothing(self):
        router = self.cluster.start()
        done = self.cluster.apply([router], self.declarations_with_level(101))
        self.assertEqual(done.returncode, EXIT_INVALID)
        self.assertIn("out_of_range", done.stderr)
        self.assertEqual(self.read_level(router), (10, 1))

    def test_wrong_key_and_no_router(self):
        router = self.cluster.start()
        done = self.cluster.command("status", routers=[router],
                                    environment={"WHEATTILLER_KEY": "wrong"})
        self.assertEqual(done.returncode, EXIT_INVALID)
        self.assertIn("not an operator's key", done.stderr)
        router.kill()
        done = self.cluster.command("status", routers=[router])
        self.assertEqual(done.returncode, EXIT_UNREACHABLE)

    def test_unreadable_messages_are_refused(self):
        router = self.cluster.start()
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        for path, status in (("/rpc/OperatorQuery/Get", 400),
                             ("/rpc/OperatorQuery/Nothing", 404),
                             ("/rpc/Nothing/Get", 404), ("/rpc/", 404),
                             ("/nothing", 404)):
            answer = request(router.operator_port, "POST", path, b"\xff\xff",
                             headers)
            self.assertEqual(answer.status, status, path)
        self.assertEqual(self.read_level(router), (10, 1))

    def test_status_counters_and_explain(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        answer = router.complete({"model": "m", "prompt": "x",
                                  "max_tokens": 3})
        done = self.cluster.command("explain", answer.headers["X-Request-Id"],
                                    "--output", "json", routers=[router])
        explained = json.loads(done.stdout)
        self.assertEqual(explained["outcome"], "whole")
        self.assertEqual(explained["attempts"][0]["upstream"], "e1")
        self.assertEqual(explained["attempts"][0]["tokens"], 3)
        done = self.cluster.command("explain", "0" * 32, routers=[router])
        self.assertEqual(done.returncode, EXIT_INVALID)
        done = self.cluster.command("counters", "answers", routers=[router])
        self.assertIn('name="answers_total" value=1', done.stdout)
        done = self.cluster.command("status", "--output", "json",
                                    routers=[router])
        status = json.loads(done.stdout)
        self.assertEqual(status["router"]["fold_offset"], 1)
        self.assertEqual(status["upstreams"][0]["state"], "live")

    def test_two_operators_racing_have_one_winner_everywhere(self):
        one, two = self.cluster.start("r1", "r2")
        _, base = self.read_level(one)
        self.cluster.log.control(slow_ms=150)
        done = [None, None]

        def race(n, router):
            path = self.cluster.write("race%d.ini" % n,
                                      self.declarations_with_level(20 + n))
            done[n] = self.cluster.command("apply", path, routers=[router])

        threads = [threading.Thread(target=race, args=(n, router))
                   for n, router in enumerate((one, two))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(result.returncode for result in done)
        self.assertEqual(codes, [EXIT_OK, EXIT_CONFLICT])
        winner = 20 + [r.returncode for r in done].index(EXIT_OK)
        wait_for(lambda: self.read_level(one) == self.read_level(two)
                 and self.read_level(one)[1] > base,
                 "the same level at both routers")
        self.assertEqual(self.read_level(one)[0], winner)

    def test_lost_answer_of_an_append_is_found_by_its_id(self):
        router = self.cluster.start()
        self.cluster.log.control(lose_answers=1)
        done = self.cluster.apply([router], self.declarations_with_level(12))
        self.assertEqual(done.returncode, EXIT_OK, done.stderr)
        self.assertEqual(self.read_level(router), (12, 2))

    def test_apply_waits_for_an_append_that_lands_late(self):
        router = self.cluster.start(command_timeout="100ms")
        self.cluster.log.control(land_late=1, late_ms=600)
        done = self.cluster.apply([router], self.declarations_with_level(13))
        self.assertEqual(done.returncode, EXIT_OK, done.stderr)
        self.assertIn("priority low", done.stdout)
        self.assertEqual(self.read_level(router), (13, 2))

    def test_outage_of_the_log_refuses_commands_and_serves_requests(self):
        self.cluster.engine("e1")
        router = self.cluster.start()
        self.cluster.log.control(down=1)
        done = self.cluster.apply([router], self.declarations_with_level(14))
        self.assertEqual(done.returncode, EXIT_UNREACHABLE)
        self.assertEqual(self.read_level(router), (10, 1))
        answer = router.complete({"model": "m", "prompt": "x"})
        self.assertEqual(answer.status, 200)
        self.cluster.log.control(down=0)
        wait_for(lambda: self.cluster.apply(
            [router], self.declarations_with_level(15)).returncode == EXIT_OK,
            "the log's return")
        self.assertEqual(self.read_level(router)[0], 15)

    def test_router_cut_off_from_the_log_catches_up(self):
        one = self.cluster.start("r1")
        proxy = self.cluster.add(FaultProxy(self.cluster.log.port))
        self.cluster.log_address = proxy.address
        self.cluster.peers.clear()  # otherwise it follows the first router
        two = self.cluster.router("r2").wait_ready()
        proxy.refuse = True
        proxy.cut_all()
        two.wait_event("log_unreachable")
        self.assertEqual(self.cluster.apply(
            [one], self.declarations_with_level(16)).returncode, EXIT_OK)
        self.assertEqual(self.read_level(two)[0], 10)
        proxy.refuse = False
        wait_for(lambda: self.read_level(two) == (16, 2), "the new level")

    def test_log_that_went_back_reverts_nothing(self):
        router = self.cluster.start(log_poll="100ms")
        self.cluster.apply([router], self.declarations_with_level(17))
        port = self.cluster.log.port
        self.cluster.log.kill()
        self.cluster.add(StandIn("log", port=port))
        router.wait_event("log_went_back")
        self.assertEqual(self.read_level(router), (17, 2))
        done = self.cluster.apply([router], self.declarations_with_level(18))
        self.assertEqual(done.returncode, EXIT_INVALID)
        self.assertIn("lost records", done.stderr)
        self.assertEqual(self.read_level(router), (17, 2))

    def test_log_that_went_back_and_has_grown_past_it_reverts_nothing(self):
        """The log was restored without a change that was in force and grew
        again; a router folded the next record as if it followed the lost
        one."""
        log = self.cluster.log
        router = self.cluster.start(log_poll="100ms")
        log.control(copy=1)
        for level in (17, 18):
            self.cluster.apply([router], self.declarations_with_level(level))
        router.signal(STOP)
        log.control(come_back=1)
        for _ in range(3):
            request(log.port, "POST", "/streams/config/records", {"no": 1})
        router.signal(CONTINUE)
        router.wait_event("log_went_back")
        self.assertEqual(self.read_level(router), (18, 3))
        done = self.cluster.apply([router], self.declarations_with_level(19))
        self.assertEqual(done.returncode, EXIT_INVALID)
        self.assertEqual(self.read_level(router), (18, 3))


if __name__ == "__main__":
    unittest.main()
