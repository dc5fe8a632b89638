"""Whole answers that callers do not read, or read slowly."""
import socket
import threading
import time
import unittest
import uuid

from answers import request_bytes
from cluster import HOST, wait_for
from fleet import Fleet, Upstream
from test_bad_input import peak_memory
from test_held_bytes import GROWTH_MAX, measures_memory

SIZE = 512 << 10  # bytes of each answer
SEGMENT = 1400  # bytes, as on Ethernet; loopback has 65483


class LargeAnswers(Upstream):
    def answer_call(self, call, body, headers):
        size = int(call.headers.get("X-Size", 10))
        call.head(200, {"Content_Length": str(size)}, **headers)
        call.wfile.write(b"y" * size)


class UnreadTest(unittest.TestCase):
    CALLERS = 300

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.plain = self.fleet.add(LargeAnswers(self.fleet.store, "p1",
                                                 "plain"))
        self.router = self.start()

    def start(self, **settings):
        router = self.fleet.start(**{"answers_max": "8MiB",
                                     "eject_failures": "1000", **settings})
        self.assertEqual(self.fleet.ask(router, "/write/x").status, 200)
        return router

    def connect(self):
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        caller.settimeout(30)
        caller.connect((HOST, self.router.port))
        return caller

    def begin(self, path="/write/x", size=SIZE):
        caller = self.connect()
        request = request_bytes("POST", path, uuid.uuid4().hex, b"x",
                                wait_ms=20000)
        caller.sendall(request.replace(b"\r\n", b"\r\nX-Size: %d\r\n" % size,
                                       1))
        return caller

    @staticmethod
    def read_whole(caller, pause_s=0):
        """Returns the status and the number of bytes of the body."""
        data = bytearray()
        while b"\r\n\r\n" not in data:
            part = caller.recv(2048)
            if not part:
                return 0, 0
            data += part
        head, _, body = bytes(data).partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        count = len(body)
        while count < length and (part := caller.recv(2048)):
            count += len(part)
            time.sleep(pause_s)
        return int(head.split()[1]), count

    def grown_since(self, before):
        return peak_memory(self.router) - before if measures_memory() else 0

    # Their answers were bounded by nothing together.
    def test_callers_that_read_nothing(self):
        before = peak_memory(self.router)
        for _ in range(self.CALLERS):
            self.begin()
        time.sleep(8)
        self.assertLess(self.grown_since(before), GROWTH_MAX)
        self.assertGreater(len(self.plain.seen), 30)
        given_up = self.router.events("answer_unsent")
        self.assertGreater(len(given_up), 0)
        for line in given_up:
            self.assertEqual(line["cause"].strip('"'), "no_room")
            self.assertGreaterEqual(int(line["idle_ms"]), 2000)
            self.assertGreater(int(line["bytes"]), 0)

    def read_all(self, callers):
        """Reads from all callers at the same time."""
        answers = []
        threads = [threading.Thread(target=lambda caller=caller:
                                    answers.append(self.read_whole(caller)))
                   for caller in callers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def begin_unread(self, count):
        """Callers that read nothing, all of whose calls run."""
        ran = len(self.plain.seen)
        for _ in range(count):
            self.begin()
        wait_for(lambda: len(self.plain.seen) == ran + count, "runs")

    # What has run is answered whole, all else is refused unsent.
    def test_callers_beside_others_that_read_nothing(self):
        self.begin_unread(30)
        answers = self.read_all([self.begin() for _ in range(20)])
        for status, count in answers:
            self.assertIn((status, count), ((200, SIZE), (503, count)))
        whole = answers.count((200, SIZE))
        self.assertEqual(len(self.plain.seen), 1 + 30 + whole)

    def test_calls_under_way(self):
        """Answers to calls that run as the room is used up wait for it."""
        self.plain.pause_s = 1
        readers = [self.begin() for _ in range(20)]
        wait_for(lambda: len(self.plain.seen) == 21, "runs")
        self.plain.pause_s = 0
        self.begin_unread(30)
        self.assertEqual(self.read_all(readers), [(200, SIZE)] * 20)

    # They wait in turn, and none is ended for want of room.
    def test_answers_that_arrive_at_the_same_time(self):
        self.plain.pause_s = 1
        callers = [self.begin() for _ in range(50)]
        self.assertEqual(self.read_all(callers), [(200, SIZE)] * 50)

    # They were refused while callers held all of the room.
    def test_new_calls_while_memory_is_not_short(self):
        for _ in range(60):
            self.begin()
        end = time.monotonic() + 4
        while time.monotonic() < end:
            self.assertEqual(self.fleet.ask(self.router, "/write/x").status,
                             200)
        self.assertGreater(len(self.router.events("answer_unsent")), 0)
        self.assertEqual(self.router.events("request_refused"), [])

    def ask_until_refused(self):
        """Has one more caller that reads nothing; returns a refusal or None.
        What callers hold together may stop just short of the bound."""
        self.begin()
        answer = self.fleet.ask(self.router, "/write/x")
        return answer if answer.status == 503 else None

    # New calls are refused while callers hold all of the room, and the memory
    # has no bound of its own.
    def test_new_calls(self):
        self.router = self.start(name="r2", memory="0B", answers_max="4MiB")
        for _ in range(60):
            self.begin()
        answer = wait_for(self.ask_until_refused, "a refusal")
        self.assertIn(b"answers_unread", answer.body)
        self.assertIn(b"not_run", answer.body)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        refused = self.router.wait_event("request_refused", 1)[0]
        self.assertEqual(refused["reason"].strip('"'), "answers_unread")
        wait_for(lambda: self.fleet.ask(self.router, "/write/x").status == 200,
                 "room")

    # It made progress all the time, and others gave way.
    def test_a_slow_caller_gets_its_whole_answer(self):
        result = []
        slow = self.begin(size=1 << 20)
        reader = threading.Thread(target=lambda: result.append(
            self.read_whole(slow, pause_s=0.02)))
        reader.start()
        time.sleep(0.2)
        end = time.monotonic() + 9
        while time.monotonic() < end:
            self.begin()
            time.sleep(0.05)
        reader.join()
        self.assertEqual(result, [(200, 1 << 20)])
        self.assertGreater(len(self.router.events("answer_unsent")), 10)


if __name__ == "__main__":
    unittest.main()
