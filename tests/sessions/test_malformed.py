"""Sends 10,000 malformed or truncated requests from a seeded generator."""
import json
import random
import socket
import threading
import unittest

from cluster import HANG_LIMIT, HOST, Cluster

SEED = 20261
REQUESTS = 10000
THREADS = 8
GOOD = {"model": "m", "prompt": "x", "max_tokens": 2}


def http(body, path="/v1/completions", method="POST", headers=(),
         key="acme-key", length=None):
    body = body if isinstance(body, bytes) else body.encode()
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: x",
             "Authorization: Bearer " + key,
             "Content-Length: %s" % (len(body) if length is None else length),
             *headers, "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def garbage(rng):
    return rng.randbytes(rng.randint(1, 300)) + b"\r\n\r\n"


def truncated(rng):
    request = http(json.dumps(GOOD))
    return request[:rng.randint(1, len(request) - 1)]


def broken_json(rng):
    text = bytearray(json.dumps(GOOD).encode())
    while True:
        for _ in range(rng.randint(1, 5)):
            text[rng.randrange(len(text))] = rng.randrange(256)
        try:
            json.loads(text.decode())
        except ValueError:
            return http(bytes(text))


def wrong_type(rng):
    values = [None, [], {}, "", -1, 1.5, 1e300, True, [[1]], {"a": None}]
    field, allowed = rng.choice([("model", ()), ("prompt", ()),
                                 ("max_tokens", (None,)),
                                 ("stream", (True,)), ("n", ()),
                                 ("temperature", (-1, 1.5, 1e300, True)),
                                 ("prompt_levels", ([],))])
    value = rng.choice([v for v in values
                        if not any(v is a or v == a for a in allowed)])
    if field == "temperature" and isinstance(value, bool):
        value = "hot"
    return http(json.dumps(dict(GOOD, **{field: value})))


def deep(rng):
    depth = rng.randint(3000, 20000)
    return http("[" * depth + "]" * rng.choice([0, depth]))


def bad_messages(rng):
    messages = rng.choice([[], {}, 7, [7], [{}], [{"role": 1}],
                           [{"role": "user", "content": []}],
                           [{"content": "x"}]])
    return http(json.dumps({"model": "m", "messages": messages}),
                "/v1/chat/completions")


def bad_length(rng):
    return http("{}", length=rng.choice(["-1", "x", "", "1e3",
                                         "99999999999999999999", "5000000"]))


def bad_chunks(rng):
    head = (b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer acme-key\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n")
    return head + rng.choice([b"zz\r\nxx\r\n", b"-5\r\nhello\r\n0\r\n\r\n",
                              b"ffffffffffffffff\r\nx", b"5\r\nhel",
                              b"3\r\n{}x\r\n0\r\n\r\n"])


def bad_path(rng):
    return http("{}", rng.choice(["/", "/v1", "/v1/completions/x",
                                  "/v1/services/", "/v1/services/none/x",
                                  "/%00", "/%zz", "//", "/v1/services/%2f",
                                  "nothing", "*", "http://[::1/", "/" + "a"
                                  * rng.randint(1, 3000)]))


def bad_method(rng):
    return http("", method=rng.choice(["GET", "PUT", "DELETE", "BREW", "get",
                                       "OPTIONS", "TRACE", "CONNECT"]))


def bad_header(rng):
    name = rng.choice(["X-Request-Deadline-Ms", "X-Priority", "X-Repeatable",
                       "Last-Event-ID"])
    value = rng.choice(["", "-1", "0x10", "none", "9" * 30, "A" * 200 + ".1",
                        "\xff\xfe", ".", "1.1.1"])
    return http(json.dumps(GOOD), headers=["%s: %s" % (name, value)])


def big_header(rng):
    return http(json.dumps(GOOD),
                headers=["X-Big: " + "b" * rng.randint(20000, 60000)])


def big_body(rng):
    return http(b"{" + b" " * rng.randint(70000, 90000) + b"}")


def bad_key(rng):
    return http(json.dumps(GOOD), key=rng.choice(["", "x", "acme-key2",
                                                  "\xff" * 20, "a" * 2000]))


KINDS = [garbage, truncated, broken_json, wrong_type, deep, bad_messages,
         bad_length, bad_chunks, bad_path, bad_method, bad_header, big_header,
         big_body, bad_key]


def send(port, data):
    """Returns all bytes received until the router closes the connection."""
    received = b""
    with socket.create_connection((HOST, port),
                                  timeout=HANG_LIMIT) as connection:
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while True:
                block = connection.recv(65536)
                if not block:
                    break
                received += block
        except socket.timeout:
            raise
        except OSError:
            pass  # the router closed the connection before all was sent
    return received


def is_proper_rejection(received):
    """Returns whether the router rejected the request in a proper way: with a
    closed connection or a 4xx answer with a typed error."""
    if not received:
        return True
    head, _, body = received.partition(b"\r\n\r\n")
    status = int(head.split()[1])
    if not 400 <= status < 500:
        return False
    if b"application/json" not in head:
        return False
    return json.loads(body)["error"]["run"] == "not_run"


class MalformedTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster()
        self.addCleanup(self.cluster.close)
        self.bad = []

    def send_part(self, port, part):
        rng = random.Random(SEED + part)
        for number in range(REQUESTS // THREADS):
            kind = KINDS[number % len(KINDS)]
            data = kind(rng)
            received = send(port, data)
            if not is_proper_rejection(received):
                self.bad.append((kind.__name__, data[:300], received[:300]))

    def test_each_gets_a_typed_4xx_or_a_closed_connection(self):
        engine = self.cluster.engine("e1")
        router = self.cluster.start(max_body="64KiB", read_timeout="2s",
                                    resume_grace="0s")
        threads = [threading.Thread(target=self.send_part,
                                    args=(router.port, part))
                   for part in range(THREADS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.bad[:3], [])
        self.assertEqual(engine.state()["runs"], 0)
        self.assertEqual(router.complete(GOOD).status, 200)
        self.assertEqual(router.count("open_requests"), 0)
        self.assertEqual(router.stop(), 0, router.lines[-30:])


if __name__ == "__main__":
    unittest.main()
