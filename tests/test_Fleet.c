#include "testing.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#include "Fleet.h"
#include "FleetStore.h"

static GBytes *
make_bytes(const char *text)
{
    return g_bytes_new(text, strlen(text));
}

START_TEST(configuration_is_decoded)
{
    GBytes *value = make_bytes(
        "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
        "\"path_prefix\":\"/p/\",\"kind\":\"stream\",\"timeout_ms\":4000.0,"
        "\"target_latency_ms\":600,\"priority\":1,\"traffic_split\":["
        "{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],"
        "\"max_attempts\":2,\"sticky\":true,\"resumable\":true},"
        "{\"name\":\"q\",\"hostname\":\"h\",\"path_prefix\":\"/\","
        "\"kind\":\"non_idempotent\",\"service\":\"s\",\"public\":true}],"
        "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":64,"
        "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"k\","
        "\"kv_store_addr\":\"10.0.0.1:80\",\"zone\":\"z\"}],"
        "\"tenants\":[{\"name\":\"c\",\"api_keys\":[\"k1\",\"k2\"],"
        "\"priority\":0,\"isolated\":true}]}");
    RouteConfig_t *config = Fleet_form.decode_config(value, NULL);
    ck_assert_ptr_nonnull(config);
    const Route_t *route = RouteConfig_findRoute(config, "h", "/p/1");
    ck_assert_int_eq(route->kind, ROUTE_STREAM);
    ck_assert(route->resumable && route->needs_key && route->by_prefix);
    ck_assert_int_eq(route->time_limit_ms, 4000);
    ck_assert_uint_eq(route->weight_sum, 100);
    route = RouteConfig_findRoute(config, "h", "/x");
    ck_assert_int_eq(route->kind, ROUTE_ONCE);
    ck_assert(!route->needs_key);
    const RouteCustomer_t *customer = RouteConfig_findCustomer(config, "k2");
    ck_assert(!customer->shares_cache);
    ck_assert_uint_eq(customer->rank, 0);
    ck_assert_uint_eq(config->kv_stores->len, 1);
    ck_assert_uint_eq(RouteConfig_findService(config, "s")->models->len, 1);
    RouteConfig_unref(config);
    g_bytes_unref(value);
}
END_TEST

/* Also in lists that are not read. */
START_TEST(invalid_configuration_is_a_typed_error)
{
    static const char *const texts[] = {
        "",
        "[]",
        "{\"routes\":[]}",
        "{",
        "{\"version\":1,\"routes\":[{}",
        "{\"version\":1,\"routes\":[{},]}",
        "{\"version\":1,\"routes\":[{}}]}",
        "{\"version\":1,\"routes\":[{} {}]}",
        "{\"version\":1,\"routes\":[{\"name\":\"a\",\"name\":\"b\"}]}",
        "{\"version\":1,\"routes\":[],\"routes\":[]}",
        "{\"version\":1,\"others\":[1,x]}",
    };
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autoptr(GError) error = NULL;
        GBytes *value = make_bytes(texts[i]);
        ck_assert_ptr_null(Fleet_form.decode_config(value, &error));
        ck_assert_ptr_nonnull(error);
        g_bytes_unref(value);
    }
}
END_TEST

#define LONG_ROUTES 8000

/* Sanitizers have an allocator of their own, which keeps what is freed. */
#ifdef __SANITIZE_ADDRESS__
#define MEASURES_MEMORY 0
#else
#define MEASURES_MEMORY 1
#endif

static GBytes *
make_long_configuration(void)
{
    GString *text = g_string_new("{\"version\":1,\"routes\":[");
    for (guint i = 0; i < LONG_ROUTES; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\": \"r%u\", \"hostname\": \"h\", \"path_prefix\": "
            "\"/n%u/\", \"kind\": \"idempotent\", \"timeout_ms\": 20000, "
            "\"target_latency_ms\": 500, \"priority\": 1, \"service\": "
            "\"plain\", \"max_attempts\": 2, \"public\": false, \"sticky\": "
            "false, \"resumable\": false, \"gap_aim_ms\": 500}",
            i > 0 ? ", " : "", i, i);
    }
    g_string_append(text, "]}");
    return g_string_free_to_bytes(text);
}

/* Returns a size of this process in bytes. */
static gsize
read_size(const char *name)
{
    g_autofree char *status = NULL;
    ck_assert(g_file_get_contents("/proc/self/status", &status, NULL, NULL));
    const char *line = strstr(status, name);
    ck_assert_ptr_nonnull(line);
    return (gsize)g_ascii_strtoull(line + strlen(name), NULL, 10) * 1024;
}

static void
reset_peak(void)
{
    FILE *file = fopen("/proc/self/clear_refs", "w");
    ck_assert_ptr_nonnull(file);
    ck_assert_int_ge(fputs("5", file), 0);
    ck_assert_int_eq(fclose(file), 0);
}

/* A tree of the whole text took 24 MB for 2, and so ended routers whose memory
 * callers had filled. */
START_TEST(reading_a_long_configuration_takes_no_more_than_its_text)
{
    GBytes *value = make_long_configuration();
    reset_peak();
    RouteConfig_t *config = Fleet_form.decode_config(value, NULL);
    gsize peak = read_size("VmHWM:");
    gsize left = read_size("VmRSS:");
    ck_assert_ptr_nonnull(config);
    ck_assert_uint_eq(config->routes->len, LONG_ROUTES);
    gsize most = MEASURES_MEMORY ? g_bytes_get_size(value) : G_MAXSIZE - left;
    ck_assert_uint_le(peak, left + most);
    RouteConfig_unref(config);
    g_bytes_unref(value);
}
END_TEST

START_TEST(list_entry_is_decoded)
{
    ListedUpstream_t entry;
    GBytes *value = make_bytes(
        "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
        "\"version\":\"v1\",\"slots\":64,\"state\":\"draining\","
        "\"cold_left_ms\":250,\"call_seq\":3,\"born\":1777568853587,"
        "\"models\":[{\"name\":\"m\",\"version\":4}]}");
    ListedUpstream_init(&entry);
    ck_assert(Fleet_form.decode_upstream(value, &entry, NULL));
    ck_assert_str_eq(entry.spec.address.host, "10.0.0.9");
    ck_assert_uint_eq(entry.spec.address.port, 8080);
    ck_assert(entry.leaving);
    ck_assert_str_eq(entry.weights->str, "4");
    ck_assert_uint_eq(entry.incarnation, G_GUINT64_CONSTANT(1777568853587));
    ListedUpstream_clear(&entry);
    g_bytes_unref(value);
}
END_TEST

#define VALID_ENTRY                                                           \
    "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","          \
    "\"version\":\"v\",\"slots\":4,\"state\":\"ready\",\"cold_left_ms\":0,"   \
    "\"call_seq\":0,\"born\":5}"

static gboolean
is_upstream(const char *text)
{
    ListedUpstream_t entry;
    g_autoptr(GError) error = NULL;
    GBytes *value = make_bytes(text);
    ListedUpstream_init(&entry);
    gboolean is_valid = Fleet_form.decode_upstream(value, &entry, &error);
    ck_assert(is_valid == (error == NULL));
    ListedUpstream_clear(&entry);
    g_bytes_unref(value);
    return is_valid;
}

static gboolean
is_upstream_with(const char *from, const char *to)
{
    g_autoptr(GString) text = g_string_new(VALID_ENTRY);
    ck_assert_uint_eq(g_string_replace(text, from, to, 1), 1);
    return is_upstream(text->str);
}

/* An upstream with an unknown state got requests: another writer had put an
 * entry into the list, and fields that were missing or of a wrong type were
 * replaced by defaults. */
START_TEST(malformed_list_entry_is_rejected)
{
    static const char *const field_variants[][3] = {
        {"\"service\":\"s\",", "", "\"service\":7,"},
        {"\"address\":\"10.0.0.9:80\",", "", "\"address\":[],"},
        {"\"zone\":\"z\",", "", "\"zone\":null,"},
        {"\"version\":\"v\",", "", "\"version\":1,"},
        {"\"slots\":4,", "", "\"slots\":\"4\","},
        {"\"state\":\"ready\",", "", "\"state\":true,"},
        {"\"cold_left_ms\":0,", "", "\"cold_left_ms\":{},"},
        {"\"call_seq\":0,", "", "\"call_seq\":-1,"},
    };
    static const char *const incarnations[] = {"\"5\"", "5.5",  "0",
                                               "-5",    "null", "1e300"};
    static const char *const addresses[] = {
        "10.0.0.9",       "10.0.0.9:", ":80",       "10.0.0.9:0",
        "10.0.0.9:70000", "host:80",   "10.0.0:80", ""};
    static const char *const texts[] = {"",         "{",  "[]",  "\"x\"",
                                        "\xff\xfe", "{}", "null"};
    ck_assert(is_upstream(VALID_ENTRY));
    ck_assert(is_upstream_with(",\"born\":5", ""));
    for (gsize i = 0; i < G_N_ELEMENTS(field_variants); i++) {
        ck_assert_msg(
            !is_upstream_with(field_variants[i][0], field_variants[i][1]),
            "%s left", field_variants[i][0]);
        ck_assert_msg(
            !is_upstream_with(field_variants[i][0], field_variants[i][2]),
            "%s", field_variants[i][2]);
    }
    for (gsize i = 0; i < G_N_ELEMENTS(incarnations); i++) {
        g_autofree char *born =
            g_strdup_printf("\"born\":%s", incarnations[i]);
        ck_assert_msg(!is_upstream_with("\"born\":5", born), "%s", born);
    }
    for (gsize i = 0; i < G_N_ELEMENTS(addresses); i++) {
        ck_assert_msg(!is_upstream_with("10.0.0.9:80", addresses[i]), "%s",
                      addresses[i]);
    }
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        ck_assert_msg(!is_upstream(texts[i]), "%s", texts[i]);
    }
    ck_assert(!is_upstream_with("ready", "retired"));
    ck_assert(!is_upstream_with("\"born\":5", "\"models\":\"m\""));
}
END_TEST

START_TEST(framed_records_are_restored)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    guint64 offsets[] = {GUINT64_TO_BE(7), GUINT64_TO_BE(5)};
    g_byte_array_append(body, (guint8 *)offsets, sizeof(offsets));
    static const char *const texts[] = {"ab", "", "c"};
    for (gsize i = 0; i < G_N_ELEMENTS(texts); i++) {
        GBytes *record = make_bytes(texts[i]);
        GBytes *framed = FleetStore_frame(record);
        gsize size = 0;
        const guint8 *data = g_bytes_get_data(framed, &size);
        g_byte_array_append(body, data, (guint)size);
        g_bytes_unref(framed);
        g_bytes_unref(record);
    }
    HttpAnswer_t answer = {.status = 200, .body = (char *)body->data};
    FleetRead_t read;
    answer.length = body->len;
    ck_assert(FleetStore_unframe(&answer, 4, &read, NULL));
    ck_assert_uint_eq(read.end, 7);
    ck_assert_uint_eq(read.start, 5);
    ck_assert_uint_eq(read.records->len, 3);
    g_ptr_array_unref(read.records);
    for (gsize cut = 0; cut < body->len; cut++) {
        g_autoptr(GError) error = NULL;
        answer.length = cut;
        if (FleetStore_unframe(&answer, 4, &read, &error)) {
            g_ptr_array_unref(read.records); /* cut between two records */
        }
        else {
            ck_assert_ptr_nonnull(error);
        }
    }
}
END_TEST

static void
append_offset(GByteArray *body, guint64 offset)
{
    offset = GUINT64_TO_BE(offset);
    g_byte_array_append(body, (guint8 *)&offset, sizeof(offset));
}

static GByteArray *
make_read_answer(guint64 end, guint records)
{
    GByteArray *body = g_byte_array_new();
    append_offset(body, end);
    append_offset(body, 0);
    for (guint i = 0; i < records; i++) {
        GBytes *record = make_bytes("record");
        GBytes *framed = FleetStore_frame(record);
        gsize size = 0;
        const guint8 *data = g_bytes_get_data(framed, &size);
        g_byte_array_append(body, data, (guint)size);
        g_bytes_unref(framed);
        g_bytes_unref(record);
    }
    return body;
}

#define RECORDS 3
#define READ_END 7
#define RECORD_BYTES (4 + strlen("record"))
#define READ_HEAD_BYTES 16

/* A read answer that ends with its connection, cut anywhere, gives whole
 * records, and not the news that there are none. */
START_TEST(cut_read_gives_whole_records_or_none)
{
    g_autoptr(GByteArray) body = make_read_answer(READ_END, RECORDS);
    for (gsize length = 0; length <= body->len; length++) {
        HttpAnswer_t answer = {.status = 200,
                               .framing = BODY_CLOSE_DELIMITED,
                               .body = (char *)body->data,
                               .length = length};
        gsize rest = length < READ_HEAD_BYTES ? 1 : length - READ_HEAD_BYTES;
        gboolean is_sound = rest > 0 && rest % RECORD_BYTES == 0;
        FleetRead_t read;
        g_autoptr(GError) error = NULL;
        gboolean is_taken =
            FleetStore_unframe(&answer, READ_END - RECORDS, &read, &error);
        ck_assert_msg(is_taken == is_sound, "%zu bytes", length);
        if (is_taken) {
            ck_assert_uint_eq(read.end, READ_END);
            ck_assert_uint_eq(read.records->len, rest / RECORD_BYTES);
            g_ptr_array_unref(read.records);
        }
    }
}
END_TEST

START_TEST(unframed_read_at_the_end_needs_no_records)
{
    g_autoptr(GByteArray) body = make_read_answer(READ_END, 0);
    HttpAnswer_t answer = {.status = 200,
                           .framing = BODY_CLOSE_DELIMITED,
                           .body = (char *)body->data,
                           .length = body->len};
    FleetRead_t read;
    ck_assert(FleetStore_unframe(&answer, READ_END, &read, NULL));
    ck_assert_uint_eq(read.records->len, 0);
    g_ptr_array_unref(read.records);
}
END_TEST

static RelayHead_t
read_head_by(const RelayUpstreamForm_t *form, int status, const char *name,
             const char *value)
{
    struct evkeyvalq headers;
    RelayHead_t head;
    TAILQ_INIT(&headers);
    evhttp_add_header(&headers, "X-Request-Id", "q1");
    if (name) {
        evhttp_add_header(&headers, name, value);
    }
    form->read_head(status, &headers, "q1", "i-1", &head);
    evhttp_clear_headers(&headers);
    return head;
}

static RelayHead_t
read_head(int status, const char *name, const char *value)
{
    return read_head_by(Fleet_form.upstream, status, name, value);
}

static RelayHead_t
read_peer_head(int status, const char *name, const char *value)
{
    return read_head_by(Fleet_form.peer, status, name, value);
}

START_TEST(only_explicit_marks_count_as_not_run)
{
    ck_assert(!read_head(503, NULL, NULL).not_run);
    ck_assert(!read_head(500, NULL, NULL).not_run);
    ck_assert(read_head(503, "X-Not-Executed", "1").not_run);
    ck_assert(read_head(421, "X-Instance-Id", "i-1").not_run);
    ck_assert(!read_head(421, "X-Instance-Id", "i-1").other_instance);
    ck_assert(read_head(421, "X-Instance-Id", "i-2").other_instance);
    ck_assert(read_head(200, "X-Server-Seal", "s").has_signature);
    ck_assert_int_eq(read_head(200, "Connection", "close").notice.leaving,
                     FLAG_UNSET);
    ck_assert_int_eq(read_head(503, "Server-Leaving", "1").notice.leaving,
                     FLAG_SET);
    ck_assert_double_eq(read_head(200, "Server-Limit", "2").notice.limit.per_s,
                        2);
    ck_assert_int_eq(read_head(503, "Retry-After", "3").notice.backoff.for_ms,
                     3000);
    ck_assert(read_head(503, NULL, NULL).is_from_upstream);
    ck_assert(read_head(421, "X-Instance-Id", "i-1").is_from_upstream);
    ck_assert(!read_head(421, "X-Instance-Id", "i-2").is_from_upstream);
    ck_assert(!read_head(421, NULL, NULL).is_from_upstream);
}
END_TEST

/* An upstream's status reached callers as a promise that nothing proved. */
START_TEST(statuses_that_promise_need_a_proof)
{
    static const int promises[] = {408, 429, 503};
    for (gsize i = 0; i < G_N_ELEMENTS(promises); i++) {
        int status = promises[i];
        ck_assert(read_head(status, "X-Server-Seal", "s").is_unproven);
        ck_assert(!read_head(status, "X-Not-Executed", "1").is_unproven);
        ck_assert(read_peer_head(status, "X-Server-Seal", "s").is_unproven);
        ck_assert(!read_peer_head(status, NULL, NULL).is_unproven);
    }
    ck_assert(!read_head(421, NULL, NULL).is_unproven);
    ck_assert(!read_head(500, "X-Server-Seal", "s").is_unproven);
    ck_assert(!read_head(502, NULL, NULL).is_unproven);
    ck_assert(!read_peer_head(502, "X-Server-Seal", "s").is_unproven);
}
END_TEST

START_TEST(a_mark_counts_on_refusals_only)
{
    static const int others[] = {100, 102, 200, 204, 302};
    for (gsize i = 0; i < G_N_ELEMENTS(others); i++) {
        RelayHead_t head = read_head(others[i], "X-Not-Executed", "1");
        ck_assert(!head.not_run);
        ck_assert(head.is_contradictory);
    }
    ck_assert(read_head(400, "X-Not-Executed", "1").not_run);
    ck_assert(!read_head(400, "X-Not-Executed", "1").is_contradictory);
}
END_TEST

START_TEST(callers_cannot_set_internal_headers)
{
    struct evkeyvalq caller;
    struct evkeyvalq out;
    static const char *const internal[] = {
        "X-Tenant",          "Api-Key",
        "X-Cache-Salt",      "X-Hold",
        "X-Pin-Ms",          "Kv-From",
        "X-Kv-Backup",       "X-Kv-Fetch",
        "X-Kv-Save",         "X-Request-Priority",
        "Transfer-Encoding", RELAY_FORWARDED_BY,
        RELAY_FORWARD_PROOF};
    TAILQ_INIT(&caller);
    TAILQ_INIT(&out);
    for (gsize i = 0; i < G_N_ELEMENTS(internal); i++) {
        evhttp_add_header(&caller, internal[i], "forged");
    }
    evhttp_add_header(&caller, "X-Length-Hint", "12");
    RelayOrder_t order = {.instance = "i-1", .wait_ms = 250};
    Fleet_form.upstream->write_head(&caller, &order, &out);
    ck_assert_str_eq(evhttp_find_header(&out, "X-Length-Hint"), "12");
    ck_assert_str_eq(evhttp_find_header(&out, "X-Expect-Instance"), "i-1");
    ck_assert_str_eq(evhttp_find_header(&out, "X-Deadline-Ms"), "250");
    for (gsize i = 0; i < G_N_ELEMENTS(internal); i++) {
        ck_assert_ptr_null(evhttp_find_header(&out, internal[i]));
    }
    evhttp_clear_headers(&caller);
    evhttp_clear_headers(&out);
}
END_TEST

START_TEST(router_that_refuses_a_service_may_serve_others)
{
    RelayHead_t all =
        read_peer_head(503, RELAY_TRY_ANOTHER, RELAY_REFUSES_ALL);
    RelayHead_t service =
        read_peer_head(503, RELAY_TRY_ANOTHER, RELAY_REFUSES_SERVICE);
    ck_assert(all.not_run && !all.refuses_service);
    ck_assert(service.not_run && service.refuses_service);
    ck_assert(!read_peer_head(503, NULL, NULL).not_run);
    ck_assert(!read_head(503, RELAY_TRY_ANOTHER, "service").not_run);
}
END_TEST

START_TEST(only_this_router_says_that_it_forwards)
{
    struct evkeyvalq caller;
    struct evkeyvalq out;
    TAILQ_INIT(&caller);
    TAILQ_INIT(&out);
    evhttp_add_header(&caller, "Host", "h");
    evhttp_add_header(&caller, "wheattiller-forward-proof", "forged");
    evhttp_add_header(&caller, RELAY_FORWARDED_BY, "forged");
    RelayOrder_t order = {
        .instance = "r-1", .wait_ms = 250, .forward_proof = "p"};
    Fleet_form.peer->write_head(&caller, &order, &out);
    const struct evkeyval *first = TAILQ_FIRST(&out);
    ck_assert_str_eq(first->key, RELAY_FORWARD_PROOF);
    ck_assert_str_eq(first->value, "p");
    ck_assert_str_eq(evhttp_find_header(&out, RELAY_FORWARDED_BY), "r-1");
    guint lines = 0;
    const struct evkeyval *header = NULL;
    TAILQ_FOREACH(header, &out, next)
    {
        lines++;
        ck_assert_str_ne(header->value, "forged");
    }
    ck_assert_uint_le(lines, 1 + RELAY_ADDED_LINES);
    evhttp_clear_headers(&caller);
    evhttp_clear_headers(&out);
}
END_TEST

/* Returns the tokens of all parts, or -1 if the header is refused. */
static gint64
tokens_of_parts(const char *header)
{
    struct evhttp_request *http = evhttp_request_new(NULL, NULL);
    struct evkeyvalq *headers = evhttp_request_get_input_headers(http);
    RelayRequest_t request;
    evhttp_add_header(headers, "Host", "h");
    evhttp_add_header(headers, "X-Request-Id", "q");
    evhttp_add_header(headers, "X-Prompt-Prefix", header);
    http->uri = strdup("/");
    gboolean is_valid = Fleet_form.caller->read_request(http, &request, NULL);
    gint64 tokens = is_valid ? 0 : -1;
    for (guint i = 0; is_valid && i < request.part_count; i++) {
        tokens += request.parts[i].tokens;
    }
    Fleet_form.caller->clear_request(&request);
    evhttp_request_free(http);
    return tokens;
}

/* A long prompt counted as a short one when a caller gave parts of "-1" or of
 * billions of tokens: a sign was read as a huge count, and the sum overflowed
 * 32 bits. A count must begin with a digit, and the sum is clamped to
 * G_MAXINT32. */
START_TEST(prefix_part_lengths_do_not_overflow)
{
    static const char *const bad[] = {"a:-1", "a:", "-a:1", "a:1,b:+2"};
    for (gsize i = 0; i < G_N_ELEMENTS(bad); i++) {
        ck_assert_int_lt(tokens_of_parts(bad[i]), 0);
    }
    ck_assert_int_eq(tokens_of_parts("a:1, b:2"), 3);
    ck_assert_int_eq(tokens_of_parts("a:2147483647,b:9,c:2147483647"),
                     G_MAXINT32);
}
END_TEST

START_TEST(huge_numbers_are_clamped)
{
    GBytes *value = make_bytes(
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
        "\"timeout_ms\":1e300,\"priority\":4294967296,\"traffic_split\":["
        "{\"service\":\"s\",\"weight\":4294967296},"
        "{\"service\":\"t\",\"weight\":2147483647},"
        "{\"service\":\"u\",\"weight\":2}]}],"
        "\"services\":[{\"name\":\"s\",\"max_connections\":-1}]}");
    RouteConfig_t *config = Fleet_form.decode_config(value, NULL);
    const Route_t *route = RouteConfig_findRoute(config, "h", "/");
    ck_assert_int_gt(route->time_limit_ms, G_MAXINT32);
    ck_assert_uint_eq(route->rank, G_MAXINT32);
    ck_assert_uint_eq(route->weight_sum, 2 * (guint64)G_MAXINT32 + 2);
    ck_assert_uint_eq(RouteConfig_findService(config, "s")->max_connections,
                      0);
    RouteConfig_unref(config);
    g_bytes_unref(value);
}
END_TEST

/* A route with the weights 0.9 and 0.1 had no target, because fractions were
 * truncated to 0. Weights keep their proportion, and other numbers above 0 are
 * at least 1. */
START_TEST(fractions_in_a_configuration_are_not_lost)
{
    GBytes *value = make_bytes(
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
        "\"timeout_ms\":0.5,\"target_latency_ms\":150.7,\"priority\":0.0,"
        "\"traffic_split\":[{\"service\":\"s\",\"weight\":0.9},"
        "{\"service\":\"t\",\"weight\":0.1},"
        "{\"service\":\"u\",\"weight\":-0.5},{\"service\":\"v\"}]}],"
        "\"services\":[{\"name\":\"s\",\"max_connections\":0.2}]}");
    RouteConfig_t *config = Fleet_form.decode_config(value, NULL);
    const Route_t *route = RouteConfig_findRoute(config, "h", "/");
    ck_assert_int_eq(route->time_limit_ms, 1);
    ck_assert_int_eq(route->objective_ms, 150);
    ck_assert_uint_eq(route->rank, 0);
    ck_assert_uint_eq(route->targets->len, 4);
    ck_assert_uint_eq(route->weight_sum, 10000);
    ck_assert_uint_eq(RouteConfig_findService(config, "s")->max_connections,
                      1);
    RouteConfig_unref(config);
    g_bytes_unref(value);
}
END_TEST

START_TEST(customer_limits_are_decoded)
{
    GBytes *value = make_bytes(
        "{\"version\":9,\"routes\":[],\"tenants\":["
        "{\"name\":\"a\",\"api_keys\":[\"a\"],\"unit\":\"tokens\","
        "\"rate_per_s\":252672,\"burst\":1000.5,\"plain_tokens\":200},"
        "{\"name\":\"b\",\"api_keys\":[\"b\"],\"rate_per_s\":0.25},"
        "{\"name\":\"c\",\"api_keys\":[\"c\"],\"rate_per_s\":-1,"
        "\"burst\":\"x\"},"
        "{\"name\":\"d\",\"api_keys\":[\"d\"],\"unit\":\"tokens\"}]}");
    RouteConfig_t *config = Fleet_form.decode_config(value, NULL);
    const RouteCustomer_t *a = RouteConfig_findCustomer(config, "a");
    ck_assert(a->by_tokens);
    ck_assert_double_eq(a->limit.per_s, 252672);
    ck_assert_double_eq(a->limit.burst, 1000.5);
    ck_assert_uint_eq(a->limit.version, 9);
    ck_assert_uint_eq(a->plain_tokens, 200);
    const RouteCustomer_t *b = RouteConfig_findCustomer(config, "b");
    ck_assert(!b->by_tokens);
    ck_assert_double_eq(b->limit.per_s, 0.25);
    const RouteCustomer_t *c = RouteConfig_findCustomer(config, "c");
    ck_assert_double_eq(c->limit.per_s, 0);
    ck_assert_double_eq(c->limit.burst, 0);
    const RouteCustomer_t *d = RouteConfig_findCustomer(config, "d");
    ck_assert_double_eq(d->limit.per_s, 0);
    ck_assert_uint_eq(d->plain_tokens, 1);
    RouteConfig_unref(config);
    g_bytes_unref(value);
}
END_TEST

/* The state of a later start was ignored as one of an earlier start. */
START_TEST(start_in_the_far_future_is_unknown)
{
    static const char *const starts[] = {"9223372036854775807",
                                         "8796093022209", "-1", "\"x\""};
    for (gsize i = 0; i < G_N_ELEMENTS(starts); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"models\":[{\"version\":2}],\"born\":%s}", starts[i]);
        HttpAnswer_t answer = {
            .status = 200, .body = text, .length = strlen(text)};
        EngineState_t state = {.weights = g_string_new(NULL)};
        ck_assert(Fleet_form.orders->read_state(&answer, &state));
        ck_assert_uint_eq(state.incarnation, 0);
        g_string_free(state.weights, TRUE);
    }
}
END_TEST

static void
read_runs(const char *runs, EngineState_t *out)
{
    g_autofree char *text =
        g_strdup_printf("{\"models\":[{\"version\":2}],\"runs\":%s}", runs);
    HttpAnswer_t answer = {
        .status = 200, .body = text, .length = strlen(text)};
    *out = (EngineState_t){
        .weights = g_string_new(NULL),
        .runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    ck_assert(Fleet_form.orders->read_state(&answer, out));
}

static void
clear_state(EngineState_t *state)
{
    g_hash_table_unref(state->runs);
    g_string_free(state->weights, TRUE);
}

START_TEST(report_lists_the_requests_that_run)
{
    EngineState_t state;
    read_runs("[[\"a\",300,4,5],[\"b\",10,-1,0],[\"c\"],7,[8,1,1,1]]", &state);
    ck_assert(state.lists_runs);
    ck_assert_uint_eq(g_hash_table_size(state.runs), 3);
    ck_assert_uint_eq(GPOINTER_TO_UINT(g_hash_table_lookup(state.runs, "a")),
                      4);
    ck_assert_uint_eq(GPOINTER_TO_UINT(g_hash_table_lookup(state.runs, "b")),
                      0);
    clear_state(&state);
}
END_TEST

START_TEST(report_without_a_list_of_runs_says_nothing_of_them)
{
    static const char *const others[] = {"null", "{}", "3"};
    for (gsize i = 0; i < G_N_ELEMENTS(others); i++) {
        EngineState_t state;
        read_runs(others[i], &state);
        ck_assert(!state.lists_runs);
        clear_state(&state);
    }
}
END_TEST

TESTING_MAIN("Fleet", cut_read_gives_whole_records_or_none,
             unframed_read_at_the_end_needs_no_records,
             start_in_the_far_future_is_unknown,
             report_lists_the_requests_that_run,
             report_without_a_list_of_runs_says_nothing_of_them,
             only_this_router_says_that_it_forwards,
             router_that_refuses_a_service_may_serve_others,
             customer_limits_are_decoded, configuration_is_decoded,
             invalid_configuration_is_a_typed_error,
             reading_a_long_configuration_takes_no_more_than_its_text,
             list_entry_is_decoded, malformed_list_entry_is_rejected,
             framed_records_are_restored, only_explicit_marks_count_as_not_run,
             statuses_that_promise_need_a_proof,
             a_mark_counts_on_refusals_only,
             callers_cannot_set_internal_headers,
             prefix_part_lengths_do_not_overflow, huge_numbers_are_clamped,
             fractions_in_a_configuration_are_not_lost)
