"""Forms that a request may have (RFC 9110, RFC 9112), and what becomes of each:
it is passed on unaltered, or refused by a typed error."""
from dataclasses import dataclass

HOST = b"Host: shop.example\r\n"
KEY = b"Api-Key: key-a\r\n"
CLOSE = b"Connection: close\r\n"
ONE = b"Content-Length: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
LAST = b"0\r\n\r\n"


@dataclass
class Form:
    """One form; `%s` in its line stands for a path of the route.

    `passed` is what arrives at the upstream: method, target (a `%s` as well)
    and body. `refused` is the status and the code of the refusal. Without
    either the form must get any answer of ours."""
    name: str
    line: bytes = b"POST %s HTTP/1.1\r\n"
    before: bytes = b""
    host: bytes = HOST
    key: bytes = KEY
    fields: bytes = ONE
    end: bytes = b"\r\n"
    body: bytes = b"x"
    connection: bytes = CLOSE
    passed: tuple = ()
    refused: tuple = ()

    def write(self, path, request_id, more=b""):
        """Returns the bytes of a request to a route."""
        line = self.line % path if b"%s" in self.line else self.line
        return (self.before + line + self.host + self.key
                + b"X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n" % request_id
                + more + self.connection + self.fields + self.end + self.body)

    def arrives(self, path):
        """Returns method, target and body as the upstream gets them."""
        method, target, body = self.passed
        target = target % path if b"%s" in target else target
        return method.decode(), target.decode(), body


def sound(name, method=b"POST", target=b"%s", arrives=b"x", **more):
    return Form(name, passed=(method, target, arrives), **more)


def bad(name, status=400, code="bad_header", **more):
    return Form(name, refused=(status, code), **more)


def call(method, **more):
    """A request without a body."""
    return sound("method " + method.decode(), method, arrives=b"",
                 line=method + b" %s HTTP/1.1\r\n", fields=b"", body=b"",
                 **more)


PLAIN = [
    sound("length"),
    sound("no blank behind the colon", fields=b"content-length:1\r\n"),
    sound("no value", fields=b"X-Empty:\r\n" + ONE),
    sound("no body", fields=b"Content-Length: 0\r\n", body=b"", arrives=b""),
    sound("leading zeros", fields=b"Content-Length: 0001\r\n"),
    sound("query", line=b"POST %s?a=/b?c&d=%%20 HTTP/1.1\r\n",
          target=b"%s?a=/b?c&d=%%20"),
    sound("empty query", line=b"POST %s? HTTP/1.1\r\n", target=b"%s?"),
    sound("marks in the path", line=b"POST %s/%%41%%2f;a=b HTTP/1.1\r\n",
          target=b"%s/%%41%%2f;a=b"),
    sound("long target", line=b"POST %s/" + b"y" * 4000 + b" HTTP/1.1\r\n",
          target=b"%s/" + b"y" * 4000),
    sound("port of the host", host=b"Host: shop.example:8080\r\n"),
    sound("case of the host", host=b"host: Shop.EXAMPLE\r\n"),
    sound("close in another case", connection=b"Connection: Close\r\n"),
    sound("older version", line=b"POST %s HTTP/1.0\r\n", connection=b""),
    sound("100 is waited for", fields=b"Expect: 100-Continue\r\n" + ONE),
]
CHUNKS = [
    sound("chunks", fields=CHUNKED, body=b"1\r\nx\r\n" + LAST),
    sound("coding in another case", fields=b"TRANSFER-encoding:CHUNKED\r\n",
          body=b"001\r\nx\r\n00\r\n\r\n"),
    sound("extensions", fields=CHUNKED,
          body=b"1;a=b\r\nx\r\n0;c=\"d;e\"\r\n\r\n"),
    sound("trailers", fields=CHUNKED,
          body=b"1\r\nx\r\n0\r\nX-Trailer: a\r\n\r\n"),
    sound("no chunk but the last", fields=CHUNKED, body=LAST, arrives=b""),
]
METHODS = [call(method) for method in
           (b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"PATCH",
            b"TRACE")] + [
    sound("body of " + method.decode(), method,
          line=method + b" %s HTTP/1.1\r\n")
    for method in (b"GET", b"PUT", b"DELETE", b"OPTIONS", b"PATCH")]
# That the HTTP library has no name for.
UNNAMED_METHODS = [call(method) for method in
                   (b"PROPFIND", b"MKCOL", b"LOCK", b"QUERY", b"FOO", b"X",
                    b"get", b"Post", b"M-SEARCH", b"A" * 40)] + [
    sound("body of PROPFIND", b"PROPFIND", line=b"PROPFIND %s HTTP/1.1\r\n"),
    sound("chunks of X", b"X", line=b"X %s HTTP/1.1\r\n", fields=CHUNKED,
          body=b"1\r\nx\r\n" + LAST),
    sound("absolute of QUERY", b"QUERY", before=b"\r\n",
          line=b"QUERY http://shop.example%s HTTP/1.1\r\n"),
    bad("a tunnel", 405, "bad_method", line=b"CONNECT %s HTTP/1.1\r\n",
        fields=b"", body=b""),
    bad("a tunnel to an authority", 405, "bad_method", fields=b"", body=b"",
        line=b"CONNECT shop.example:443 HTTP/1.1\r\n"),
    bad("a long method", 405, "bad_method", fields=b"", body=b"",
        line=b"A" * 100 + b" %s HTTP/1.1\r\n"),
    bad("a header that replaces the method",
        fields=b"wheattiller-method: GET\r\n" + ONE),
]
# Forms that readers take for different requests.
AMBIGUOUS = [
    bad("two lengths", fields=ONE + b"Content-Length: 2\r\n"),
    bad("a length twice", fields=ONE + ONE),
    bad("a coding other than chunks", fields=b"Transfer-Encoding: gzip\r\n"),
    bad("a coding before chunks",
        fields=b"Transfer-Encoding: gzip, chunked\r\n",
        body=b"1\r\nx\r\n" + LAST),
    bad("a fold", fields=b"X-A: b\r\n c\r\n" + ONE),
    bad("bare line feeds", fields=b"X-A: b\n" + ONE),
    bad("a blank before the colon", fields=b"X-A : b\r\n" + ONE),
    bad("no host", host=b""),
    bad("two hosts", code="header_twice", host=HOST + b"host: other.example\r\n"),
    bad("a host twice", code="header_twice", host=HOST + HOST),
    bad("two hosts beside an absolute form", code="header_twice",
        host=HOST + HOST, line=b"POST http://shop.example%s HTTP/1.1\r\n"),
]
EMPTY_LINES = [
    sound("an empty line first", before=b"\r\n"),
    sound("empty lines first", before=b"\r\n" * 9),
    sound("an empty line behind", body=b"x\r\n"),
    bad("a bare line feed first", before=b"\n"),
    bad("a bare carriage return first", before=b"\r"),
]
ABSOLUTE = [
    sound("absolute", line=b"POST http://shop.example%s HTTP/1.1\r\n"),
    sound("absolute in another case",
          line=b"POST HTTP://SHOP.example:80%s?a=b HTTP/1.1\r\n",
          target=b"%s?a=b"),
    sound("absolute of another scheme",
          line=b"POST https://shop.example%s HTTP/1.1\r\n"),
    sound("absolute beside another host", host=b"Host: other.example\r\n",
          line=b"POST http://shop.example%s HTTP/1.1\r\n"),
    sound("absolute of the older version", connection=b"",
          line=b"POST http://shop.example%s HTTP/1.0\r\n"),
    bad("absolute of another host", 404, "unknown_path",
        line=b"POST http://other.example%s HTTP/1.1\r\n"),
    bad("absolute without a path", 404, "unknown_path",
        line=b"POST http://shop.example HTTP/1.1\r\n"),
    bad("absolute with a query alone", 404, "unknown_path",
        line=b"POST http://shop.example?a=b HTTP/1.1\r\n"),
    bad("absolute without a host", 404, "unknown_path",
        line=b"POST http://%s HTTP/1.1\r\n"),
    bad("absolute with a user", 404, "unknown_path",
        line=b"POST http://a@shop.example%s HTTP/1.1\r\n"),
    bad("absolute of a scheme unknown", 404, "unknown_path",
        line=b"POST ftp://shop.example%s HTTP/1.1\r\n"),
    bad("absolute without a host header", host=b"",
        line=b"POST http://shop.example%s HTTP/1.1\r\n"),
    bad("the server itself", 404, "unknown_path", fields=b"", body=b"",
        line=b"OPTIONS * HTTP/1.1\r\n"),
]
TABS = [
    sound("blanks around a length", fields=b"Content-Length: \t 1 \t\r\n"),
    sound("blanks around a coding", body=b"1\r\nx\r\n" + LAST,
          fields=b"Transfer-Encoding:\t \tchunked\t \t\r\n"),
    sound("blanks around a host", host=b"Host:\tshop.example \t\r\n"),
    sound("blanks around a key", key=b"Api-Key:\t\tkey-a\t\t\r\n"),
    sound("blanks around a connection", connection=b"Connection:\tclose\t\r\n"),
    sound("blanks around an expectation",
          fields=b"Expect:\t100-continue\t\r\n" + ONE),
    sound("blanks alone", fields=b"X-Empty: \t \t\r\n" + ONE),
    bad("a blank inside a coding", fields=b"Transfer-Encoding: chun\tked\r\n"),
]
# That the HTTP library refuses before the router sees them.
UNREADABLE = [
    bad("a length beside a coding", fields=ONE + CHUNKED,
        body=b"1\r\nx\r\n" + LAST),
    bad("a blank inside a length", fields=b"Content-Length: 1\t1\r\n"),
    bad("a list of lengths", fields=b"Content-Length: 1, 1\r\n"),
    bad("a negative length", fields=b"Content-Length: -1\r\n"),
    bad("no number", fields=b"Content-Length: one\r\n"),
    bad("a length that no number holds", 413, "body_too_long",
        fields=b"Content-Length: 99999999999999999999\r\n"),
    bad("a chunk's size that is none", fields=CHUNKED, body=b"x\r\n"),
    bad("a chunk longer than its size", fields=CHUNKED,
        body=b"1\r\nxy\r\n" + LAST),
    bad("a long body", 413, "body_too_long",
        fields=b"Content-Length: 1000000\r\n"),
    bad("a long chunk", 413, "body_too_long", fields=CHUNKED,
        body=b"FFFFF\r\n"),
    bad("many chunks", 413, "body_too_long", fields=CHUNKED,
        body=b"400\r\n%s\r\n" % (b"y" * 1024) * 99 + LAST),
    bad("a long head", 431, "head_too_long",
        fields=b"X-Long: " + b"y" * 40000 + b"\r\n" + ONE),
    bad("a long line", 431, "head_too_long",
        line=b"POST %s/" + b"y" * 40000 + b" HTTP/1.1\r\n"),
    bad("another expectation", 417, "bad_expectation",
        fields=b"Expect: else\r\n" + ONE),
    bad("no version", line=b"POST %s\r\n"),
    bad("a version that is none", line=b"POST %s HTTP/1.x\r\n"),
    bad("another protocol", line=b"POST %s HTCPCP/1.0\r\n"),
    bad("a later version", line=b"POST %s HTTP/2.0\r\n"),
    bad("the first version", line=b"POST %s HTTP/0.9\r\n"),
    sound("a later one of the version", line=b"POST %s HTTP/1.2\r\n"),
]
# Each asks for a close behind the answer.
CLOSES = [
    sound("close at the end of a list", connection=b"Connection: foo, close\r\n"),
    sound("close at the head of a list", connection=b"Connection: CLOSE ,foo\r\n"),
    sound("close beside an upgrade",
          connection=b"Connection: Upgrade, close\r\nUpgrade: h2c\r\n"),
    sound("close in the second field",
          connection=b"Connection: keep-alive\r\nconnection: close\r\n"),
    sound("close in the third field", connection=b"Connection:\r\n"
          b"Connection: ,\t,\r\nConnection: keep-alive,,\tclose\r\n"),
    sound("close of the older version", line=b"POST %s HTTP/1.0\r\n",
          connection=b"Connection: keep-alive, close\r\n"),
]
FORMS = [PLAIN, CHUNKS, METHODS, UNNAMED_METHODS, AMBIGUOUS, EMPTY_LINES, ABSOLUTE,
         TABS, UNREADABLE, CLOSES]
# What may come before a GET, and the form of its target.
GETS = [(b"", b"%s"), (b"\r\n", b"%s"), (b"", b"http://any%s"),
        (b"", b"HTTP://any:80%s")]
UNREADABLE_GETS = [
    (b"GET / HTTP/1.1\r\nHost: any\r\n" + fields + b"\r\n", status, code)
    for fields, status, code in (
        (b"Content-Length: one\r\n", 400, "bad_header"),
        (b"X-A: b\r\n c\r\n", 400, "bad_header"),
        (b"X-Long: " + b"y" * 2000000 + b"\r\n", 431, "head_too_long"),
        (b"Content-Length: 1000000000\r\n", 413, "body_too_long"),
        (b"Expect: else\r\nContent-Length: 1\r\n", 417, "bad_expectation"))
]
