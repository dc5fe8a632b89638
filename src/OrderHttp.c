/**
 * DOC: OrderHttp
 *
 * Wire format of orders for the engines of this project; see OrderForm.h.
 */
#include <string.h>

#include "Json.h"
#include "OrderForm.h"

#define STATUS_STALE 409

static gboolean
read_state(const HttpAnswer_t *answer, EngineState_t *out)
{
    json_t *body = Json_parse(answer->body, answer->length, NULL);
    const char *weights = Json_getString(body, "weights");
    const char *loading = Json_getString(body, "loading");
    gboolean is_valid = weights != NULL;
    if (is_valid) {
        out->incarnation = (guint64)Json_getInteger(body, "incarnation", 0);
        out->loading = loading && *loading != '\0';
        g_string_assign(out->weights, weights);
    }
    json_decref(body);
    return is_valid;
}

static GBytes *
write_order(const EngineOrderSpec_t *order)
{
    json_t *body =
        json_pack("{s:I, s:s}", "fencing", (json_int_t)order->number,
                  "weights", order->weights);
    char *text = json_dumps(body, JSON_COMPACT);
    GBytes *bytes = g_bytes_new(text, strlen(text));
    free(text);
    json_decref(body);
    return bytes;
}

static OrderOutcome_t
read_outcome(const HttpAnswer_t *answer)
{
    if (answer->status == HTTP_OK) {
        return ORDER_ACCEPTED;
    }
    return answer->status == STATUS_STALE ? ORDER_STALE : ORDER_REFUSED;
}

const OrderForm_t OrderHttp_form = {
    .state_path = "/v1/engine",
    .order_path = "/v1/orders",
    .read_state = read_state,
    .write_order = write_order,
    .read_outcome = read_outcome,
};
