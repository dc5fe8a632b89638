"""Native engines that answer without end, and bodies of many small values, at
a router whose machine ends it above the memory of its settings."""
import http.client
import json
import os
import socket
import threading
import time
import unittest

os.environ["WT_BUILD"] = "build"  # sanitizers need more memory
from cluster import HOST, Cluster, StandIn  # noqa: E402
from fleet import Server  # noqa: E402
from memory import MemoryWatch  # noqa: E402

MEMORY_MB = 110
SECONDS = 5
TOKEN = b"y" * 60000
BODY_BYTES = 4000000
STREAM_PATH = "/v1/completions"
OWN_FIELDS = ("host", "connection", "content-length", "transfer-encoding",
              "date", "server")
HEAD = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Stream-Id: s\r\n"
        "X-Weights-Version: %s\r\nX-Engine-Incarnation: %s\r\n"
        "X-Prompt-Tokens: 1\r\nX-Cached-Tokens: 0\r\n"
        "Transfer-Encoding: chunked\r\n\r\n")
EVENT = (b'id: %d\ndata: {"id":"s","choices":[{"index":0,"text":"%s",'
         b'"finish_reason":null}]}\n\n')


class EndlessEngine(Server):
    """Streams tokens until its caller closes; answers other calls as a sound
    engine does."""

    def __init__(self, sound):
        self.sound = sound
        super().__init__()

    def handle(self, call):
        body = call.body()
        if call.path == STREAM_PATH:
            self.stream(call, json.loads(body))
            return
        answer = self.sound.call_raw(call, body)
        call.reply(answer[0], answer[1], **answer[2])

    @staticmethod
    def stream(call, start):
        call.wfile.write((HEAD % (call.headers["X-Attempt-Id"],
                                  start.get("expect_weights") or "v1",
                                  start.get("expect_incarnation") or 1)
                          ).encode())
        number = 0
        while True:
            event = EVENT % (number, TOKEN)
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            number += 1


class SoundEngine(StandIn):
    def call_raw(self, call, body):
        link = http.client.HTTPConnection(self.host, self.port, timeout=10)
        link.request(call.command, call.path, body or None,
                     {name: value for name, value in call.headers.items()
                      if name.lower() not in OWN_FIELDS})
        answer = link.getresponse()
        fields = {name.replace("-", "_"): value
                  for name, value in answer.getheaders()
                  if name.lower() not in OWN_FIELDS}
        body = answer.read()
        link.close()
        return answer.status, body, fields


class NativeEndlessTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)

    def start(self):
        self.router = self.cluster.start(memory="%dMiB" % MEMORY_MB)
        self.watch = MemoryWatch(kills=True)
        self.addCleanup(self.watch.stop)
        self.watched = self.watch.add(self.router.process, MEMORY_MB << 20)

    def send(self, body):
        """Sends a body and reads what comes until the connection ends."""
        with socket.create_connection((HOST, self.router.port)) as caller:
            caller.settimeout(SECONDS)
            try:
                caller.sendall(
                    b"POST %s HTTP/1.1\r\nHost: x\r\n"
                    b"Authorization: Bearer acme-key\r\n"
                    b"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
                    % (STREAM_PATH.encode(), len(body), body))
                while caller.recv(1 << 20):
                    pass
            except OSError:  # late, or the router has ended
                pass

    def assert_survives(self, body):
        caller = threading.Thread(target=self.send, args=(body,), daemon=True)
        caller.start()
        stop = time.monotonic() + SECONDS
        while (caller.is_alive() and not self.watched.is_over
               and time.monotonic() < stop):
            time.sleep(0.02)
        self.watch.stop()
        self.assertFalse(self.watched.is_over, str(self.watched.peak))
        self.assertIsNone(self.router.process.poll())

    def play_tokens(self, stream):
        sound = self.cluster.add(SoundEngine("engine", name="e1", models="m"))
        engine = EndlessEngine(sound)
        self.addCleanup(engine.close)
        self.cluster.declare_upstream("e1", engine.address, "m")
        self.start()
        self.assert_survives(json.dumps(
            {"model": "m", "prompt": "x", "max_tokens": 16,
             "stream": stream}).encode())

    # The text of the tokens is kept until the end, whatever their number.
    def test_tokens_of_a_whole_answer(self):
        self.play_tokens(False)

    def test_tokens_of_a_stream(self):
        self.play_tokens(True)

    # Each empty list takes some 136 bytes of its tree for 3 of the body.
    def test_a_body_of_many_values(self):
        self.cluster.engine("e1")
        self.start()
        start = b'{"model":"m","prompt":"x","max_tokens":3,"x":['
        count = (BODY_BYTES - len(start) - 4) // 3
        self.assert_survives(start + b"[]," * count + b"1]}")


if __name__ == "__main__":
    unittest.main()
