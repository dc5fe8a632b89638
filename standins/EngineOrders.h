#ifndef HEADER_EngineOrders
#define HEADER_EngineOrders
/**
 * DOC: EngineOrders
 *
 * Orders to the stand-in engine to load a version of the weights. An order
 * carries a fencing number; the engine refuses a number lower than the highest
 * accepted one, unless a parameter tells it to ignore the number.
 */
#include <glib.h>

#include "Server.h"

/** Maximum length of a version's name, in bytes */
#define ENGINE_WEIGHTS_MAX 64

/**
 * struct EngineOrderParameters_t - parameters that POST /control sets
 * @ignore_fencing: accept orders with a stale fencing number too
 * @load_ms: how long loading a version takes
 * @lose_answers: execute this many orders without an answer
 */
typedef struct {
    gint64 ignore_fencing;
    gint64 load_ms;
    gint64 lose_answers;
} EngineOrderParameters_t;

/** EngineOrders_parameters - current parameters */
extern EngineOrderParameters_t EngineOrders_parameters;

/**
 * EngineOrders_handle() - execute an order and answer it
 * @weights: the engine's current version, a buffer of ENGINE_WEIGHTS_MAX + 1
 *     bytes; updated when the load completes
 */
void EngineOrders_handle(Server_t *server, struct evhttp_request *request,
                         char *weights);

/** EngineOrders_show() - answer with the engine's weights and all orders
 * that it has executed */
void EngineOrders_show(struct evhttp_request *request, const char *weights,
                       guint64 incarnation);

#endif
