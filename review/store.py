"""Stand-in of the platform's metadata store: a log with partition 0 of each
topic, and keyed topics. Usage: store.py PORT. POST /platform/put is for the
operator and the runners alone, whose records the platform takes."""
import asyncio
import base64
import json
import struct
import sys
import urllib.parse

from wire import read_message, write_answer


class Store:
    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    async def append(self, topic, records):
        async with self.changed:
            kept = self.topics.setdefault(topic, [])
            offset = len(kept)
            kept.extend(records)
            self.changed.notify_all()
            return offset, len(kept)

    async def handle(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if not message:
                    break
                status, body, kind = await self.answer(message)
                write_answer(writer, status, body, {"Content-Type": kind})
                await writer.drain()
                if message.headers.get("connection", "") == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        url = urllib.parse.urlsplit(message.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query.get("topic", "")
        if url.path == "/platform/put":
            name, value = query["key"].encode(), message.body
            await self.append(topic, [bytes([len(name)]) + name + value])
            return 200, b"{}", "application/json"
        if url.path == "/v1/log-append":
            return await self.log_append(topic, query, message.body)
        if url.path == "/v1/log-read":
            return await self.log_read(topic, query)
        if url.path == "/v1/log-newest":
            return self.log_newest(topic, query)
        return 404, b"{}", "application/json"

    async def log_append(self, topic, query, body):
        if topic == "keyed.servers":
            return 403, b"{}", "application/json"
        expected = query.get("store_revision")
        end = len(self.topics.get(topic, []))
        if expected is not None and int(expected) != end:
            return 412, json.dumps({"end": end}).encode(), "application/json"
        records = []
        while body:
            size = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + size])
            body = body[4 + size:]
        offset, end = await self.append(topic, records)
        answer = {"offset": offset, "end": end}
        return 200, json.dumps(answer).encode(), "application/json"

    async def log_read(self, topic, query):
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", 0)) / 1000

        def has_record():
            return len(self.topics.get(topic, [])) > start
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(has_record),
                                       max(wait_s, 0.001))
            except asyncio.TimeoutError:
                pass
        kept = self.topics.get(topic, [])
        limit = int(query.get("max_kb", 1024)) * 1024
        out = struct.pack(">QQ", len(kept), 0)
        for record in kept[start:]:
            framed = struct.pack(">I", len(record)) + record
            if len(out) + len(framed) > limit and len(out) > 16:
                break
            out += framed
        return 200, out, "application/octet-stream"

    def log_newest(self, topic, query):
        kept = self.topics.get(topic, [])
        newest = {}
        for offset, record in enumerate(kept):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            newest.pop(key, None)
            if value:
                newest[key] = {"key": key, "offset": offset,
                               "value": base64.b64encode(value).decode()}
        after = query.get("after", "")
        keys = sorted(key for key in newest if key > after)
        answer = {"items": [newest[key] for key in keys[:500]],
                  "has_more": len(keys) > 500, "end": len(kept)}
        return 200, json.dumps(answer).encode(), "application/json"


async def main():
    store = Store()
    server = await asyncio.start_server(store.handle, "127.0.0.1",
                                        int(sys.argv[1]), limit=1 << 23)
    print("listening", flush=True)
    async with server:
        await server.serve_forever()

asyncio.run(main())
