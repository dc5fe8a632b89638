/**
 * DOC: ServiceStandin
 *
 * A plain service that records each run of each key, and fails on demand.
 */
#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#include "Options.h"
#include "Server.h"
#include "standins.h"

#define ATTEMPT_HEADER "X-Attempt-Id"

static Server_t server;
static json_t *runs; /* key -> count of runs */
static const char *name = "service";
static gint64 port, delay_ms, refuse, fail, lose_answers, mismatch;
static gint64 runs_total, asked;

static const Knob_t knobs[] = {
    {"port", &port},
    {"delay_ms", &delay_ms},         /* time from the run to its answer */
    {"refuse", &refuse},             /* next so many: "not run" */
    {"fail", &fail},                 /* next so many: run, answer 500 */
    {"lose_answers", &lose_answers}, /* next so many: run, no answer */
    {"mismatch", &mismatch},         /* next so many: another's attempt id */
    {"runs", &runs_total},
    {"limit_milli", &Server_notices.limit_milli},
    {"says_leaving", &Server_notices.leaving},
    {"rest_ms", &Server_notices.rest_ms},
    {"asked", &asked},
};

static const TextOption_t texts[] = {{"name", &name}};

static const char *
header(struct evhttp_request *request, const char *key)
{
    const char *value =
        evhttp_find_header(evhttp_request_get_input_headers(request), key);
    return value ? value : "";
}

static void
count_run(struct evhttp_request *request)
{
    const char *key = header(request, "Idempotency-Key");
    json_int_t before = json_integer_value(json_object_get(runs, key));
    json_object_set_new(runs, key, json_integer(before + 1));
    runs_total++;
}

static void
answer(struct evhttp_request *request)
{
    struct evkeyvalq *out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, ATTEMPT_HEADER,
                      Server_spend(&mismatch)
                          ? "someone-else"
                          : header(request, ATTEMPT_HEADER));
    if (Server_spend(&fail)) {
        Server_refuse(request, HTTP_INTERNAL, "broken", "may_have_run", 0);
        return;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    Server_reply(request, HTTP_OK,
                 json_pack("{s:s, s:s, s:s, s:s, s:s%}", "service", name,
                           "uri", evhttp_request_get_uri(request), "customer",
                           header(request, "X-Customer"), "key",
                           header(request, "Idempotency-Key"), "echo",
                           evbuffer_get_length(input) > 0
                               ? (char *)evbuffer_pullup(input, -1)
                               : "",
                           evbuffer_get_length(input)));
}

static void
answer_later(void *data)
{
    answer(data);
}

static void
handle_call(struct evhttp_request *request)
{
    asked++;
    if (Server_spend(&refuse)) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          ATTEMPT_HEADER, header(request, ATTEMPT_HEADER));
        Server_refuse(request, HTTP_SERVUNAVAIL, "busy", "not_run", 0);
        return;
    }
    count_run(request);
    if (Server_spend(&lose_answers)) {
        Server_drop(request);
        return;
    }
    if (delay_ms > 0) {
        Server_after(&server, delay_ms, answer_later, request);
        return;
    }
    answer(request);
}

static void
handle(struct evhttp_request *request, void *data)
{
    (void)data;
    const char *path = Server_path(request);
    if (strcmp(path, "/control") == 0) {
        json_decref(Server_control(request, knobs, G_N_ELEMENTS(knobs)));
    }
    else if (strcmp(path, "/records") == 0) {
        Server_reply(request, HTTP_OK, json_incref(runs));
    }
    else {
        handle_call(request);
    }
}

int
ServiceStandin_run(int argc, char **argv)
{
    Options_parse(argc, argv, knobs, G_N_ELEMENTS(knobs), texts,
                  G_N_ELEMENTS(texts));
    runs = json_object();
    Server_listen(&server, (guint16)port, handle, NULL);
    Server_run(&server);
    json_decref(runs);
    return 0;
}
