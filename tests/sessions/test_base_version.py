"""Streams that began before a second software version joined."""
import json
import signal
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from cluster import wait_for
from test_software import (EVENTS, EVENTS_READ, RECORD_S, SINGLE, STREAMS,
                           VERSIONS, SoftwareTest, pack_record, versions_of)

# Of the streams that began at the only version: how many go on.
SHARE_MIN = 1.0
INTERVAL_S = 0.08
# How long a request waits at least for a router that joins.
WAITS_S = 0.5
# Less than the time after which a router uses a version that joined.
KILLED_S = 0.5


class BaseVersionTest(SoftwareTest):
    SOFTWARE = VERSIONS[:1]
    RECORDED = SINGLE
    ENGINES_EACH = 4

    def setUp(self):
        super().setUp()
        for router in self.routers:
            router.wait_event("software_records_read")
        wait_for(self.has_own_record, "the record of the versions")

    # Records of builds before do not name starts of upstreams.
    def has_own_record(self):
        earlier = [pack_record(*record) for record in self.RECORDED.items()]
        key = b"%cengines" % len("engines")
        return any(record.startswith(key) and record not in earlier
                   for record in self.fleet.store.records("keyed.software"))

    def replace_half(self):
        for engine in self.engines[:self.ENGINES_EACH // 2]:
            engine.unlist()
        del self.engines[:self.ENGINES_EACH // 2]
        for _ in range(self.ENGINES_EACH // 2):
            self.engines.append(self.engine(VERSIONS[1]))

    def restart_but_last(self, while_down):
        """Restarts all routers but the last one."""
        for router in self.routers[:-1]:
            router.kill()
        while_down()
        last = self.routers.pop()
        self.routers = [last]
        for number in range(1, self.ROUTERS):
            self.routers.append(self.start_router("r%d" % number))
        for router in self.routers:
            self.await_engines(router)

    def continue_streams(self, begun):
        """Returns how many go on; none may go on at another version."""
        whole = 0
        for number, stream in enumerate(begun):
            router = self.routers[number % len(self.routers)]
            answer = self.go_on(router, stream)
            self.assertLessEqual(versions_of(answer.body),
                                 {stream.engine.piece})
            whole += (answer.status == 200 and
                      answer.body.count(b"data:") == EVENTS - EVENTS_READ)
        return whole

    def begin_at(self, router, version):
        """Returns a stream that began at a version."""
        return wait_for(lambda: next(
            (stream for stream in [self.begin(router)]
             if stream.engine.software == version), None),
            "a stream at " + version)


class HalfReplacedTest(BaseVersionTest):
    # What began while there was one version was in no record, and was refused
    # once two versions served.
    def test_streams_go_on_after_all_routers_restarted(self):
        begun = self.begin_streams(self.routers[0])
        self.restart_all(self.replace_half)
        whole = self.continue_streams(begun)
        self.assertGreaterEqual(whole / len(begun), SHARE_MIN)

    def test_streams_go_on_after_all_routers_but_one_restarted(self):
        begun = self.begin_streams(self.routers[0])
        self.restart_but_last(self.replace_half)
        whole = self.continue_streams(begun)
        self.assertGreaterEqual(whole / len(begun), SHARE_MIN)

    def test_new_streams_use_both_versions_after_the_restart(self):
        self.restart_all(self.replace_half)
        for router in self.routers:
            for version in VERSIONS:
                self.begin_at(router, version)

    # Where a router that used both versions is gone, a stream that nobody
    # knows may have begun at either.
    def test_streams_of_a_router_that_used_both_are_not_mixed(self):
        begun = self.begin_streams(self.routers[0])
        self.restart_all(self.replace_half)
        second = [self.begin_at(self.routers[0], VERSIONS[1])
                  for _ in range(STREAMS)]
        self.restart_all()
        self.continue_streams(begun + second)

    def test_streams_that_live_routers_began_are_not_mixed(self):
        begun = self.begin_streams(self.routers[0])
        self.restart_all(self.replace_half)
        second = [self.begin_at(self.routers[0], VERSIONS[1])
                  for _ in range(STREAMS)]
        self.assertEqual(self.continue_streams(second + begun),
                         len(second + begun))

    # A caller that does not say which stream it continues may mean either.
    def test_stream_whose_caller_does_not_name_it_is_refused(self):
        begun = self.begin(self.routers[0])
        self.restart_all(self.replace_half)
        answer = self.fleet.ask(self.routers[0], "/ask/x", Last_Event_Id="1",
                                X_Prompt_Prefix=begun.prompt)
        self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(json.loads(answer.body)["error"]["code"],
                         "resume_unknown")


class LostUseTest(BaseVersionTest):
    """All routers had used both versions before they were lost."""

    REFUSED_S = 0.6

    def use_both(self):
        self.restart_all(self.replace_half)
        for router in self.routers:
            self.begin_at(router, VERSIONS[1])
            router.wait_event("software_stated")

    # They waited 0.8 s for routers that could not tell, and came again.
    def test_streams_that_nobody_can_tell_are_refused_at_once(self):
        begun = self.begin(self.routers[0])
        self.use_both()
        self.restart_all()
        time.sleep(RECORD_S)
        for router in self.routers:
            started = time.monotonic()
            answer = self.fleet.ask(router, "/ask/x", Resumes="unknown-id",
                                    Last_Event_Id=str(EVENTS_READ - 1),
                                    X_Prompt_Prefix=begun.prompt)
            self.assertEqual(answer.status, 503, answer.body)
            self.assertLess(time.monotonic() - started, self.REFUSED_S)


class JoiningRouterTest(BaseVersionTest):
    """Two routers of a fleet that was restarted do not know each other yet."""

    BEGUN = 30

    def restart_apart(self):
        """Returns two routers, the second of which uses both versions."""
        for router in self.routers:
            router.kill()
        self.replace_half()
        for name in ("r1", "r2"):
            self.routers = []
            router = self.start_router(name)
            self.await_engines(router)
            yield router
        self.begin_at(router, VERSIONS[1])
        router.wait_event("software_stated")

    def continue_at(self, router, stream):
        """Returns when it began, when it ended, and the answer."""
        started = time.monotonic()
        answer = self.fleet.ask(router, "/ask/x", Resumes=stream.request_id,
                                Last_Event_Id=str(EVENTS_READ - 1),
                                X_Prompt_Prefix=stream.prompt)
        self.assertLessEqual(versions_of(answer.body), {stream.engine.piece})
        return started, time.monotonic(), answer

    def has_joined(self, router, name):
        return name in {event["member"]
                        for event in router.events("member_joined")}

    # Streams were refused whose callers came to the first one just before it
    # knew of the second one.
    def test_streams_go_on_that_wait_as_a_router_joins(self):
        begun = self.begin_streams(self.routers[0])
        begun += [self.begin(self.routers[0])
                  for _ in range(self.BEGUN - len(begun))]
        self.routers = list(self.restart_apart())
        first = self.routers[0]
        with ThreadPoolExecutor(self.BEGUN) as pool:
            answers = []
            launched = pool.submit(self.start_router, "r3")
            for stream in begun:
                answers.append(pool.submit(self.continue_at, first, stream))
                if self.has_joined(first, "r2"):
                    break
                time.sleep(INTERVAL_S)
            joined = time.monotonic()
            launched.result()
        waited = [answer for began, ended, answer in
                  (answer.result() for answer in answers)
                  if joined - WAITS_S < began and joined < ended]
        self.assertTrue(waited)
        for answer in waited:
            self.assertEqual(answer.status, 200, answer.body)


class KilledAtJoinTest(BaseVersionTest):
    """All routers are killed just after a version has joined, of which some
    routers have not read yet."""

    def join(self):
        self.engines += [self.engine(VERSIONS[1])
                         for _ in range(self.ENGINES_EACH)]

    def begin_until_stated(self, router, limit_s):
        end = time.monotonic() + limit_s
        while not router.events("software_stated"):
            if time.monotonic() > end:
                return
            self.begin(router)

    # What one router stated made the streams of all others unknown, which had
    # recorded nothing.
    def test_streams_go_on_of_routers_that_did_not_know_the_version(self):
        first, *others = self.routers
        begun = [stream for router in others
                 for stream in self.begin_streams(router)]
        for router in others:
            router.signal(signal.SIGSTOP)
        self.join()
        self.await_engines(first)
        self.begin_until_stated(first, KILLED_S)
        self.restart_all()
        self.assertEqual(self.continue_streams(begun), len(begun))


class UnrecordedJoinTest(BaseVersionTest):
    """A version joins while the store takes no record of it."""

    TOPICS = ("keyed.software", "keyed.origins")
    JOINED_S = 2

    def join(self):
        self.fleet.store.refused_topics = self.TOPICS
        joined = [self.engine(VERSIONS[1]) for _ in range(self.ENGINES_EACH)]
        self.engines += joined
        for router in self.routers:
            self.await_engines(router)
        return joined

    def leave(self, joined):
        self.fleet.store.refused_topics = ()
        for engine in joined:
            engine.unlist()
            self.engines.remove(engine)

    # Streams of the version that had joined went on at the former one.
    def test_streams_are_not_mixed(self):
        joined = self.join()
        begun = []
        end = time.monotonic() + self.JOINED_S
        while time.monotonic() < end:
            begun += [self.begin(router) for router in self.routers]
        self.restart_all(lambda: self.leave(joined))
        self.continue_streams(begun)

    def test_new_streams_wait_for_nothing(self):
        self.join()
        for router in self.routers:
            started = time.monotonic()
            self.begin(router)
            self.assertLess(time.monotonic() - started, 1)

    def test_the_version_is_used_once_the_store_takes_the_records(self):
        self.join()
        time.sleep(RECORD_S)
        self.fleet.store.refused_topics = ()
        self.begin_at(self.routers[0], VERSIONS[1])

    def test_the_version_is_used_if_it_alone_is_left(self):
        self.join()
        former = self.engines[:self.ENGINES_EACH]
        for engine in former:
            engine.unlist()
            self.engines.remove(engine)
        self.routers[0].wait_event("software_ended")
        self.begin_at(self.routers[0], VERSIONS[1])


del BaseVersionTest, SoftwareTest


if __name__ == "__main__":
    unittest.main()
