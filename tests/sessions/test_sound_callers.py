"""Callers with small calls beside others whose answers the routers hold: the
router's machine ends it above the memory of its settings."""
import http.client
import os
import socket
import threading
import time
import unittest
import uuid

os.environ["WT_BUILD"] = "build"  # sanitizers need more memory
from answers import request_bytes  # noqa: E402
from cluster import HOST  # noqa: E402
from fleet import Fleet, Upstream  # noqa: E402
from memory import MemoryWatch  # noqa: E402

MEMORY_MB = 110
ANSWER_BYTES = 1 << 20
EVENT = b"p" * 30000
EVENTS = 20
ROUTERS = 2
ENGINES = 4
LOUD = 200
SOUND = 8
SOUND_PAUSE_S = 0.02
SERVED_SHARE = 0.97
# A reader takes so much in each turn, together 160 KB/s.
TURN_S = 0.05
TURN_BYTES = 8192
UNREAD_S = 3
WAIT_S = 25
# Bodies of which the last byte is missing.
BODIES = 40
BODY_BYTES = 300000
CUT = 6


class LongAnswers(Upstream):
    """Sends what the path names: with a length, in chunks, or to the end of
    the connection."""

    def answer_call(self, call, body, headers):
        if not call.path.startswith("/read/long"):
            super().answer_call(call, body, headers)
            return
        data = b"y" * ANSWER_BYTES
        if call.path.endswith("/chunks"):
            call.head(200, {"Transfer_Encoding": "chunked"}, **headers)
            data = b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data)
        elif call.path.endswith("/closed"):
            call.head(200, {"Connection": "close"}, **headers)
            call.close_connection = True
        elif call.path.endswith("/cut"):
            call.head(200, {"Content_Length": str(len(data))}, **headers)
            call.close_connection = True
            data = data[:-1]
        else:
            call.head(200, {"Content_Length": str(len(data))}, **headers)
        call.wfile.write(data)


class Reader:
    """A caller that reads its answer a little at a time."""

    def __init__(self, port, path, unread_s):
        self.data = bytearray()
        self.has_ended = False
        self.begin = time.monotonic() + unread_s
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect((HOST, port))
        request = request_bytes("POST", path, uuid.uuid4().hex, b"x",
                                wait_ms=WAIT_S * 1000)
        self.socket.sendall(request.replace(
            b"\r\n", b"\r\nConnection: close\r\n", 1))
        self.socket.setblocking(False)

    def read(self, most):
        """Reads up to so many bytes."""
        while most > 0 and not self.has_ended:
            try:
                part = self.socket.recv(most)
            except BlockingIOError:
                return
            except OSError:
                part = b""
            self.data += part
            self.has_ended = not part
            most -= len(part)

    def body_bytes(self):
        """Returns the bytes of an answer that is marked as whole, or 0."""
        head, _, body = bytes(self.data).partition(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        if not lines[0].startswith(b"http/1.1 200"):
            return 0
        if b"transfer-encoding: chunked" in lines:
            return self.unchunked_bytes(body)
        for line in lines:
            if line.startswith(b"content-length: "):
                length = int(line.split()[1])
                return length if len(body) == length else 0
        return len(body)

    @staticmethod
    def unchunked_bytes(body):
        total, at = 0, 0
        while at < len(body):
            end = body.find(b"\r\n", at)
            size = int(body[at:end], 16) if end > at else -1
            if size < 0:
                return 0
            if size == 0:
                return total
            total += size
            at = end + 2 + size + 2
        return 0


class Readers(threading.Thread):
    """Reads for all callers by turns, until their answers have ended."""

    def __init__(self, readers):
        super().__init__(daemon=True)
        self.readers = readers
        self.end = time.monotonic() + WAIT_S

    def turn(self, pending):
        now = time.monotonic()
        for reader in pending:
            if now >= reader.begin:
                reader.read(TURN_BYTES)

    def run(self):
        while time.monotonic() < self.end:
            begin = time.monotonic()
            pending = [each for each in self.readers if not each.has_ended]
            if not pending:
                return
            self.turn(pending)
            time.sleep(max(begin + TURN_S - time.monotonic(), 0))


class SoundCaller(threading.Thread):
    """Sends small calls on a kept connection and reads each answer."""

    def __init__(self, router, is_over):
        super().__init__(daemon=True)
        self.port = router.port
        self.is_over = is_over
        self.statuses = []

    def ask(self, link):
        link.request("POST", "/write/x", b"x" * 600, {
            "Host": "shop.example", "X-Request-Id": uuid.uuid4().hex,
            "X-Deadline-Ms": "5000", "Api-Key": "key-a"})
        response = link.getresponse()
        response.read()
        return response.status

    def run(self):
        link = http.client.HTTPConnection(HOST, self.port, timeout=10)
        while not self.is_over():
            try:
                self.statuses.append(self.ask(link))
            except (OSError, http.client.HTTPException) as error:
                self.statuses.append(type(error).__name__)
                link.close()
            time.sleep(SOUND_PAUSE_S)
        link.close()


class SoundCallersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        for number in range(ENGINES):
            engine = self.fleet.engine("e%d" % number)
            engine.piece, engine.pieces = EVENT, EVENTS
        for number in range(2):
            self.fleet.add(LongAnswers(self.fleet.store, "p%d" % number,
                                       "plain"))
        self.routers = [self.fleet.start(
            name="r%d" % number, memory="%dMiB" % MEMORY_MB,
            read_timeout="60s", token_timeout="20s",
            first_token_timeout="20s", eject_failures="1000") for number in range(ROUTERS)]
        self.watch = MemoryWatch(kills=True)
        self.addCleanup(self.watch.stop)
        self.watched = [self.watch.add(router.process, MEMORY_MB << 20)
                        for router in self.routers]

    def begin(self, count, path="/read/long", unread_s=0):
        readers = [Reader(self.routers[number % ROUTERS].port, path, unread_s)
                   for number in range(count)]
        for reader in readers:
            self.addCleanup(reader.socket.close)
        return readers

    def begin_streams(self, count):
        return self.begin(count, "/ask/once/x", UNREAD_S)

    def begin_bodies(self):
        for number in range(BODIES):
            caller = socket.socket()
            self.addCleanup(caller.close)
            caller.connect((HOST, self.routers[number % ROUTERS].port))
            request = request_bytes("POST", "/write/x", uuid.uuid4().hex,
                                    b"x" * BODY_BYTES, wait_ms=WAIT_S * 1000)
            threading.Thread(target=caller.sendall, args=(request[:-1],),
                             daemon=True).start()

    def serve_beside(self, readers):
        """Returns the answers to sound callers until all have read theirs."""
        thread = Readers(readers)
        thread.start()
        callers = [SoundCaller(self.routers[number % ROUTERS],
                               lambda: not thread.is_alive())
                   for number in range(SOUND)]
        for caller in callers:
            caller.start()
        for each in callers + [thread]:
            each.join()
        self.watch.stop()
        return [status for caller in callers for status in caller.statuses]

    def assert_sound_are_served(self, readers):
        answers = self.serve_beside(readers)
        peaks = [str(each.peak) for each in self.watched]
        self.assertFalse(any(each.is_over for each in self.watched), peaks)
        share = answers.count(200) / len(answers)
        self.assertGreaterEqual(share, SERVED_SHARE, set(answers))

    def assert_whole(self, readers, size=ANSWER_BYTES):
        sizes = [reader.body_bytes() for reader in readers]
        self.assertEqual([each for each in sizes if each < size], [])

    # Their calls were refused as answers_unread.
    def test_beside_slow_readers(self):
        readers = self.begin(LOUD)
        self.assert_sound_are_served(readers)
        self.assert_whole(readers)

    def test_beside_slow_readers_of_other_framings(self):
        readers = self.begin(LOUD // 4, "/read/long/chunks") + self.begin(
            LOUD // 4, "/read/long/closed")
        self.assert_sound_are_served(readers)
        self.assert_whole(readers)

    def test_beside_streams_that_are_not_read_for_seconds(self):
        streams = self.begin_streams(LOUD)
        self.assert_sound_are_served(streams)
        self.assert_whole(streams, EVENTS * len(EVENT))

    def test_beside_several_kinds(self):
        self.begin_bodies()
        readers = self.begin(LOUD // 2)
        streams = self.begin_streams(LOUD // 2)
        self.assert_sound_are_served(readers + streams)
        self.assert_whole(readers)
        self.assert_whole(streams, EVENTS * len(EVENT))

    # What was passed on of them can't be taken back.
    def test_slow_readers_whose_answers_are_cut(self):
        readers = self.begin(LOUD // 2)
        time.sleep(1)
        cut = self.begin(CUT, "/read/long/cut")
        self.serve_beside(readers + cut)
        self.assert_whole(readers)
        self.assertEqual([each.body_bytes() for each in cut], [0] * CUT)
        begun = [each.data.startswith(b"HTTP/1.1 200") for each in cut]
        self.assertGreater(begun.count(True), 0)


if __name__ == "__main__":
    unittest.main()
