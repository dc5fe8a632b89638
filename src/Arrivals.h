#ifndef HEADER_Arrivals
#define HEADER_Arrivals
/**
 * DOC: Arrivals
 *
 * The requests that arrive at this process, in the order of their last
 * progress. Those that have stopped give way, the longest first: while memory
 * is short until enough of it is free, and while bodies wait for room that
 * they hold.
 */
#include <event2/event.h>

#include "BodyBudget.h"
#include "MemoryUse.h"

/** enum ArrivalCause_t - why a request gives way
 * @ARRIVAL_SHORT: memory is short
 * @ARRIVAL_AWAITED: bodies wait for the room that it holds */
typedef enum {
    ARRIVAL_SHORT,
    ARRIVAL_AWAITED,
} ArrivalCause_t;

/**
 * struct ArrivalsSpec_t - parameters; all objects must outlive the arrivals
 * @memory: of the process
 * @budget: of all bodies
 * @is_gone: whether the connection has ended, so that its arrival was removed
 * @give_way: refuse the request; returns whether that was possible
 */
typedef struct {
    MemoryUse_t *memory;
    const BodyBudget_t *budget;
    gboolean (*is_gone)(void *owner);
    gboolean (*give_way)(void *owner, ArrivalCause_t cause);
} ArrivalsSpec_t;

/** struct Arrivals_t - opaque */
typedef struct Arrivals Arrivals_t;

/**
 * struct Arrival_t - a request that arrives
 * @owner: passed to the functions of the arrivals
 * @bytes: that it takes of the memory
 * @room: of these, bytes of the budget
 *
 * The other fields are private.
 */
typedef struct {
    void *owner;
    gsize bytes;
    gsize room;
    Arrivals_t *arrivals; /* NULL if it does not arrive */
    gint64 progress_ms;
    GList link;
} Arrival_t;

/** Arrivals_create() - begin without requests */
Arrivals_t *Arrivals_create(struct event_base *base,
                            const ArrivalsSpec_t *spec);

/** Arrivals_destroy() - free the object; all requests were removed */
void Arrivals_destroy(Arrivals_t *this);

/** Arrivals_check() - let requests give way; called often by itself */
void Arrivals_check(Arrivals_t *this, gint64 now_ms);

/** Arrivals_dropGone() - find connections that have ended */
void Arrivals_dropGone(Arrivals_t *this);

/** Arrival_note() - bytes of a request have come
 * @arrivals: to which it is added */
void Arrival_note(Arrival_t *this, Arrivals_t *arrivals, gint64 now_ms);

/** Arrival_remove() - the request has come whole, or was given up */
void Arrival_remove(Arrival_t *this);

#endif
