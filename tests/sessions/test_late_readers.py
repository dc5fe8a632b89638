"""Upstreams that read a request late, so that the kernel holds up its sender."""
import socket
import time
import unittest
import uuid

from answers import Connection, request_bytes
from fleet import Fleet, Upstream

READ_AFTER_S = 2.5
BUFFER = 4096  # of the upstream's kernel, less than BODY
BODY = 18000 * b"x"


class LateReader(Upstream):
    """Its connections take a part of a long body, and the rest later."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.http.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                    BUFFER)

    def handle(self, call):
        if call.path.startswith("/write/"):
            time.sleep(READ_AFTER_S)
        super().handle(call)


class LateReaderTest(unittest.TestCase):
    def test_a_long_body_that_is_read_late_is_answered(self):
        """The kernel gave up the connection, as TCP_USER_TIMEOUT holds for a
        closed window as well, although the upstream's system answered."""
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.add(LateReader(fleet.store, "p1", "plain"))
        router = fleet.start()
        connection = Connection(router.port)
        self.addCleanup(connection.close)
        request_id = uuid.uuid4().hex
        connection.socket.sendall(request_bytes(
            "POST", "/write/x", request_id, BODY, wait_ms=19000))
        answer = connection.read_answer(request_id, "POST")
        self.assertEqual(answer.status, 200)
        self.assertEqual([line["end"] for line in
                          router.events("attempt_ended")], [])


if __name__ == "__main__":
    unittest.main()
