"""Bodies of requests that would take a router over its memory."""
import http.client
import json
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from answers import Connection, request_bytes
from cluster import BUILD, HOST, wait_for
from fleet import Answer, Fleet

BODY = b"x" * (1 << 20)
CALLERS = 24
MEMORY = 8 << 20
WAIT_MAX_S = 10  # after which a body is refused
HELD = 4  # bodies of BODY that fit and leave no room for another one
WAITING = 70  # more bodies than may wait
AT_ONCE_S = 1
BODY_PAUSE_S = 2  # of a caller that sends on
HELD_S = 0.1  # time for which the upstream takes each request


def peak_bytes(router):
    with open("/proc/%d/status" % router.process.pid) as file:
        line, = [line for line in file if line.startswith("VmHWM")]
    return int(line.split()[1]) << 10


class BodyMemoryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.plain = self.fleet.plain("p1")
        self.plain.pause_s = HELD_S
        self.router = self.fleet.start(memory="%dB" % MEMORY)
        self.assertEqual(self.send(b"x").status, 200)
        self.before = peak_bytes(self.router)

    def send(self, body, **more):
        return self.fleet.ask(self.router, "/read/x", body=body,
                              wait_ms=30000, **more)

    def assert_whole(self, answers):
        for answer in answers:
            self.assertEqual(answer.status, 200, answer.body)
            self.assertIn(b"%d bytes" % len(BODY), answer.body)

    def send_all(self, send):
        with ThreadPoolExecutor(CALLERS) as pool:
            return list(pool.map(send, range(CALLERS)))

    def assert_within_memory(self):
        self.assertGreater(len(self.router.events("body_waits")), 0)
        used = [int(event["used"]) for kind in ("body_waits", "body_admitted")
                for event in self.router.events(kind)]
        self.assertLessEqual(max(used), MEMORY)
        if "asan" not in BUILD:
            self.assertLess(peak_bytes(self.router) - self.before, MEMORY)

    # A router took all bodies at once and was ended for the memory.
    def test_large_bodies_wait_for_each_other(self):
        self.assert_whole(self.send_all(lambda _: self.send(BODY)))
        self.assert_within_memory()

    def send_chunks(self, number):
        def chunks():
            for at in range(0, len(BODY), 1 << 16):
                yield BODY[at:at + (1 << 16)]

        connection = http.client.HTTPConnection(HOST, self.router.port,
                                                timeout=60)
        connection.request("POST", "/read/x", chunks(), {
            "Host": "shop.example", "X-Request-Id": "chunked%d" % number,
            "X-Deadline-Ms": "30000", "Api-Key": "key-a",
            "Transfer-Encoding": "chunked"}, encode_chunked=True)
        response = connection.getresponse()
        return Answer(response, response.read())

    # The length of a body in chunks is not known before it has ended.
    def test_large_bodies_in_chunks_wait_for_each_other(self):
        self.assert_whole(self.send_all(self.send_chunks))
        self.assertGreater(len(self.router.events("body_waits")), 0)

    def test_small_requests_pass_those_that_wait(self):
        with ThreadPoolExecutor(CALLERS) as pool:
            large = [pool.submit(self.send, BODY) for _ in range(CALLERS - 1)]
            self.router.wait_event("body_waits")
            started = time.monotonic()
            self.assertEqual(self.send(b"x").status, 200)
            took_s = time.monotonic() - started
            self.assert_whole([answer.result() for answer in large])
        self.assertLess(took_s, HELD_S + 1)

    def test_kept_connections_are_used_for_one_body_after_the_other(self):
        def send_three(number):
            connection = http.client.HTTPConnection(
                HOST, self.router.port, timeout=60)
            answers = []
            for turn in range(3):
                connection.request("POST", "/read/x", BODY, {
                    "Host": "shop.example", "Api-Key": "key-a",
                    "X-Request-Id": "kept%d-%d" % (number, turn),
                    "X-Deadline-Ms": "30000"})
                response = connection.getresponse()
                answers.append(Answer(response, response.read()))
            return answers

        for answers in self.send_all(send_three):
            self.assert_whole(answers)
        self.assert_within_memory()

    def begin_body(self, size, sent=len(BODY) // 8):
        caller = socket.create_connection((HOST, self.router.port))
        self.addCleanup(caller.close)
        caller.sendall(b"POST /read/x HTTP/1.1\r\nHost: shop.example\r\n"
                       b"X-Request-Id: slow%d\r\nApi-Key: key-a\r\n"
                       b"X-Deadline-Ms: 30000\r\nContent-Length: %d\r\n\r\n"
                       % (caller.getsockname()[1], size))
        caller.sendall(BODY[:sent])
        return caller

    # A caller waited until it gave up.
    def test_bodies_that_wait_for_long_are_refused(self):
        self.plain.pause_s = 1.5 * WAIT_MAX_S
        with ThreadPoolExecutor(CALLERS) as pool:
            first = [pool.submit(self.send, BODY) for _ in range(HELD)]
            wait_for(lambda: len(self.plain.seen) == 1 + HELD,
                     "the requests that fit")
            started = time.monotonic()
            # More than the kernel takes of a connection that nobody reads.
            for late in [pool.submit(self.send, 3 * BODY) for _ in range(4)]:
                answer = late.result()
                self.assertEqual(answer.status, 503, answer.body)
                self.assertIn(b"no_memory", answer.body)
                self.assertEqual(answer.headers["Retry-After"], "10")
                self.assertGreater(time.monotonic() - started, WAIT_MAX_S)
                self.assertLess(time.monotonic() - started, 1.5 * WAIT_MAX_S)
            self.plain.pause_s = 0
            self.assertEqual(self.send(b"x" * 600, key="key-b").status, 200)
            self.assert_whole([answer.result() for answer in first])
        self.assertEqual(len(self.plain.seen), 2 + HELD)
        self.assert_whole([self.send(BODY)])

    def crowd(self, pool):
        """Has as many bodies wait as may; one more is refused."""
        self.plain.pause_s = WAIT_MAX_S
        for _ in range(HELD):
            pool.submit(self.send, BODY)
        wait_for(lambda: len(self.plain.seen) == 1 + HELD,
                 "the requests that fit")
        self.plain.pause_s = HELD_S
        for _ in range(WAITING):
            self.begin_body(len(BODY), 1000)
        wait_for(lambda: any(refused["cause"] == "bodies_waiting" for refused
                             in self.router.events("request_excessive")),
                 "a refusal")

    def send_behind(self, size):
        """Begins a body behind a request that waits for its answer, which is
        read."""
        connection = Connection(self.router.port)
        self.addCleanup(connection.close)
        head, _ = request_bytes("POST", "/read/x", "next").split(b"\r\nCo")
        connection.socket.sendall(
            request_bytes("POST", "/read/x", "first", b"x", wait_ms=9000)
            + head + b"\r\nContent-Length: %d\r\n\r\n" % len(BODY)
            + BODY[:size])
        self.assertEqual(connection.read_answer("first", "POST").status, 200)
        return connection

    def assert_refused(self, connection):
        refusal = connection.read_answer("next", "POST")
        self.assertIsNotNone(refusal)
        self.assertEqual(refusal.status, 503)
        error = json.loads(refusal.body)["error"]
        self.assertEqual((error["code"], error["run"]),
                         ("no_memory", "not_run"))
        self.assertNotIn("next", [seen["X-Request-Id"]
                                  for seen in self.plain.seen])

    # They were held for up to 10 s, beside any number of others.
    def test_bodies_behind_others_are_refused_where_too_many_wait(self):
        with ThreadPoolExecutor(CALLERS) as pool:
            self.crowd(pool)
            before = len(self.router.events("body_waits"))
            connection = self.send_behind(1000)
            answered = time.monotonic()
            connection.socket.sendall(BODY[1000:])
            self.assert_refused(connection)
            self.assertLess(time.monotonic() - answered, AT_ONCE_S)
        self.assertEqual(len(self.router.events("body_waits")), before)

    # Their callers saw a reset in place of the refusal.
    def test_callers_that_pause_within_a_refused_body_read_the_refusal(self):
        with ThreadPoolExecutor(CALLERS) as pool:
            self.crowd(pool)
            connection = self.send_behind(1000)
            time.sleep(BODY_PAUSE_S)
            for at in range(1000, len(BODY), 1 << 17):
                connection.socket.sendall(BODY[at:at + (1 << 17)])
                time.sleep(0.05)
            self.assert_refused(connection)

    # The bodies of one caller took the room of others, who waited behind all
    # of them.
    def test_large_bodies_of_one_caller_do_not_hold_up_another_one(self):
        self.plain.pause_s = 0.4
        with ThreadPoolExecutor(CALLERS) as pool:
            large = [pool.submit(self.send, BODY) for _ in range(CALLERS)]
            self.router.wait_event("body_waits", CALLERS // 2)
            started = time.monotonic()
            self.assert_whole([self.send(BODY, key="key-b")])
            took_s = time.monotonic() - started
            self.assert_whole([answer.result() for answer in large])
        self.assertLess(took_s, (time.monotonic() - started) / 2)
        self.assertLess(took_s, 3 * self.plain.pause_s + 0.5)

    # A body beyond the bound is refused before a byte of it was sent.
    def test_a_head_that_states_too_long_a_body_is_refused(self):
        holders = [self.begin_body(len(BODY)) for _ in range(CALLERS)]
        self.router.wait_event("body_waits")
        for size in ((4 << 20) + 1, 1 << 40):
            caller = self.begin_body(size, 0)
            caller.settimeout(2)
            answer = caller.recv(4096)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413 "), answer)
            while answer:
                answer = caller.recv(4096)
        for holder in holders:
            holder.close()
        self.assertEqual(len(self.plain.seen), 1)
        self.assert_whole([self.send(BODY)])

    # Callers that stop in the middle of a body must not hold up others.
    def test_bodies_that_stay_incomplete_hold_up_nobody(self):
        for _ in range(CALLERS):
            self.begin_body(len(BODY))
        started = time.monotonic()
        self.assert_whole([self.send(BODY)])
        self.assertLess(time.monotonic() - started, 10)

    def test_callers_that_left_while_they_waited_are_noticed(self):
        callers = [self.begin_body(len(BODY)) for _ in range(CALLERS)]
        self.router.wait_event("body_waits")
        for caller in callers:
            caller.close()
        wait_for(lambda: self.router.events("body_abandoned"),
                 "the callers' end")
        self.assert_whole([self.send(BODY)])

    # What was refused with its body unread counted as if it were held.
    def test_refused_bodies_are_given_back(self):
        for _ in range(CALLERS):
            self.assertEqual(self.fleet.ask(self.router, "/none/x",
                                            body=BODY).status, 404)
        started = time.monotonic()
        self.assert_whole([self.send(BODY)])
        self.assertLess(time.monotonic() - started, 5)
        self.assertEqual(self.router.events("body_waits"), [])


if __name__ == "__main__":
    unittest.main()
