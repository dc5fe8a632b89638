"""Stand-in of a runner of a plain service, sound unless it is told otherwise.

Usage: service.py ID SERVICE ZONE STORE_PORT SEED. Prints a line of JSON for
each request that it runs. Lines on standard input change it:
    hang SHARE   this share of its answers stops midway, the connection stays
                 open and the health check stays good
    sound        as at the start
"""
import asyncio
import json
import math
import random
import sys

from wire import head, read_message, write_answer

SLOTS = 6
QUEUE = 24
HEARTBEAT_S = 1.2
SHOWN_MAX = 700  # bytes of a request's body
# As the classes of member-ledger in mfg-kochi.toml.
WORK_MEAN_MS, WORK_SPREAD, WORK_MAX_MS = 60, 0.5, 450
BODY_MEAN, BODY_SPREAD, BODY_MAX = 800, 0.5, 4800
ERROR_SHARES = {"GET": 0.14}
ERROR_SHARE = 0.004  # of other methods


class Service:
    def __init__(self, name, service, zone, store_port, seed):
        self.name = name
        self.service = service
        self.zone = zone
        self.store_port = store_port
        self.random = random.Random(seed)
        self.slots = asyncio.Semaphore(SLOTS)
        self.open = 0
        self.runs = 0
        self.hang_share = 0
        self.port = 0

    def draw(self, mean, spread, most):
        sigma = math.sqrt(math.log(1 + spread * spread))
        value = self.random.lognormvariate(math.log(mean) - sigma ** 2 / 2,
                                           sigma)
        return min(value, most)

    async def enter_list(self):
        entry = {"service": self.service, "zone": self.zone, "version": "v1",
                 "address": "127.0.0.1:%d" % self.port, "slots": SLOTS,
                 "state": "ready", "cold_left_ms": 0, "call_seq": 0}
        body = json.dumps(entry).encode()
        target = "/platform/put?topic=keyed.servers&key=" + self.name
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.store_port)
            writer.write(b"POST %s HTTP/1.1\r\nHost: store\r\nConnection: "
                         b"close\r\nContent-Length: %d\r\n\r\n"
                         % (target.encode(), len(body)) + body)
            await reader.read()
            writer.close()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        message = await read_message(reader)
        if not message:
            return False
        if message.target == "/health":
            write_answer(writer, 200, b"", {"X-Instance-Id": self.name})
            await writer.drain()
            return True
        request_id = message.headers.get("x-request-id", "")
        expected = message.headers.get("x-expect-instance", self.name)
        if expected != self.name or self.open >= SLOTS + QUEUE:
            write_answer(writer, 421 if expected != self.name else 503, b"",
                         {"X-Request-Id": request_id, "X-Not-Executed": "1",
                          "X-Instance-Id": self.name})
            await writer.drain()
            return True
        self.open += 1
        try:
            async with self.slots:
                return await self.run(message, request_id, reader, writer)
        finally:
            self.open -= 1

    async def run(self, message, request_id, reader, writer):
        self.runs += 1
        seal = "%s.%d" % (self.name, self.runs)
        method = message.first.split(" ")[0]
        failed = self.random.random() < ERROR_SHARES.get(method, ERROR_SHARE)
        length = int(self.draw(BODY_MEAN, BODY_SPREAD, BODY_MAX)) + 1
        mark = (seal + ".").encode()
        body = (mark * (length // len(mark) + 1))[:length]
        status = 500 if failed else 200
        hangs = self.random.random() < self.hang_share
        shown = message.body[:SHOWN_MAX].decode("latin-1")
        self.tell(run=request_id, seal=seal, status=status, length=length,
                  target=message.target, method=method, body=shown,
                  body_length=len(message.body), hangs=hangs)
        work_s = self.draw(WORK_MEAN_MS, WORK_SPREAD, WORK_MAX_MS) / 1000
        left_s = int(message.headers.get("x-deadline-ms", "60000")) / 1000
        if work_s > left_s:
            await asyncio.sleep(left_s)
            status, body = 504, b"late"
        else:
            await asyncio.sleep(work_s)
        fields = {"X-Request-Id": request_id, "X-Server-Seal": seal,
                  "Content-Type": "text/plain"}
        if not hangs:
            write_answer(writer, status, body, fields)
            await writer.drain()
            return True
        fields["Content-Length"] = str(len(body))
        stop = self.random.randrange(len(body))
        writer.write(head(status, fields) + body[:stop])
        await writer.drain()
        await reader.read()  # until the other side closes the connection
        return False

    def tell(self, **more):
        print(json.dumps(more), flush=True)

    async def obey(self):
        lines = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
        while True:
            line = (await lines.readline()).decode()
            if not line:
                return
            word, *values = line.split()
            self.hang_share = float(values[0]) if word == "hang" else 0


async def main():
    name, service, zone, store_port, seed = sys.argv[1:]
    this = Service(name, service, zone, int(store_port), int(seed))
    server = await asyncio.start_server(this.serve, "127.0.0.1", 0,
                                        limit=1 << 23)
    this.port = server.sockets[0].getsockname()[1]
    listing = asyncio.create_task(this.enter_list())
    obeying = asyncio.create_task(this.obey())
    this.tell(listening=this.port)
    async with server:
        await server.serve_forever()
    await asyncio.gather(listing, obeying)

asyncio.run(main())
