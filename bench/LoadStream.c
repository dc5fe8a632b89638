#include "LoadStream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "Json.h"
#include "SseParser.h"

#define EXPECTED_MAX 40
/* Most bytes of one event; those of stand-ins have some hundred. */
#define EVENT_MAX (1U << 20)

typedef struct {
    const LoadTarget_t *target;
    Asked_t *asked;
    gint64 due_us;
    gint64 last_us;
    gint64 first_us;
    guint64 tokens;
    gboolean ended;
    gboolean wrong;
    gboolean failed;
    GString *refusal;
    Results_t *results;
    LoadDone_t done;
    void *data;
    SseParser_t *parser;
    struct evhttp_connection *connection;
    struct event *reaper;
} LoadStream_t;

static void
reap(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    LoadStream_t *this = data;
    evhttp_connection_free(this->connection);
    event_free(this->reaper);
    SseParser_destroy(this->parser);
    g_string_free(this->refusal, TRUE);
    Asked_destroy(this->asked);
    g_free(this);
}

static void
note_time(LoadStream_t *this)
{
    gint64 now_us = Clock_nowUs();
    if (this->tokens == 0) {
        this->first_us = now_us - this->due_us;
    }
    else {
        Histogram_record(&this->results->gaps,
                         (guint64)(now_us - this->last_us));
    }
    this->last_us = now_us;
}

/* What an engine stand-in must answer at this place. */
static gboolean
is_expected(const LoadStream_t *this, const char *data)
{
    guint word =
        (guint)(XXH3_64bits_withSeed(&this->tokens, sizeof(this->tokens),
                                     this->asked->seed) &
                0xffff);
    char expected[EXPECTED_MAX];
    g_snprintf(expected, sizeof(expected), "\" %04x.%" G_GUINT64_FORMAT "\"",
               word, this->tokens);
    return strstr(data, expected) != NULL;
}

static gboolean
on_event(const char *id, const char *data, gsize length, void *user)
{
    (void)id;
    (void)length;
    LoadStream_t *this = user;
    if (strcmp(data, "[DONE]") == 0) {
        this->ended = TRUE;
        return TRUE;
    }
    if (g_str_has_prefix(data, "{\"error\"")) {
        this->failed = TRUE;
        g_string_assign(this->refusal, data);
        return TRUE;
    }
    note_time(this);
    this->wrong = this->wrong || !is_expected(this, data);
    this->tokens++;
    return TRUE;
}

static void
on_chunk(struct evhttp_request *request, void *data)
{
    LoadStream_t *this = data;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    if (evhttp_request_get_response_code(request) == HTTP_OK) {
        SseParser_feed(this->parser, input);
        return;
    }
    gsize length = evbuffer_get_length(input);
    g_string_append_len(this->refusal, (char *)evbuffer_pullup(input, -1),
                        (gssize)length);
}

static void
count_reason(Results_t *results, const GString *refusal)
{
    json_t *body = Json_parse(refusal->str, refusal->len, NULL);
    const char *code = Json_getString(json_object_get(body, "error"), "code");
    gpointer count = g_hash_table_lookup(results->reasons, code ? code : "-");
    g_hash_table_replace(results->reasons, g_strdup(code ? code : "-"),
                         GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
    json_decref(body);
}

static void
count_whole(LoadStream_t *this)
{
    Results_t *results = this->results;
    gint64 passed_ms = (this->last_us - this->due_us) / 1000;
    gboolean late =
        this->target->deadline_ms > 0 && passed_ms > this->target->deadline_ms;
    guint64 sample[2] = {(guint64)this->due_us, (guint64)this->first_us};
    results->whole++;
    results->late += late ? 1 : 0;
    results->urgent_in_time += this->asked->urgent && !late ? 1 : 0;
    Histogram_record(&results->first_token, (guint64)this->first_us);
    g_array_append_vals(results->samples, sample, 2);
}

static void
count_end(LoadStream_t *this, int status)
{
    Results_t *results = this->results;
    results->tokens += this->tokens;
    gboolean whole = this->ended && this->tokens == this->asked->tokens;
    if (this->wrong) {
        results->wrong++;
    }
    else if (status == HTTP_OK && whole) {
        count_whole(this);
    }
    else if (status != HTTP_OK && status != 0) {
        results->refused++;
        count_reason(results, this->refusal);
    }
    else {
        results->broken++;
        count_reason(results, this->refusal);
    }
}

static void
on_done(struct evhttp_request *request, void *data)
{
    LoadStream_t *this = data;
    count_end(this, request ? evhttp_request_get_response_code(request) : 0);
    Clock_arm(this->reaper, 0);
    this->done(this->data);
}

static GString *
body_of(const LoadStream_t *this)
{
    GString *body = g_string_new(this->asked->body->str);
    if (this->target->direct) {
        g_string_truncate(body, body->len - 1);
        g_string_append(body, ",\"expect_weights\":\"v1\"}");
    }
    return body;
}

static void
fill_request(LoadStream_t *this, struct evhttp_request *request)
{
    const LoadTarget_t *target = this->target;
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", target->host);
    evhttp_add_header(headers, "Authorization", target->authorization);
    evhttp_add_header(headers, "Connection", "close");
    if (target->direct) {
        g_autofree char *id = g_strdup_printf("%p", (void *)this);
        evhttp_add_header(headers, "X-Attempt-Id", id);
    }
    if (target->deadline_ms > 0) {
        g_autofree char *wait = g_strdup_printf("%u", target->deadline_ms);
        evhttp_add_header(headers, "X-Request-Deadline-Ms", wait);
    }
    if (target->priority) {
        evhttp_add_header(headers, "X-Priority", target->priority);
    }
    GString *body = body_of(this);
    evbuffer_add(evhttp_request_get_output_buffer(request), body->str,
                 body->len);
    g_string_free(body, TRUE);
}

void
LoadStream_start(const LoadTarget_t *target, Asked_t *asked, gint64 due_us,
                 Results_t *results, LoadDone_t done, void *data)
{
    LoadStream_t *this = g_new0(LoadStream_t, 1);
    this->target = target;
    this->asked = asked;
    this->due_us = due_us;
    this->results = results;
    this->done = done;
    this->data = data;
    this->refusal = g_string_new(NULL);
    this->parser = SseParser_create(EVENT_MAX, on_event, this);
    this->reaper = Clock_timer(target->base, reap, this);
    this->connection = evhttp_connection_base_new(target->base, NULL,
                                                  target->host, target->port);
    struct evhttp_request *request = evhttp_request_new(on_done, this);
    evhttp_request_set_chunked_cb(request, on_chunk);
    fill_request(this, request);
    results->asked++;
    results->urgent_asked += asked->urgent ? 1 : 0;
    evhttp_make_request(this->connection, request, EVHTTP_REQ_POST,
                        "/v1/chat/completions");
}
