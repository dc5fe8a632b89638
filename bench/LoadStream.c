#include "LoadStream.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <string.h>
#include <xxhash.h>

#include "Clock.h"
#include "Json.h"
#include "SseParser.h"

#define EXPECTED_TEXT_MAX 40
/* Largest server-sent event accepted; the stand-ins' events have some hundred
 * bytes. */
#define EVENT_BYTES_MAX (1U << 20)

typedef struct {
    const LoadTarget_t *target;
    LoadRequest_t *request;
    gint64 due_us;
    gint64 last_token_us;
    gint64 first_token_us;
    guint64 token_count;
    gboolean done_received;
    gboolean wrong;
    gboolean has_error;
    GString *error_body;
    LoadResults_t *results;
    LoadDoneHandler_t done;
    void *data;
    SseParser_t *parser;
    struct evhttp_connection *connection;
    struct event *free_timer;
} LoadStream_t;

static void
free_stream(evutil_socket_t fd, short what, void *data)
{
    (void)fd;
    (void)what;
    LoadStream_t *this = data;
    evhttp_connection_free(this->connection);
    event_free(this->free_timer);
    SseParser_destroy(this->parser);
    g_string_free(this->error_body, TRUE);
    LoadRequest_destroy(this->request);
    g_free(this);
}

static void
note_token_time(LoadStream_t *this)
{
    gint64 now_us = Clock_nowUs();
    if (this->token_count == 0) {
        this->first_token_us = now_us - this->due_us;
    }
    else {
        Histogram_record(&this->results->gaps,
                         (guint64)(now_us - this->last_token_us));
    }
    this->last_token_us = now_us;
}

/* An engine stand-in derives each token from the seed and its index. */
static gboolean
is_expected_token(const LoadStream_t *this, const char *data)
{
    guint expected_word =
        (guint)(XXH3_64bits_withSeed(&this->token_count,
                                     sizeof(this->token_count),
                                     this->request->seed) &
                0xffff);
    char expected[EXPECTED_TEXT_MAX];
    g_snprintf(expected, sizeof(expected), "\" %04x.%" G_GUINT64_FORMAT "\"",
               expected_word, this->token_count);
    return strstr(data, expected) != NULL;
}

static gboolean
on_event(const char *id, const char *data, gsize length, void *user)
{
    (void)id;
    (void)length;
    LoadStream_t *this = user;
    if (strcmp(data, "[DONE]") == 0) {
        this->done_received = TRUE;
        return TRUE;
    }
    if (g_str_has_prefix(data, "{\"error\"")) {
        this->has_error = TRUE;
        g_string_assign(this->error_body, data);
        return TRUE;
    }
    note_token_time(this);
    this->wrong = this->wrong || !is_expected_token(this, data);
    this->token_count++;
    return TRUE;
}

static void
on_chunk(struct evhttp_request *http_request, void *data)
{
    LoadStream_t *this = data;
    struct evbuffer *input = evhttp_request_get_input_buffer(http_request);
    if (evhttp_request_get_response_code(http_request) == HTTP_OK) {
        SseParser_feed(this->parser, input);
        return;
    }
    gsize length = evbuffer_get_length(input);
    g_string_append_len(this->error_body, (char *)evbuffer_pullup(input, -1),
                        (gssize)length);
}

static void
count_error_code(LoadResults_t *results, const GString *error_body)
{
    json_t *body = Json_parse(error_body->str, error_body->len, NULL);
    const char *code = Json_getString(json_object_get(body, "error"), "code");
    gpointer count = g_hash_table_lookup(results->reasons, code ? code : "-");
    g_hash_table_replace(results->reasons, g_strdup(code ? code : "-"),
                         GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
    json_decref(body);
}

static void
count_complete(LoadStream_t *this)
{
    LoadResults_t *results = this->results;
    gint64 elapsed_ms = (this->last_token_us - this->due_us) / 1000;
    gboolean late = this->target->deadline_ms > 0 &&
                    elapsed_ms > this->target->deadline_ms;
    guint64 sample[2] = {(guint64)this->due_us, (guint64)this->first_token_us};
    results->complete++;
    results->late += late ? 1 : 0;
    results->urgent_in_time += this->request->urgent && !late ? 1 : 0;
    Histogram_record(&results->first_token, (guint64)this->first_token_us);
    g_array_append_vals(results->samples, sample, 2);
}

static void
count_outcome(LoadStream_t *this, int status)
{
    LoadResults_t *results = this->results;
    results->tokens += this->token_count;
    gboolean complete =
        this->done_received && this->token_count == this->request->tokens;
    if (this->wrong) {
        results->wrong++;
    }
    else if (status == HTTP_OK && complete) {
        count_complete(this);
    }
    else if (status != HTTP_OK && status != 0) {
        results->refused++;
        count_error_code(results, this->error_body);
    }
    else {
        results->broken++;
        count_error_code(results, this->error_body);
    }
}

static void
on_done(struct evhttp_request *http_request, void *data)
{
    LoadStream_t *this = data;
    count_outcome(this, http_request
                            ? evhttp_request_get_response_code(http_request)
                            : 0);
    Clock_arm(this->free_timer, 0);
    this->done(this->data);
}

static GString *
create_body(const LoadStream_t *this)
{
    GString *body = g_string_new(this->request->body->str);
    if (this->target->direct) {
        g_string_truncate(body, body->len - 1);
        g_string_append(body, ",\"expect_weights\":\"v1\"}");
    }
    return body;
}

static void
fill_request(LoadStream_t *this, struct evhttp_request *http_request)
{
    const LoadTarget_t *target = this->target;
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(http_request);
    evhttp_add_header(headers, "Host", target->host);
    evhttp_add_header(headers, "Authorization", target->authorization);
    evhttp_add_header(headers, "Connection", "close");
    if (target->direct) {
        g_autofree char *id = g_strdup_printf("%p", (void *)this);
        evhttp_add_header(headers, "X-Attempt-Id", id);
    }
    if (target->deadline_ms > 0) {
        g_autofree char *deadline = g_strdup_printf("%u", target->deadline_ms);
        evhttp_add_header(headers, "X-Request-Deadline-Ms", deadline);
    }
    if (target->priority) {
        evhttp_add_header(headers, "X-Priority", target->priority);
    }
    GString *body = create_body(this);
    evbuffer_add(evhttp_request_get_output_buffer(http_request), body->str,
                 body->len);
    g_string_free(body, TRUE);
}

void
LoadStream_start(const LoadTarget_t *target, LoadRequest_t *request,
                 gint64 due_us, LoadResults_t *results, LoadDoneHandler_t done,
                 void *data)
{
    LoadStream_t *this = g_new0(LoadStream_t, 1);
    this->target = target;
    this->request = request;
    this->due_us = due_us;
    this->results = results;
    this->done = done;
    this->data = data;
    this->error_body = g_string_new(NULL);
    this->parser = SseParser_create(EVENT_BYTES_MAX, on_event, this);
    this->free_timer = Clock_timer(target->base, free_stream, this);
    this->connection = evhttp_connection_base_new(target->base, NULL,
                                                  target->host, target->port);
    struct evhttp_request *http_request = evhttp_request_new(on_done, this);
    evhttp_request_set_chunked_cb(http_request, on_chunk);
    fill_request(this, http_request);
    results->asked++;
    results->urgent_asked += request->urgent ? 1 : 0;
    evhttp_make_request(this->connection, http_request, EVHTTP_REQ_POST,
                        "/v1/chat/completions");
}
