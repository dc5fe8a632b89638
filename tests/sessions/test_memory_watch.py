"""The watch that ends processes above their memory, as their machine would."""
import subprocess
import sys
import threading
import time
import unittest

sys.path.insert(0, "..")
from memory import MemoryWatch, Queues  # noqa: E402

MIB = 1 << 20
LIMIT = 64 * MIB
BUSY_THREADS = 200
HELD_S = 1
WAIT_S = 10
PROGRAM = """
import sys, time
sys.stdin.readline()
held = b"x" * %d
time.sleep(%f)
del held
print("done", flush=True)
sys.stdin.readline()
"""


class QueuesTest(unittest.TestCase):
    QUEUE = "2EBE8A3F:2EBE8A3F"
    INODE = "none"

    def count(self, state):
        queues = Queues()
        queues.add("0100007F:1F90", "0100007F:C350", state, self.QUEUE,
                   self.INODE)
        return queues.of(self.INODE)

    # Hundreds of megabytes were seen at connections that were being made.
    def test_connection_that_is_made_holds_nothing(self):
        self.assertEqual(self.count("02"), (0, 0))
        self.assertEqual(self.count("01"), (0x2EBE8A3F, 0x2EBE8A3F))


class MemoryWatchTest(unittest.TestCase):
    def start(self, held, kills=False):
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM % (held, HELD_S)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.addCleanup(self.end, process)
        watch = MemoryWatch(kills=kills)
        self.addCleanup(watch.stop)
        return process, watch, watch.add(process, LIMIT)

    @staticmethod
    def end(process):
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()

    @staticmethod
    def use(process):
        process.stdin.write(b"\n")
        process.stdin.flush()
        return process.stdout.readline()

    def keep_busy(self):
        begin, done = threading.Event(), threading.Event()

        def count():
            begin.wait()
            while not done.is_set():
                sum(range(100))
        threads = [threading.Thread(target=count, daemon=True)
                   for _ in range(BUSY_THREADS)]
        for thread in threads:
            thread.start()
        begin.set()
        self.addCleanup(lambda: [thread.join() for thread in threads])
        self.addCleanup(done.set)

    # The watch was one more thread, which did not look once in seconds.
    def test_excess_beside_busy_threads(self):
        process, watch, watched = self.start(2 * LIMIT)
        self.keep_busy()
        self.use(process)
        self.assertTrue(watched.is_over)
        self.assertGreater(watched.peak.total, 2 * LIMIT)
        self.assertEqual(len(watch.excesses()), 1)

    def test_process_within_its_memory(self):
        process, watch, watched = self.start(LIMIT // 4)
        self.assertEqual(self.use(process), b"done\n")
        watch.stop()
        self.assertFalse(watched.is_over, str(watched.peak))
        self.assertGreater(watched.peak.total, LIMIT // 4)
        self.assertEqual(watch.excesses(), [])

    def test_process_is_ended(self):
        process, _, watched = self.start(2 * LIMIT, kills=True)
        self.assertEqual(self.use(process), b"")
        self.assertTrue(watched.is_over)
        self.assertEqual(process.wait(WAIT_S), -9)

    def test_killing_may_begin_later(self):
        process, watch, _ = self.start(2 * LIMIT)
        watch.kills = True
        self.assertEqual(self.use(process), b"")

    # Nothing would fail any more.
    def test_watch_that_ends_is_an_error(self):
        process, watch, _ = self.start(LIMIT // 4)
        watch.watcher.kill()
        with self.assertRaises((RuntimeError, OSError)):
            watch.add(process, LIMIT)
            watch.add(process, LIMIT)
        with self.assertRaises(RuntimeError):
            watch.stop()


if __name__ == "__main__":
    unittest.main()
