"""Streams that nobody knows and that did not begin at the base version."""
import time
import unittest

from test_base_version import HalfReplacedTest, UnrecordedJoinTest
from test_software import SINGLE, VERSIONS

BEGUN = 6
# More than the 10 s for which the base was kept to.
HELD_S = 11


class UnstatedUseTest(UnrecordedJoinTest):
    """Streams begin at a version of which the store took no record."""

    def begin_second(self):
        return [self.begin_at(self.routers[0], VERSIONS[1])
                for _ in range(BEGUN)]

    def let_store_write(self):
        self.fleet.store.refused_topics = ()

    # Once the base was kept to for ten seconds streams began at the second
    # version, and went on at the base after a restart of all routers.
    def test_streams_keep_to_the_base_for_as_long(self):
        self.join()
        for router in self.routers:
            self.begin(router)
        time.sleep(HELD_S)
        begun = [self.begin(self.routers[0]) for _ in range(4 * BEGUN)]
        self.assertEqual({stream.engine.software for stream in begun},
                         {VERSIONS[0]})
        self.restart_all(self.let_store_write)
        self.continue_streams(begun)

    # The same where the base had no engine left and has one again.
    def test_streams_begun_without_the_base_are_not_mixed(self):
        self.join()
        for engine in self.engines[:self.ENGINES_EACH]:
            engine.unlist()
        del self.engines[:self.ENGINES_EACH]
        self.routers[0].wait_event("software_ended")
        begun = self.begin_second()

        def return_base():
            self.let_store_write()
            self.engines.append(self.engine(VERSIONS[0]))
        self.restart_all(return_base)
        self.continue_streams(begun)


    # Engines that said by their answers that they leave were taken for none,
    # and for the base after a restart.
    def test_streams_beside_a_base_that_leaves_are_not_mixed(self):
        self.join()
        base = self.engines[:self.ENGINES_EACH]
        for engine in base:
            engine.leaving = True
        begun = self.begin_what_goes(self.routers[0])

        def stay():
            self.let_store_write()
            for engine in base:
                engine.leaving = False
        self.restart_all(stay)
        self.continue_streams(begun)

    # Engines that have died stay listed for a while, and other routers take the
    # base for what nobody knows as long as one is listed.
    def test_streams_wait_until_the_list_shows_no_base(self):
        self.join()
        base = self.engines[:self.ENGINES_EACH]
        del self.engines[:self.ENGINES_EACH]
        for engine in base:
            engine.kill()
        self.assertEqual(self.begin_what_goes(self.routers[0]), [])
        for engine in base:
            engine.unlist()
        self.routers[0].wait_event("software_ended")
        self.begin_second()

    def begin_what_goes(self, router):
        """Returns the streams that begin, of which the others are refused."""
        begun = []
        for _ in range(4 * BEGUN):
            try:
                begun.append(self.begin(router))
            except AssertionError as refused:
                self.assertIn("503 != 200", str(refused))
        return begun


class RolledBackTest(HalfReplacedTest):
    """The first version, which another one has replaced, comes back while no
    router runs."""

    SOFTWARE = VERSIONS[1:]
    RECORDED = dict(SINGLE, engines=" ".join(reversed(VERSIONS)))

    def replace_half(self):
        half = self.ENGINES_EACH // 2
        for engine in self.engines[:half]:
            engine.unlist()
        del self.engines[:half]
        self.engines += [self.engine(VERSIONS[0]) for _ in range(half)]

    # Streams went on at the first version, which the record still names beside
    # the only one.
    def test_streams_go_on_at_the_version_that_was_left_alone(self):
        begun = self.begin_streams(self.routers[0])
        self.restart_all(self.replace_half)
        self.assertEqual(self.continue_streams(begun), len(begun))


class UnlistedStartTest(HalfReplacedTest):
    """An engine starts again under its name with another version, of which the
    list knows only later."""

    # Streams that began there, at a version known to be unknown, went on at
    # the base after all routers were killed within the interval of records.
    # None begins there while the base has engines.
    def test_streams_of_an_unlisted_start_are_not_mixed(self):
        engine = self.engines[0]
        engine.kill()
        engine.software = VERSIONS[1]
        engine.piece = VERSIONS[1].encode()
        engine.revive(is_listed=False)
        begun = [self.begin(self.routers[0]) for _ in range(4 * BEGUN)]
        self.assertNotIn(engine, [stream.engine for stream in begun])
        self.restart_all(engine.list)
        self.continue_streams(begun)


# Their own tests run in their own file.
for case in (UnstatedUseTest, UnlistedStartTest, RolledBackTest):
    for name in set(dir(case)) - set(vars(case)):
        if name.startswith("test_"):
            setattr(case, name, None)
del HalfReplacedTest, UnrecordedJoinTest, case


if __name__ == "__main__":
    unittest.main()
