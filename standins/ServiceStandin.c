/**
 * DOC: ServiceStandin
 *
 * A plain service that counts the runs of each idempotency key and injects
 * faults on request.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <stdlib.h>
#include <string.h>

#include "Options.h"
#include "Server.h"
#include "standins.h"

#define ATTEMPT_HEADER "X-Attempt-Id"

static Server_t server;
static json_t *runs_by_key; /* key -> count of runs */
static const char *name = "service";
static gint64 port, delay_ms, refuse, fail, lose_answers, mismatch;
static gint64 close_delimited, half;
static gint64 runs_total, received_calls;

static const Parameter_t parameters[] = {
    {"port", &port},
    {"delay_ms", &delay_ms},         /* delay between the run and its answer */
    {"refuse", &refuse},             /* refuse this many calls as not run */
    {"fail", &fail},                 /* answer this many runs with 500 */
    {"lose_answers", &lose_answers}, /* drop this many answers after the run */
    {"mismatch", &mismatch},         /* send this many wrong attempt ids */
    {"close_delimited", &close_delimited}, /* answers without a length */
    {"half", &half}, /* close after half of so many of these */
    {"runs", &runs_total},
    {"limit_milli", &Server_notices.limit_milli},
    {"says_leaving", &Server_notices.leaving},
    {"rest_ms", &Server_notices.rest_ms},
    {"asked", &received_calls},
};

static const TextOption_t texts[] = {{"name", &name}, {"host", &Server_host}};

static const char *
input_header(struct evhttp_request *request, const char *key)
{
    const char *value =
        evhttp_find_header(evhttp_request_get_input_headers(request), key);
    return value ? value : "";
}

static void
count_run(struct evhttp_request *request)
{
    const char *key = input_header(request, "Idempotency-Key");
    json_int_t before = json_integer_value(json_object_get(runs_by_key, key));
    json_object_set_new(runs_by_key, key, json_integer(before + 1));
    runs_total++;
}

/* Takes ownership of @body. evhttp writes no length in answer to a HEAD. */
static void
reply_close_delimited(struct evhttp_request *request, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    size_t length = strlen(text);
    struct evbuffer *out = evbuffer_new();
    enum evhttp_cmd_type method = request->type;
    evbuffer_add(out, text, Server_countDown(&half) ? length / 2 : length);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    request->type = EVHTTP_REQ_HEAD;
    evhttp_send_reply_start(request, HTTP_OK, NULL);
    request->type = method;
    evhttp_send_reply_chunk(request, out);
    evhttp_send_reply_end(request);
    evbuffer_free(out);
    free(text);
    json_decref(body);
}

static void
send_answer(struct evhttp_request *request)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, ATTEMPT_HEADER,
                      Server_countDown(&mismatch)
                          ? "someone-else"
                          : input_header(request, ATTEMPT_HEADER));
    if (Server_countDown(&fail)) {
        Server_refuse(request, HTTP_INTERNAL, "broken", "may_have_run", 0);
        return;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    json_t *body = json_pack(
        "{s:s, s:s, s:s, s:s, s:s%}", "service", name, "uri",
        evhttp_request_get_uri(request), "customer",
        input_header(request, "X-Customer"), "key",
        input_header(request, "Idempotency-Key"), "echo",
        evbuffer_get_length(input) > 0 ? (char *)evbuffer_pullup(input, -1)
                                       : "",
        evbuffer_get_length(input));
    if (close_delimited > 0) {
        reply_close_delimited(request, body);
    }
    else {
        Server_reply(request, HTTP_OK, body);
    }
}

static void
on_delay_over(void *data)
{
    send_answer(data);
}

static void
handle_call(struct evhttp_request *request)
{
    received_calls++;
    if (Server_countDown(&refuse)) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          ATTEMPT_HEADER,
                          input_header(request, ATTEMPT_HEADER));
        Server_refuse(request, HTTP_SERVUNAVAIL, "busy", "not_run", 0);
        return;
    }
    count_run(request);
    if (Server_countDown(&lose_answers)) {
        Server_drop(request);
        return;
    }
    if (delay_ms > 0) {
        Server_callAfter(&server, delay_ms, on_delay_over, request);
        return;
    }
    send_answer(request);
}

static void
handle(struct evhttp_request *request, void *data)
{
    (void)data;
    const char *path = Server_path(request);
    if (strcmp(path, "/control") == 0) {
        json_decref(
            Server_control(request, parameters, G_N_ELEMENTS(parameters)));
    }
    else if (strcmp(path, "/records") == 0) {
        Server_reply(request, HTTP_OK, json_incref(runs_by_key));
    }
    else {
        handle_call(request);
    }
}

int
ServiceStandin_run(int argc, char **argv)
{
    Options_parse(argc, argv, parameters, G_N_ELEMENTS(parameters), texts,
                  G_N_ELEMENTS(texts));
    runs_by_key = json_object();
    Server_listen(&server, (guint16)port, handle, NULL);
    Server_run(&server);
    json_decref(runs_by_key);
    return 0;
}
