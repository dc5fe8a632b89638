#ifndef HEADER_OrderForm
#define HEADER_OrderForm
/**
 * DOC: OrderForm
 *
 * Wire format of orders. An order is a command to an engine to load a version
 * of weights. A format is one table of functions, which reads the state of an
 * engine, writes orders, and reads the answers to them.
 */
#include <glib.h>

#include "HttpCall.h"

/**
 * struct EngineState_t - state that an engine reports
 * @incarnation: of the engine; 0 if the format has none
 * @weights: version in use
 * @loading: whether the engine is changing its weights
 * @sequence: number of orders accepted so far; 0 if the format has none
 * @queued: number of requests that the engine has not started
 * @runs: table of the caller, or NULL; gets the ids of the requests that run,
 *     and the number of events made for each as GUINT_TO_POINTER()
 * @lists_runs: whether the state lists the requests that run
 */
typedef struct {
    guint64 incarnation;
    GString *weights;
    gboolean loading;
    guint64 sequence;
    guint queued;
    GHashTable *runs;
    gboolean lists_runs;
} EngineState_t;

/**
 * struct EngineOrderSpec_t - an order to load weights
 * @instance: name of the engine
 * @model: model to load weights of
 * @weights: wanted version
 * @holder: name of the router that sends the order
 * @number: fencing number of that router's lease
 * @sequence: number of orders that the engine must have accepted before, as
 *     last read from its state
 */
typedef struct {
    const char *instance;
    const char *model;
    const char *weights;
    const char *holder;
    guint64 number;
    guint64 sequence;
} EngineOrderSpec_t;

/**
 * enum OrderOutcome_t - answer of an engine to an order
 * @ORDER_ACCEPTED: the engine carries out the order
 * @ORDER_IN_FORCE: the engine has the wanted version already
 * @ORDER_BUSY: another order is under way, or was accepted since the state
 *     was read
 * @ORDER_STALE: the engine has seen a higher fencing number
 * @ORDER_REFUSED: anything else
 */
typedef enum {
    ORDER_ACCEPTED,
    ORDER_IN_FORCE,
    ORDER_BUSY,
    ORDER_STALE,
    ORDER_REFUSED,
    ORDER_OUTCOME_COUNT,
} OrderOutcome_t;

/**
 * struct OrderForm_t - a wire format of orders
 * @state_path: path of the engine's state
 * @order_path: path that orders are posted to
 * @instance_header: header that names the addressed engine, or NULL
 * @listed: the weights of all engines are known from a list, so the state of
 *     an engine is read only around an order
 * @counts_orders: engines report how many orders they have accepted; as their
 *     state lags, one with a lower count may predate an order
 * @read_state: returns FALSE if the answer holds no state
 * @write_order: returns the body of an order
 * @read_outcome: reads the answer to an order
 */
typedef struct {
    const char *state_path;
    const char *order_path;
    const char *instance_header;
    gboolean listed;
    gboolean counts_orders;
    gboolean (*read_state)(const HttpAnswer_t *answer, EngineState_t *out);
    GBytes *(*write_order)(const EngineOrderSpec_t *order);
    OrderOutcome_t (*read_outcome)(const HttpAnswer_t *answer);
} OrderForm_t;

/** OrderHttp_form - format of the engines that are part of this project */
extern const OrderForm_t OrderHttp_form;

#endif
