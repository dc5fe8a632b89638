"""Forms of an HTTP answer (RFC 9112, RFC 9110), which every reader of answers
is played against, and stand-ins that answer in them."""
import collections
import json
import socket
import time

from fleet import Store, Upstream

PIECE_S = 0.003  # between the pieces of an answer

# name: for the messages of tests
# write: (status, fields, body) -> the pieces that are sent
# ends: the connection ends behind the answer
# taken: by the router's own calls, such as those to its store
# relayed: taken from an upstream, whose answer goes on to a caller; a gateway
#     may refuse more (RFC 9112, section 5.2)
Form = collections.namedtuple("Form", "name write ends taken relayed")


def length_of(body):
    return [("Content-Length", str(len(body)))]


def chunked_of(body):
    return [("Transfer-Encoding", "chunked")]


def nothing_of(body):
    return []


def head(status, fields, first="HTTP/1.1 %d OK", eol="\r\n", colon=": "):
    lines = [first.replace("%d", str(status))] + [name + colon + value for name, value in fields]
    return (eol.join(lines) + 2 * eol).encode("latin-1")


def chunks(body, extension=b"", last=b"0", trailers=b"", step=65536):
    parts = [b"%x%s\r\n%s\r\n" % (len(body[at:at + step]), extension,
                                  body[at:at + step])
             for at in range(0, len(body), step)]
    return b"".join(parts) + last + extension + b"\r\n" + trailers + b"\r\n"


def plain(framing=length_of, before=b"", more=(), **of_head):
    """An answer with a length, or whatever `framing` gives."""
    def write(status, fields, body):
        fields = fields + list(more) + framing(body)
        return [before + head(status, fields, **of_head) + body]
    return write


def in_chunks(fields_of=chunked_of, more=(), **of_chunks):
    def write(status, fields, body):
        return [head(status, fields + fields_of(body) + list(more))
                + chunks(body, **of_chunks)]
    return write


def field(name, value):
    """A framing that states the length as `value` shows it."""
    return lambda body: [(name, value % {"length": len(body)})]


def lengths(*values):
    return lambda body: [("Content-Length", value % {"length": len(body)})
                         for value in values]


def in_pieces(write, step):
    def write_pieces(status, fields, body):
        data = b"".join(write(status, fields, body))
        return [data[at:at + step] for at in range(0, len(data), step)]
    return write_pieces


def apart(before, write):
    """Sends each of the heads before the answer on its own, cut in two."""
    def write_pieces(status, fields, body):
        pieces = []
        for interim in before:
            cut = len(interim) // 2
            pieces += [interim[:cut], interim[cut:]]
        return pieces + write(status, fields, body)
    return write_pieces


def interim(status, text=b"x", fields=b""):
    return b"HTTP/1.1 %d %s\r\n%s\r\n" % (status, text, fields)


def cut_before(write, *marks):
    """Two pieces, the first of which ends before the first of the marks."""
    def write_pieces(status, fields, body):
        data = b"".join(write(status, fields, body))
        at = min(data.index(mark) for mark in marks)
        return [data[:at], data[at:]]
    return write_pieces


HINTS = interim(103, b"Early Hints", b"Link: </a>\r\n")
MIXED = [interim(100, b"Continue"), HINTS, interim(102), interim(199), HINTS]
LENGTH = "Content-Length"
CODING = "Transfer-Encoding"
NOTE = [("X-Note", "a")]


def sound(name, write, ends=False):
    return Form(name, write, ends, True, True)


def own(name, write):
    return Form(name, write, False, True, False)


def refused(name, write, ends=False):
    return Form(name, write, ends, False, False)


SOUND = [
    sound("length", plain()),
    sound("chunks", in_chunks()),
    sound("chunks of a byte", in_chunks(step=1)),
    sound("chunk extensions", in_chunks(extension=b";a=b")),
    sound("quoted extensions", in_chunks(extension=b';a="b;c\\"d"; e')),
    sound("blanks before extensions", in_chunks(extension=b" \t;a = b")),
    sound("a tab before extensions", in_chunks(extension=b"\t;a=b")),
    sound("a tab behind sizes", in_chunks(extension=b"\t")),
    sound("trailers", in_chunks(trailers=b"X-Sum: 1\r\nX-Empty:\r\n")),
    sound("last chunk of zeros", in_chunks(last=b"0000")),
    sound("end of the connection",
          plain(nothing_of, more=[("Connection", "close")]), ends=True),
    sound("end that is not announced", plain(nothing_of), ends=True),
    sound("end of an HTTP/1.0 connection",
          plain(nothing_of, first="HTTP/1.0 %d OK"), ends=True),
    sound("length of HTTP/1.0", plain(first="HTTP/1.0 %d OK"), ends=True),
    sound("length and the end", plain(more=[("Connection", "close")]),
          ends=True),
    sound("end in pieces", in_pieces(plain(nothing_of), 60), ends=True),
    sound("blanks around the length",
          plain(field(LENGTH, " \t%(length)d \t "))),
    sound("a tab before the length", plain(field(LENGTH, "\t%(length)d"))),
    sound("no blank before values", plain(colon=":")),
    sound("zeros before the length", plain(field(LENGTH, "000%(length)d"))),
    sound("blanks around the coding",
          in_chunks(field(CODING, " \tchunked\t "))),
    sound("tabs before values", plain(colon=":\t")),
    sound("coding in other case", in_chunks(field("transfer-ENCODING",
                                                  "Chunked"))),
    sound("length in other case", plain(field("CONTENT-length",
                                              "%(length)d"))),
    sound("empty value", plain(more=[("X-Empty", "")])),
    sound("bytes beyond ASCII", plain(more=[("X-Text", "caf\xe9")])),
    sound("long value", plain(more=[("X-Long", 12000 * "v")])),
    sound("many fields", plain(more=[("X-%d" % n, 60 * "v")
                                     for n in range(64)])),
    sound("no reason", plain(first="HTTP/1.1 %d ")),
    sound("no reason and no blank", plain(first="HTTP/1.1 %d")),
    sound("kept connection", plain(more=[("Connection", "Keep-Alive"),
                                         ("Keep-Alive", "timeout=5")])),
    sound("100", plain(before=interim(100))),
    sound("102", plain(before=interim(102, b"Processing"))),
    sound("103 thrice", plain(before=3 * HINTS)),
    sound("several interim answers", plain(before=b"".join(MIXED))),
    sound("interim answers and the end",
          plain(nothing_of, before=b"".join(MIXED)), ends=True),
    sound("interim answers one by one", apart(MIXED, plain())),
    sound("interim answers one by one and the end",
          apart(MIXED, plain(more=[("Connection", "close")])), ends=True),
    sound("interim answer cut off before the answer",
          cut_before(plain(before=HINTS), b"\nHTTP/1.1 2")),
    sound("byte by byte", in_pieces(plain(before=HINTS), 1)),
    sound("chunks byte by byte", in_pieces(in_chunks(extension=b";a=b"), 1)),
]

# An upstream's answer with a fold is refused, and the upstream is not blamed.
FOLDED = [
    own("folded field", plain(more=[("X-Note", "a\r\n b")])),
    own("folded field byte by byte",
        in_pieces(plain(more=[("X-Note", "a\r\n\t b")]), 1)),
    own("fold before the length",
        plain(field(LENGTH, "\r\n %(length)d\r\n\t"))),
    own("fold before the coding", in_chunks(field(CODING, "\r\n chunked"))),
]

# Readers may disagree on where they end, or on what they state.
REFUSED = [
    refused("bare line feeds", plain(eol="\n")),
    refused("a fold behind the first line",
            plain(first="HTTP/1.1 %d OK\r\n X-Note: a")),
    refused("a fold that makes two lengths",
            plain(field(LENGTH, "%(length)d\r\n 0"))),
    refused("two lengths alike", plain(lengths("%(length)d", "%(length)d"))),
    refused("a list of lengths", plain(lengths("%(length)d, %(length)d"))),
    refused("two lengths", plain(lengths("%(length)d", "%(length)d0"))),
    refused("a signed length", plain(lengths("+%(length)d"))),
    refused("an empty length", plain(lengths(""))),
    refused("a length beside chunks",
            in_chunks(lambda body: length_of(body) + chunked_of(body))),
    refused("another coding", in_chunks(field(CODING, "gzip, chunked"))),
    refused("coding that is none", plain(field(CODING, "identity"))),
    refused("two codings",
            in_chunks(lambda body: 2 * chunked_of(body))),
    refused("an empty coding", in_chunks(field(CODING, ""))),
    refused("blank before the colon",
            plain(more=[("X-Note ", "a")])),
    refused("a name of two words", plain(more=[("X Note", "a")])),
    refused("an empty line before the head", plain(before=b"\r\n")),
    refused("101", plain(before=interim(101, b"Switching Protocols"))),
    refused("interim answers without an end",
            plain(before=200 * HINTS)),
    refused("a zero byte", plain(more=[("X-Note", "a\0b")])),
]

# First lines that state no version with a status of three digits from 100 to
# 599 behind one blank (RFC 9112, section 4; RFC 9110, section 15).
STATUS_LINES = ["HTTP/1.1 " + status for status in (
    "000 x", "001 x", "099 x", "0 x", "00 x", "20 x", "2", "600 x", "600",
    "699 x", "999 x", "2000 x", "65736 x", "4294967496 x", "+%d x", "-%d x",
    "0%d x", "0x%d x", "2e2 x", "%dOK", "%d\tx", "%d.0 x", " %d x", "\t%d x",
    "x", "", "\xb2\xb2\xb2 x")] + [
    "HTTP/0.9 %d x", "HTTP/1.2 %d x", "HTTP/1 %d x", "HTTP/1.10 %d x",
    "HTTP/01.1 %d x", "HTTP/2.0 %d x", "HTTP/2 %d x", "http/1.1 %d x",
    "HTTP/1.1\t%d x", "HTTP/1.1", "ICY %d x", " HTTP/1.1 %d x", "%d x"]
NO_STATUS = [refused("status line " + repr(line), plain(first=line))
             for line in STATUS_LINES]
REFUSED += NO_STATUS


def send(call, form, status, fields, body):
    call.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if form.ends:
        call.close_connection = True
    pieces = form.write(status, fields, body)
    for number, piece in enumerate(pieces):
        if number:
            time.sleep(PIECE_S if len(pieces) < 20 else 0)
        call.wfile.write(piece)


class FormedReply:
    """Makes a stand-in answer everything in `form`."""

    form = SOUND[0]

    def handle(self, call):
        plain_reply = call.reply

        def reply(status, body=b"", **headers):
            if self.form is SOUND[0]:
                plain_reply(status, body, **headers)
                return
            send(call, self.form, status,
                 [(name.replace("_", "-"), str(value))
                  for name, value in headers.items()], encode(body))
        call.reply = reply
        super().handle(call)
        del call.reply


def encode(body):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    return body


class FormedStore(FormedReply, Store):
    def answer_slowly(self, call, body, epoch):
        call.reply(200, body, Store_Era=epoch)


class FormedUpstream(FormedReply, Upstream):
    def answer_call(self, call, body, headers):
        call.reply(self.status, b"%s %s %d bytes" % (
            call.command.encode(), call.path.encode(), len(body)), **headers)

    def stream(self, call, headers):
        first = int(call.headers.get("Last-Event-Id", -1)) + 1
        call.reply(200, b"".join(
            b"id: %d\ndata: %s-%d\n\n" % (n, self.piece, n)
            for n in range(first, self.pieces)), **headers)
