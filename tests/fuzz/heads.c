/* Fuzz targets for request heads and answer heads, given as lines. */
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "EngineHttp.h"
#include "FleetRelay.h"
#include "ResumeToken.h"
#include "UpstreamBackoff.h"
#include "targets.h"

/* Returns the first line and adds the other lines to @out as headers. */
static char *
split_head(const uint8_t *data, size_t size, struct evkeyvalq *out)
{
    g_autofree char *text = g_strndup((const char *)data, size);
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (guint i = 1; lines[0] && lines[i]; i++) {
        char *colon = strchr(lines[i], ':');
        if (colon) {
            *colon = '\0';
            evhttp_add_header(out, lines[i], g_strstrip(colon + 1));
        }
    }
    return g_strdup(lines[0] ? lines[0] : "");
}

static void
check_forwarded_head(const struct evkeyvalq *caller)
{
    struct evkeyvalq out;
    RelayOrder_t order = {.instance = "i-1", .wait_ms = 250, .salt = "s"};
    TAILQ_INIT(&out);
    FleetRelay_upstream.write_head(caller, &order, &out);
    g_assert_cmpstr(evhttp_find_header(&out, "X-Expect-Instance"), ==, "i-1");
    g_assert_cmpstr(evhttp_find_header(&out, "X-Deadline-Ms"), ==, "250");
    g_assert_cmpstr(evhttp_find_header(&out, "X-Cache-Salt"), ==, "s");
    g_assert_null(evhttp_find_header(&out, "X-Tenant"));
    g_assert_null(evhttp_find_header(&out, "Api-Key"));
    g_assert_null(evhttp_find_header(&out, "Transfer-Encoding"));
    evhttp_clear_headers(&out);
}

/* Checks that the sum of the part lengths fits an int, and that a header with
 * fewer parts than the maximum, which is read to its end, contains no sign. */
static void
check_parts(const char *header, const RelayRequest_t *request)
{
    guint64 sum = 0;
    g_assert_cmpuint(request->part_count, <=, PROMPT_LEVELS_MAX);
    for (guint i = 0; i < request->part_count; i++) {
        sum += request->parts[i].tokens;
    }
    g_assert_cmpuint(sum, <=, G_MAXINT32);
    g_assert(header || request->part_count == 0);
    g_assert(!header || request->part_count == PROMPT_LEVELS_MAX ||
             !strpbrk(header, "+-"));
}

int
Fuzz_callerHead(const uint8_t *data, size_t size)
{
    struct evhttp_request *http = evhttp_request_new(NULL, NULL);
    struct evkeyvalq *headers = evhttp_request_get_input_headers(http);
    g_autofree char *uri = split_head(data, size, headers);
    http->uri = strdup(uri);
    RelayRequest_t request;
    g_autoptr(GError) error = NULL;
    if (FleetRelay_caller.read_request(http, &request, &error)) {
        g_assert_no_error(error);
        g_assert(request.id && *request.id && request.host);
        g_assert(strlen(request.id) <= RELAY_ID_MAX);
        g_assert(!strpbrk(request.path->str, "?#"));
        g_assert_cmpint(request.wait_ms, >=, 0);
        check_parts(evhttp_find_header(headers, "X-Prompt-Prefix"), &request);
    }
    else {
        g_assert_nonnull(error);
    }
    FleetRelay_caller.clear_request(&request);
    check_forwarded_head(headers);
    evhttp_request_free(http);
    return 0;
}

/* For any headers, the backoff time and the advertised limit are within their
 * bounds, and only an answer with status 503 requests a backoff. */
static void
check_notice(const UpstreamNotice_t *notice, int status)
{
    g_assert_cmpint(notice->backoff.for_ms, >=, 0);
    g_assert_cmpint(notice->backoff.for_ms, <=, UPSTREAM_BACKOFF_MAX_MS);
    g_assert(notice->backoff.kind == BACKOFF_ABSENT ||
             status == HTTP_SERVUNAVAIL);
    g_assert(notice->backoff.kind == BACKOFF_REQUESTED ||
             notice->backoff.for_ms == 0);
    g_assert(notice->limit.per_s >= 0 &&
             notice->limit.per_s <= ADVERTISED_LIMIT_MAX_PER_S);
}

int
Fuzz_upstreamHead(const uint8_t *data, size_t size)
{
    struct evkeyvalq headers;
    RelayHead_t head;
    TAILQ_INIT(&headers);
    g_autofree char *first = split_head(data, size, &headers);
    int status = (int)g_ascii_strtoull(first, NULL, 10) % 1000;
    FleetRelay_upstream.read_head(status, &headers, "q1", "i-1", &head);
    const char *id = evhttp_find_header(&headers, "X-Request-Id");
    const char *named = evhttp_find_header(&headers, "X-Instance-Id");
    g_assert(head.status == status);
    g_assert(head.matches_request == (g_strcmp0(id, "q1") == 0));
    g_assert(!head.other_instance || (named && strcmp(named, "i-1") != 0));
    g_assert(!head.not_run || status == 421 ||
             evhttp_find_header(&headers, "X-Not-Executed"));
    g_assert(!head.is_from_upstream || !head.other_instance);
    check_notice(&head.notice, status);
    evhttp_clear_headers(&headers);
    return 0;
}

/* The end of an answer counts as marked only by the one header that marks it.
 */
int
Fuzz_bodyFraming(const uint8_t *data, size_t size)
{
    struct evkeyvalq headers;
    TAILQ_INIT(&headers);
    g_autofree char *first = split_head(data, size, &headers);
    int status = (int)g_ascii_strtoull(first, NULL, 10) % 1000;
    BodyFraming_t framing =
        BodyFraming_read(EVHTTP_REQ_POST, status, &headers);
    g_assert(
        (framing == BODY_AMBIGUOUS) ==
        (BodyFraming_findFault(EVHTTP_REQ_POST, status, &headers) != NULL));
    const char *length = evhttp_find_header(&headers, "Content-Length");
    const char *coding = evhttp_find_header(&headers, "Transfer-Encoding");
    g_assert(framing != BODY_LENGTH ||
             (length && !coding && strspn(length, "0123456789") > 0 &&
              length[strspn(length, "0123456789")] == '\0'));
    g_assert(
        framing != BODY_CHUNKED ||
        (coding && !length && g_ascii_strcasecmp(coding, "chunked") == 0));
    g_assert(framing != BODY_CLOSE_DELIMITED || (!coding && !length));
    g_assert(framing != BODY_EMPTY || status == HTTP_NOCONTENT ||
             status == HTTP_NOTMODIFIED);
    evhttp_clear_headers(&headers);
    return 0;
}

/* Checks that the stream name sent by an engine can be sealed into a resume
 * token, read back, and used in the bodies of later requests. */
static void
use_stream(const EngineHead_t *head)
{
    GBytes *key = g_bytes_new_static("0123456789abcdef0123456789abcdef", 32);
    ResumePoint_t *point = ResumePoint_create();
    g_string_assign(point->stream, head->stream);
    point->incarnation = head->incarnation;
    GString *token = ResumeToken_seal(point, key);
    g_string_append(token, ".3");
    ResumePoint_t *opened = ResumeToken_open(token->str, key, NULL);
    g_assert_nonnull(opened);
    g_assert_cmpstr(opened->stream->str, ==, head->stream);
    g_assert(opened->incarnation == head->incarnation);
    ResumePoint_destroy(opened);
    ResumePoint_destroy(point);
    g_string_free(token, TRUE);
    g_bytes_unref(EngineHttp_wire.resume_body(head->stream, 3));
    g_bytes_unref(EngineHttp_wire.cancel_body(head->stream, "a"));
    g_bytes_unref(key);
}

int
Fuzz_engineHead(const uint8_t *data, size_t size)
{
    struct evkeyvalq headers;
    EngineHead_t head = {.attempt = g_string_new(NULL)};
    TAILQ_INIT(&headers);
    g_autofree char *first = split_head(data, size, &headers);
    int status = (int)g_ascii_strtoull(first, NULL, 10) % 1000;
    UpstreamNotice_t notice =
        UpstreamNotice_read(&EngineHttp_wire.notices, status, &headers);
    check_notice(&notice, status);
    if (EngineHttp_wire.read_head(&headers, &head)) {
        use_stream(&head);
    }
    g_string_free(head.attempt, TRUE);
    evhttp_clear_headers(&headers);
    return 0;
}
