"""HTTP/1.1 as the stand-ins speak it."""
import asyncio


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers  # names in lower case
        self.body = body

    @property
    def target(self):
        return self.first.split(" ")[1]


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        body += part[:-2]
        if size == 0:
            return body


async def read_message(reader):
    """Returns the next message, or None at the connection's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if headers.get("transfer-encoding", "") == "chunked":
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def head(status, headers):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status < 300 else "Other")]
    lines += ["%s: %s" % pair for pair in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def write_answer(writer, status, body, headers):
    fields = dict(headers)
    fields["Content-Length"] = str(len(body))
    writer.write(head(status, fields) + body)
