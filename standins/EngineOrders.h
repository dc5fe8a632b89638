#ifndef HEADER_EngineOrders
#define HEADER_EngineOrders
/**
 * DOC: EngineOrders
 *
 * The orders that an engine takes: to load a version of its weights, with a
 * fencing number that it obeys or ignores.
 */
#include <glib.h>

#include "Server.h"

/** Longest name of a version */
#define ENGINE_WEIGHTS_MAX 64

/**
 * struct EngineOrderKnobs_t - set at run time
 * @ignore_fencing: obey orders with an old fencing number as well
 * @load_ms: time to load a version
 * @lose_answers: next so many orders: carry out, no answer
 */
typedef struct {
    gint64 ignore_fencing;
    gint64 load_ms;
    gint64 lose_answers;
} EngineOrderKnobs_t;

/** EngineOrders_knobs - in force */
extern EngineOrderKnobs_t EngineOrders_knobs;

/**
 * EngineOrders_handle() - take an order
 * @weights: the engine's version, ENGINE_WEIGHTS_MAX + 1 bytes; changed when
 *     a load has ended
 */
void EngineOrders_handle(Server_t *server, struct evhttp_request *request,
                         char *weights);

/** EngineOrders_show() - answer with the state and all orders carried out */
void EngineOrders_show(struct evhttp_request *request, const char *weights,
                       guint64 incarnation);

#endif
