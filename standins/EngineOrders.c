#include "EngineOrders.h"

#include <string.h>

#define STATUS_CONFLICT 409

EngineOrderParameters_t EngineOrders_parameters;

typedef struct {
    char *weights;
    char version[ENGINE_WEIGHTS_MAX + 1];
} Load_t;

static gint64 max_fencing, order_count, stale_order_count;
static char loading_version[ENGINE_WEIGHTS_MAX + 1];
static json_t *order_list; /* all executed orders */

/* Ignores a load that a later order for another version has superseded. */
static void
on_loaded(void *data)
{
    Load_t *load = data;
    if (strcmp(loading_version, load->version) == 0) {
        g_strlcpy(load->weights, load->version, ENGINE_WEIGHTS_MAX + 1);
        loading_version[0] = '\0';
    }
    g_free(load);
}

static void
start_load(Server_t *server, const char *version, gint64 fencing,
           char *weights)
{
    Load_t *load = g_new0(Load_t, 1);
    load->weights = weights;
    g_strlcpy(load->version, version, sizeof(load->version));
    g_strlcpy(loading_version, version, sizeof(loading_version));
    order_list = order_list ? order_list : json_array();
    order_count++;
    max_fencing = MAX(max_fencing, fencing);
    json_array_append_new(order_list,
                          json_pack("{s:I, s:s}", "fencing",
                                    (json_int_t)fencing, "weights", version));
    Server_callAfter(server, EngineOrders_parameters.load_ms, on_loaded, load);
}

void
EngineOrders_handle(Server_t *server, struct evhttp_request *request,
                    char *weights)
{
    json_t *body = Server_body(request);
    gint64 fencing = json_integer_value(json_object_get(body, "fencing"));
    const char *version = json_string_value(json_object_get(body, "weights"));
    if (!version) {
        Server_refuse(request, HTTP_BADREQUEST, "bad_order", "not_run", 0);
    }
    else if (fencing < max_fencing &&
             !EngineOrders_parameters.ignore_fencing) {
        stale_order_count++;
        Server_refuse(request, STATUS_CONFLICT, "stale_fencing", "not_run", 0);
    }
    else {
        start_load(server, version, fencing, weights);
        if (Server_countDown(&EngineOrders_parameters.lose_answers)) {
            Server_drop(request);
        }
        else {
            Server_reply(request, HTTP_OK, json_object());
        }
    }
    json_decref(body);
}

void
EngineOrders_show(struct evhttp_request *request, const char *weights,
                  guint64 incarnation)
{
    order_list = order_list ? order_list : json_array();
    Server_reply(request, HTTP_OK,
                 json_pack("{s:s, s:s, s:I, s:I, s:I, s:O}", "weights",
                           weights, "loading", loading_version, "incarnation",
                           (json_int_t)incarnation, "orders",
                           (json_int_t)order_count, "stale_orders",
                           (json_int_t)stale_order_count, "list", order_list));
}
