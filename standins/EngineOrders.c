#include "EngineOrders.h"

#include <string.h>

#define STATUS_CONFLICT 409

EngineOrderKnobs_t EngineOrders_knobs;

typedef struct {
    char *weights;
    char version[ENGINE_WEIGHTS_MAX + 1];
} Load_t;

static gint64 fenced, orders, stale_orders;
static char loading[ENGINE_WEIGHTS_MAX + 1];
static json_t *order_list; /* each order that was carried out */

/* A later order may have named another version meanwhile. */
static void
on_loaded(void *data)
{
    Load_t *load = data;
    if (strcmp(loading, load->version) == 0) {
        g_strlcpy(load->weights, load->version, ENGINE_WEIGHTS_MAX + 1);
        loading[0] = '\0';
    }
    g_free(load);
}

static void
carry_out(Server_t *server, const char *version, gint64 number, char *weights)
{
    Load_t *load = g_new0(Load_t, 1);
    load->weights = weights;
    g_strlcpy(load->version, version, sizeof(load->version));
    g_strlcpy(loading, version, sizeof(loading));
    order_list = order_list ? order_list : json_array();
    orders++;
    fenced = MAX(fenced, number);
    json_array_append_new(order_list,
                          json_pack("{s:I, s:s}", "fencing",
                                    (json_int_t)number, "weights", version));
    Server_after(server, EngineOrders_knobs.load_ms, on_loaded, load);
}

void
EngineOrders_handle(Server_t *server, struct evhttp_request *request,
                    char *weights)
{
    json_t *body = Server_body(request);
    gint64 number = json_integer_value(json_object_get(body, "fencing"));
    const char *version = json_string_value(json_object_get(body, "weights"));
    if (!version) {
        Server_refuse(request, HTTP_BADREQUEST, "bad_order", "not_run", 0);
    }
    else if (number < fenced && !EngineOrders_knobs.ignore_fencing) {
        stale_orders++;
        Server_refuse(request, STATUS_CONFLICT, "stale_fencing", "not_run", 0);
    }
    else {
        carry_out(server, version, number, weights);
        if (Server_spend(&EngineOrders_knobs.lose_answers)) {
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
                           weights, "loading", loading, "incarnation",
                           (json_int_t)incarnation, "orders",
                           (json_int_t)orders, "stale_orders",
                           (json_int_t)stale_orders, "list", order_list));
}
