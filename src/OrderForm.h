#ifndef HEADER_OrderForm
#define HEADER_OrderForm
/**
 * DOC: OrderForm
 *
 * How orders to engines look on a wire: what is asked for an engine's state,
 * how an order to load weights is written, and what its answer means. A wire
 * form is one table of functions.
 */
#include <glib.h>

#include "HttpCall.h"

/**
 * struct EngineState_t - what an engine says of itself
 * @incarnation: 0 where the form has none
 * @weights: version that it has
 * @loading: it is changing its weights
 * @sequence: orders that it has taken, 0 where the form has none
 * @queued: requests that it has not begun
 */
typedef struct {
    guint64 incarnation;
    GString *weights;
    gboolean loading;
    guint64 sequence;
    guint queued;
} EngineState_t;

/**
 * struct EngineOrderSpec_t - an order to load weights
 * @instance: engine that it is meant for
 * @model: whose weights
 * @weights: version that is wanted
 * @holder: name of the router that gives it
 * @number: fencing number of its lease
 * @sequence: orders that the engine must have taken before, by what was read
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
 * enum OrderOutcome_t - what an engine answered to an order
 * @ORDER_TAKEN: it is under way
 * @ORDER_IN_FORCE: there was nothing to do
 * @ORDER_BUSY: another order is under way, or one came in between
 * @ORDER_STALE: an order with a higher number came before
 * @ORDER_REFUSED: anything else
 */
typedef enum {
    ORDER_TAKEN,
    ORDER_IN_FORCE,
    ORDER_BUSY,
    ORDER_STALE,
    ORDER_REFUSED,
    ORDER_OUTCOME_COUNT,
} OrderOutcome_t;

/**
 * struct OrderForm_t - one wire form
 * @state_path: where the state is asked for
 * @order_path: where orders go
 * @instance_header: names the engine that a call is meant for, or NULL
 * @listed: engines' weights are known from a list, so that the state of one
 *     is asked for only around an order
 * @counts_orders: engines tell how many orders they have taken, and their
 *     state lags: one with a lower count may be of before an order
 * @read_state: FALSE where the answer holds no state
 * @write_order: body of an order
 * @read_outcome: from an answer to an order
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

/** OrderHttp_form - the form that the project's own engines speak */
extern const OrderForm_t OrderHttp_form;

#endif
